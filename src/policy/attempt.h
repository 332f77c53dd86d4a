// How one attempt at a backend server ended, as the policies see it.
#ifndef SRC_POLICY_ATTEMPT_H_
#define SRC_POLICY_ATTEMPT_H_

#include <cstdint>

namespace gentianreach {

// The end of one attempt. Every attempt that a policy was told of must be
// ended exactly once.
enum class AttemptEnd : std::uint8_t {
  kAnswered,   // The whole answer arrived and the server did not refuse.
  kShed,       // The server refused it unrun for lack of room (503 not-run).
  kFailed,     // Connection refused or lost, silence, truncated answer.
  kCancelled,  // The daemon gave it up: caller gone or deadline passed.
};

}  // namespace gentianreach

#endif  // SRC_POLICY_ATTEMPT_H_
