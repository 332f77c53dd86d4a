#include "entry/leader_record.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "entry/datagram_fields.h"

namespace gentianreach::entry {

namespace {

// Name of the leader record in the store.
constexpr const char* kLeaderObject = "entry";
// Fingerprints are hexadecimal: not every JSON reader keeps 64 bits of a
// number.
constexpr int kFingerprintBase = 16;
// How old the record may be when it is read while a leader runs, which writes
// it every few seconds. Refusals count as that much older, so that daemons
// which start one after the other do not prolong them.
constexpr Duration kMaxRecordAge = std::chrono::seconds(3);

nlohmann::json EncodeMember(const Member& member) {
  return {{"name", member.name},
          {"life", member.incarnation.value()},
          {"address", member.address}};
}

Member DecodeMember(const nlohmann::json& content) {
  return {content.at("name").get<std::string>(),
          Incarnation(content.at("life").get<std::uint64_t>()),
          content.at("address").get<std::string>()};
}

std::string EncodeFingerprint(Fingerprint fingerprint) {
  char buf[2 * sizeof fingerprint.value];
  const auto result = std::to_chars(std::begin(buf), std::end(buf),
                                    fingerprint.value, kFingerprintBase);
  return {std::begin(buf), result.ptr};
}

std::optional<Fingerprint> DecodeFingerprint(std::string_view text) {
  Fingerprint fingerprint;
  const auto* end = text.data() + text.size();
  const auto result =
      std::from_chars(text.data(), end, fingerprint.value, kFingerprintBase);
  return result.ec == std::errc() && result.ptr == end
             ? std::optional(fingerprint)
             : std::nullopt;
}

}  // namespace

nlohmann::json EncodeLeader(const LeaderRecord& record,
                            const std::vector<RefusedRequest>& refused,
                            TimePoint now) {
  nlohmann::json content = EncodeMember(record.leader);
  content["epoch"] = record.epoch.value();
  content["earlier"] = nlohmann::json::array();
  for (const Member& it : record.earlier_leaders) {
    content["earlier"].push_back(EncodeMember(it));
  }
  for (const RefusedRequest& it : refused) {
    content["refused"].push_back(
        {{"fingerprint", EncodeFingerprint(it.fingerprint)},
         {"age_ms", AgeOf(it.lost_at, now)}});
  }
  return content;
}

std::vector<RefusedRequest> DecodeRefused(const nlohmann::json& content,
                                          TimePoint now) {
  std::vector<RefusedRequest> refused;
  try {
    for (const auto& it : content.value("refused", nlohmann::json::array())) {
      const auto fingerprint =
          DecodeFingerprint(it.at("fingerprint").get<std::string>());
      const auto age_ms = it.at("age_ms").get<std::uint32_t>();
      if (fingerprint) {
        refused.push_back({*fingerprint, TimeOf(age_ms, now - kMaxRecordAge)});
      }
    }
  } catch (const nlohmann::json::exception&) {
    // Those before are sound.
  }
  return refused;
}

std::optional<LeaderRecord> DecodeLeader(const nlohmann::json& content) {
  try {
    LeaderRecord record{Epoch(content.at("epoch").get<std::uint64_t>()),
                        DecodeMember(content)};
    if (!content.contains("earlier")) {
      // The version that wrote the record drops the list.
      record.earlier_leaders.emplace_back();
      return record;
    }
    for (const auto& it : content.at("earlier")) {
      record.earlier_leaders.push_back(DecodeMember(it));
    }
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

ElectionOutcome ToElectionOutcome(platform::CallStatus status) {
  switch (status) {
    case platform::CallStatus::kOk:
      return ElectionOutcome::kOk;
    case platform::CallStatus::kAbsent:
      return ElectionOutcome::kAbsent;
    case platform::CallStatus::kConflict:
      return ElectionOutcome::kConflict;
    case platform::CallStatus::kUnknown:
      return ElectionOutcome::kUnknown;
    case platform::CallStatus::kHistoryGone:
    case platform::CallStatus::kUnavailable:
      return ElectionOutcome::kUnavailable;
  }
  return ElectionOutcome::kUnavailable;
}

void SendElectionCall(platform::PlatformClient& platform,
                      const ElectionCall& call,
                      const std::vector<RefusedRequest>& refused,
                      TimePoint now,
                      TimePoint deadline,
                      std::function<void(platform::ObjectReply)> done) {
  const auto kind = platform::ObjectKind::kLeadership;
  switch (call.kind) {
    case ElectionCall::Kind::kRead:
      platform.Read(kind, kLeaderObject, deadline, std::move(done));
      break;
    case ElectionCall::Kind::kCreate:
      platform.Create(kind, kLeaderObject,
                      EncodeLeader(call.record, refused, now), deadline,
                      std::move(done));
      break;
    case ElectionCall::Kind::kReplace:
      platform.Replace(kind, kLeaderObject, call.revision,
                       EncodeLeader(call.record, refused, now), deadline,
                       std::move(done));
      break;
  }
}

}  // namespace gentianreach::entry
