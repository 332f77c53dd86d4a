#include "gentianreach/cell_agent.h"

#include <doctest/doctest.h>

#include "cell/testing/fake_world.h"

namespace gentianreach {
namespace {

using testing::FakeWorld;
using testing::WorldOptions;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

TEST_CASE("daemons create the record, join and have every key served") {
  FakeWorld world(WorldOptions{});
  const bool settled = world.RunUntil([&] { return world.Settled(); }, 3s);
  INFO(world.TraceText());
  CHECK(settled);
  CHECK(world.violations == 0);
  CHECK(world.StoredRecord()->members.size() == 3);
}

TEST_CASE("an idle cell writes nothing") {
  FakeWorld world(WorldOptions{});
  REQUIRE(world.RunUntil([&] { return world.Settled(); }, 3s));
  world.Run(5s);
  const auto writes = world.store_writes;
  world.Run(60s);
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

}  // namespace
}  // namespace gentianreach
