// Bounds the number of log lines under load.
#ifndef SRC_ENTRY_LOG_BUDGET_H_
#define SRC_ENTRY_LOG_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "gentianreach/time.h"

namespace gentianreach::entry {

// A token bucket for lines about single requests. Lines about the daemon's own
// state are few and are not counted.
class LogBudget {
 public:
  // Returns whether one more line may be written.
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
  // Returns the number of lines left out since the last call.
  [[nodiscard]] std::uint64_t TakeSuppressed() {
    return std::exchange(suppressed_, 0);
  }

 private:
  // Lines a second: about twice the requests of a busy entry VM.
  static constexpr double kLinesPerSecond = 200;
  static constexpr double kBurst = 400;

  double balance_ = kBurst;
  TimePoint refilled_at_{};
  std::uint64_t suppressed_ = 0;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_LOG_BUDGET_H_
