#include "entry/balancing/shared_loads.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "entry/balancing/server_loads.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint(std::chrono::seconds(100));

std::uint64_t HashOf(const std::string& id) {
  return LoadHash(ServerId(id));
}

wire::ServerLoad Load(const std::string& id,
                      std::uint16_t requests,
                      std::uint16_t slots = 4,
                      std::uint16_t age_ms = 0,
                      std::uint16_t slowdown = 0) {
  return {HashOf(id), requests, slots, age_ms, slowdown};
}

// Guards against daemons of different builds that name servers differently.
TEST_CASE("hashes of servers are those of FNV-1a") {
  CHECK(LoadHash(ServerId("")) == 14695981039346656037U);
  CHECK(LoadHash(ServerId("a")) == 12638187200555641996U);
}

TEST_CASE("a Hello has the latest report of each server, 32 at most") {
  SharedLoads loads;
  loads.OnOwnReport(ServerId("old"), {4, 0, 4}, kNow);
  const TimePoint later = kNow + milliseconds(900);
  for (int i = 0; i < 40; ++i) {
    loads.OnOwnReport(ServerId("s" + std::to_string(i)), {9, 9, 4}, kNow);
    loads.OnOwnReport(ServerId("s" + std::to_string(i)), {1, 2, 4, 1.25},
                      later + milliseconds(i));
  }
  loads.OnOwnReport(ServerId("no-slots"), {1, 2, 0}, later);
  const auto taken = loads.TakeReports(kNow + milliseconds(1100));
  REQUIRE(taken.size() == SharedLoads::kMaxReports);
  for (const auto& it : taken) {
    CHECK(it.requests() == 3);
    CHECK(it.slots() == 4);
    CHECK(it.slowdown() == 125);
    CHECK(it.age_ms() <= 200 - 8);
    CHECK(it.server() != HashOf("s7"));
  }
  CHECK(loads.TakeReports(later).empty());
}

TEST_CASE(
    "the leader names busy and slow servers, the busiest per slot first") {
  SharedLoads loads;
  CHECK(loads.OnReports(
            {Load("full", 4), Load("idle", 3), Load("slow", 1, 4, 0, 150),
             Load("small", 4, 2), Load("long", 40, 8, 100, 480)},
            kNow) == 0);
  loads.OnOwnReport(ServerId("own"), {4, 2, 4}, kNow);
  const auto busy = loads.BusyServers(kNow + milliseconds(50));
  std::vector<std::uint32_t> names;
  names.reserve(busy.size());
  for (const auto& it : busy) {
    names.push_back(it.server());
  }
  std::vector<std::uint32_t> expected;
  for (const char* it : {"long", "small", "own", "full", "slow"}) {
    expected.push_back(ShortLoadHash(HashOf(it)));
  }
  CHECK(names == expected);
  const auto report = SharedLoads::Read(busy[0], kNow);
  REQUIRE(report);
  CHECK(report->requests == 40);
  CHECK(report->slowdown == 4.8);
  CHECK(report->at == kNow - milliseconds(152));
  // A later report of a server that is idle again takes it off the list.
  CHECK(loads.OnReports({Load("long", 1, 8)}, kNow + milliseconds(99)) == 0);
  CHECK(loads.OnReports({Load("long", 40, 8, 500)}, kNow + milliseconds(99)) ==
        0);
  CHECK(loads.BusyServers(kNow + milliseconds(99)).size() == 5);
  CHECK(loads.BusyServers(kNow + milliseconds(100)).size() == 4);
  CHECK(loads.BusyServers(kNow + milliseconds(1051)).empty());
}

