// Timing constants of `CellAgent` that are not settings.
#ifndef SRC_CELL_AGENT_TIMES_H_
#define SRC_CELL_AGENT_TIMES_H_

#include "gentianreach/time.h"

namespace gentianreach::cell {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// Interval at which the assigner reads the record. The reads also confirm that
// it reaches the store.
inline constexpr Duration kAssignerReadInterval = 10s;
// First and longest delay between reads of a daemon that is not a member or is
// not in contact with the assigner.
inline constexpr Duration kNonMemberReadDelay = 500ms;
inline constexpr Duration kMaxNonMemberReadDelay = 20s;
// First and longest delay after a failed store call.
inline constexpr Duration kFirstStoreRetry = 50ms;
inline constexpr Duration kMaxStoreRetry = 1s;
// An absent record is created after a random delay of up to this time, so that
// daemons that start together rarely conflict.
inline constexpr Duration kCreateJitter = 50ms;
// Delay between the election attempts of two members adjacent in rank.
inline constexpr Duration kElectionStagger = 100ms;
inline constexpr Duration kNonMemberElectionJitter = 200ms;
// Wait before an election if no server responds, so that their leases cannot
// be checked.
inline constexpr Duration kNoServerElectionWait = 5s;
// Additional wait before silent servers are fenced while more than half of all
// servers are silent.
inline constexpr Duration kMostServersSilentWait = 5s;
// An assigner whose store calls have failed for longer than this hands over.
inline constexpr Duration kMaxStoreFailureTime = 500ms;
inline constexpr Duration kFirstHandOverWait = 500ms;
inline constexpr Duration kMaxHandOverWait = 30s;
// Longest wait for the record that removes a leaving daemon.
inline constexpr Duration kLeaveTimeout = 3s;
// A join request expires after this time unless it is repeated.
inline constexpr Duration kJoinerLifetime = 1s;
// Longest time between two planning passes of the assigner.
inline constexpr Duration kPlanInterval = 50ms;
// Longest wait for all servers in the record to respond before the first ranges
// of a service are assigned.
inline constexpr Duration kFirstRangesWait = 500ms;
// A new record is sent to the members once its grants are acknowledged, but
// after this time at the latest.
inline constexpr Duration kMaxPushDelay = 20ms;
// A release is sent once all members hold the requests of the range, but after
// this time at the latest.
inline constexpr Duration kMaxHoldWait = 50ms;
inline constexpr Duration kFirstReleaseRetry = 2ms;
inline constexpr Duration kMaxReleaseRetry = 20ms;
inline constexpr Duration kGrantRetry = 50ms;
inline constexpr Duration kRecordRequestInterval = 20ms;
// Orders without a response are dropped after this time.
inline constexpr Duration kOrderLifetime = 5s;
// A daemon without a permit stops routing when no message from another daemon
// has arrived for longer than this.
inline constexpr Duration kMaxRouteAge = 5s;
inline constexpr std::size_t kMaxGrantsPerOrder = 64;

}  // namespace gentianreach::cell

#endif  // SRC_CELL_AGENT_TIMES_H_
