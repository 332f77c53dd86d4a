// Estimates the load of ranges and keys from the daemons' reports.
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

// Requests per second of a range, spread evenly over it.
struct RangeRate {
  HashRange range;
  double rate = 0;
};

// Requests per second of one key.
struct KeyRate {
  KeyHash hash;
  double rate = 0;    // Smoothed, where it comes from the model.
  double recent = 0;  // By the last reports alone.
};

// What one daemon said of one service. Both lists are in order of position;
// the rates of ranges leave out those of the keys.
struct ReportedLoad {
  std::vector<RangeRate> ranges;
  std::vector<KeyRate> keys;
  double seconds = 1;  // That the report covers.

  // Returns the sum of all rates.
  [[nodiscard]] double Total() const;
};

// The load of one service: the sum of the daemons' last reports, smoothed over
// time. Load belongs to positions, not to ranges, so that splits, merges and
// moves leave the estimate as it is.
//
// A late or missing report lowers every range's estimate alike, which does not
// change their relation; a report that claims far more requests than those of
// the other daemons is scaled down.
class LoadModel {
 public:
  // Replaces the report of `from`, valid until `expires`.
  void Observe(const DaemonId& from, ReportedLoad load, TimePoint expires);

  // Brings the estimate up to `now`. `ranges` are in order and do not overlap.
  void Update(std::span<const HashRange> ranges, TimePoint now);

  // Returns the smoothed rate of each range of the last Update(), keys
  // included.
  [[nodiscard]] const std::vector<double>& rates() const { return rates_; }
  // Returns the rate of each range by the last reports alone.
  [[nodiscard]] const std::vector<double>& recent() const { return recent_; }
  // Returns the rates of known hot keys, in order of position.
  [[nodiscard]] const std::vector<KeyRate>& keys() const { return keys_; }
  // Returns whether the estimate covers enough time to act upon.
  [[nodiscard]] bool Ready(TimePoint now) const;
  // Returns the standard deviation of an estimated rate, taking arrivals as a
  // Poisson process that was observed for the windows of the last reports.
  [[nodiscard]] double Deviation(double rate) const;

  // Time constant of the smoothing.
  static constexpr Duration kSmoothing = std::chrono::seconds(5);
  // Time from the first report to the first decision.
  static constexpr Duration kSettling = std::chrono::seconds(3);
  // Greatest total of one daemon, as a multiple of the median daemon's.
  static constexpr double kGreatestMultiple = 3.0;

 private:
  struct DaemonLoad {
    ReportedLoad load;
    TimePoint expires;
  };

  void DropExpired(TimePoint now);
  [[nodiscard]] double GreatestTotal() const;
  [[nodiscard]] double MeanInverseWindow() const;
  [[nodiscard]] double ShareKept(TimePoint now) const;
  void AddKeysToRates();

  std::map<DaemonId, DaemonLoad> daemons_;
  std::vector<RangeRate> spread_;  // Rates without those of the keys.
  std::vector<KeyRate> keys_;
  std::vector<double> rates_;
  std::vector<double> recent_;
  double inverse_window_ = 0;  // Per second.
  TimePoint updated_ = TimePoint::min();
  TimePoint ready_ = TimePoint::max();
};

// Returns the rate that `from`, in order and evenly spread, puts into each of
// `ranges`, which are in order too.
[[nodiscard]] std::vector<double> Project(std::span<const RangeRate> from,
                                          std::span<const HashRange> ranges);

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_LOAD_MODEL_H_
