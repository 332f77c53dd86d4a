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

// Counts requests by range and by hot key. The data path calls Count() for
// each request to a keyed service, in constant time; the daemon calls Take()
// when a load report is due, every kReportInterval. Memory is bounded by the
// ranges in use and the fixed number of counters of each service.
class LoadCounter {
 public:
  // `start` begins the first report's window.
  explicit LoadCounter(TimePoint start) : window_start_(start) {}

  // Counts one request for the key at `hash`, routed by `range`.
  void Count(const ServiceName& service, const HashRange& range, KeyHash hash);

  // Returns the report of the time since the last call and begins anew.
  [[nodiscard]] peer::LoadReportT Take(TimePoint now);

  // Time from one report to the next.
  static constexpr Duration kReportInterval = std::chrono::seconds(5);
  // Counters of each service's tracker.
  static constexpr std::size_t kCounters = 1024;
  // Greatest number of hot keys of a service in one report.
  static constexpr std::size_t kReportedKeys = 128;

 private:
  struct RangeCount {
    std::uint64_t last = 0;
    std::uint64_t requests = 0;
  };
  struct ServiceLoad {
    // By the first position. A range that changed its end within the window
    // is counted as its latest shape.
    boost::unordered_flat_map<std::uint64_t, RangeCount> ranges;
    HotKeyTracker keys{kCounters};
  };

  TimePoint window_start_;
  std::map<ServiceName, ServiceLoad> services_;
};

}  // namespace gentianreach

#endif  // SRC_PLACEMENT_LOAD_COUNTER_H_
