// Estimates the load of ranges and keys from the load reports of daemons.
#ifndef SRC_PLACEMENT_LOAD_MODEL_H_
#define SRC_PLACEMENT_LOAD_MODEL_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"

namespace gentianreach::internal {

// Requests per second of a range, assumed to be uniform over its keys.
struct RangeRate {
  HashRange range;
  double rate = 0;
};

// Requests per second of one key.
struct KeyRate {
  KeyHash hash;
  double rate = 0;    // Smoothed if from LoadModel.
  double recent = 0;  // From the latest reports only.
};

// The load of one service as reported by one daemon. Both lists are sorted by
// hash. The rates of the ranges exclude those of the keys.
struct ReportedLoad {
  std::vector<RangeRate> ranges;
  std::vector<KeyRate> keys;
  double window_s = 1;  // Length of the report's window.

  // Returns the sum of all rates.
  [[nodiscard]] double Total() const;
};

// Estimates the load of one service: the sum of the latest reports of all
// daemons, smoothed over time. Load is stored by key hash, not by table entry,
// so that splits, merges and moves do not change the estimate.
//
// A late or missing report lowers the estimates of all ranges by the same
// factor, so their ratios stay the same. A report with far more requests than
// those of the other daemons is scaled down.
class LoadModel {
 public:
  // Replaces the report of `from`, valid until `expires`.
  void Observe(const DaemonId& from, ReportedLoad load, TimePoint expires);

  // Updates the estimate for `now`. `ranges` are sorted and do not overlap.
  void Update(std::span<const HashRange> ranges, TimePoint now);

  // Returns the smoothed rate of each range passed to the last Update(),
  // including its hot keys.
  [[nodiscard]] const std::vector<double>& rates() const { return rates_; }
  // Returns the rate of each range from the latest reports only.
  [[nodiscard]] const std::vector<double>& recent() const { return recent_; }
  // Returns the rates of known hot keys, sorted by hash.
  [[nodiscard]] const std::vector<KeyRate>& keys() const { return keys_; }
  // Returns whether there are reports and kSettlingTime has passed since the
  // first one.
  [[nodiscard]] bool Ready(TimePoint now) const;
  // Returns the standard deviation of an estimated rate, assuming that requests
  // arrive as a Poisson process observed for the windows of the last reports.
  [[nodiscard]] double Deviation(double rate) const;

  // Time constant of the exponential smoothing.
  static constexpr Duration kSmoothing = std::chrono::seconds(5);
  // Time from the first report until the estimate is used.
  static constexpr Duration kSettlingTime = std::chrono::seconds(3);
  // Maximum total rate of one daemon, as a multiple of the median over daemons.
  static constexpr double kMaxMedianMultiple = 3.0;

 private:
  struct DaemonLoad {
    ReportedLoad load;
    TimePoint expires;
  };

  void DropExpired(TimePoint now);
  [[nodiscard]] double MaxDaemonTotal() const;
  [[nodiscard]] double MeanInverseWindow() const;
  [[nodiscard]] double PreviousWeight(TimePoint now) const;
  void AddKeysToRates();

  std::map<DaemonId, DaemonLoad> daemons_;
  std::vector<RangeRate> non_hot_rates_;  // Excludes the rates of hot keys.
  std::vector<KeyRate> keys_;
  std::vector<double> rates_;
  std::vector<double> recent_;
  double mean_inverse_window_ = 0;  // Per second.
  TimePoint updated_at_ = TimePoint::min();
  TimePoint ready_at_ = TimePoint::max();
};

// Returns the rate of each of `ranges`, given the rates `from` of other ranges.
// Each rate is assumed to be uniform over its range. Both lists are sorted.
[[nodiscard]] std::vector<double> ProjectRates(
    std::span<const RangeRate> from,
    std::span<const HashRange> ranges);

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_LOAD_MODEL_H_
