// Conversion of the leader record to and from its form in the store, and the
// store calls that the election requests.
#ifndef SRC_ENTRY_LEADER_RECORD_H_
#define SRC_ENTRY_LEADER_RECORD_H_

#include <functional>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "entry/crash_watch.h"
#include "entry/leader_election.h"
#include "gentianreach/time.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

// Also stores the requests that the writer refuses at `now`, for daemons that
// start while no other one runs.
[[nodiscard]] nlohmann::json EncodeLeader(
    const LeaderRecord& record,
    const std::vector<RefusedRequest>& refused = {},
    TimePoint now = {});
// Returns nullopt if `content` is not a leader record.
[[nodiscard]] std::optional<LeaderRecord> DecodeLeader(
    const nlohmann::json& content);
// Returns the refused requests in a leader record that was read at `now`.
// Leaves out what cannot be decoded.
[[nodiscard]] std::vector<RefusedRequest> DecodeRefused(
    const nlohmann::json& content,
    TimePoint now);

// Returns the election outcome that corresponds to the status of a store call.
[[nodiscard]] ElectionOutcome ToElectionOutcome(platform::CallStatus status);

// Makes `call` and passes its reply to `done`. A write stores `refused`, too.
// The call fails at `deadline`.
void SendElectionCall(platform::PlatformClient& platform,
                      const ElectionCall& call,
                      const std::vector<RefusedRequest>& refused,
                      TimePoint now,
                      TimePoint deadline,
                      std::function<void(platform::ObjectReply)> done);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_LEADER_RECORD_H_
