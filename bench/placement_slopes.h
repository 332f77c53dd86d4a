// Measures the cost of planning and counting as a function of their input
// sizes.
#ifndef BENCH_PLACEMENT_SLOPES_H_
#define BENCH_PLACEMENT_SLOPES_H_

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gentianreach/placement.h"
#include "peer_generated.h"
#include "placement/fake_cell.h"
#include "placement/hot_keys.h"
#include "placement/load_counter.h"

namespace gentianreach {

// CPU time and heap usage for one input size.
struct PlanCost {
  double observe_us = 0;  // Per report, median.
  double plan_us = 0;     // Per plan, median.
  double plan_worst_us = 0;
  double kilobytes = 0;  // Heap retained by the planner.
};

inline double MicrosecondsSince(std::chrono::steady_clock::time_point start) {
  const auto passed = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::micro>(passed).count();
}

// Returns a report with load for every range and `hot_keys` hot keys.
inline peer::LoadReportT FullReport(const FakeCell& cell,
                                    std::size_t hot_keys,
                                    std::uint64_t seed) {
  std::mt19937_64 random(seed);
  peer::LoadReportT report;
  report.window_ms = 2000;
  for (const PlacementRange& it : cell.snapshot.ranges) {
    peer::RangeLoadT range;
    range.service = it.service.value();
    range.first = it.range.first.value();
    range.last = it.range.last.value();
    range.requests = 1000 + random() % 100;
    report.ranges.push_back(std::make_unique<peer::RangeLoadT>(range));
  }
  for (std::size_t i = 0; i < hot_keys; ++i) {
    peer::HotKeyT key;
    key.service = cell.snapshot.ranges.front().service.value();
    key.hash = i * (UINT64_MAX / std::max<std::size_t>(1, hot_keys));
    key.requests = 100 + random() % 100;
    report.hot_keys.push_back(std::make_unique<peer::HotKeyT>(key));
  }
  return report;
}

inline PlanCost MeasurePlan(std::size_t ranges, std::size_t hot_keys) {
  constexpr std::size_t kServers = 15;
  constexpr std::size_t kDaemons = 12;
  constexpr int kPlans = 15;
  FakeCell cell(ServiceName("service"));
  for (std::size_t i = 0; i < kServers; ++i) {
    cell.AddServer("server-" + std::to_string(100 + i),
                   "zone-" + std::to_string(i % 3), 6,
                   TimePoint{} - std::chrono::hours(1));
  }
  cell.AddRanges(ranges, true);
  std::vector<peer::LoadReportT> reports;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    reports.push_back(FullReport(cell, hot_keys, i));
  }
  PlanCost cost;
  const std::size_t heap = mallinfo2().uordblks;
  Placement placement;
  std::vector<double> plans;
  std::vector<double> reported;
  for (int second = 0; second < kPlans; ++second) {
    const TimePoint now{std::chrono::seconds(second)};
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const auto start = std::chrono::steady_clock::now();
      placement.Observe(DaemonId("entry-" + std::to_string(i)), reports[i],
                        now);
      reported.push_back(MicrosecondsSince(start));
    }
    const auto start = std::chrono::steady_clock::now();
    const auto actions = placement.Plan(cell.snapshot, now);
    plans.push_back(MicrosecondsSince(start));
    if (actions.size() > ranges) {
      std::cerr << "more actions than ranges\n";
    }
  }
  cost.kilobytes = static_cast<double>(mallinfo2().uordblks - heap) / 1024.0;
  std::sort(plans.begin(), plans.end());
  std::sort(reported.begin(), reported.end());
  cost.observe_us = reported[reported.size() / 2];
  cost.plan_us = plans[plans.size() / 2];
  cost.plan_worst_us = plans.back();
  return cost;
}

// Returns the cost of the load counters per request, in nanoseconds.
inline double MeasureCounting(std::size_t keys, double exponent) {
  constexpr std::size_t kRequests = 2000000;
  FakePopularity popularity(keys, exponent, 1);
  std::vector<KeyHash> drawn;
  drawn.reserve(kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    drawn.push_back(popularity.Draw());
  }
  const ServiceName service("service");
  const std::vector<HashRange> ranges = InitialRanges(128);
  LoadCounter counter(TimePoint{});
  const auto start = std::chrono::steady_clock::now();
  for (const KeyHash it : drawn) {
    counter.Count(service, ranges[it.value() >> 57], it);
  }
  return MicrosecondsSince(start) * 1000 / kRequests;
}

inline void PrintSlopes(bool csv) {
  const char* gap = csv ? "," : "  ";
  std::cout << std::fixed << std::setprecision(1);
  std::cout << "ranges" << gap << "hot_keys" << gap << "observe_us" << gap
            << "plan_us" << gap << "plan_worst_us" << gap << "kilobytes\n";
  const auto print = [gap](std::size_t ranges, std::size_t hot_keys) {
    const PlanCost cost = MeasurePlan(ranges, hot_keys);
    std::cout << ranges << gap << hot_keys << gap << cost.observe_us << gap
              << cost.plan_us << gap << cost.plan_worst_us << gap
              << cost.kilobytes << '\n';
  };
  for (const std::size_t it : {100, 300, 1000, 3000, 10000, 30000, 100000}) {
    print(it, 100);
  }
  for (const std::size_t it : {0, 50, 100, 190, 380, 760, 1520}) {
    print(1000, it);
  }
  std::cout << "keys" << gap << "zipf" << gap << "count_ns\n";
  for (const std::size_t keys : {1000, 10000, 100000, 1000000}) {
    for (const double exponent : {0.8, 1.2}) {
      std::cout << keys << gap << exponent << gap
                << MeasureCounting(keys, exponent) << '\n';
    }
  }
  std::cout << "tracker_counters" << gap << "kilobytes\n";
  for (const std::size_t counters : {256, 512, 1024, 2048, 4096}) {
    const std::size_t heap = mallinfo2().uordblks;
    HotKeyTracker tracker(counters);
    for (std::uint64_t i = 0; i < 10 * counters; ++i) {
      tracker.Count(KeyHash(i));
    }
    std::cout << counters << gap
              << static_cast<double>(mallinfo2().uordblks - heap) / 1024.0
              << '\n';
  }
}

}  // namespace gentianreach

#endif  // BENCH_PLACEMENT_SLOPES_H_
