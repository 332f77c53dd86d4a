#include "entry/entry_metrics.h"

#include <chrono>
#include <sstream>

namespace gentianreach::entry {
namespace {

namespace bh = boost::histogram;

// Latency bins: 24 of equal width on a logarithmic scale.
constexpr unsigned kBins = 24;
constexpr double kLeastMs = 1;
constexpr double kMostMs = 10'000;

}  // namespace

void EntryMetrics::Count(std::string_view name,
                         std::string_view label,
                         std::uint64_t n) {
  std::string key = "gentianreach_";
  key += name;
  if (!label.empty()) {
    key += "{";
    key += label;
    key += "}";
  }
  counters_[key] += n;
}

void EntryMetrics::Set(std::string_view name, std::int64_t value) {
  gauges_["gentianreach_" + std::string(name)] = value;
}

void EntryMetrics::RecordLatency(const std::string& service, Duration latency) {
  auto it = latencies_.find(service);
  if (it == latencies_.end()) {
    it = latencies_
             .emplace(service,
                      bh::make_histogram(
                          bh::axis::regular<double, bh::axis::transform::log>(
                              kBins, kLeastMs, kMostMs)))
             .first;
  }
  it->second(std::chrono::duration<double, std::milli>(latency).count());
}

std::string EntryMetrics::Text() const {
  std::ostringstream out;
  for (const auto& [name, value] : counters_) {
    out << name << " " << value << "\n";
  }
  for (const auto& [name, value] : gauges_) {
    out << name << " " << value << "\n";
  }
  for (const auto& [service, histogram] : latencies_) {
    double sum = 0;
    for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
      sum += *bin;
      out << "gentianreach_request_ms_bucket{service=\"" << service
          << "\",le=\"" << bin.bin().upper() << "\"} "
          << static_cast<std::uint64_t>(sum) << "\n";
    }
    out << "gentianreach_request_ms_count{service=\"" << service << "\"} "
        << static_cast<std::uint64_t>(sum) << "\n";
  }
  return out.str();
}

}  // namespace gentianreach::entry
