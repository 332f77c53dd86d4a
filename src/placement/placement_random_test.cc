// Randomised tests of the planner on a small fake cell, with fixed seeds:
// servers drain, are fenced and return, hot keys change, and load reports are
// false, late or duplicated.
#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "gentianreach/placement.h"
#include "placement/fake_cell.h"
#include "placement/load_counter.h"

namespace gentianreach {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t kMovesPerMinute = 20;
constexpr std::size_t kServers = 9;
constexpr std::size_t kDaemons = 5;
constexpr std::size_t kKeys = 3000;

bool Budgeted(const MoveRange& move) {
  return move.cause == MoveCause::kBalance || move.cause == MoveCause::kReturn;
}

// The number of ranges and the share of the key space that balancing moved in
// the last minute.
class LastMinuteMoves {
 public:
  void Add(TimePoint now, double keys) { moves_.push_back({now, keys}); }
  void Expire(TimePoint now) {
    while (!moves_.empty() && moves_.front().first + seconds(60) <= now) {
      moves_.pop_front();
    }
  }
  [[nodiscard]] std::size_t Count() const { return moves_.size(); }
  [[nodiscard]] double Keys() const {
    double sum = 0;
    for (const auto& [time, keys] : moves_) {
      sum += keys;
    }
    return sum;
  }

 private:
  std::deque<std::pair<TimePoint, double>> moves_;
};

// One simulation run. Each second injects faults, generates requests, delivers
// load reports, performs a plan and checks the invariants.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed)
      : random_(seed), popularity_(kKeys, 1.0, seed) {
    for (std::size_t i = 0; i < kServers; ++i) {
      cell_.AddServer("server-" + std::to_string(i),
                      "zone-" + std::to_string(i % 3), 3, TimePoint{});
    }
    cell_.AddRanges(kServers * kRangesPerServer, false);
    cell_.snapshot.settings[service_].moves_per_minute = kMovesPerMinute;
  }

  void RunSecond(int second, bool faults, bool false_reports) {
    const TimePoint now{seconds(second)};
    cell_.Advance(now);
    if (faults) {
      ChangeServers(now);
    }
    Serve();
    Report(now, false_reports);
    last_minute_.Expire(now);
    std::set<HashRange> touched;
    for (const PlacementAction& it : placement_.Plan(cell_.snapshot, now)) {
      CheckAction(it, touched, now);
    }
    REQUIRE(cell_.CoversSpaceOnce());
    REQUIRE(last_minute_.Count() <= kMovesPerMinute);
    REQUIRE(last_minute_.Keys() < 0.03);
  }

  void Shift() { popularity_.Shift(100); }
  [[nodiscard]] std::size_t balance_moves() const { return balance_moves_; }
  [[nodiscard]] std::size_t ranges() const {
    return cell_.snapshot.ranges.size();
  }
  [[nodiscard]] std::size_t ServersWithRanges() const {
    std::set<ServerId> owners;
    for (const PlacementRange& it : cell_.snapshot.ranges) {
      owners.insert(it.owner);
    }
    return owners.size();
  }
  [[nodiscard]] std::size_t unowned() const {
    return static_cast<std::size_t>(std::count_if(
        cell_.snapshot.ranges.begin(), cell_.snapshot.ranges.end(),
        [](const PlacementRange& it) { return it.owner.empty(); }));
  }

 private:
  void CheckAction(const PlacementAction& action,
                   std::set<HashRange>& touched,
                   TimePoint now) {
    std::map<ServerId, std::size_t> held;
    for (const PlacementRange& it : cell_.snapshot.ranges) {
      held[it.owner] += it.moving ? 0 : 1;
    }
    if (const auto* move = std::get_if<MoveRange>(&action)) {
      REQUIRE(touched.insert(move->range).second);
      if (Budgeted(*move)) {
        last_minute_.Add(now, move->range.Share());
        ++balance_moves_;
        // Balancing never takes the last range of a server.
        REQUIRE(held[move->from] >= 2);
      }
    }
    REQUIRE(cell_.Apply(action, now));
  }

