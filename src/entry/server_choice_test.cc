#include "entry/server_choice.h"

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

// A service with what one daemon knows of it.
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
                         .time_left = milliseconds(2000),
                         .zone = kZone},
                        directory, loads, ownership, now);
  }

  // Makes `id` the owner of all keys.
  void Own(const std::string& id, std::vector<keyspace::Owner> earlier = {}) {
    service.keyed = true;
    keyspace::OwnershipTable table;
    table.ranges.push_back({{0, keyspace::kKeyCount - 1},
                            {ServerId(id), Incarnation(1), Token(1)},
                            std::move(earlier)});
    ownership.Put("s", ++revision_, table);
  }

  void Answer(const std::string& id,
              Duration latency,
              const std::string& report,
              TimePoint now = kNow) {
    loads.OnSent(ServerId(id));
    loads.OnEnd(ServerId(id), AttemptResult::kAnswered, latency,
                ParseLoadReport(report), now);
  }

  routing::Route route;
  routing::Service service;
  std::vector<ServerId> tried;
  ServerDirectory directory;
  ServerLoads loads;
  OwnershipView ownership;

 private:
  std::uint64_t revision_ = 0;
};

TEST_CASE("a request for a key goes to its owner, however busy others are") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.directory.Put(Server("b"), kNow);
  f.Own("a");
  REQUIRE(f.Choose().server != nullptr);
  CHECK(f.Choose().server->id == ServerId("a"));
}

TEST_CASE("a request waits while its key moves or its owner leaves") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.Own("a", {{ServerId("b"), Incarnation(1), Token(1)}});
  CHECK(f.Choose().wait);
  f.Own("a");
  CHECK_FALSE(f.Choose().wait);
  routing::BackendServer leaving = Server("a");
  leaving.draining = true;
  f.directory.Put(leaving, kNow);
  CHECK_FALSE(f.Choose().wait);
  CHECK(f.Choose(kNow + milliseconds(1600)).wait);
  // Another incarnation of the server holds nothing.
  routing::BackendServer reborn = Server("a");
  reborn.incarnation = Incarnation(2);
  f.directory.Put(reborn, kNow);
  CHECK(f.Choose().wait);
}

TEST_CASE("a request that could only be late is refused at once") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.Own("a");
  f.Answer("a", milliseconds(150), "2,0,2");
  int sent = 0;
  while (f.Choose().server != nullptr) {
    f.loads.OnSent(ServerId("a"));
    REQUIRE(++sent < 50);
  }
  // Two slots at 150 ms, answers due within 440 ms: five at the server.
  CHECK(sent <= 5);
  CHECK(sent >= 3);
  const ServerChoice refused = f.Choose();
  CHECK(refused.reason == Reason::kOverload);
  CHECK_FALSE(refused.wait);
  CHECK(refused.retry_after > Duration(0));
}

TEST_CASE("an owner that loses requests gets none for a while") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.Own("a");
  for (int i = 0; i < 2; ++i) {
    f.loads.OnSent(ServerId("a"));
    f.loads.OnEnd(ServerId("a"), AttemptResult::kBroken, milliseconds(5),
                  std::nullopt, kNow);
  }
  CHECK(f.Choose().reason == Reason::kOverload);
  CHECK(f.Choose(kNow + milliseconds(300)).server != nullptr);
}

TEST_CASE("without a server or owner the request is refused, not held") {
  Fixture f;
  CHECK(f.Choose().reason == Reason::kNoServer);
  f.service.keyed = true;
  CHECK(f.Choose().reason == Reason::kNoOwner);
  CHECK_FALSE(f.Choose().wait);
}

TEST_CASE("a server that was tried is not asked again") {
  Fixture f;
  f.directory.Put(Server("a"), kNow);
  f.directory.Put(Server("b"), kNow);
  f.tried = {ServerId("a")};
  for (int i = 0; i < 20; ++i) {
    REQUIRE(f.Choose().server != nullptr);
    CHECK(f.Choose().server->id == ServerId("b"));
  }
}

TEST_CASE("the load of a large service is spread, mostly in the own zone") {
  Fixture f;
  for (int i = 0; i < 60; ++i) {
    f.directory.Put(
        Server("s" + std::to_string(i), "z" + std::to_string(i % 3 + 1)), kNow);
  }
  std::map<ServerId, int> counts;
  int near = 0;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    const ServerChoice choice = f.Choose();
    REQUIRE(choice.server != nullptr);
    ++counts[choice.server->id];
    near += choice.server->zone == kZone ? 1 : 0;
    f.Answer(choice.server->id.value(), milliseconds(100), "1,0,2");
  }
  CHECK(near > kRequests / 2);
  int most = 0;
  for (const auto& [id, count] : counts) {
    most = std::max(most, count);
  }
  // 20 servers are near: about 100 each.
  CHECK(most < 300);
}

}  // namespace
}  // namespace gentianreach::entry
