// Every fault at every step of a request: the caller's verdict against what
// the server really ran.
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "proxy/proxy_server.h"
#include "proxy/proxy_test_support.h"

namespace gentianreach::proxy {
namespace {

using testing::Behaviour;
using testing::Bench;
using testing::FakeServer;
using testing::Response;
using testing::TestCaller;
using namespace std::chrono_literals;

struct Way {
  std::string path;
  bool idempotent;
};

const std::vector<Way> kWays = {{"/keyed/1", false},
                                {"/keyed-idem/1", true},
                                {"/plain", false},
                                {"/plain-idem", true}};
const std::vector<std::string> kMethods = {"GET", "HEAD",  "POST",
                                           "PUT", "PATCH", "DELETE"};

// Faults after which nothing has run, and after which the request has.
const std::vector<Behaviour> kNotRunFaults = {
    Behaviour::kNotOwner, Behaviour::kShed, Behaviour::kDraining};
const std::vector<Behaviour> kRunFaults = {
    Behaviour::kResetAfterRun, Behaviour::kCloseAfterRun,
    Behaviour::kHalfResponse,  Behaviour::kHalfChunk,
    Behaviour::kBadChunk,      Behaviour::kNoLength};

// Checks the promises that hold whatever happened.
void CheckPromises(const Response& response, int runs, bool idempotent) {
  if (response.verdict == "not-run") {
    CHECK(runs == 0);
    CHECK(response.status != 502);
    CHECK(response.status != 504);
  }
  if (response.verdict == "answered") {
    CHECK(response.whole);
    CHECK(runs >= 1);
  }
  if (!idempotent) {
    CHECK(runs <= 1);
  }
}

std::string Body(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH" ? "order"
                                                                  : "";
}

// Calls `check(way, method)` for each combination.
template <typename F>
void ForEachRequest(const F& check) {
  for (const auto& way : kWays) {
    for (const auto& method : kMethods) {
      CAPTURE(way.path);
      CAPTURE(method);
      check(way, method);
    }
  }
}

TEST_CASE("a refusal by the server is tried again and runs once") {
  for (const Behaviour fault : kNotRunFaults) {
    ForEachRequest([&](const Way& way, const std::string& method) {
      CAPTURE(static_cast<int>(fault));
      Bench bench;
      bench.server.script = {fault};
      TestCaller caller(bench.loop, bench.proxy.port());
      const Response response =
          caller.Ask(Bench::Request(method, way.path, "a", Body(method)));
      CHECK(response.verdict == "answered");
      CHECK(bench.server.runs("a") == 1);
      CHECK(bench.server.heads() == 2);
    });
  }
}

TEST_CASE("a request lost after it ran is repeated only where idempotent") {
  for (const Behaviour fault : kRunFaults) {
    ForEachRequest([&](const Way& way, const std::string& method) {
      CAPTURE(static_cast<int>(fault));
      // An answer to HEAD has no body that could break.
      if (method == "HEAD" && fault != Behaviour::kResetAfterRun &&
          fault != Behaviour::kCloseAfterRun) {
        return;
      }
      Bench bench;
      bench.server.script = {fault};
      TestCaller caller(bench.loop, bench.proxy.port());
      const Response response =
          caller.Ask(Bench::Request(method, way.path, "a", Body(method)));
      CheckPromises(response, bench.server.runs("a"), way.idempotent);
      const bool begun = fault == Behaviour::kHalfChunk;
      if (way.idempotent && !begun) {
        CHECK(response.verdict == "answered");
        CHECK(bench.server.runs("a") == 2);
      } else {
        CHECK(bench.server.runs("a") == 1);
        CHECK((response.verdict == "may-have-run" || !response.whole));
      }
    });
  }
}

TEST_CASE("a reset before the body was read is not taken for not run") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    Bench bench;
    bench.server.script = {Behaviour::kResetOnHead};
    TestCaller caller(bench.loop, bench.proxy.port());
    const Response response =
        caller.Ask(Bench::Request(method, way.path, "a", Body(method)));
    CheckPromises(response, bench.server.runs("a"), way.idempotent);
    CHECK(response.verdict == (way.idempotent ? "answered" : "may-have-run"));
  });
}