  void ChangeServers(TimePoint now) {
    if (random_() % 20 != 0) {
      return;
    }
    auto& servers = cell_.snapshot.servers;
    PlacementServer& it = servers[random_() % servers.size()];
    switch (random_() % 4) {
      case 0:
        it.state = PlacementServerState::kDraining;
        break;
      case 1:
        it.state = PlacementServerState::kFenced;
        break;
      default:
        it.first_seen =
            it.state == PlacementServerState::kFenced ? now : it.first_seen;
        it.state = PlacementServerState::kLive;
        break;
    }
  }

  void Serve() {
    for (int i = 0; i < 300; ++i) {
      const KeyHash hash = popularity_.Draw();
      counters_[random_() % kDaemons].Count(service_, cell_.At(hash).range,
                                            hash);
    }
  }

  void Report(TimePoint now, bool false_reports) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (random_() % 5 != 0) {
        continue;
      }
      auto report = counters_[i].Take(now);
      if (false_reports && i == 0) {
        FalsifyReport(report);
      }
      const DaemonId id("entry-" + std::to_string(i));
      placement_.Observe(id, report, now);
      if (random_() % 4 == 0) {
        placement_.Observe(id, report, now);
      }
    }
  }

  // Multiplies the requests of one server's ranges by a million, and adds a
  // malformed range and an absurd hot key.
  void FalsifyReport(peer::LoadReportT& report) {
    const ServerId victim("server-" + std::to_string(random_() % kServers));
    for (auto& it : report.ranges) {
      const bool owned = cell_.At(KeyHash(it->first)).owner == victim;
      it->requests *= owned ? 1000000 : 1;
    }
    peer::RangeLoadT odd;
    odd.service = service_.value();
    odd.first = 7;
    odd.last = 3;
    odd.requests = UINT64_MAX;
    report.ranges.push_back(std::make_unique<peer::RangeLoadT>(odd));
    peer::HotKeyT key;
    key.service = service_.value();
    key.hash = random_();
    key.requests = UINT64_MAX;
    report.hot_keys.push_back(std::make_unique<peer::HotKeyT>(key));
  }

  const ServiceName service_{"service"};
  std::mt19937_64 random_;
  FakeCell cell_{service_};
  FakePopularity popularity_;
  std::vector<LoadCounter> counters_{kDaemons, LoadCounter(TimePoint{})};
  Placement placement_;
  LastMinuteMoves last_minute_;
  std::size_t balance_moves_ = 0;
};

TEST_CASE("Plans stay applicable and within the move budget under all faults") {
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed);
    for (int i = 0; i < 900; ++i) {
      CAPTURE(i);
      if (i % 150 == 100) {
        simulation.Shift();
      }
      simulation.RunSecond(i, true, i > 450);
    }
  }
}

TEST_CASE("Balancing moves stop under constant load") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed);
    for (int i = 0; i < 400; ++i) {
      simulation.RunSecond(i, false, false);
    }
    const std::size_t settled = simulation.balance_moves();
    for (int i = 400; i < 1000; ++i) {
      simulation.RunSecond(i, false, false);
    }
    // Sampling noise may cause a few of the 200 moves that ten minutes allow.
    CHECK(simulation.balance_moves() - settled <= 10);
  }
}

TEST_CASE("False reports of one daemon leave every server with ranges") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed);
    for (int i = 0; i < 600; ++i) {
      simulation.RunSecond(i, false, true);
    }
    CHECK(simulation.ServersWithRanges() == kServers);
    CHECK(simulation.unowned() == 0);
  }
}

TEST_CASE("The table size stays bounded while hot keys keep changing") {
  Simulation simulation(3);
  for (int i = 0; i < 3600; ++i) {
    if (i % 120 == 0) {
      simulation.Shift();
    }
    simulation.RunSecond(i, false, false);
  }
  CHECK(simulation.ranges() < 64 * kServers);
}

}  // namespace
}  // namespace gentianreach
