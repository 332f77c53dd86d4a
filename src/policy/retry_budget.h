// Limits the extra load that retries put on a service.
#ifndef SRC_POLICY_RETRY_BUDGET_H_
#define SRC_POLICY_RETRY_BUDGET_H_

#include <cstdint>

#include "gentianreach/time.h"

namespace gentianreach {

struct RetryBudgetOptions {
  double share = 0.1;  // Retries earned by one request; settings retry_budget.
  double floor = 3;    // Retries available without any traffic.
  Duration floor_refill = std::chrono::seconds(10);  // Per retry.
  double limit = 20;  // Maximum number of retries accumulated.
};

// The retry budget of one service at one daemon: a token bucket that is filled
// by requests.
//
// Call OnRequest() once for each request of a caller, and TryRetry() before
// each attempt after the first; send the attempt only if it returns true. At
// any time the number of retries is at most
//   share * requests + floor + elapsed / floor_refill,
// and no more than `limit` retries accumulate while none are made.
//
// A share of 0 allows no retries at all, not even the floor.
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, TimePoint now);

  // Replaces `floor` and `limit`. Retries accumulated beyond the new limit are
  // dropped.
  void SetBounds(double floor, double limit);
  // Counts a caller's request.
  void OnRequest(TimePoint now);
  // Returns whether the budget allows a retry, and if so spends it. If not, the
  // request ends with Reason::kRetryBudget.
  [[nodiscard]] bool TryRetry(TimePoint now);

  // Returns the number of retries available at `now`.
  [[nodiscard]] double Left(TimePoint now) {
    Refill(now);
    return balance_;
  }
  // Returns the largest number of retries that accumulate.
  [[nodiscard]] double limit() const { return options_.limit; }

  [[nodiscard]] std::uint64_t requests() const { return requests_; }
  [[nodiscard]] std::uint64_t retries() const { return retries_; }

 private:
  void Refill(TimePoint now);

  RetryBudgetOptions options_;
  double balance_;
  TimePoint refilled_at_;
  std::uint64_t requests_ = 0;
  std::uint64_t retries_ = 0;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_RETRY_BUDGET_H_
