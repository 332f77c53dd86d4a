// Detectors of an increase in a mean, for comparison. The product uses none of
// them: a plain average performs equally well (docs/design/placement.md).
#ifndef BENCH_CHANGE_DETECTORS_H_
#define BENCH_CHANGE_DETECTORS_H_

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <vector>

namespace gentianreach {

// A detector that takes one observation at a time and returns the test
// statistic, which the caller compares with a threshold.
template <typename D>
concept ChangeDetector = requires(D detector, double value) {
  { detector.Add(value) } -> std::same_as<double>;
};

// Cumulative sum (CUSUM) with an offset, for a change of unknown size. The
// offset lies between the means before and after the change, so that the sum
// returns to zero before the change and grows after it.
class OffsetCusum {
 public:
  explicit OffsetCusum(double offset) : offset_(offset) {}

  // Adds an observation and returns the sum.
  double Add(double value) {
    sum_ = std::max(0.0, sum_ + value - offset_);
    return sum_;
  }

 private:
  double offset_;
  double sum_ = 0;
};

// Exponentially weighted moving average.
class MovingAverage {
 public:
  // `share` is the weight of the newest observation, `start` the initial
  // average.
  MovingAverage(double share, double start) : share_(share), average_(start) {}

  // Adds an observation and returns the average.
  double Add(double value) {
    average_ += share_ * (value - average_);
    return average_;
  }

 private:
  double share_;
  double average_;
};

// Mean of the last observations, over a sliding window.
class WindowAverage {
 public:
  // `size` is the number of observations, all initialized to `start`.
  WindowAverage(std::size_t size, double start)
      : values_(size, start), sum_(start * static_cast<double>(size)) {}

  // Adds an observation and returns the mean.
  double Add(double value) {
    sum_ += value - values_[next_];
    values_[next_] = value;
    next_ = (next_ + 1) % values_.size();
    return sum_ / static_cast<double>(values_.size());
  }

 private:
  std::vector<double> values_;
  std::size_t next_ = 0;
  double sum_;
};

}  // namespace gentianreach

#endif  // BENCH_CHANGE_DETECTORS_H_
