// The choice of a server while availability zones are evacuated.
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "entry/balancing/server_choice.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint(std::chrono::seconds(50));
const ZoneName kOwnZone("z1");
// An evacuation that is known from kNow on counts to here.
const TimePoint kSendUntil = kNow + milliseconds(4700);

// Servers a in z1, b in z2 and n without a zone, all of one service.
class Fixture {
 public:
  Fixture() {
    route.timeout = milliseconds(2000);
    route.latency_objective = milliseconds(400);
    service.name = "s";
  }

  void AddServer(const std::string& id,
                 const std::string& zone,
                 bool draining = false) {
    routing::BackendServer server;
    server.id = ServerId(id);
    server.incarnation = Incarnation(1);
    server.service = "s";
    server.zone = ZoneName(zone);
    server.slots = 2;
    server.draining = draining;
    directory.Put(server, kNow);
  }

  void SetOwner(const std::string& id) {
    service.keyed = true;
    keyspace::OwnershipTable table;
    table.ranges.push_back({{0, keyspace::kKeyCount - 1},
                            {ServerId(id), Incarnation(1), Token(1)},
                            {}});
    ownership.Put("s", ++revision_, table);
  }

  [[nodiscard]] ServerChoice Choose(TimePoint now = kNow) const {
    return ChooseServer({.route = route,
                         .service = service,
                         .key = 7,
                         .tried = tried,
                         .time_left = milliseconds(2000),
                         .zone = kOwnZone},
                        {directory, loads, limits, ownership, drain_bound,
                         entries, evacuations},
                        now);
  }

  routing::Route route;
  routing::Service service;
  std::vector<ServerId> tried;
  ServerDirectory directory;
  ServerLoads loads;
  ServerLimits limits{1};
  OwnershipView ownership;
  DrainBound drain_bound{milliseconds(2000)};
  EntriesStatus entries{.current_at = kNow + std::chrono::hours(1)};
  ZoneEvacuations evacuations{milliseconds(5000)};

 private:
  std::uint64_t revision_ = 0;
};

// Guards against requests of services without keys that go on reaching the
// daemon's own zone.
TEST_CASE("servers of an evacuated zone get no requests without a key") {
  Fixture f;
  f.AddServer("a", "z1");
  f.AddServer("b", "z2");
  f.evacuations.Put(kOwnZone, kNow);
  for (int i = 0; i < 50; ++i) {
    REQUIRE(f.Choose().server != nullptr);
    CHECK(f.Choose().server->id == ServerId("b"));
  }
  // Also if the other server has failed.
  f.tried = {ServerId("b")};
  CHECK(f.Choose().server == nullptr);
  CHECK(f.Choose().reason == Reason::kNoServer);
  f.evacuations.Remove(kOwnZone, kNow);
  REQUIRE(f.Choose().server != nullptr);
  CHECK(f.Choose().server->id == ServerId("a"));
}

// Guards against callers that wait, or are told that there are no servers.
TEST_CASE("a service whose zones are all evacuated refuses at once") {
  Fixture f;
  f.AddServer("a", "z1");
  f.AddServer("b", "z2");
  f.evacuations.Put(ZoneName("z1"), kNow);
  f.evacuations.Put(ZoneName("z2"), kNow);
  CHECK(f.Choose().server == nullptr);
  CHECK(f.Choose().reason == Reason::kEvacuated);
  CHECK(f.Choose().retry_after == kNotReadyRetryAfter);
  CHECK_FALSE(f.Choose().wait);
  f.AddServer("n", "");
  REQUIRE(f.Choose().server != nullptr);
  CHECK(f.Choose().server->id == ServerId("n"));
}

// Guards against an owner that loses its requests before its keys have moved,
// and against requests that reach it later than allowed.
TEST_CASE("an owner in an evacuated zone gets requests for a bounded time") {
  Fixture f;
  f.AddServer("a", "z1");
  f.AddServer("b", "z2");
  f.SetOwner("a");
  f.evacuations.Put(kOwnZone, kNow);
  REQUIRE(f.Choose().server != nullptr);
  CHECK(f.Choose().send_until == kSendUntil);
  CHECK(f.Choose(kSendUntil - milliseconds(1)).server != nullptr);
  const ServerChoice late = f.Choose(kSendUntil);
  CHECK(late.server == nullptr);
  CHECK(late.reason == Reason::kNoOwner);
  CHECK(late.wait);
  // Without the store no key moves, so waiting is of no use.
  f.entries.store_lost = true;
  CHECK_FALSE(f.Choose(kSendUntil).wait);
  CHECK(f.Choose(kSendUntil).retry_after > Duration(0));
  CHECK(f.Choose(kSendUntil - milliseconds(1)).server != nullptr);
  f.SetOwner("b");
  REQUIRE(f.Choose(kSendUntil).server != nullptr);
  CHECK(f.Choose(kSendUntil).server->id == ServerId("b"));
}

// Guards against requests that wait for an owner that cannot come.
TEST_CASE("a key without a server outside evacuated zones is refused at once") {
  Fixture f;
  f.AddServer("a", "z1");
  f.AddServer("d", "z3", true);
  f.SetOwner("a");
  f.evacuations.Put(kOwnZone, kNow);
  CHECK(f.Choose(kSendUntil - milliseconds(1)).server != nullptr);
  const ServerChoice refused = f.Choose(kSendUntil);
  CHECK(refused.server == nullptr);
  CHECK(refused.reason == Reason::kEvacuated);
  CHECK(refused.retry_after == kNotReadyRetryAfter);
  CHECK_FALSE(refused.wait);
  // The owner has ended with its zone.
  f.SetOwner("gone");
  CHECK(f.Choose(kSendUntil - milliseconds(1)).wait);
  CHECK(f.Choose(kSendUntil).reason == Reason::kEvacuated);
  f.evacuations.Remove(kOwnZone, kNow);
  f.SetOwner("a");
  CHECK(f.Choose(kSendUntil).server != nullptr);
}

// Guards against a daemon that has just started and takes an evacuation for a
// new one.
TEST_CASE("an evacuation of unknown age leaves its owners no requests") {
  Fixture f;
  f.AddServer("a", "z1");
  f.AddServer("b", "z2");
  f.SetOwner("a");
  f.evacuations.Put(kOwnZone, TimePoint{});
  CHECK(f.Choose().server == nullptr);
  CHECK(f.Choose().wait);
}

// Guards against one evacuation that decides for the other zone.
TEST_CASE("owners in two evacuated zones follow their own zone's time") {
  Fixture f;
  f.AddServer("a", "z1");
  f.AddServer("b", "z2");
  f.evacuations.Put(ZoneName("z1"), kNow);
  f.evacuations.Put(ZoneName("z2"), kNow + milliseconds(1000));
  f.SetOwner("a");
  CHECK(f.Choose(kSendUntil).reason == Reason::kEvacuated);
  f.SetOwner("b");
  CHECK(f.Choose(kSendUntil).server != nullptr);
  CHECK(f.Choose(kSendUntil + milliseconds(1000)).server == nullptr);
}

}  // namespace
}  // namespace gentianreach::entry
