// Routes requests with the agent of a simulated cell, for benchmarks.
#ifndef BENCH_FLEET_ROUTER_H_
#define BENCH_FLEET_ROUTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cell/testing/fake_world.h"
#include "gentianreach/router.h"

namespace gentianreach::bench {

// A cell that is simulated until it has settled. Its virtual time stops then.
class FleetRouter {
 public:
  // `address` is the address of every server. Runs the cell until it has
  // settled, which takes seconds for a large cell.
  FleetRouter(std::size_t daemons, std::size_t servers, std::string address)
      : cluster_(Options(daemons, servers)), address_(std::move(address)) {
    settled_ = cluster_.RunUntil([&] { return cluster_.Settled(); },
                                 std::chrono::seconds(20));
    const auto record = cluster_.StoredRecord();
    if (record != nullptr && !record->ranges.empty()) {
      service_ = ServiceName(record->ranges.front()->service);
    }
    now_ = cluster_.Local(cluster_.daemons().front());
  }
  FleetRouter(const FleetRouter&) = delete;
  FleetRouter& operator=(const FleetRouter&) = delete;

  [[nodiscard]] bool settled() const { return settled_; }

  // Returns the route of `hash` in the cell's only service; the service
  // argument is ignored.
  [[nodiscard]] KeyRoute Route(const ServiceName& /*service*/,
                               KeyHash hash,
                               TimePoint /*now*/) {
    KeyRoute route =
        cluster_.daemons().front().agent->Route(service_, hash, now_);
    route.address = address_;
    return route;
  }

  // Returns the mean time to route a key, in nanoseconds.
  [[nodiscard]] double RouteNanoseconds() {
    constexpr std::size_t kKeys = 100'000;
    std::mt19937_64 random(1);
    std::vector<KeyHash> keys;
    keys.reserve(kKeys);
    for (std::size_t i = 0; i < kKeys; ++i) {
      keys.emplace_back(random());
    }
    std::size_t served = 0;
    const auto start = std::chrono::steady_clock::now();
    for (const KeyHash it : keys) {
      served += Route(service_, it, now_).state == RouteState::kServe ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> passed =
        std::chrono::steady_clock::now() - start;
    settled_ = settled_ && served == kKeys;
    return passed.count() / kKeys;
  }

 private:
  static testing::FakeClusterOptions Options(std::size_t daemons,
                                             std::size_t servers) {
    constexpr std::uint32_t kRangesPerServer = 8;
    testing::FakeClusterOptions options;
    options.daemons = daemons;
    options.servers = servers;
    options.ranges_per_server = kRangesPerServer;
    return options;
  }

  testing::FakeCluster cluster_;
  std::string address_;
  ServiceName service_;
  TimePoint now_;
  bool settled_ = false;
};

}  // namespace gentianreach::bench

#endif  // BENCH_FLEET_ROUTER_H_
