#include "gentianreach/placement.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <set>

#include "peer_generated.h"
#include "placement/fake_cell.h"
#include "placement/move_budget.h"
#include "placement/server_history.h"

namespace gentianreach {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const ServiceName kService("boats");
constexpr TimePoint kStart{std::chrono::hours(1)};

FakeCell MakeCell(std::size_t servers, std::size_t ranges, bool owned) {
  FakeCell cell(kService);
  for (std::size_t i = 0; i < servers; ++i) {
    cell.AddServer("server-" + std::to_string(i),
                   "zone-" + std::to_string(i % 3), 3, TimePoint{});
  }
  cell.AddRanges(ranges, owned);
  return cell;
}

// Returns a report for ten seconds with `requests` for each range owned by
// `hot` and `even` requests for each other range.
peer::LoadReportT Report(const FakeCell& cell,
                         std::uint64_t even,
                         const ServerId& hot,
                         std::uint64_t requests) {
  peer::LoadReportT report;
  report.window_ms = 10000;
  for (const PlacementRange& it : cell.snapshot.ranges) {
    peer::RangeLoadT load;
    load.service = kService.value();
    load.first = it.range.first.value();
    load.last = it.range.last.value();
    load.requests = it.owner == hot ? requests : even;
    report.ranges.push_back(std::make_unique<peer::RangeLoadT>(load));
  }
  return report;
}

std::vector<MoveRange> Moves(const std::vector<PlacementAction>& actions) {
  std::vector<MoveRange> moves;
  for (const PlacementAction& it : actions) {
    if (const auto* move = std::get_if<MoveRange>(&it)) {
      moves.push_back(*move);
    }
  }
  return moves;
}

TEST_CASE("The parts of a split cover the range") {
  const HashRange range{KeyHash(10), KeyHash(20)};
  CHECK(PartsOf({kService, range, KeyHash(15), false}) ==
        std::vector<HashRange>{{KeyHash(10), KeyHash(14)},
                               {KeyHash(15), KeyHash(20)}});
  CHECK(PartsOf({kService, range, KeyHash(15), true}).size() == 3);
  CHECK(PartsOf({kService, range, KeyHash(10), true}).size() == 2);
  CHECK(PartsOf({kService, range, KeyHash(20), true}).size() == 2);
}

TEST_CASE("Initial ranges cover the key space for any count") {
  for (const std::size_t count : {1, 2, 3, 80}) {
    FakeCell cell(kService);
    cell.AddRanges(count, false);
    CHECK(cell.snapshot.ranges.size() == count);
    CHECK(cell.CoversSpaceOnce());
  }
}

TEST_CASE("The first plan distributes the ranges of a new service evenly") {
  FakeCell cell = MakeCell(10, 80, false);
  Placement placement;
  const auto moves = Moves(placement.Plan(cell.snapshot, kStart));
  REQUIRE(moves.size() == 80);
  std::map<ServerId, int> shares;
  for (const MoveRange& it : moves) {
    CHECK(it.cause == MoveCause::kNoOwner);
    ++shares[it.to];
  }
  for (const auto& [id, count] : shares) {
    CHECK(count == 8);
  }
}

TEST_CASE("All ranges of a fenced server move even without a move budget") {
  FakeCell cell = MakeCell(5, 40, true);
  cell.snapshot.settings[kService].moves_per_minute = 0;
  cell.snapshot.servers[2].state = PlacementServerState::kFenced;
  Placement placement;
  const auto moves = Moves(placement.Plan(cell.snapshot, kStart));
  CHECK(moves.size() == 8);
  for (const MoveRange& it : moves) {
    CHECK(it.from == cell.snapshot.servers[2].id);
    CHECK(it.to != it.from);
  }
  // A move that is planned again keeps its destination.
  CHECK(Moves(placement.Plan(cell.snapshot, kStart + seconds(1))) == moves);
}

TEST_CASE("At most a third of the servers are drained at a time") {
  FakeCell cell = MakeCell(9, 72, true);
  for (std::size_t i = 0; i < 8; ++i) {
    cell.snapshot.servers[i].state = PlacementServerState::kDraining;
  }
  Placement placement;
  std::set<ServerId> left;
  for (const MoveRange& it : Moves(placement.Plan(cell.snapshot, kStart))) {
    CHECK(it.cause == MoveCause::kDraining);
    CHECK(it.to == cell.snapshot.servers[8].id);
    left.insert(it.from);
  }
  CHECK(left.size() == 3);
}

TEST_CASE("Ranges keep their owners if no server can receive them") {
  FakeCell cell = MakeCell(3, 24, true);
  for (PlacementServer& it : cell.snapshot.servers) {
    it.state = PlacementServerState::kDraining;
  }
  CHECK(Placement().Plan(cell.snapshot, kStart).empty());
}

TEST_CASE("No action is planned for a range that is moving") {
  FakeCell cell = MakeCell(4, 32, true);
  cell.snapshot.servers[0].state = PlacementServerState::kFenced;
  for (PlacementRange& it : cell.snapshot.ranges) {
    it.moving = true;
  }
  CHECK(Placement().Plan(cell.snapshot, kStart).empty());
}

TEST_CASE("Ranges move off an overloaded server within the move budget") {
  FakeCell cell = MakeCell(4, 32, true);
  cell.snapshot.settings[kService].moves_per_minute = 2;
  const ServerId hot("server-1");
  Placement placement;
  placement.Observe(DaemonId("entry-1"), Report(cell, 1000, hot, 9000), kStart);
  CHECK(Moves(placement.Plan(cell.snapshot, kStart)).empty());
  std::size_t moves = 0;
  for (int i = 4; i < 34; ++i) {
    const TimePoint now = kStart + seconds(i);
    placement.Observe(DaemonId("entry-1"), Report(cell, 1000, hot, 9000), now);
    for (const PlacementAction& it : placement.Plan(cell.snapshot, now)) {
      if (const auto* move = std::get_if<MoveRange>(&it)) {
        CHECK(move->from == hot);
        ++moves;
      }
      CHECK(cell.Apply(it, now));
    }
    cell.Advance(now + FakeCell::kMoveTime);
  }
  CHECK(moves >= 1);
  CHECK(moves <= 2);
}

TEST_CASE("A duplicate report counts once") {
  FakeCell cell = MakeCell(3, 24, true);
  const auto report = Report(cell, 1000, ServerId("server-1"), 1000);
  Placement placement;
  placement.Observe(DaemonId("entry-1"), report, kStart);
  placement.Observe(DaemonId("entry-1"), report, kStart);
  static_cast<void>(placement.Plan(cell.snapshot, kStart));
  double total = 0;
  for (const auto& [id, load] : placement.LoadOf(kService)) {
    total += load;
  }
  CHECK(total == doctest::Approx(24 * 100));
}

TEST_CASE("A budget is not exceeded in any period of one minute") {
  internal::MoveBudget budget(4);
  std::vector<TimePoint> spent;
  for (int i = 0; i < 600; ++i) {
    const TimePoint now = kStart + seconds(i);
    while (i % 90 > 30 && budget.Available(10, now) > 0) {
      budget.Spend(10, 1, now);
      spent.push_back(now);
    }
  }
  for (const TimePoint begin : spent) {
    CHECK(std::count_if(spent.begin(), spent.end(), [begin](TimePoint it) {
            return begin <= it && it < begin + minutes(1);
          }) <= 10);
  }
  CHECK(budget.Available(0, kStart) == 0);
}

TEST_CASE("A server that returns repeatedly waits longer each time") {
  internal::ServerHistory history;
  FakeCell cell = MakeCell(1, 1, true);
  const ServerId id = cell.snapshot.servers[0].id;
  TimePoint now = kStart;
  const auto go_and_return = [&] {
    cell.snapshot.servers[0].state = PlacementServerState::kFenced;
    history.Update(cell.snapshot.servers, now);
    now += seconds(1);
    cell.snapshot.servers[0].state = PlacementServerState::kLive;
    history.Update(cell.snapshot.servers, now);
  };
  history.Update(cell.snapshot.servers, now);
  go_and_return();
  CHECK(history.IsStable(id, now));
  go_and_return();
  CHECK_FALSE(history.IsStable(id, now + seconds(29)));
  CHECK(history.IsStable(id, now + seconds(30)));
  go_and_return();
  CHECK_FALSE(history.IsStable(id, now + seconds(59)));
}

TEST_CASE("The share of a cold server grows to 1 during its warm-up") {
  PlacementServer server;
  server.first_seen = kStart;
  const auto share = [&server](int passed) {
    return internal::ServerHistory::WarmUpShare(server, seconds(10),
                                                kStart + seconds(passed));
  };
  CHECK(share(0) == doctest::Approx(0.1));
  CHECK(share(5) == doctest::Approx(0.5));
  CHECK(share(10) == 1.0);
}

}  // namespace
}  // namespace gentianreach
