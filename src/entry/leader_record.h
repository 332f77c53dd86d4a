// The record of who leads, as the store keeps it.
#ifndef SRC_ENTRY_LEADER_RECORD_H_
#define SRC_ENTRY_LEADER_RECORD_H_

#include <optional>

#include <nlohmann/json.hpp>

#include "entry/leader_election.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

[[nodiscard]] nlohmann::json EncodeLeader(const LeaderRecord& record);
// Returns nothing where `content` is no record.
[[nodiscard]] std::optional<LeaderRecord> DecodeLeader(
    const nlohmann::json& content);

// Returns what the end of a store call means for the election.
[[nodiscard]] ElectionOutcome OutcomeOf(platform::CallStatus status);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_LEADER_RECORD_H_
