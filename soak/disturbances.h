// Times during which faults affect daemons.
#ifndef SOAK_DISTURBANCES_H_
#define SOAK_DISTURBANCES_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach::soak {

class Disturbances {
 public:
  void Add(std::size_t daemon, TimePoint from, TimePoint to) {
    intervals_[daemon].push_back({from, to});
  }
  // Returns whether a fault affected `daemon` at any time from `from` to `to`.
  [[nodiscard]] bool Overlap(std::size_t daemon,
                             TimePoint from,
                             TimePoint to) const {
    const auto it = intervals_.find(daemon);
    return it != intervals_.end() &&
           std::ranges::any_of(it->second, [&](const Interval& interval) {
             return interval.from <= to && from <= interval.to;
           });
  }

 private:
  struct Interval {
    TimePoint from;
    TimePoint to;
  };

  std::map<std::size_t, std::vector<Interval>> intervals_;
};

}  // namespace gentianreach::soak

#endif  // SOAK_DISTURBANCES_H_
