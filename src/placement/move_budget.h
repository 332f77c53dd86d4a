// Bounds what balancing moves per minute.
#ifndef SRC_PLACEMENT_MOVE_BUDGET_H_
#define SRC_PLACEMENT_MOVE_BUDGET_H_

#include <cstdint>

#include "gentianreach/time.h"

namespace gentianreach::internal {

// A token bucket whose whole state is one deadline: the time at which the
// bucket will be full again. No minute, wherever it begins, sees more than
// `per_minute` units; one part in `burst_divisor` of them may go at once.
class MoveBudget {
 public:
  explicit MoveBudget(std::uint32_t burst_divisor)
      : burst_divisor_(burst_divisor) {}

  // Returns the number of units allowed at `now`.
  [[nodiscard]] std::uint32_t Available(std::uint32_t per_minute,
                                        TimePoint now) const;

  // Spends `count` of the available units.
  void Spend(std::uint32_t per_minute, std::uint32_t count, TimePoint now);

 private:
  [[nodiscard]] std::uint32_t Burst(std::uint32_t per_minute) const;
  [[nodiscard]] Duration Interval(std::uint32_t per_minute) const;

  std::uint32_t burst_divisor_;
  TimePoint full_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_MOVE_BUDGET_H_
