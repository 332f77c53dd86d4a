// Requests for servers whose processing time this daemon does not know.
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "entry/balancing/server_choice.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::seconds(50));
const ZoneName kZone("z1");
constexpr Duration kRunTime = std::chrono::seconds(60);
constexpr Duration kPeriod = milliseconds(100);

routing::BackendServer Server(const std::string& service) {
  routing::BackendServer server;
  server.id = ServerId(service);
  server.incarnation = Incarnation(1);
  server.service = service;
  server.zone = kZone;
  server.slots = 2;
  return server;
}

// A daemon with one server for each service.
class Fixture {
 public:
  Fixture() {
    directory_.Put(Server("quick"), kStart);
    directory_.Put(Server("slow"), kStart);
  }

  // Sends a request that leaves `time_left`, if it is let through, to the
  // server of `service`, which takes `time`. Returns whether it was sent.
  bool Request(const std::string& service,
               Duration time_left,
               Duration time,
               TimePoint now) {
    routing::Route route;
    route.timeout = std::chrono::duration_cast<milliseconds>(time_left);
    route.latency_objective = route.timeout;
    routing::Service requested;
    requested.name = service;
    const std::vector<ServerId> tried;
    const ServerChoice choice =
        ChooseServer({.route = route,
                      .service = requested,
                      .key = {},
                      .tried = tried,
                      .time_left = time_left,
                      .zone = kZone},
                     {directory_, loads_, limits_, ownership_, drain_bound_,
                      entries_, evacuations_},
                     now);
    if (choice.server == nullptr) {
      return false;
    }
    loads_.OnSent(choice.server->id);
    loads_.OnEnd(choice.server->id, AttemptResult::kAnswered, time,
                 LoadReport{.running = 1, .waiting = 0, .slots = 2}, now);
    return true;
  }

 private:
  ServerDirectory directory_;
  ServerLoads loads_;
  ServerLimits limits_{1};
  OwnershipView ownership_;
  DrainBound drain_bound_{milliseconds(2000)};
  ZoneEvacuations evacuations_{Duration(0)};
  EntriesStatus entries_{.current_at = kStart + std::chrono::hours(1)};
};

TEST_CASE("a quick service is served beside one that is slow") {
  Fixture fixture;
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + kRunTime; now += kPeriod) {
    REQUIRE(
        fixture.Request("slow", milliseconds(5000), milliseconds(1000), now));
    sent += fixture.Request("quick", milliseconds(500), milliseconds(20), now)
                ? 1
                : 0;
  }
  CHECK(sent >= 9 * (kRunTime / kPeriod) / 10);
}

TEST_CASE("requests that leave 100 ms are served by a quick server") {
  Fixture fixture;
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + kRunTime; now += kPeriod) {
    sent += fixture.Request("quick", milliseconds(100), milliseconds(20), now)
                ? 1
                : 0;
  }
  CHECK(sent >= 9 * (kRunTime / kPeriod) / 10);
}

}  // namespace
}  // namespace gentianreach::entry
