// Spreads the renewals of many leases over time.
#ifndef SRC_KEYSPACE_RENEWAL_PACER_H_
#define SRC_KEYSPACE_RENEWAL_PACER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "gentianreach/time.h"
#include "keyspace/range_schedule.h"

namespace gentianreach::keyspace {

// Limits the rate of renewals. A leader that sends the renewals of all ranges
// at once reads the first replies only after it has sent the last renewal, and
// with many ranges the renewals time out before that.
class RenewalPacer {
 public:
  // `spread` is the time over which the renewals of all ranges are spread. It
  // must be shorter than the renewal period.
  explicit RenewalPacer(std::chrono::milliseconds spread) : spread_(spread) {}

  // Starts anew for the ranges of a table, of which none waits.
  void Reset(std::size_t range_count);
  // The renewal of `range`, an index of the table, is due since `due_at` and
  // waits until Take() returns it.
  void Add(std::size_t range, TimePoint due_at) { waiting_.Add(range, due_at); }
  // The renewal of `range` no longer waits.
  void Remove(std::size_t range) { waiting_.Remove(range); }
  // Returns the ranges to renew at `now`: of those that wait, the ones that
  // have been due for longest.
  [[nodiscard]] std::vector<std::size_t> Take(TimePoint now);
  // Returns when Take() may return ranges; TimePoint::max() if none wait.
  [[nodiscard]] TimePoint next_at() const {
    const TimePoint due_at = waiting_.next_at();
    return due_at == TimePoint::max() ? due_at : std::max(due_at, next_at_);
  }

 private:
  const std::chrono::milliseconds spread_;
  std::size_t range_count_ = 0;
  RangeSchedule waiting_;
  TimePoint next_at_{};
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_RENEWAL_PACER_H_
