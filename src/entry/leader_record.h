// Conversion of the leader record to and from its form in the store, and the
// store calls that the election requests.
#ifndef SRC_ENTRY_LEADER_RECORD_H_
#define SRC_ENTRY_LEADER_RECORD_H_

#include <functional>
#include <optional>

#include <nlohmann/json.hpp>

#include "entry/leader_election.h"
#include "gentianreach/time.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

[[nodiscard]] nlohmann::json EncodeLeader(const LeaderRecord& record);
// Returns nullopt if `content` is not a leader record.
[[nodiscard]] std::optional<LeaderRecord> DecodeLeader(
    const nlohmann::json& content);

// Returns the election outcome that corresponds to the status of a store call.
[[nodiscard]] ElectionOutcome ToElectionOutcome(platform::CallStatus status);

// Makes `call` and passes its reply to `done`. The call fails at `deadline`.
void SendElectionCall(platform::PlatformClient& platform,
                      const ElectionCall& call,
                      TimePoint deadline,
                      std::function<void(platform::ObjectReply)> done);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_LEADER_RECORD_H_
