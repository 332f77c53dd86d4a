#include "gentianreach/placement.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "peer_generated.h"
#include "placement/service_planner.h"

namespace gentianreach {
namespace internal {

// The state of a Placement between plans.
class PlacementState {
 public:
  std::map<ServiceName, ServicePlanner> planners;
  ServerHistory history;
};

}  // namespace internal

namespace {

using internal::KeyRate;
using internal::RangeRate;
using internal::ReportedLoad;

// Limits on the window of a report. The rates of a shorter window are too noisy
// to be compared with those of other reports.
constexpr std::uint64_t kMinWindowMs = 100;
constexpr std::uint64_t kMaxWindowMs = 600000;

// Subtracts the rates of hot keys from the ranges that contain them. Both lists
// are sorted. Ranges may overlap if the table changed within the window; the
// rate of a key is then subtracted from the last range that begins at or before
// it, if that range contains it.
void SubtractKeys(ReportedLoad& load) {
  for (KeyRate& key : load.keys) {
    auto it = std::partition_point(
        load.ranges.begin(), load.ranges.end(),
        [&key](const RangeRate& r) { return r.range.first <= key.hash; });
    if (it == load.ranges.begin()) {
      continue;
    }
    --it;
    if (it->range.Contains(key.hash)) {
      it->rate = std::max(0.0, it->rate - key.rate);
    }
  }
}

// Returns the load of a report by service, converted to rates. Omits malformed
// entries.
std::map<ServiceName, ReportedLoad> ToRates(const peer::LoadReportT& report) {
  const double window_s = static_cast<double>(report.window_ms) / 1000;
  std::map<ServiceName, ReportedLoad> services;
  for (const auto& it : report.ranges) {
    if (it && it->first <= it->last) {
      const HashRange range{KeyHash(it->first), KeyHash(it->last)};
      services[ServiceName(it->service)].ranges.push_back(
          {range, static_cast<double>(it->requests) / window_s});
    }
  }
  for (const auto& it : report.hot_keys) {
    if (it) {
      services[ServiceName(it->service)].keys.push_back(
          {KeyHash(it->hash), static_cast<double>(it->requests) / window_s});
    }
  }
  for (auto& [service, load] : services) {
    load.window_s = window_s;
    std::sort(load.ranges.begin(), load.ranges.end(),
              [](const RangeRate& a, const RangeRate& b) {
                return a.range < b.range;
              });
    std::sort(
        load.keys.begin(), load.keys.end(),
        [](const KeyRate& a, const KeyRate& b) { return a.hash < b.hash; });
    const auto duplicates = std::unique(
        load.keys.begin(), load.keys.end(),
        [](const KeyRate& a, const KeyRate& b) { return a.hash == b.hash; });
    load.keys.erase(duplicates, load.keys.end());
    SubtractKeys(load);
  }
  return services;
}

}  // namespace

Placement::Placement() : state_(std::make_unique<internal::PlacementState>()) {}
Placement::~Placement() = default;
Placement::Placement(Placement&&) noexcept = default;
Placement& Placement::operator=(Placement&&) noexcept = default;

void Placement::Observe(const DaemonId& from,
                        const peer::LoadReportT& report,
                        TimePoint now) {
  if (report.window_ms < kMinWindowMs || report.window_ms > kMaxWindowMs) {
    return;
  }
  for (auto& [service, load] : ToRates(report)) {
    state_->planners[service].Observe(from, std::move(load),
                                      now + kReportLifetime);
  }
}

std::vector<PlacementAction> Placement::Plan(const PlacementSnapshot& snapshot,
                                             TimePoint now) {
  state_->history.Update(snapshot.servers, now);
  std::map<ServiceName, internal::ServiceSnapshot> services;
  for (const PlacementServer& it : snapshot.servers) {
    services[it.service].servers.push_back(&it);
  }
  for (const PlacementRange& it : snapshot.ranges) {
    services[it.service].ranges.push_back(&it);
  }
  std::erase_if(state_->planners, [&services, now](const auto& it) {
    return !services.contains(it.first) && it.second.Expired(now);
  });
  std::vector<PlacementAction> actions;
  for (auto& [service, part] : services) {
    const auto settings = snapshot.settings.find(service);
    if (settings != snapshot.settings.end()) {
      part.settings = settings->second;
    }
    auto plan = state_->planners[service].Plan(part, state_->history, now);
    std::move(plan.begin(), plan.end(), std::back_inserter(actions));
  }
  return actions;
}

std::map<ServerId, double> Placement::LoadOf(const ServiceName& service) const {
  const auto it = state_->planners.find(service);
  return it == state_->planners.end() ? std::map<ServerId, double>()
                                      : it->second.load();
}

std::vector<HashRange> InitialRanges(std::size_t count) {
  const std::uint64_t step = UINT64_MAX / std::max<std::size_t>(1, count);
  std::vector<HashRange> ranges;
  for (std::size_t i = 0; i + 1 < count; ++i) {
    ranges.push_back({KeyHash(i * step), KeyHash((i + 1) * step - 1)});
  }
  const std::uint64_t begin = count > 1 ? (count - 1) * step : 0;
  ranges.push_back({KeyHash(begin), KeyHash(UINT64_MAX)});
  return ranges;
}

std::vector<HashRange> PartsOf(const SplitRange& split) {
  std::vector<HashRange> parts;
  const KeyHash at = split.at;
  if (split.range.first < at) {
    parts.push_back({split.range.first, KeyHash(at.value() - 1)});
  }
  if (!split.isolate) {
    parts.push_back({at, split.range.last});
    return parts;
  }
  parts.push_back({at, at});
  if (at < split.range.last) {
    parts.push_back({KeyHash(at.value() + 1), split.range.last});
  }
  return parts;
}

const char* ToString(MoveCause cause) {
  switch (cause) {
    case MoveCause::kNoOwner:
      return "no-owner";
    case MoveCause::kDraining:
      return "draining";
    case MoveCause::kBalance:
      return "balance";
    case MoveCause::kReturn:
      return "return";
  }
  return "unknown";
}

}  // namespace gentianreach
