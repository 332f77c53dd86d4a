// Fixed times of the state machine; the others are settings.
#ifndef SRC_CELL_AGENT_TIMES_H_
#define SRC_CELL_AGENT_TIMES_H_

#include "gentianreach/time.h"

namespace gentianreach::cell {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// The assigner reads its record this often; also proves contact to the store.
inline constexpr Duration kIdleRead = 10s;
// Delays between reads of a daemon that does not hear the assigner.
inline constexpr Duration kOutsiderRead = 500ms;
inline constexpr Duration kMaxOutsiderRead = 20s;
// Delays after failed store calls.
inline constexpr Duration kFirstStoreRetry = 50ms;
inline constexpr Duration kMaxStoreRetry = 1s;
// An absent record is created within this time, at a random moment.
inline constexpr Duration kCreateJitter = 50ms;
// Candidates for the assigner's office try this far apart.
inline constexpr Duration kElectionStagger = 100ms;
inline constexpr Duration kOutsiderElectionJitter = 200ms;
// An election without any server to ask waits this long.
inline constexpr Duration kBlindElectionWait = 5s;
// Where more than half of the servers are silent, they are fenced only then.
inline constexpr Duration kMassSilenceWait = 5s;
// An assigner whose store calls fail for this long hands over.
inline constexpr Duration kStoreFailing = 500ms;
inline constexpr Duration kFirstHandOverWait = 500ms;
inline constexpr Duration kMaxHandOverWait = 30s;
// The longest wait for a leave to be written.
inline constexpr Duration kLeaveLimit = 3s;
// A joiner asks anew within this time, or is forgotten.
inline constexpr Duration kJoinerLifetime = 1s;
// The assigner looks at the record at least this often.
inline constexpr Duration kPlanInterval = 50ms;
// New ranges wait this long for all servers listed to answer.
inline constexpr Duration kFirstRangesWait = 500ms;
// A record is relayed after its grants are in place, but no later than this.
inline constexpr Duration kPushDelay = 20ms;
// A release waits for the members to hold requests, but no longer than this.
inline constexpr Duration kHoldWait = 50ms;
inline constexpr Duration kFirstReleaseRetry = 2ms;
inline constexpr Duration kMaxReleaseRetry = 20ms;
inline constexpr Duration kGrantRetry = 50ms;
inline constexpr Duration kRecordRequestInterval = 20ms;
// Orders without an answer are forgotten after this.
inline constexpr Duration kOrderLifetime = 5s;
// A daemon out of contact for this long routes no more.
inline constexpr Duration kMaxRouteAge = 5s;
inline constexpr std::size_t kMaxGrantsPerOrder = 64;

}  // namespace gentianreach::cell

#endif  // SRC_CELL_AGENT_TIMES_H_
