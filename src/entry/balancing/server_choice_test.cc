#include "entry/balancing/server_choice.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint(std::chrono::seconds(50));
const ZoneName kZone("z1");

routing::BackendServer Server(const std::string& id,
                              const std::string& zone = "z1") {
  routing::BackendServer server;
  server.id = ServerId(id);
  server.incarnation = Incarnation(1);
  server.service = "s";
  server.zone = ZoneName(zone);
  server.slots = 2;
  return server;
}

// A service and the state that one daemon keeps about it.
class Fixture {
 public:
  Fixture() {
    route.timeout = milliseconds(2000);
    route.latency_objective = milliseconds(400);
    service.name = "s";
  }

  ServerChoice Choose(TimePoint now = kNow) const {
    return ChooseServer({.route = route,
                         .service = service,
                         .key = 7,
                         .tried = tried,
                         .time_left = time_left,
                         .zone = kZone,
                         .zone_crossing = zone_crossing},
                        {directory, loads, limits, ownership, drain_bound,
                         entries, evacuations},
                        now);
  }

  // Makes server `id` the owner of all keys; `earlier` are the owners whose
  // grants have not ended yet.
  void SetOwner(const std::string& id,
                std::vector<keyspace::Owner> earlier = {}) {
    service.keyed = true;
    keyspace::OwnershipTable table;
    table.ranges.push_back({{0, keyspace::kKeyCount - 1},
                            {ServerId(id), Incarnation(1), Token(1)},
                            std::move(earlier)});
    ownership.Put("s", ++revision_, table);
  }

  void RecordResponse(const std::string& id,
                      Duration latency,
                      const std::string& report,
                      TimePoint now = kNow) {
    loads.OnSent(ServerId(id));
    loads.OnEnd(ServerId(id), AttemptResult::kAnswered, latency,
                ParseLoadReport(report), now);
  }

  routing::Route route;
  routing::Service service;
  Duration time_left = milliseconds(2000);
  std::vector<ServerId> tried;
  Duration zone_crossing{};
  ServerDirectory directory;
  ServerLoads loads;
  ServerLimits limits{1};
  OwnershipView ownership;
  DrainBound drain_bound{milliseconds(2000)};
  // By default the entries are current at all times.
  EntriesStatus entries{.current_at = kNow + std::chrono::hours(1)};
  ZoneEvacuations evacuations{milliseconds(5000)};

 private:
  std::uint64_t revision_ = 0;
};

TEST_CASE("a keyed request goes to the owner of its key") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.directory.Put(Server("b"), kNow);
  f.SetOwner("a");
  REQUIRE(f.Choose().server != nullptr);
  CHECK(f.Choose().server->id == ServerId("a"));
}

