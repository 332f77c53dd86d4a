// Counters, gauges and latency histograms of an entry daemon.
#ifndef SRC_ENTRY_ENTRY_METRICS_H_
#define SRC_ENTRY_ENTRY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "gentianreach/time.h"

namespace gentianreach::entry {

// Every metric name must have a description in entry_metrics.cc, and is
// exported with the prefix `gentianreach_`. Labels are in the exposition
// format, such as `reason="overload"`.
class EntryMetrics {
 public:
  // Adds to a counter.
  void Count(std::string_view name,
             std::string_view label = {},
             std::uint64_t n = 1);
  // Sets a gauge, or a counter that is maintained elsewhere.
  void Set(std::string_view name, double value, std::string_view label = {});
  // Records the latency of one answered request.
  void RecordLatency(const std::string& route,
                     const std::string& service,
                     Duration latency);
  // Records how old the server entries from `source` were when a request was
  // sent by them.
  void RecordEntriesAge(std::string_view source, Duration age);
  // Records the time from the choice of a server to the first byte sent to it.
  void RecordSendDelay(Duration delay);

  // Returns all metrics in the text exposition format of Prometheus.
  [[nodiscard]] std::string Text() const;

 private:
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
          1,
          1.0,
          2.0)));
  struct Times {
    Histogram histogram;
    double sum_seconds = 0;
  };

  void RecordTime(std::string_view name,
                  const std::string& labels,
                  Duration time);

  // By name, then by label.
  std::map<std::string, std::map<std::string, double>, std::less<>> values_;
  // By name, then by labels.
  std::map<std::string, std::map<std::string, Times>, std::less<>> times_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_METRICS_H_
