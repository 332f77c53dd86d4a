#include "placement/load_counter.h"

#include <memory>

namespace gentianreach {

void LoadCounter::Count(const ServiceName& service,
                        const HashRange& range,
                        KeyHash hash) {
  ServiceLoad& load = services_[service];
  RangeCount& count = load.ranges[range.first.value()];
  count.last = range.last.value();
  ++count.requests;
  load.keys.Count(hash);
}

peer::LoadReportT LoadCounter::Take(TimePoint now) {
  using std::chrono::milliseconds;
  peer::LoadReportT report;
  const auto window =
      std::chrono::duration_cast<milliseconds>(now - window_start_);
  report.window_ms = static_cast<std::uint64_t>(window.count());
  window_start_ = now;
  for (auto& [service, load] : services_) {
    for (const auto& [first, count] : load.ranges) {
      peer::RangeLoadT range;
      range.service = service.value();
      range.first = first;
      range.last = count.last;
      range.requests = count.requests;
      report.ranges.push_back(std::make_unique<peer::RangeLoadT>(range));
    }
    for (const HotKeyCount& it : load.keys.Take(kMaxReportedKeys)) {
      peer::HotKeyT key;
      key.service = service.value();
      key.hash = it.hash.value();
      key.requests = it.requests;
      report.hot_keys.push_back(std::make_unique<peer::HotKeyT>(key));
    }
    load.ranges.clear();
  }
  return report;
}

}  // namespace gentianreach
