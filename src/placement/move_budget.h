// Limits how much balancing moves per minute.
#ifndef SRC_PLACEMENT_MOVE_BUDGET_H_
#define SRC_PLACEMENT_MOVE_BUDGET_H_

#include <cstdint>

#include "gentianreach/time.h"

namespace gentianreach::internal {

// A token bucket whose only state is the time at which it is full again. At
// most `per_minute` units are spent in any period of one minute, and at most
// `per_minute / burst_divisor` of them (at least one) at once.
class MoveBudget {
 public:
  explicit MoveBudget(std::uint32_t burst_divisor)
      : burst_divisor_(burst_divisor) {}

  // Returns the number of units that may be spent at `now`.
  [[nodiscard]] std::uint32_t Available(std::uint32_t per_minute,
                                        TimePoint now) const;

  // Spends `count` units, which must be available.
  void Spend(std::uint32_t per_minute, std::uint32_t count, TimePoint now);

 private:
  [[nodiscard]] std::uint32_t Burst(std::uint32_t per_minute) const;
  [[nodiscard]] Duration RefillInterval(std::uint32_t per_minute) const;

  std::uint32_t burst_divisor_;
  TimePoint full_at_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_MOVE_BUDGET_H_
