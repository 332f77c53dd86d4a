// Counters and latency histograms of an entry daemon.
#ifndef SRC_ENTRY_ENTRY_METRICS_H_
#define SRC_ENTRY_ENTRY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "gentianreach/time.h"

namespace gentianreach::entry {

class EntryMetrics {
 public:
  // Adds to the counter `name` with `label` (like `reason="overload"`).
  void Count(std::string_view name,
             std::string_view label = {},
             std::uint64_t n = 1);
  // Sets a gauge.
  void Set(std::string_view name, std::int64_t value);
  // Records the latency of one answered request of a service.
  void RecordLatency(const std::string& service, Duration latency);

  // Returns everything as text, one "name{labels} value" a line.
  [[nodiscard]] std::string Text() const;

 private:
  using Latencies = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
          1,
          1.0,
          2.0)));

  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, std::int64_t, std::less<>> gauges_;
  std::map<std::string, Latencies> latencies_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_METRICS_H_
