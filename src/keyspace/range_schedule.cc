#include "keyspace/range_schedule.h"

namespace gentianreach::keyspace {

void RangeSchedule::Add(std::size_t range, TimePoint at) {
  if (at >= deadlines_[range]) {
    return;
  }
  Remove(range);
  deadlines_[range] = at;
  queue_.emplace(at, range);
}

void RangeSchedule::AddAll(TimePoint at) {
  for (std::size_t i = 0; i < deadlines_.size(); ++i) {
    Add(i, at);
  }
}

void RangeSchedule::Remove(std::size_t range) {
  const TimePoint at = std::exchange(deadlines_[range], TimePoint::max());
  if (at != TimePoint::max()) {
    queue_.erase({at, range});
  }
}

std::vector<std::size_t> RangeSchedule::TakeDue(TimePoint now,
                                                std::size_t max) {
  std::vector<std::size_t> due;
  while (due.size() < max && next_at() <= now) {
    const std::size_t range = queue_.begin()->second;
    Remove(range);
    due.push_back(range);
  }
  return due;
}

}  // namespace gentianreach::keyspace
