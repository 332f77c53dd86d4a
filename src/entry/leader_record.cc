#include "entry/leader_record.h"

#include <utility>

namespace gentianreach::entry {

namespace {

// Name of the leader record in the store.
constexpr const char* kLeaderObject = "entry";

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

}  // namespace

nlohmann::json EncodeLeader(const LeaderRecord& record) {
  nlohmann::json content = EncodeMember(record.leader);
  content["epoch"] = record.epoch.value();
  content["earlier"] = nlohmann::json::array();
  for (const Member& it : record.earlier_leaders) {
    content["earlier"].push_back(EncodeMember(it));
  }
  return content;
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
                      TimePoint deadline,
                      std::function<void(platform::ObjectReply)> done) {
  const auto kind = platform::ObjectKind::kLeadership;
  switch (call.kind) {
    case ElectionCall::Kind::kRead:
      platform.Read(kind, kLeaderObject, deadline, std::move(done));
      break;
    case ElectionCall::Kind::kCreate:
      platform.Create(kind, kLeaderObject, EncodeLeader(call.record), deadline,
                      std::move(done));
      break;
    case ElectionCall::Kind::kReplace:
      platform.Replace(kind, kLeaderObject, call.revision,
                       EncodeLeader(call.record), deadline, std::move(done));
      break;
  }
}

}  // namespace gentianreach::entry
