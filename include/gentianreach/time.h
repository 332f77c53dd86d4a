// Points in time and the clock concept.
//
// State machines take the time as an argument and store deadlines, never
// durations. Only the programs read a clock.
#ifndef INCLUDE_GENTIANREACH_TIME_H_
#define INCLUDE_GENTIANREACH_TIME_H_

#include <chrono>
#include <concepts>
#include <cstdint>

namespace gentianreach {

using Duration = std::chrono::nanoseconds;

// A point on the monotonic clock of the process that reads it. Never sent to
// another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A point on a backend server's own monotonic clock, in its milliseconds. Only
// compared with other points of the same server incarnation.
struct ServerClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<ServerClock>;
  static constexpr bool is_steady = true;
};
using ServerTime = ServerClock::time_point;

// A point in UTC, for people and the audit trail only; no decision rests on it.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

// A source of the current time.
template <typename C>
concept Clock = requires(C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

// Reads the machine's monotonic clock. Time during which the VM is suspended
// counts, so that a deadline passes while its holder sleeps.
class MonotonicClock {
 public:
  // Returns the current time.
  [[nodiscard]] TimePoint Now() const;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_TIME_H_