// Guards against reports and figures that no server can have sent.
TEST_CASE("old, useless and huge reports") {
  constexpr std::uint16_t kMax = std::numeric_limits<std::uint16_t>::max();
  SharedLoads loads;
  CHECK(loads.OnReports(
            {Load("a", 9, 4, 1001), Load("b", 9, 0), Load("c", 9, 4, kMax)},
            kNow) == 3);
  CHECK(loads.BusyServers(kNow).empty());
  CHECK(loads.OnReports(std::vector(100, Load("d", 4)), kNow) == 68);
  constexpr std::uint32_t kHuge = std::numeric_limits<std::uint32_t>::max();
  loads.OnOwnReport(ServerId("e"), {kHuge, kHuge, 1, 1e300}, kNow);
  const auto busy = loads.BusyServers(kNow + milliseconds(50));
  REQUIRE(busy.size() == 2);
  CHECK(busy[0].requests() == kMax);
  CHECK(busy[0].slowdown() == 255);
  CHECK_FALSE(SharedLoads::Read({1, 4, 0, 251}, kNow));
  CHECK(SharedLoads::Read({1, 4, 0, 250}, kNow)->slowdown == std::nullopt);
  // Many servers that do not exist.
  for (int i = 0; i < 6000; ++i) {
    loads.OnReports({Load("x" + std::to_string(i), 9)}, kNow);
  }
  CHECK(loads.BusyServers(kNow + milliseconds(100)).size() ==
        SharedLoads::kMaxBusy);
}

TEST_CASE("of two servers with the same short hash the busier one counts") {
  const std::string one = "s38675";
  const std::string other = "s61566";
  const std::uint32_t hash = ShortLoadHash(HashOf(one));
  REQUIRE(hash == ShortLoadHash(HashOf(other)));
  for (const bool first : {true, false}) {
    SharedLoads loads;
    loads.OnReports({Load(one, first ? 9 : 5), Load(other, first ? 5 : 9)},
                    kNow);
    const auto busy = loads.BusyServers(kNow);
    REQUIRE(busy.size() == 1);
    CHECK(busy[0].server() == hash);
    CHECK(busy[0].requests() == 9);
  }
  SharedLoads loads;
  ServerDirectory directory;
  CHECK(loads.ServersOf(hash, directory).empty());
  for (const std::string& it : {one, other}) {
    routing::BackendServer server;
    server.id = ServerId(it);
    server.incarnation = Incarnation(1);
    directory.Put(server, kNow);
  }
  CHECK(loads.ServersOf(hash, directory) ==
        std::vector{ServerId(one), ServerId(other)});
  CHECK(loads.ServersOf(hash + 1, directory).empty());
}

TEST_CASE("a shared report counts if no later one is known, and decays") {
  ServerLoads loads;
  routing::BackendServer server;
  server.id = ServerId("a");
  server.slots = 4;
  // Slowdowns are compared with the average of the server's own reports.
  for (int i = 0; i < 20; ++i) {
    loads.OnSent(server.id);
    loads.OnEnd(server.id, AttemptResult::kAnswered, milliseconds(100),
                LoadReport{2, 0, 4, 1.0}, kNow);
  }
  const double own = loads.Utilization(server, kNow);
  CHECK_FALSE(loads.OnSharedReport(server, 8, 3.0, kNow));
  CHECK(loads.Utilization(server, kNow) == own);
  const TimePoint at = kNow + milliseconds(100);
  loads.OnSent(server.id);
  CHECK(loads.OnSharedReport(server, 8, 3.0, at));
  CHECK(loads.Utilization(server, at) == 2);
  CHECK(loads.ProcessingTime(server, at) == milliseconds(300));
  // Daemons come back soon after all of them have avoided the server.
  const TimePoint soon = at + milliseconds(300);
  CHECK(loads.Utilization(server, soon) < 0.5);
  const TimePoint later = at + milliseconds(1500);
  CHECK(loads.ProcessingTime(server, later) < milliseconds(110));
  // A figure that no server has keeps nobody away for long.
  CHECK(loads.OnSharedReport(server, 65535, 25.5, later));
  CHECK(loads.Utilization(server, later) == 8);
  const TimePoint end = later + milliseconds(1500);
  CHECK(loads.Utilization(server, end) < 0.3);
  CHECK_FALSE(loads.HasRoom(server, later + milliseconds(1000)));
  CHECK(loads.HasRoom(server, end));
}

}  // namespace
}  // namespace gentianreach::entry
