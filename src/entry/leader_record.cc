#include "entry/leader_record.h"

namespace gentianreach::entry {

nlohmann::json EncodeLeader(const LeaderRecord& record) {
  return {{"epoch", record.epoch.value()},
          {"name", record.leader.name},
          {"life", record.leader.incarnation.value()},
          {"address", record.leader.address}};
}

std::optional<LeaderRecord> DecodeLeader(const nlohmann::json& content) {
  try {
    return LeaderRecord{Epoch(content.at("epoch").get<std::uint64_t>()),
                        {content.at("name").get<std::string>(),
                         Incarnation(content.at("life").get<std::uint64_t>()),
                         content.at("address").get<std::string>()}};
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

}  // namespace gentianreach::entry
