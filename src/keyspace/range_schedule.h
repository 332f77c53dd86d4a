// Keeps when each range of an ownership table has to be looked at again.
#ifndef SRC_KEYSPACE_RANGE_SCHEDULE_H_
#define SRC_KEYSPACE_RANGE_SCHEDULE_H_

#include <cstddef>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach::keyspace {

// Ranges by index, each with at most one deadline. A call costs a time that
// grows with the logarithm of the number of ranges.
class RangeSchedule {
 public:
  // Starts anew for `count` ranges without a deadline.
  void Reset(std::size_t count) {
    deadlines_.assign(count, TimePoint::max());
    queue_.clear();
  }
  // Sets the deadline of `range` to `at`, unless it has an earlier one.
  void Add(std::size_t range, TimePoint at);
  // The same for all ranges.
  void AddAll(TimePoint at);
  // Removes the deadline of `range`, if it has one.
  void Remove(std::size_t range);
  // Removes the ranges whose deadline is `now` or earlier, at most `max` of
  // them, and returns them. Those with the earliest deadlines come first.
  [[nodiscard]] std::vector<std::size_t> TakeDue(
      TimePoint now,
      std::size_t max = std::numeric_limits<std::size_t>::max());
  // Returns the earliest deadline, or TimePoint::max() if there is none.
  [[nodiscard]] TimePoint next_at() const {
    return queue_.empty() ? TimePoint::max() : queue_.begin()->first;
  }

 private:
  // By range; TimePoint::max() if it has none.
  std::vector<TimePoint> deadlines_;
  std::set<std::pair<TimePoint, std::size_t>> queue_;
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_RANGE_SCHEDULE_H_
