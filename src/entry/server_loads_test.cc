#include "entry/server_loads.h"

#include <chrono>
#include <string>

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

void Answer(ServerLoads& loads,
            const char* id,
            Duration latency,
            const std::string& report = "") {
  loads.OnSent(ServerId(id));
  loads.OnEnd(ServerId(id), AttemptResult::kAnswered, latency,
              ParseLoadReport(report), kNow);
}

TEST_CASE("a load report is three numbers") {
  const auto report = ParseLoadReport("3,10,4");
  REQUIRE(report.has_value());
  CHECK(report->running == 3);
  CHECK(report->waiting == 10);
  CHECK(report->slots == 4);
  for (const char* it : {"", "1", "1,2", "1,2,", "1,2,3,4", "a,b,c", "1;2;3"}) {
    CHECK_FALSE(ParseLoadReport(it).has_value());
  }
}

TEST_CASE("the expected latency grows with the requests at the server") {
  ServerLoads loads;
  Answer(loads, "a", milliseconds(100));
  const auto idle = loads.ExpectedLatency(Server("a"), kNow);
  CHECK(idle == milliseconds(100));
  for (int i = 0; i < 4; ++i) {
    loads.OnSent(ServerId("a"));
  }
  // Four are there, two slots: three are ahead of the next one's slot.
  CHECK(loads.ExpectedLatency(Server("a"), kNow) == milliseconds(250));
}

TEST_CASE("requests of other daemons count by the server's reports") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    Answer(loads, "a", milliseconds(100), "2,0,2");
  }
  CHECK(loads.ExpectedLatency(Server("a"), kNow) > milliseconds(140));
}

TEST_CASE("what waits at the server is no part of its processing time") {
  ServerLoads loads;
  Answer(loads, "a", milliseconds(300), "2,4,2");
  CHECK(loads.ProcessingTime(Server("a"), kNow) == milliseconds(100));
}

TEST_CASE("a server that has just started is expected to be slower") {
  ServerLoads loads;
  Answer(loads, "a", milliseconds(100));
  routing::BackendServer server = Server("a");
  server.warm_at = kNow + milliseconds(500);
  CHECK(loads.ProcessingTime(server, kNow) == milliseconds(200));
  CHECK(loads.ProcessingTime(server, server.warm_at) == milliseconds(100));
}

TEST_CASE("a server is avoided after two failures, and longer after more") {
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
  Answer(loads, "a", milliseconds(10));
  fail(later + milliseconds(900));
  CHECK_FALSE(loads.IsAvoided(id, later + milliseconds(900)));
}

TEST_CASE("a server that rejects part of its requests is less attractive") {
  ServerLoads loads;
  Answer(loads, "a", milliseconds(100));
  Answer(loads, "b", milliseconds(100));
  loads.OnSent(ServerId("a"));
  loads.OnEnd(ServerId("a"), AttemptResult::kRejected, milliseconds(1),
              std::nullopt, kNow);
  CHECK(loads.FailurePenalty(ServerId("a"), kNow) >
        loads.FailurePenalty(ServerId("b"), kNow));
  // It must not keep requests away for which there is no other server.
  CHECK(loads.ExpectedLatency(Server("a"), kNow) ==
        loads.ExpectedLatency(Server("b"), kNow));
}

TEST_CASE("an old report of a long queue keeps no requests away") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    Answer(loads, "a", milliseconds(600), "2,4,2");
  }
  CHECK(loads.ExpectedLatency(Server("a"), kNow) > milliseconds(500));
  CHECK(loads.ExpectedLatency(Server("a"), kNow + std::chrono::seconds(10)) <
        milliseconds(230));
}

TEST_CASE("samples of other daemons teach the speed of a server") {
  ServerLoads loads;
  loads.OnOtherSample(ServerId("a"), 4, milliseconds(1000), kNow);
  CHECK(loads.ProcessingTime(Server("a"), kNow) == milliseconds(250));
  CHECK(loads.Capacity(Server("a"), kNow) == doctest::Approx(8));
}

TEST_CASE("a server is never filled up to where it stops answering") {
  ServerLoads loads;
  int sent = 0;
  while (loads.HasRoom(Server("a"), kNow)) {
    loads.OnSent(ServerId("a"));
    REQUIRE(++sent < 100);
  }
  CHECK(sent == 7);
}

TEST_CASE("a server that once looked slow is asked again after a while") {
  ServerLoads loads;
  for (int i = 0; i < 20; ++i) {
    Answer(loads, "b", milliseconds(20));
  }
  // Paused for the length of one request.
  Answer(loads, "a", milliseconds(5000));
  CHECK(loads.ExpectedLatency(Server("a"), kNow) > milliseconds(2000));
  // Nobody sends it anything, so there is no news.
  const TimePoint later = kNow + std::chrono::seconds(15);
  CHECK(loads.ExpectedLatency(Server("a"), later) < milliseconds(1000));
}

}  // namespace
}  // namespace gentianreach::entry