TEST_CASE("a reset on accept never makes a request run twice") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    Bench bench;
    bench.server.script = {Behaviour::kResetOnAccept};
    TestCaller caller(bench.loop, bench.proxy.port());
    const Response response =
        caller.Ask(Bench::Request(method, way.path, "a", Body(method)));
    CheckPromises(response, bench.server.runs("a"), way.idempotent);
  });
}

TEST_CASE("a refused connection is not run") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    Bench bench;
    bench.server.StopListening();
    TestCaller caller(bench.loop, bench.proxy.port());
    const Response response =
        caller.Ask(Bench::Request(method, way.path, "a", Body(method),
                                  "gentianreach-timeout-ms: 100\r\n"));
    CHECK(response.verdict == "not-run");
    CHECK(response.status == 503);
    CHECK(bench.server.runs("a") == 0);
    REQUIRE(bench.contacts.size() >= 1);
    CHECK(bench.contacts[0].kind == ContactKind::kConnectFailed);
  });
}

TEST_CASE("a pooled connection that the server closed harms no request") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    Bench bench;
    bench.server.script = {Behaviour::kResponseAndClose};
    TestCaller caller(bench.loop, bench.proxy.port());
    for (const std::string id : {"a", "b"}) {
      const Response response =
          caller.Ask(Bench::Request(method, way.path, id, Body(method)));
      CHECK(response.verdict == "answered");
      CHECK(bench.server.runs(id) == 1);
    }
  });
}

TEST_CASE("silence ends at the deadline and the connection is not reused") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    Bench bench;
    bench.server.script = {Behaviour::kSilent};
    TestCaller caller(bench.loop, bench.proxy.port());
    const Response response =
        caller.Ask(Bench::Request(method, way.path, "a", Body(method),
                                  "gentianreach-timeout-ms: 50\r\n"));
    CHECK(response.verdict == "may-have-run");
    CHECK(response.status == 504);
    CHECK(bench.server.runs("a") == 1);
    // The late answer must not reach the next request.
    bench.server.AnswerLate();
    const Response next =
        caller.Ask(Bench::Request("POST", way.path, "b", "mine"));
    CHECK(next.body == "mine");
    testing::RunUntil(bench.loop,
                      [&] { return bench.server.closed_by_peer() == 1; });
    CHECK(bench.server.accepted() == 2);
  });
}

TEST_CASE("a frozen server leaves a verdict that says it may have run") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    Bench bench;
    bench.server.otherwise = Behaviour::kFrozen;
    TestCaller caller(bench.loop, bench.proxy.port());
    const Response response =
        caller.Ask(Bench::Request(method, way.path, "a", Body(method),
                                  "gentianreach-timeout-ms: 50\r\n"));
    CHECK(response.verdict == "may-have-run");
  });
}

TEST_CASE("an attempt ends by its route's deadline, not the caller's") {
  Bench bench;
  bench.server.otherwise = Behaviour::kFrozen;
  bench.router.route.deadline =
      bench.loop.Now() + std::chrono::milliseconds(50);
  TestCaller caller(bench.loop, bench.proxy.port());
  const Response response = caller.Ask(Bench::Request(
      "POST", "/keyed/1", "a", "x", "gentianreach-timeout-ms: 25000\r\n"));
  CHECK(response.verdict == "may-have-run");
  CHECK(response.status == 504);
  CHECK(bench.loop.Now() - bench.router.route.deadline <
        std::chrono::seconds(20));
}

TEST_CASE("a request without an owner until its deadline has not run") {
  Bench bench;
  bench.router.route.state = RouteState::kHold;
  TestCaller caller(bench.loop, bench.proxy.port());
  const Response response = caller.Ask(Bench::Request(
      "POST", "/keyed/1", "a", "x", "gentianreach-timeout-ms: 30\r\n"));
  CHECK(response.verdict == "not-run");
  CHECK(bench.server.heads() == 0);
}

TEST_CASE("a request follows its key to the new owner") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    if (way.path.starts_with("/plain")) {
      return;
    }
    Bench bench;
    FakeServer next(bench.loop);
    bench.server.otherwise = Behaviour::kNotOwner;
    TestCaller caller(bench.loop, bench.proxy.port());
    caller.Send(Bench::Request(method, way.path, "a", Body(method)));
    testing::RunUntil(bench.loop, [&] { return bench.server.heads() == 1; });
    bench.Own(next, 2);
    bench.proxy.OwnersChanged();
    const Response response = caller.Receive(method == "HEAD");
    CHECK(response.verdict == "answered");
    CHECK(bench.server.runs("a") == 0);
    CHECK(next.runs("a") == 1);
    CHECK(next.last_body() == Body(method));
  });
}

