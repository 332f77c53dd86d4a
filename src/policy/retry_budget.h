// Bounds the extra load that retries put on a service.
#ifndef SRC_POLICY_RETRY_BUDGET_H_
#define SRC_POLICY_RETRY_BUDGET_H_

#include <cstdint>

#include "gentianreach/time.h"

namespace gentianreach {

struct RetryBudgetOptions {
  double share = 0.1;  // Retries earned by one request; settings retry_budget.
  double floor = 3;    // Retries available to a service with little traffic.
  Duration floor_refill = std::chrono::seconds(10);  // Time to earn one.
  double limit = 20;  // Greatest number of retries saved up.
};

// The retry budget of one service at one daemon: a token bucket filled by
// requests.
//
// Call OnRequest() once for each request of a caller, and TryRetry() before
// each further attempt; send the attempt only where it returns true. At any
// time the number of retries is at most
//   share * requests + floor + elapsed / floor_refill,
// and a pause in retries never saves up more than `limit` of them.
//
// A share of 0 allows no retries at all, the floor included.
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, TimePoint now);

  // Replaces `floor` and `limit`; what was saved up beyond the new limit is
  // lost.
  void SetBounds(double floor, double limit);
  // Counts a caller's request.
  void OnRequest(TimePoint now);
  // Spends one retry. Returns false, and spends nothing, where the budget does
  // not allow one; the request then ends with Reason::kRetryBudget.
  [[nodiscard]] bool TryRetry(TimePoint now);

  // Returns how many retries it allows now.
  [[nodiscard]] double Left(TimePoint now) {
    Refill(now);
    return balance_;
  }

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
