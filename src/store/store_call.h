// Calls to the platform's store as values, for state machines that make them.
//
// A state machine returns a Call and is later given the Reply. Whoever drives
// it makes the call and keeps the time; one call at a time per state machine.
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
  kWrite,  // Where the object has version `expected`, or is absent.
  kList,   // Names that begin with `name`.
  kWatch,  // Waits for a change of objects that begin with `name`.
};

struct Call {
  CallKind kind = CallKind::kRead;
  std::string name;
  std::optional<ObjectVersion> expected;
  std::string bytes;
  // The call is given up at this point.
  TimePoint deadline;
  // Watches: where the last one ended.
  std::uint64_t revision = 0;
};

enum class Status : std::uint8_t {
  kOk,
  kAbsent,       // Reads: no such object.
  kConflict,     // Writes: another version is there. An earlier sending of the
                 // same write may still have taken effect.
  kUnavailable,  // Proven: no effect.
  kUnknown,      // Writes: the answer was lost.
};

struct Reply {
  Status status = Status::kUnavailable;
  ObjectVersion version;
  std::string bytes;
  std::vector<std::string> names;  // Lists and watches, in order.
  std::uint64_t revision = 0;      // Watches.
  std::string error;
};

// When to try a failed call again: twice as late each time, up to a bound.
class Backoff {
 public:
  // Records a failure at `now`.
  void Fail(TimePoint now) {
    until_ = now + wait_;
    wait_ = std::min<Duration>(wait_ * 2, kLongest);
  }
  // Forgets all failures.
  void Reset() { *this = Backoff(); }
  [[nodiscard]] TimePoint until() const { return until_; }

 private:
  static constexpr Duration kFirst = std::chrono::milliseconds(100);
  static constexpr Duration kLongest = std::chrono::seconds(2);

  Duration wait_ = kFirst;
  TimePoint until_;
};

}  // namespace gentianreach::store

#endif  // SRC_STORE_STORE_CALL_H_
