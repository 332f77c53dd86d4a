// The outcome of one attempt at a backend server, as used by the policies.
#ifndef SRC_POLICY_ATTEMPT_H_
#define SRC_POLICY_ATTEMPT_H_

#include <cstdint>

namespace gentianreach {

// How one attempt ended. The end of every attempt that was reported to a policy
// must be reported exactly once.
enum class AttemptEnd : std::uint8_t {
  kAnswered,   // The whole response arrived and the server did not refuse.
  kShed,       // The server refused it for overload (503 not-run).
  kFailed,     // Connection refused or lost, silence, truncated response.
  kCancelled,  // By the daemon: caller disconnected or deadline passed.
};

}  // namespace gentianreach

#endif  // SRC_POLICY_ATTEMPT_H_
