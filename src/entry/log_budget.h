// Limits the rate of log lines under load.
#ifndef SRC_ENTRY_LOG_BUDGET_H_
#define SRC_ENTRY_LOG_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "gentianreach/time.h"

namespace gentianreach::entry {

// Token bucket for log lines about individual requests. Lines about the
// daemon's own state are rare and not limited.
class LogBudget {
 public:
  // Returns whether another line may be written, and takes a token for it.
  [[nodiscard]] bool Take(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    refilled_at_ = now;
    balance_ = std::min(kBurst, balance_ + elapsed.count() * kLinesPerSecond);
    if (balance_ < 1) {
      ++suppressed_;
      return false;
    }
    balance_ -= 1;
    return true;
  }
  // Returns the number of lines suppressed since the last call.
  [[nodiscard]] std::uint64_t TakeSuppressed() {
    return std::exchange(suppressed_, 0);
  }

 private:
  // About twice the request rate of a busy entry VM.
  static constexpr double kLinesPerSecond = 200;
  static constexpr double kBurst = 400;

  double balance_ = kBurst;
  TimePoint refilled_at_{};
  std::uint64_t suppressed_ = 0;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_LOG_BUDGET_H_
