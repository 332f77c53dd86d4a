// Spreads the renewals of many leases over time.
#ifndef SRC_KEYSPACE_RENEWAL_PACER_H_
#define SRC_KEYSPACE_RENEWAL_PACER_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach::keyspace {

// A lease whose renewal is due since `due_at`.
struct DueRenewal {
  TimePoint due_at;
  std::size_t range = 0;  // Index in the ownership table.
};

// Limits the rate of renewals. A leader that sends the renewals of all ranges
// at once reads the first replies only after it has sent the last renewal, and
// with many ranges the renewals time out before that.
class RenewalPacer {
 public:
  // `spread` is the time over which the renewals of all ranges are spread. It
  // must be shorter than the renewal period.
  explicit RenewalPacer(std::chrono::milliseconds spread) : spread_(spread) {}

  // Returns the ranges to renew at `now`: of those in `due`, the ones that have
  // been due for longest. `range_count` is the number of all ranges.
  [[nodiscard]] std::vector<std::size_t> Take(std::vector<DueRenewal> due,
                                              std::size_t range_count,
                                              TimePoint now);
  // Returns when Take() may return further ranges.
  [[nodiscard]] TimePoint next_at() const { return next_at_; }

 private:
  const std::chrono::milliseconds spread_;
  TimePoint next_at_{};
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_RENEWAL_PACER_H_
