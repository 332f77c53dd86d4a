#include "gentianreach/cell_agent.h"

#include <doctest/doctest.h>

#include "cell/testing/fake_world.h"

namespace gentianreach {
namespace {

using testing::FakeWorld;
using testing::WorldOptions;
using namespace std::chrono_literals;

TEST_CASE("daemons create the record, join and have every key served") {
  FakeWorld world(WorldOptions{});
  const bool settled = world.RunUntil([&] { return world.Settled(); }, 3s);
  INFO(world.TraceText());
  CHECK(settled);
  CHECK(world.violations == 0);
  CHECK(world.StoredRecord()->members.size() == 3);
}

TEST_CASE("an idle cell writes nothing and renews at its period only") {
  FakeWorld world(WorldOptions{});
  REQUIRE(world.RunUntil([&] { return world.Settled(); }, 3s));
  world.Run(5s);
  const auto writes = world.store_writes;
  const auto orders = world.server_orders;
  world.Run(60s);
  // Three servers, two renewers each, four renewals a second.
  CHECK(world.server_orders - orders <= 60 * 3 * 2 * 4 + 60);
  INFO(world.TraceText());
  CHECK(world.store_writes == writes);
  CHECK(world.AllServed());
}

TEST_CASE("a crashed server's keys are served again within three seconds") {
  FakeWorld world(WorldOptions{});
  REQUIRE(world.RunUntil([&] { return world.Settled(); }, 3s));
  world.Run(5s);
  world.CrashServer(1);
  CHECK_FALSE(world.AllServed());
  const bool served = world.RunUntil([&] { return world.AllServed(); }, 3s);
  INFO(world.TraceText());
  CHECK(served);
  CHECK(world.violations == 0);
}

TEST_CASE("a server whose two renewers are lost keeps its lease, store or no") {
  // Any two of nine daemons: over the seeds they are some server's renewers.
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    WorldOptions options;
    options.seed = seed;
    options.daemons = 9;
    options.servers = 10;
    FakeWorld world(options);
    REQUIRE(world.RunUntil([&] { return world.Settled(); }, 5s));
    world.Run(1s);
    world.store = FakeWorld::StoreState::kDown;
    world.Run(500ms);
    const std::size_t first = world.random()() % 9;
    world.CrashDaemon(first);
    world.CrashDaemon((first + 1 + world.random()() % 8) % 9);
    std::size_t unserved = 0;
    for (int i = 0; i < 150; ++i) {
      world.Run(20ms);
      unserved += world.Unserved();
    }
    CHECK(unserved == 0);
  }
}

TEST_CASE("a planned move holds its range for a few milliseconds") {
  FakeWorld world(WorldOptions{});
  REQUIRE(world.RunUntil([&] { return world.Settled(); }, 3s));
  world.Run(1s);
  const auto record = world.StoredRecord();
  const auto& range = *record->ranges[0];
  const std::size_t n = *world.Assigner();
  world.daemons()[n].agent->ProposeMove(
      {ServiceName(range.service),
       {KeyHash(range.first), KeyHash(range.last)},
       ServerId(range.owner == "s1" ? "s2" : "s1"),
       "test",
       "test"},
      world.Local(world.daemons()[n]));
  world.Flush(n);
  int held = 0;
  for (int i = 0; i < 500; ++i) {
    world.Run(1ms);
    held += world.Served(KeyHash(range.first)) ? 0 : 1;
  }
  CHECK(held > 0);
  CHECK(held <= 15);
  CHECK(world.OwnerOf(KeyHash(range.first)) == (range.owner == "s1" ? 2U : 1U));
}

TEST_CASE("daemons do not keep each other's permits alive past the hold-over") {
  WorldOptions options;
  options.link = 60ms;
  options.timing.hold_over = 12000;
  FakeWorld world(options);
  REQUIRE(world.RunUntil([&] { return world.Settled(); }, 8s));
  world.store = FakeWorld::StoreState::kDown;
  world.Run(1s);
  for (const auto& it : world.daemons()) {
    CHECK(it.agent->Status(world.Local(it)).permit_valid);
  }
  world.Run(11500ms);
  for (const auto& it : world.daemons()) {
    CHECK_FALSE(it.agent->Status(world.Local(it)).permit_valid);
  }
  // The last leases end one lease's length after the last permits.
  world.Run(1500ms);
  CHECK_FALSE(world.AllServed());
  world.store = FakeWorld::StoreState::kUp;
  CHECK(world.RunUntil([&] { return world.AllServed(); }, 8s));
}

TEST_CASE("an assigner that leaves hands over at once and leaves no gap") {
  FakeWorld world(WorldOptions{});
  REQUIRE(world.RunUntil([&] { return world.Settled(); }, 3s));
  world.Run(1s);
  const std::size_t n = *world.Assigner();
  const std::string old = world.daemons()[n].id;
  world.LeaveDaemon(n);
  CHECK(world.RunUntil([&] { return !world.daemons()[n].up; }, 200ms));
  const auto record = world.StoredRecord();
  CHECK(record->assigner != old);
  CHECK(record->members.size() == 2);
  for (int i = 0; i < 100; ++i) {
    world.Run(20ms);
    CHECK(world.AllServed());
  }
}

TEST_CASE("a leaving server is drained within seconds by planned moves") {
  FakeWorld world(WorldOptions{});
  REQUIRE(world.RunUntil([&] { return world.Settled(); }, 3s));
  world.Run(1s);
  world.servers()[1].leaving = true;
  world.PublishServers();
  const auto owns_nothing = [&] {
    for (std::uint64_t i = 0; i < 64; ++i) {
      if (world.OwnerOf(KeyHash(i << 58U)) == 1) {
        return false;
      }
    }
    return true;
  };
  CHECK(world.RunUntil(owns_nothing, 1s));
  CHECK(world.AllServed());
  CHECK(world.violations == 0);
}

TEST_CASE("an assigner that is itself cut off fences nobody") {
  WorldOptions options;
  options.daemons = 4;
  FakeWorld world(options);
  REQUIRE(world.RunUntil([&] { return world.Settled(); }, 3s));
  world.Run(1s);
  bool fenced = false;
  world.on_write = [&](const stored::CellT& record, std::uint64_t) {
    for (const auto& it : record.servers) {
      fenced = fenced || it->state == stored::ServerState::Fenced;
    }
  };
  // Only the store is left to it.
  const std::string assigner = "d" + std::to_string(*world.Assigner());
  for (std::size_t i = 0; i < 4; ++i) {
    world.CutBoth(assigner, "d" + std::to_string(i), true);
    world.CutBoth(assigner, "s" + std::to_string(i), true);
  }
  for (int i = 0; i < 250; ++i) {
    world.Run(20ms);
    CHECK(world.AllServed());
  }
  CHECK_FALSE(fenced);
  CHECK(world.StoredRecord()->members.size() == 3);
}

}  // namespace
}  // namespace gentianreach