TEST_CASE("requests are sent again after all servers once looked too slow") {
  Fixture f;
  for (const char* id : {"a", "b"}) {
    f.directory.Put(Server(id), kNow);
    for (int i = 0; i < 10; ++i) {
      f.RecordResponse(id, milliseconds(2500), "1,0,2");
    }
  }
  CHECK(f.Choose().reason == Reason::kOverload);
  CHECK(f.Choose(kNow + milliseconds(10'000)).server != nullptr);
  f.SetOwner("a");
  CHECK(f.Choose(kNow + milliseconds(10'000)).server != nullptr);
}

TEST_CASE("servers that answer fast do not look slow after a rest") {
  Fixture f;
  f.time_left = milliseconds(100);
  f.directory.Put(Server("a"), kNow);
  for (int i = 0; i < 10; ++i) {
    f.RecordResponse("a", milliseconds(20), "1,0,2");
  }
  CHECK(f.Choose().server != nullptr);
  CHECK(f.Choose(kNow + milliseconds(20'000)).server != nullptr);
}

TEST_CASE("a keyed request waits while its key moves or its owner is drained") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.SetOwner("a", {{ServerId("b"), Incarnation(1), Token(1)}});
  CHECK(f.Choose().wait);
  f.SetOwner("a");
  CHECK_FALSE(f.Choose().wait);
  routing::BackendServer draining_server = Server("a");
  draining_server.draining = true;
  f.directory.Put(draining_server, kNow);
  CHECK_FALSE(f.Choose().wait);
  CHECK(f.Choose(kNow + milliseconds(1600)).wait);
  // A new incarnation of the server does not own the keys of the previous one.
  routing::BackendServer restarted = Server("a");
  restarted.incarnation = Incarnation(2);
  f.directory.Put(restarted, kNow);
  CHECK(f.Choose().wait);
}

TEST_CASE("a request that cannot be answered in time is refused at once") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.SetOwner("a");
  f.RecordResponse("a", milliseconds(150), "2,0,2");
  int sent = 0;
  while (f.Choose().server != nullptr) {
    f.loads.OnSent(ServerId("a"));
    REQUIRE(++sent < 50);
  }
  // Two slots at 150 ms each and a limit of 440 ms allow at most five requests.
  CHECK(sent <= 5);
  CHECK(sent >= 3);
  const ServerChoice refused = f.Choose();
  CHECK(refused.reason == Reason::kOverload);
  CHECK_FALSE(refused.wait);
  CHECK(refused.retry_after > Duration(0));
}

TEST_CASE("an owner that breaks connections is avoided for a while") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.SetOwner("a");
  for (int i = 0; i < 2; ++i) {
    f.loads.OnSent(ServerId("a"));
    f.loads.OnEnd(ServerId("a"), AttemptResult::kBroken, milliseconds(5),
                  std::nullopt, kNow);
  }
  CHECK(f.Choose().reason == Reason::kOverload);
  CHECK(f.Choose(kNow + milliseconds(300)).server != nullptr);
}

TEST_CASE(
    "a request is refused without waiting if there is no server or owner") {
  Fixture f;
  CHECK(f.Choose().reason == Reason::kNoServer);
  f.service.keyed = true;
  CHECK(f.Choose().reason == Reason::kNoOwner);
  CHECK_FALSE(f.Choose().wait);
}

TEST_CASE("a server that was tried is not chosen again") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.directory.Put(Server("b"), kNow);
  f.tried = {ServerId("a")};
  for (int i = 0; i < 20; ++i) {
    REQUIRE(f.Choose().server != nullptr);
    CHECK(f.Choose().server->id == ServerId("b"));
  }
}

TEST_CASE(
    "requests for a large service are spread, mostly within the own zone") {
  Fixture f;
  for (int i = 0; i < 60; ++i) {
    f.directory.Put(
        Server("s" + std::to_string(i), "z" + std::to_string(i % 3 + 1)), kNow);
  }
  std::map<ServerId, int> counts;
  int local_count = 0;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    const ServerChoice choice = f.Choose();
    REQUIRE(choice.server != nullptr);
    ++counts[choice.server->id];
    local_count += choice.server->zone == kZone ? 1 : 0;
    f.RecordResponse(choice.server->id.value(), milliseconds(100), "1,0,2");
  }
  CHECK(local_count > kRequests / 2);
  int max_count = 0;
  for (const auto& [id, count] : counts) {
    max_count = std::max(max_count, count);
  }
  // The own zone has 20 servers: about 100 requests each.
  CHECK(max_count < 300);
}

TEST_CASE("a server over its limit is left out while others take requests") {
  Fixture fixture;
  fixture.directory.Put(Server("a"), kNow);
  fixture.directory.Put(Server("b"), kNow);
  fixture.limits.Set(ServerId("a"), 1, kNow);
  fixture.limits.OnSent(ServerId("a"), kNow);
  for (int i = 0; i < 20; ++i) {
    const ServerChoice choice = fixture.Choose();
    REQUIRE(choice.server != nullptr);
    CHECK(choice.server->id == ServerId("b"));
  }
  fixture.limits.Set(ServerId("b"), 1, kNow);
  fixture.limits.OnSent(ServerId("b"), kNow);
  const ServerChoice choice = fixture.Choose();
  CHECK(choice.server == nullptr);
  CHECK(choice.reason == Reason::kOverLimit);
  CHECK(fixture.Choose(kNow + choice.retry_after).server != nullptr);
}

TEST_CASE("a cold server without a token gets nothing, others go on") {
  Fixture fixture;
  const TimePoint warm_at = kNow + std::chrono::seconds(3);
  fixture.directory.Put(Server("a"), kNow);
  fixture.directory.Put(Server("b"), kNow);
  fixture.limits.SetWarmup(ServerId("a"), 7.3, warm_at, kNow);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(fixture.Choose().server != nullptr);
    CHECK(fixture.Choose().server->id == ServerId("b"));
  }
  // With all servers cold, and as the owner, it refuses until then at most.
  fixture.limits.SetWarmup(ServerId("b"), 7.3, warm_at, kNow);
  for (const bool keyed : {false, true}) {
    if (keyed) {
      fixture.SetOwner("a");
    }
    const ServerChoice choice = fixture.Choose();
    CHECK(choice.server == nullptr);
    CHECK_FALSE(choice.wait);
    CHECK(choice.reason == Reason::kOverLimit);
    CHECK(kNow + choice.retry_after <= warm_at);
    CHECK(fixture.Choose(warm_at).server != nullptr);
  }
}

TEST_CASE(
    "a keyed request is refused at once while its owner is over a limit") {
  Fixture fixture;
  fixture.directory.Put(Server("a"), kNow);
  fixture.SetOwner("a");
  fixture.limits.Set(ServerId("a"), 1, kNow);
  fixture.limits.OnSent(ServerId("a"), kNow);
  const ServerChoice choice = fixture.Choose();
  CHECK(choice.server == nullptr);
  CHECK_FALSE(choice.wait);
  CHECK(choice.reason == Reason::kOverLimit);
  CHECK(fixture.Choose(kNow + choice.retry_after).server != nullptr);
}

TEST_CASE(
    "with a cost, another zone serves what the own zone is too slow for") {
  Fixture f;
  f.zone_crossing = milliseconds(100);
  f.directory.Put(Server("near"), kNow);
  f.directory.Put(Server("far", "z2"), kNow);
  const auto chosen = [&] { return f.Choose().server->id.value(); };
  f.RecordResponse("near", milliseconds(150), "1,0,2");
  f.RecordResponse("far", milliseconds(20), "1,0,2");
  // By the factor of 1.5 it would be the other zone's.
  CHECK(chosen() == "near");
  f.loads.OnSent(ServerId("near"));
  CHECK(chosen() == "near");
  // No slot is free: the next request is expected to take 225 ms.
  f.loads.OnSent(ServerId("near"));
  CHECK(chosen() == "far");
  f.zone_crossing = milliseconds(250);
  CHECK(chosen() == "near");
  f.directory.Remove(ServerId("near"), kNow);
  CHECK(chosen() == "far");
}

}  // namespace
}  // namespace gentianreach::entry
