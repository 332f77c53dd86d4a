#include "entry/balancing/server_loads.h"

#include <chrono>
#include <string>
#include <utility>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint(std::chrono::seconds(50));

routing::BackendServer Server(const char* id) {
  routing::BackendServer server;
  server.id = ServerId(id);
  server.slots = 2;
  return server;
}

void RecordResponse(ServerLoads& loads,
                    const char* id,
                    Duration latency,
                    const std::string& report = "",
                    TimePoint now = kNow) {
  loads.OnSent(ServerId(id));
  loads.OnEnd(ServerId(id), AttemptResult::kAnswered, latency,
              ParseLoadReport(report), now);
}

TEST_CASE(
    "ParseLoadReport reads three figures, and a slowdown if it is there") {
  const auto report = ParseLoadReport("3,10,4");
  REQUIRE(report.has_value());
  CHECK(report->running == 3);
  CHECK(report->waiting == 10);
  CHECK(report->slots == 4);
  CHECK_FALSE(report->slowdown.has_value());
  // Further figures may be added to the header; one more dropped all reports.
  for (const char* it :
       {"3,10,4,480", "3,10,4,480,7", "3,10,4,480,0,99999999999"}) {
    const auto longer = ParseLoadReport(it);
    REQUIRE(longer.has_value());
    CHECK(longer->waiting == 10);
    CHECK(longer->slowdown == 4.8);
  }
  const auto unknown = ParseLoadReport("3,10,4,0");
  REQUIRE(unknown.has_value());
  CHECK_FALSE(unknown->slowdown.has_value());
  for (const char* it :
       {"", "1", "1,2", "1,2,", "1,2,3,", "1,2,3,a", "1,2,3,-4", "1,2,3,1.5",
        "1,2,3,99999999999", "1,2,3,4,", "1,2,3,4,,5", "1,2,3,4,5,",
        "1,2,3,4,b", "1,2,3,4 5", "a,b,c", "1;2;3"}) {
    CAPTURE(it);
    CHECK_FALSE(ParseLoadReport(it).has_value());
  }
}

// Guards servers on machines that are slow for good: their figure must not hide
// how long they take.
TEST_CASE(
    "a server that always reports the same slowdown is as fast as it is") {
  ServerLoads loads;
  for (int i = 0; i < 40; ++i) {
    RecordResponse(loads, "slow", milliseconds(257), "1,0,2,143");
    RecordResponse(loads, "fast", milliseconds(112), "1,0,2,62");
  }
  CHECK(loads.ProcessingTime(Server("slow"), kNow) == milliseconds(257));
  CHECK(loads.ProcessingTime(Server("fast"), kNow) == milliseconds(112));
  CHECK(loads.Capacity(Server("fast"), kNow) >
        2 * loads.Capacity(Server("slow"), kNow));
}

TEST_CASE("a slowdown counts while it lasts, and not as the usual time") {
  ServerLoads loads;
  // Too little is known of the usual figure.
  RecordResponse(loads, "new", milliseconds(480), "1,0,2,480");
  CHECK(loads.Capacity(Server("new"), kNow) == doctest::Approx(2 / 0.48));
  for (int i = 0; i < 1000; ++i) {
    RecordResponse(loads, "a", milliseconds(100), "1,0,2,100");
  }
  RecordResponse(loads, "a", milliseconds(480), "1,0,2,480");
  const auto slow = loads.ProcessingTime(Server("a"), kNow);
  CHECK(slow > milliseconds(430));
  CHECK(slow < milliseconds(490));
  CHECK(loads.Capacity(Server("a"), kNow) == doctest::Approx(20).epsilon(0.05));
  const auto later =
      loads.ProcessingTime(Server("a"), kNow + milliseconds(400));
  CHECK(later > milliseconds(220));
  CHECK(later < milliseconds(245));
  // Wrong figures neither rule a server out for good nor draw all requests.
  for (const char* it : {"1,0,2,4294967295", "1,0,2,1"}) {
    RecordResponse(loads, "a", milliseconds(100), it);
    const auto after =
        loads.ProcessingTime(Server("a"), kNow + std::chrono::seconds(10));
    CHECK(after > milliseconds(50));
    CHECK(after < milliseconds(200));
  }
}

