#include "policy/retry_budget.h"

#include <algorithm>

namespace gentianreach {

RetryBudget::RetryBudget(RetryBudgetOptions options, TimePoint now)
    : options_(options), balance_(options.floor), refilled_at_(now) {}

void RetryBudget::SetBounds(double floor, double limit) {
  options_.floor = floor;
  options_.limit = limit;
  balance_ = std::min(balance_, limit);
}

void RetryBudget::OnRequest(TimePoint now) {
  Refill(now);
  ++requests_;
  balance_ = std::min(balance_ + options_.share, options_.limit);
}

bool RetryBudget::TryRetry(TimePoint now) {
  Refill(now);
  if (options_.share <= 0 || balance_ < 1)
    return false;
  balance_ -= 1;
  ++retries_;
  return true;
}

// Elapsed time fills the bucket only up to the floor, so that an idle service
// does not accumulate a burst of retries.
void RetryBudget::Refill(TimePoint now) {
  if (now <= refilled_at_)
    return;
  const double earned = std::chrono::duration<double>(now - refilled_at_) /
                        std::chrono::duration<double>(options_.floor_refill);
  refilled_at_ = now;
  if (balance_ >= options_.floor)
    return;
  balance_ = std::min(balance_ + earned, options_.floor);
}

}  // namespace gentianreach