TEST_CASE("a caller that leaves cancels its request") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    Bench bench;
    bench.server.otherwise = Behaviour::kSilent;
    TestCaller caller(bench.loop, bench.proxy.port());
    caller.Send(Bench::Request(method, way.path, "a", Body(method)));
    testing::RunUntil(bench.loop, [&] { return bench.server.heads() == 1; });
    caller.Leave();
    testing::RunUntil(bench.loop,
                      [&] { return bench.server.closed_by_peer() == 1; });
    REQUIRE(bench.records.size() == 1);
    CHECK(bench.records[0].verdict == Verdict::MayHaveRun(Reason::kCallerGone));
    CHECK(bench.proxy.in_flight() == 0);
  });
}

TEST_CASE("a caller that leaves while its key has no owner has not run") {
  Bench bench;
  bench.router.route.state = RouteState::kHold;
  TestCaller caller(bench.loop, bench.proxy.port());
  caller.Send(Bench::Request("POST", "/keyed/1", "a", "x"));
  testing::RunUntil(bench.loop, [&] { return bench.router.asked > 0; });
  caller.Leave();
  testing::RunUntil(bench.loop, [&] { return !bench.records.empty(); });
  CHECK(bench.records[0].verdict == Verdict::NotRun(Reason::kCallerGone));
}