TEST_CASE("a server that got long requests does not look slow for short ones") {
  ServerLoads loads;
  const auto respond = [&](const char* id, int ms, const char* route) {
    loads.OnSent(ServerId(id));
    loads.OnEnd(ServerId(id), AttemptResult::kAnswered, milliseconds(ms), {},
                kNow, {.service = "s", .route = route});
  };
  routing::BackendServer a = Server("a");
  routing::BackendServer b = Server("b");
  a.service = b.service = "s";
  for (int i = 0; i < 30; ++i) {
    respond("c", i % 2 == 0 ? 140 : 410, i % 2 == 0 ? "short" : "long");
  }
  // Both routes are known from their 20th sample on.
  for (int i = 0; i < 10; ++i) {
    respond("a", 140, "short");
    respond("b", 410, "long");
  }
  CHECK(loads.ProcessingTime(a, kNow, "short") <= milliseconds(141));
  CHECK(loads.ProcessingTime(b, kNow, "short") <= milliseconds(141));
  CHECK(loads.ProcessingTime(a, kNow, "long") >= milliseconds(409));
  CHECK(loads.Capacity(a, kNow) == doctest::Approx(loads.Capacity(b, kNow)));
  // The requests ahead of a short one are of both routes.
  for (int i = 0; i < 4; ++i) {
    loads.OnSent(ServerId("a"));
  }
  CHECK(loads.ExpectedLatency(a, kNow, "short") > milliseconds(450));
}

// Requests would be refused for minutes if the estimates of a route and of its
// servers both rose when all servers became slower.
TEST_CASE("a change of all servers is not counted twice") {
  ServerLoads loads;
  routing::BackendServer a = Server("a");
  a.service = "s";
  TimePoint now = kNow;
  const auto respond = [&](int factor) {
    for (const auto& [ms, route] : {std::pair(140, "short"), {410, "long"}}) {
      now += milliseconds(250);
      loads.OnSent(a.id);
      loads.OnEnd(a.id, AttemptResult::kAnswered, milliseconds(ms * factor), {},
                  now, {.service = "s", .route = route});
    }
  };
  for (int i = 0; i < 200; ++i) {
    respond(1);
  }
  CHECK(loads.ProcessingTime(a, now, "short") < milliseconds(150));
  for (int i = 0; i < 40; ++i) {
    respond(3);
  }
  CHECK(loads.ProcessingTime(a, now, "short") > milliseconds(380));
  CHECK(loads.ProcessingTime(a, now, "short") < milliseconds(500));
  for (int i = 0; i < 40; ++i) {
    respond(1);
  }
  CHECK(loads.ProcessingTime(a, now, "short") > milliseconds(120));
  CHECK(loads.ProcessingTime(a, now, "short") < milliseconds(160));
}

TEST_CASE("the expected latency grows with the requests at the server") {
  ServerLoads loads;
  RecordResponse(loads, "a", milliseconds(100));
  const auto idle = loads.ExpectedLatency(Server("a"), kNow);
  CHECK(idle == milliseconds(100));
  for (int i = 0; i < 4; ++i) {
    loads.OnSent(ServerId("a"));
  }
  // With four requests at two slots, the next one waits for three of them.
  CHECK(loads.ExpectedLatency(Server("a"), kNow) == milliseconds(250));
}

TEST_CASE(
    "requests of other daemons are counted from the server's load reports") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    RecordResponse(loads, "a", milliseconds(100), "2,0,2");
  }
  CHECK(loads.ExpectedLatency(Server("a"), kNow) > milliseconds(140));
}

TEST_CASE("waiting for a lost path is not processing time") {
  ServerLoads loads;
  RecordResponse(loads, "a", milliseconds(100));
  loads.OnSent(ServerId("a"));
  loads.OnEnd(ServerId("a"), AttemptResult::kAnswered, std::nullopt,
              std::nullopt, kNow);
  CHECK(loads.ProcessingTime(Server("a"), kNow) == milliseconds(100));
  CHECK(loads.last_response(ServerId("a")) == kNow);
}

TEST_CASE("the processing time excludes queueing at the server") {
  ServerLoads loads;
  RecordResponse(loads, "a", milliseconds(300), "2,4,2");
  CHECK(loads.ProcessingTime(Server("a"), kNow) == milliseconds(100));
}

TEST_CASE("a server that has just started is expected to be slower") {
  ServerLoads loads;
  RecordResponse(loads, "a", milliseconds(100));
  routing::BackendServer server = Server("a");
  server.warm_at = kNow + milliseconds(500);
  CHECK(loads.ProcessingTime(server, kNow) == milliseconds(200));
  CHECK(loads.ProcessingTime(server, server.warm_at) == milliseconds(100));
}

