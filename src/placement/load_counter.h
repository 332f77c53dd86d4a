// Counts a daemon's requests for its load reports.
#ifndef SRC_PLACEMENT_LOAD_COUNTER_H_
#define SRC_PLACEMENT_LOAD_COUNTER_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include <boost/unordered/unordered_flat_map.hpp>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"
#include "peer_generated.h"
#include "placement/hot_keys.h"

namespace gentianreach {

// Counts requests by range and by hot key. The data path calls Count(), which
// takes constant time, for each request to a keyed service. The daemon calls
// Take() every kReportInterval, when a load report is due. Memory use is
// bounded by the ranges in use and the fixed number of counters per service.
class LoadCounter {
 public:
  // `start` is the beginning of the first report's window.
  explicit LoadCounter(TimePoint start) : window_start_(start) {}

  // Counts one request for the key with `hash`, which `range` contains.
  void Count(const ServiceName& service, const HashRange& range, KeyHash hash);

  // Returns the report for the time since the last call and resets the counts.
  [[nodiscard]] peer::LoadReportT Take(TimePoint now);

  static constexpr Duration kReportInterval = std::chrono::seconds(5);
  // Capacity of the hot key tracker of each service.
  static constexpr std::size_t kTrackerCapacity = 1024;
  // Maximum number of hot keys per service in one report.
  static constexpr std::size_t kMaxReportedKeys = 128;

 private:
  struct RangeCount {
    std::uint64_t last = 0;
    std::uint64_t requests = 0;
  };
  struct ServiceLoad {
    // By first hash. If the end of a range changed within the window, all its
    // requests count for the latest range.
    boost::unordered_flat_map<std::uint64_t, RangeCount> ranges;
    HotKeyTracker keys{kTrackerCapacity};
  };

  TimePoint window_start_;
  std::map<ServiceName, ServiceLoad> services_;
};

}  // namespace gentianreach

#endif  // SRC_PLACEMENT_LOAD_COUNTER_H_