TEST_CASE("a body that was partly forwarded is never sent again") {
  for (const auto& way : kWays) {
    CAPTURE(way.path);
    Bench bench;
    bench.server.script = {Behaviour::kResetOnHead};
    TestCaller caller(bench.loop, bench.proxy.port());
    caller.Send(
        Bench::Request("POST", way.path, "a", std::string(900'000, 'x')));
    const Response response = caller.Receive();
    CheckPromises(response, bench.server.runs("a"), way.idempotent);
    CHECK(
        (response.verdict == "may-have-run" || response.verdict == "answered"));
  }
}

TEST_CASE("answers that cross keep to their own requests") {
  Bench bench;
  std::vector<std::unique_ptr<TestCaller>> callers;
  callers.reserve(20);
  for (int i = 0; i < 20; ++i) {
    callers.push_back(
        std::make_unique<TestCaller>(bench.loop, bench.proxy.port()));
  }
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < 20; ++i) {
      callers[i]->Send(
          Bench::Request("POST", "/plain", "id", "body-" + std::to_string(i)));
    }
    for (int i = 19; i >= 0; --i) {
      CHECK(callers[i]->Receive().body == "body-" + std::to_string(i));
    }
  }
  CHECK(bench.server.runs("id") == 200);
}

TEST_CASE("a broken streamed answer breaks the caller's connection") {
  Bench bench;
  bench.server.script = {Behaviour::kHalfChunk};
  TestCaller caller(bench.loop, bench.proxy.port());
  const Response response =
      caller.Ask(Bench::Request("GET", "/plain-idem", "a"));
  CHECK_FALSE(response.whole);
  CHECK(caller.closed());
  REQUIRE(bench.records.size() == 1);
  CHECK(bench.records[0].verdict == Verdict::MayHaveRun(Reason::kTruncated));
}

TEST_CASE("a server that refuses for ever gets few tries") {
  for (const std::string path : {"/plain", "/plain-idem"}) {
    Bench bench;
    bench.server.otherwise = Behaviour::kShed;
    TestCaller caller(bench.loop, bench.proxy.port());
    const Response response =
        caller.Ask(Bench::Request("POST", path, "a", "x"));
    CHECK(response.verdict == "not-run");
    CHECK(response.status == 429);
    CHECK(bench.server.heads() <= 3);
  }
}

TEST_CASE("a request that took two servers down is refused, not its like") {
  Bench bench;
  Quarantine quarantine{QuarantineOptions{}};
  bench.proxy.SetQuarantine(&quarantine);
  const auto ask = [&](const std::string& path, const std::string& body) {
    TestCaller caller(bench.loop, bench.proxy.port());
    return caller.Ask(Bench::Request("POST", path, body, body));
  };
  for (int incarnation = 1; incarnation <= 2; ++incarnation) {
    bench.router.route.incarnation = Incarnation(incarnation);
    bench.server.script = {Behaviour::kResetAfterRun};
    CHECK(ask("/keyed/1", "killer").verdict == "may-have-run");
    quarantine.OnServerGone(ServerId("s1"), Incarnation(incarnation),
                            bench.loop.Now());
  }
  bench.router.route.incarnation = Incarnation(3);
  const int heads = bench.server.heads();
  const Response refused = ask("/keyed/1", "killer");
  CHECK(refused.status == 500);
  CHECK(refused.verdict == "not-run");
  CHECK(refused.reason == "quarantined");
  CHECK(bench.server.heads() == heads);
  CHECK(ask("/keyed/1", "harmless").verdict == "answered");
}

TEST_CASE("a wait for the quarantine uses up no attempt") {
  Bench bench;
  Quarantine quarantine{QuarantineOptions{}};
  bench.proxy.SetQuarantine(&quarantine);
  const Fingerprint fingerprint =
      MakeFingerprint(ServiceName("orders"), "POST", "/plain", DigestBody("x"));
  // One crash report and one suspicion that stays for a while.
  const auto lose = [&](std::uint64_t attempt, const ServerId& server) {
    quarantine.OnSent(attempt, fingerprint, server, Incarnation(1),
                      bench.loop.Now());
    quarantine.OnConnectionLost(attempt, bench.loop.Now());
  };
  lose(1001, ServerId("s8"));
  quarantine.OnServerGone(ServerId("s8"), Incarnation(1), bench.loop.Now());
  lose(1002, ServerId("s9"));
  bench.loop.AddTimer(bench.loop.Now() + std::chrono::milliseconds(400), [&] {
    CHECK(bench.server.heads() == 0);
    quarantine.OnServerAlive(ServerId("s9"), Incarnation(1), bench.loop.Now(),
                             bench.loop.Now());
  });
  bench.server.script = {Behaviour::kShed};
  TestCaller caller(bench.loop, bench.proxy.port());
  const Response response =
      caller.Ask(Bench::Request("POST", "/plain", "a", "x"));
  CHECK(response.verdict == "answered");
  CHECK(bench.server.runs("a") == 1);
}

TEST_CASE("a connection forgotten on the way is noticed before the deadline") {
  ForEachRequest([&](const Way& way, const std::string& method) {
    Bench bench;
    TestCaller caller(bench.loop, bench.proxy.port());
    CHECK(caller.Ask(Bench::Request("GET", way.path, "first")).verdict ==
          "answered");
    bench.server.ForgetConnections();
    const Response response =
        caller.Ask(Bench::Request(method, way.path, "a", Body(method)));
    if (way.idempotent) {
      CHECK(response.verdict == "answered");
    } else {
      CHECK(response.verdict == "may-have-run");
      CHECK(response.reason == "silent");
      CHECK(response.status == 504);
    }
    CHECK(bench.server.runs("a") == (way.idempotent ? 1 : 0));
    CHECK(caller.Ask(Bench::Request("GET", way.path, "b")).verdict ==
          "answered");
  });
}

TEST_CASE("a slow request on a sound connection is left to its deadline") {
  Bench bench;
  bench.server.script = {Behaviour::kSilent};
  TestCaller caller(bench.loop, bench.proxy.port());
  const Response response = caller.Ask(Bench::Request(
      "GET", "/keyed/1", "a", "", "gentianreach-timeout-ms: 900\r\n"));
  CHECK(response.verdict == "may-have-run");
  CHECK(response.reason == "deadline");
}

TEST_CASE("more requests than the server takes wait and all get verdicts") {
  Bench bench;
  std::vector<std::unique_ptr<TestCaller>> callers;
  callers.reserve(200);
  for (int i = 0; i < 200; ++i) {
    callers.push_back(
        std::make_unique<TestCaller>(bench.loop, bench.proxy.port()));
    callers.back()->Send(
        Bench::Request("POST", "/plain", std::to_string(i), "x"));
  }
  for (int i = 0; i < 200; ++i) {
    const Response response = callers[i]->Receive();
    CheckPromises(response, bench.server.runs(std::to_string(i)), false);
    if (response.verdict != "answered") {
      CHECK(response.verdict == "not-run");
    }
  }
  CHECK(bench.proxy.in_flight() == 0);
}

}  // namespace
}  // namespace gentianreach::proxy
