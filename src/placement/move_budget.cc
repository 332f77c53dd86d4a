#include "placement/move_budget.h"

#include <algorithm>

#include "gentianreach/check.h"

namespace gentianreach::internal {
namespace {

constexpr Duration kMinute = std::chrono::minutes(1);

}  // namespace

std::uint32_t MoveBudget::Available(std::uint32_t per_minute,
                                    TimePoint now) const {
  if (per_minute == 0) {
    return 0;
  }
  const Duration interval = RefillInterval(per_minute);
  const Duration missing = std::max(Duration::zero(), full_at_ - now);
  const auto spent =
      static_cast<std::uint64_t>((missing + interval - Duration(1)) / interval);
  const std::uint32_t burst = Burst(per_minute);
  return spent >= burst ? 0 : burst - static_cast<std::uint32_t>(spent);
}

void MoveBudget::Spend(std::uint32_t per_minute,
                       std::uint32_t count,
                       TimePoint now) {
  GENTIANREACH_CHECK(Available(per_minute, now) >= count);
  if (count > 0) {
    full_at_ = std::max(full_at_, now) + RefillInterval(per_minute) * count;
  }
}

std::uint32_t MoveBudget::Burst(std::uint32_t per_minute) const {
  return std::max(1U, per_minute / burst_divisor_);
}

// Returns the time in which one unit is refilled. Any minute allows the burst
// plus the units refilled in it, so the rate is chosen such that both together
// do not exceed `per_minute`.
Duration MoveBudget::RefillInterval(std::uint32_t per_minute) const {
  const std::uint32_t refills = per_minute - Burst(per_minute) + 1;
  return (kMinute + Duration(refills - 1)) / refills;
}

}  // namespace gentianreach::internal
