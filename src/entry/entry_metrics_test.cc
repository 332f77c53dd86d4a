#include "entry/entry_metrics.h"

#include <chrono>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

TEST_CASE("counters and gauges have one description and a line per label") {
  EntryMetrics metrics;
  metrics.Count("requests_total", "outcome=\"answered\"");
  metrics.Count("requests_total", "outcome=\"answered\"", 2);
  metrics.Count("requests_total", "outcome=\"overload\"");
  metrics.Count("requests_to_draining_total");
  metrics.Count("sends_without_drain_bound_total");
  metrics.Set("deferred_removals", 2);
  metrics.Set("members", 63);
  metrics.Set("leader_silence_seconds", 0.25);
  const std::string text = metrics.Text();
  CHECK(HasLine(text, "# TYPE gentianreach_requests_total counter"));
  CHECK(HasLine(text, "gentianreach_requests_total{outcome=\"answered\"} 3"));
  CHECK(HasLine(text, "gentianreach_requests_total{outcome=\"overload\"} 1"));
  CHECK(
      HasLine(text, "# TYPE gentianreach_requests_to_draining_total counter"));
  CHECK(HasLine(text, "gentianreach_requests_to_draining_total 1"));
  CHECK(HasLine(text, "gentianreach_sends_without_drain_bound_total 1"));
  CHECK(HasLine(text, "# TYPE gentianreach_deferred_removals gauge"));
  CHECK(HasLine(text, "gentianreach_deferred_removals 2"));
  CHECK(HasLine(text, "gentianreach_members 63"));
  CHECK(HasLine(text, "gentianreach_leader_silence_seconds 0.250"));
  CHECK(text.find("# TYPE gentianreach_requests_total") ==
        text.rfind("# TYPE gentianreach_requests_total"));
}

TEST_CASE(
    "latencies are exported in seconds with cumulative buckets up to "
    "infinity") {
  EntryMetrics metrics;
  metrics.RecordLatency("read", "boats", milliseconds(50));
  metrics.RecordLatency("read", "boats", milliseconds(150));
  // Beyond the last bin.
  metrics.RecordLatency("read", "boats", std::chrono::seconds(100));
  const std::string text = metrics.Text();
  const std::string name = "gentianreach_request_duration_seconds";
  const std::string labels = "route=\"read\",service=\"boats\"";
  CHECK(HasLine(text, "# TYPE " + name + " histogram"));
  CHECK(HasLine(text, name + "_bucket{" + labels + ",le=\"+Inf\"} 3"));
  CHECK(HasLine(text, name + "_count{" + labels + "} 3"));
  CHECK(HasLine(text, name + "_sum{" + labels + "} 100.2"));
  std::istringstream lines(text);
  int last = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.find("_bucket") == std::string::npos) {
      continue;
    }
    const int count = std::stoi(line.substr(line.rfind(' ')));
    CHECK(count >= last);
    last = count;
  }
}

}  // namespace
}  // namespace gentianreach::entry
