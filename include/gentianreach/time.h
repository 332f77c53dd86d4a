// Points in time and the clock concept.
//
// State machines take the current time as an argument and store deadlines, not
// durations. Only the programs read a clock.
#ifndef INCLUDE_GENTIANREACH_TIME_H_
#define INCLUDE_GENTIANREACH_TIME_H_

#include <chrono>
#include <concepts>
#include <cstdint>

namespace gentianreach {

using Duration = std::chrono::nanoseconds;

// A point in time on the monotonic clock of this process. Never sent to another
// process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// The monotonic clock of a backend server, in milliseconds. Its values are only
// comparable within the same incarnation of the server.
struct ServerClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<ServerClock>;
  static constexpr bool is_steady = true;
};
using ServerTime = ServerClock::time_point;

// A point in UTC. Only for display and the audit trail, not for decisions.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

// A source of the current time.
template <typename C>
concept Clock = requires(C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

// Reads the machine's monotonic clock. It includes the time during which the VM
// is suspended, so that deadlines pass during a suspension.
class MonotonicClock {
 public:
  [[nodiscard]] TimePoint Now() const;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_TIME_H_
