// Calls to the platform's store and their replies as values, for deterministic
// state machines.
//
// A state machine returns a Call and is later given the Reply. Its driver makes
// the call and supplies the time. A state machine has at most one call in
// progress.
#ifndef SRC_STORE_STORE_CALL_H_
#define SRC_STORE_STORE_CALL_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::store {

enum class CallKind : std::uint8_t {
  kRead,
  kWrite,  // If the object has version `expected`; without one, if it is
           // absent.
  kList,   // Lists the objects whose names begin with `name`.
  kWatch,  // Waits for a change to objects whose names begin with `name`.
};

struct Call {
  CallKind kind = CallKind::kRead;
  std::string name;
  std::optional<ObjectVersion> expected;
  std::string bytes;
  // Time at which the call is abandoned.
  TimePoint deadline;
  // Watches only: the revision at which the last watch ended.
  std::uint64_t revision = 0;
};

enum class Status : std::uint8_t {
  kOk,
  kAbsent,       // Reads only: no such object.
  kConflict,     // Writes only: the object has another version. An earlier
                 // attempt of the same write may still have taken effect.
  kUnavailable,  // Failed, and certain to have had no effect.
  kUnknown,      // Writes only: no reply; the write may have taken effect.
};

struct Reply {
  Status status = Status::kUnavailable;
  ObjectVersion version;
  std::string bytes;
  std::vector<std::string> names;  // Lists and watches only, sorted.
  std::uint64_t revision = 0;      // Watches only.
  std::string error;
};

// Exponential backoff for failed calls, with an upper bound.
class Backoff {
 public:
  // Schedules the next retry after a failure at `now`.
  void Fail(TimePoint now) {
    until_ = now + delay_;
    delay_ = std::min<Duration>(delay_ * 2, kMaxDelay);
  }
  // Returns to the initial delay after a success.
  void Reset() { *this = Backoff(); }
  [[nodiscard]] TimePoint until() const { return until_; }

 private:
  static constexpr Duration kInitialDelay = std::chrono::milliseconds(100);
  static constexpr Duration kMaxDelay = std::chrono::seconds(2);

  Duration delay_ = kInitialDelay;
  TimePoint until_;
};

}  // namespace gentianreach::store

#endif  // SRC_STORE_STORE_CALL_H_