TEST_CASE(
    "a server is avoided after two failures in a row, and longer after more") {
  ServerLoads loads;
  const ServerId id("a");
  const auto fail = [&](TimePoint now) {
    loads.OnSent(id);
    loads.OnEnd(id, AttemptResult::kUnreachable, milliseconds(1), std::nullopt,
                now);
  };
  fail(kNow);
  CHECK_FALSE(loads.IsAvoided(id, kNow));
  fail(kNow);
  CHECK(loads.IsAvoided(id, kNow));
  const TimePoint later = kNow + milliseconds(260);
  CHECK_FALSE(loads.IsAvoided(id, later));
  fail(later);
  CHECK(loads.IsAvoided(id, later + milliseconds(400)));
  RecordResponse(loads, "a", milliseconds(10));
  fail(later + milliseconds(900));
  CHECK_FALSE(loads.IsAvoided(id, later + milliseconds(900)));
}

TEST_CASE("a server that rejects requests gets a higher failure penalty") {
  ServerLoads loads;
  RecordResponse(loads, "a", milliseconds(100));
  RecordResponse(loads, "b", milliseconds(100));
  loads.OnSent(ServerId("a"));
  loads.OnEnd(ServerId("a"), AttemptResult::kRejected, milliseconds(1),
              std::nullopt, kNow);
  CHECK(loads.FailurePenalty(ServerId("a"), kNow) >
        loads.FailurePenalty(ServerId("b"), kNow));
  // The expected latency is unaffected, so that requests that have no other
  // server are not refused.
  CHECK(loads.ExpectedLatency(Server("a"), kNow) ==
        loads.ExpectedLatency(Server("b"), kNow));
}

TEST_CASE("the effect of an old report of a long queue decays") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    RecordResponse(loads, "a", milliseconds(600), "2,4,2");
  }
  CHECK(loads.ExpectedLatency(Server("a"), kNow) > milliseconds(500));
  CHECK(loads.ExpectedLatency(Server("a"), kNow + std::chrono::seconds(10)) <
        milliseconds(230));
}

TEST_CASE("samples of other daemons update a server's processing time") {
  ServerLoads loads;
  loads.OnRemoteSamples(ServerId("a"), 4, milliseconds(1000), kNow);
  CHECK(loads.ProcessingTime(Server("a"), kNow) == milliseconds(250));
  CHECK(loads.Capacity(Server("a"), kNow) == doctest::Approx(8));
}

TEST_CASE("HasRoom limits the requests at a server below its queue capacity") {
  ServerLoads loads;
  int sent = 0;
  while (loads.HasRoom(Server("a"), kNow)) {
    loads.OnSent(ServerId("a"));
    REQUIRE(++sent < 100);
  }
  CHECK(sent == 7);
}

TEST_CASE("the average processing time decays once there are no samples") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    RecordResponse(loads, "a", milliseconds(1900));
  }
  const auto average_after = [&](Duration time) {
    return loads.AverageProcessingTime(kNow + time);
  };
  CHECK(average_after(milliseconds(2000)) == milliseconds(1900));
  CHECK(average_after(milliseconds(5000)) < milliseconds(1200));
  CHECK(average_after(milliseconds(20'000)) < milliseconds(200));
}

TEST_CASE("the effect of a single slow response decays without new samples") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    RecordResponse(loads, "b", milliseconds(20));
  }
  // The server was paused during one request.
  RecordResponse(loads, "a", milliseconds(5000));
  CHECK(loads.ExpectedLatency(Server("a"), kNow) > milliseconds(2000));
  // It gets no requests, so there are no new samples.
  const TimePoint later = kNow + std::chrono::seconds(15);
  CHECK(loads.ExpectedLatency(Server("a"), later) < milliseconds(1000));
}

TEST_CASE("a sample after a pause does not bring back what has decayed") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    RecordResponse(loads, "a", milliseconds(1900));
  }
  const TimePoint later = kNow + std::chrono::seconds(30);
  const Duration before = loads.ProcessingTime(Server("a"), later);
  CHECK(before < milliseconds(120));
  RecordResponse(loads, "a", milliseconds(20), "", later);
  CHECK(loads.ProcessingTime(Server("a"), later) < before);
}

TEST_CASE("few samples do not keep up an average that would decay") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    RecordResponse(loads, "a", milliseconds(1900));
  }
  TimePoint now = kNow;
  for (int i = 0; i < 15; ++i) {
    now += std::chrono::seconds(1);
    RecordResponse(loads, "a", milliseconds(20), "", now);
  }
  CHECK(loads.AverageProcessingTime(now) < milliseconds(200));
}

}  // namespace
}  // namespace gentianreach::entry
