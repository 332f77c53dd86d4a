// Injects faults at each step of a request and compares the caller's verdict
// with what the server actually ran.
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "proxy/proxy_server.h"
#include "proxy/proxy_test_support.h"

namespace gentianreach::proxy {
namespace {

using testing::Behavior;
using testing::FakeServer;
using testing::ProxyFixture;
using testing::Response;
using testing::TestCaller;
using namespace std::chrono_literals;

struct RouteCase {
  std::string path;
  bool idempotent;
};

const std::vector<RouteCase> kRouteCases = {{"/keyed/1", false},
                                            {"/keyed-idem/1", true},
                                            {"/plain", false},
                                            {"/plain-idem", true}};
const std::vector<std::string> kMethods = {"GET", "HEAD",  "POST",
                                           "PUT", "PATCH", "DELETE"};

// Faults after which the request has not run, and faults after which it has.
const std::vector<Behavior> kNotRunFaults = {
    Behavior::kNotOwner, Behavior::kShed, Behavior::kDraining};
const std::vector<Behavior> kRunFaults = {
    Behavior::kResetAfterRun, Behavior::kCloseAfterRun, Behavior::kHalfResponse,
    Behavior::kHalfChunk,     Behavior::kBadChunk,      Behavior::kNoLength};

// Checks the guarantees that hold for every fault.
void CheckVerdictInvariants(const Response& response,
                            int runs,
                            bool idempotent) {
  if (response.verdict == "not-run") {
    CHECK(runs == 0);
    CHECK(response.status != 502);
    CHECK(response.status != 504);
  }
  if (response.verdict == "answered") {
    CHECK(response.complete);
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

// Calls `check(route_case, method)` for each combination.
template <typename F>
void ForEachRequest(const F& check) {
  for (const auto& route_case : kRouteCases) {
    for (const auto& method : kMethods) {
      CAPTURE(route_case.path);
      CAPTURE(method);
      check(route_case, method);
    }
  }
}

TEST_CASE("a request refused by the server is retried and runs once") {
  for (const Behavior fault : kNotRunFaults) {
    ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
      CAPTURE(static_cast<int>(fault));
      ProxyFixture fixture;
      fixture.server.script = {fault};
      TestCaller caller(fixture.loop, fixture.proxy.port());
      const Response response = caller.RoundTrip(
          ProxyFixture::Request(method, route_case.path, "a", Body(method)));
      CHECK(response.verdict == "answered");
      CHECK(fixture.server.runs("a") == 1);
      CHECK(fixture.server.heads() == 2);
    });
  }
}

TEST_CASE("a copy of a refusal is not the response to the next attempt") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    fixture.server.script = {Behavior::kNotOwnerRepeated};
    TestCaller caller(fixture.loop, fixture.proxy.port());
    const Response response = caller.RoundTrip(
        ProxyFixture::Request(method, route_case.path, "a", Body(method)));
    CHECK(response.verdict == "answered");
    CHECK(fixture.server.runs("a") == 1);
  });
}

TEST_CASE("a request that fails after it ran is retried only if idempotent") {
  for (const Behavior fault : kRunFaults) {
    ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
      CAPTURE(static_cast<int>(fault));
      // A response to HEAD has no body that could break.
      if (method == "HEAD" && fault != Behavior::kResetAfterRun &&
          fault != Behavior::kCloseAfterRun) {
        return;
      }
      ProxyFixture fixture;
      fixture.server.script = {fault};
      TestCaller caller(fixture.loop, fixture.proxy.port());
      const Response response = caller.RoundTrip(
          ProxyFixture::Request(method, route_case.path, "a", Body(method)));
      CheckVerdictInvariants(response, fixture.server.runs("a"),
                             route_case.idempotent);
      const bool begun = fault == Behavior::kHalfChunk;
      if (route_case.idempotent && !begun) {
        CHECK(response.verdict == "answered");
        CHECK(fixture.server.runs("a") == 2);
      } else {
        CHECK(fixture.server.runs("a") == 1);
        CHECK((response.verdict == "may-have-run" || !response.complete));
      }
    });
  }
}

TEST_CASE("a reset before the body is read does not give the verdict not-run") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    fixture.server.script = {Behavior::kResetOnHead};
    TestCaller caller(fixture.loop, fixture.proxy.port());
    const Response response = caller.RoundTrip(
        ProxyFixture::Request(method, route_case.path, "a", Body(method)));
    CheckVerdictInvariants(response, fixture.server.runs("a"),
                           route_case.idempotent);
    CHECK(response.verdict ==
          (route_case.idempotent ? "answered" : "may-have-run"));
  });
}

TEST_CASE("a reset on accept never makes a request run twice") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    fixture.server.script = {Behavior::kResetOnAccept};
    TestCaller caller(fixture.loop, fixture.proxy.port());
    const Response response = caller.RoundTrip(
        ProxyFixture::Request(method, route_case.path, "a", Body(method)));
    CheckVerdictInvariants(response, fixture.server.runs("a"),
                           route_case.idempotent);
  });
}

TEST_CASE("a refused connection gives the verdict not-run") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    fixture.server.StopListening();
    TestCaller caller(fixture.loop, fixture.proxy.port());
    const Response response = caller.RoundTrip(
        ProxyFixture::Request(method, route_case.path, "a", Body(method),
                              "gentianreach-timeout-ms: 100\r\n"));
    CHECK(response.verdict == "not-run");
    CHECK(response.status == 503);
    CHECK(fixture.server.runs("a") == 0);
    REQUIRE(fixture.contacts.size() >= 1);
    CHECK(fixture.contacts[0].kind == ContactKind::kConnectFailed);
  });
}

TEST_CASE("a pooled connection closed by the server fails no request") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    fixture.server.script = {Behavior::kResponseAndClose};
    TestCaller caller(fixture.loop, fixture.proxy.port());
    for (const std::string id : {"a", "b"}) {
      const Response response = caller.RoundTrip(
          ProxyFixture::Request(method, route_case.path, id, Body(method)));
      CHECK(response.verdict == "answered");
      CHECK(fixture.server.runs(id) == 1);
    }
  });
}

TEST_CASE(
    "a server without a response times out and its connection is not reused") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    fixture.server.script = {Behavior::kSilent};
    TestCaller caller(fixture.loop, fixture.proxy.port());
    const Response response = caller.RoundTrip(
        ProxyFixture::Request(method, route_case.path, "a", Body(method),
                              "gentianreach-timeout-ms: 50\r\n"));
    CHECK(response.verdict == "may-have-run");
    CHECK(response.status == 504);
    CHECK(fixture.server.runs("a") == 1);
    // The late response must not be returned for the next request.
    fixture.server.SendLateResponses();
    const Response next = caller.RoundTrip(
        ProxyFixture::Request("POST", route_case.path, "b", "mine"));
    CHECK(next.body == "mine");
    testing::RunUntil(fixture.loop,
                      [&] { return fixture.server.closed_by_peer() == 1; });
    CHECK(fixture.server.accepted() == 2);
  });
}

TEST_CASE("a server that reads nothing gives the verdict may-have-run") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    fixture.server.default_behavior = Behavior::kFrozen;
    TestCaller caller(fixture.loop, fixture.proxy.port());
    const Response response = caller.RoundTrip(
        ProxyFixture::Request(method, route_case.path, "a", Body(method),
                              "gentianreach-timeout-ms: 50\r\n"));
    CHECK(response.verdict == "may-have-run");
  });
}

TEST_CASE(
    "an attempt ends at the key route's deadline if the caller's is later") {
  ProxyFixture fixture;
  fixture.server.default_behavior = Behavior::kFrozen;
  fixture.router.route.deadline =
      fixture.loop.Now() + std::chrono::milliseconds(50);
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response = caller.RoundTrip(ProxyFixture::Request(
      "POST", "/keyed/1", "a", "x", "gentianreach-timeout-ms: 25000\r\n"));
  CHECK(response.verdict == "may-have-run");
  CHECK(response.status == 504);
  CHECK(fixture.loop.Now() - fixture.router.route.deadline <
        std::chrono::seconds(20));
}

TEST_CASE(
    "a request without an owner until its deadline gets the verdict not-run") {
  ProxyFixture fixture;
  fixture.router.route.state = RouteState::kHold;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response = caller.RoundTrip(ProxyFixture::Request(
      "POST", "/keyed/1", "a", "x", "gentianreach-timeout-ms: 30\r\n"));
  CHECK(response.verdict == "not-run");
  CHECK(fixture.server.heads() == 0);
}

TEST_CASE("a request is sent to the new owner after its key moves") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    if (route_case.path.starts_with("/plain")) {
      return;
    }
    ProxyFixture fixture;
    FakeServer next(fixture.loop);
    fixture.server.default_behavior = Behavior::kNotOwner;
    TestCaller caller(fixture.loop, fixture.proxy.port());
    caller.Send(
        ProxyFixture::Request(method, route_case.path, "a", Body(method)));
    testing::RunUntil(fixture.loop,
                      [&] { return fixture.server.heads() == 1; });
    fixture.SetOwner(next, 2);
    fixture.proxy.OwnersChanged();
    const Response response = caller.Receive(method == "HEAD");
    CHECK(response.verdict == "answered");
    CHECK(fixture.server.runs("a") == 0);
    CHECK(next.runs("a") == 1);
    CHECK(next.last_body() == Body(method));
  });
}

TEST_CASE("a caller that disconnects cancels its request") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    fixture.server.default_behavior = Behavior::kSilent;
    TestCaller caller(fixture.loop, fixture.proxy.port());
    caller.Send(
        ProxyFixture::Request(method, route_case.path, "a", Body(method)));
    testing::RunUntil(fixture.loop,
                      [&] { return fixture.server.heads() == 1; });
    caller.Disconnect();
    testing::RunUntil(fixture.loop,
                      [&] { return fixture.server.closed_by_peer() == 1; });
    REQUIRE(fixture.records.size() == 1);
    CHECK(fixture.records[0].verdict ==
          Verdict::MayHaveRun(Reason::kCallerGone));
    CHECK(fixture.proxy.in_flight() == 0);
  });
}

TEST_CASE(
    "a request whose caller disconnects before its key has an owner is not "
    "run") {
  ProxyFixture fixture;
  fixture.router.route.state = RouteState::kHold;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  caller.Send(ProxyFixture::Request("POST", "/keyed/1", "a", "x"));
  testing::RunUntil(fixture.loop,
                    [&] { return fixture.router.route_calls > 0; });
  caller.Disconnect();
  testing::RunUntil(fixture.loop, [&] { return !fixture.records.empty(); });
  CHECK(fixture.records[0].verdict == Verdict::NotRun(Reason::kCallerGone));
}

TEST_CASE("a body that was partly forwarded is never sent again") {
  for (const auto& route_case : kRouteCases) {
    CAPTURE(route_case.path);
    ProxyFixture fixture;
    fixture.server.script = {Behavior::kResetOnHead};
    TestCaller caller(fixture.loop, fixture.proxy.port());
    caller.Send(ProxyFixture::Request("POST", route_case.path, "a",
                                      std::string(900'000, 'x')));
    const Response response = caller.Receive();
    CheckVerdictInvariants(response, fixture.server.runs("a"),
                           route_case.idempotent);
    CHECK(
        (response.verdict == "may-have-run" || response.verdict == "answered"));
  }
}

TEST_CASE("concurrent responses reach the callers of their requests") {
  ProxyFixture fixture;
  std::vector<std::unique_ptr<TestCaller>> callers;
  callers.reserve(20);
  for (int i = 0; i < 20; ++i) {
    callers.push_back(
        std::make_unique<TestCaller>(fixture.loop, fixture.proxy.port()));
  }
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < 20; ++i) {
      callers[i]->Send(ProxyFixture::Request("POST", "/plain", "id",
                                             "body-" + std::to_string(i)));
    }
    for (int i = 19; i >= 0; --i) {
      CHECK(callers[i]->Receive().body == "body-" + std::to_string(i));
    }
  }
  CHECK(fixture.server.runs("id") == 200);
}

TEST_CASE("a truncated streamed response closes the caller's connection") {
  ProxyFixture fixture;
  fixture.server.script = {Behavior::kHalfChunk};
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response =
      caller.RoundTrip(ProxyFixture::Request("GET", "/plain-idem", "a"));
  CHECK_FALSE(response.complete);
  CHECK(caller.closed());
  REQUIRE(fixture.records.size() == 1);
  CHECK(fixture.records[0].verdict == Verdict::MayHaveRun(Reason::kTruncated));
}

TEST_CASE("a server that always refuses gets at most three attempts") {
  for (const std::string path : {"/plain", "/plain-idem"}) {
    ProxyFixture fixture;
    fixture.server.default_behavior = Behavior::kShed;
    TestCaller caller(fixture.loop, fixture.proxy.port());
    const Response response =
        caller.RoundTrip(ProxyFixture::Request("POST", path, "a", "x"));
    CHECK(response.verdict == "not-run");
    CHECK(response.status == 429);
    CHECK(fixture.server.heads() <= 3);
  }
}

TEST_CASE(
    "a request that crashed two servers is refused while similar ones are "
    "served") {
  ProxyFixture fixture;
  Quarantine quarantine{QuarantineOptions{}};
  fixture.proxy.SetQuarantine(&quarantine);
  const auto send = [&](const std::string& path, const std::string& body) {
    TestCaller caller(fixture.loop, fixture.proxy.port());
    return caller.RoundTrip(ProxyFixture::Request("POST", path, body, body));
  };
  for (int incarnation = 1; incarnation <= 2; ++incarnation) {
    fixture.router.route.incarnation = Incarnation(incarnation);
    fixture.server.script = {Behavior::kResetAfterRun};
    CHECK(send("/keyed/1", "killer").verdict == "may-have-run");
    quarantine.OnServerGone(ServerId("s1"), Incarnation(incarnation),
                            fixture.loop.Now());
  }
  fixture.router.route.incarnation = Incarnation(3);
  const int heads = fixture.server.heads();
  const Response refused = send("/keyed/1", "killer");
  CHECK(refused.status == 500);
  CHECK(refused.verdict == "not-run");
  CHECK(refused.reason == "quarantined");
  CHECK(fixture.server.heads() == heads);
  CHECK(send("/keyed/1", "harmless").verdict == "answered");
}

TEST_CASE("waiting for the quarantine does not count as an attempt") {
  ProxyFixture fixture;
  Quarantine quarantine{QuarantineOptions{}};
  fixture.proxy.SetQuarantine(&quarantine);
  const Fingerprint fingerprint =
      MakeFingerprint(ServiceName("orders"), "POST", "/plain", DigestBody("x"));
  // One crash report, and one suspicion that is cleared after 400 ms.
  const auto lose = [&](std::uint64_t attempt, const ServerId& server) {
    quarantine.OnSent(attempt, fingerprint, server, Incarnation(1),
                      fixture.loop.Now());
    quarantine.OnConnectionLost(attempt, fixture.loop.Now());
  };
  lose(1001, ServerId("s8"));
  quarantine.OnServerGone(ServerId("s8"), Incarnation(1), fixture.loop.Now());
  lose(1002, ServerId("s9"));
  fixture.loop.AddTimer(
      fixture.loop.Now() + std::chrono::milliseconds(400), [&] {
        CHECK(fixture.server.heads() == 0);
        quarantine.OnServerAlive(ServerId("s9"), Incarnation(1),
                                 fixture.loop.Now(), fixture.loop.Now());
      });
  fixture.server.script = {Behavior::kShed};
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response =
      caller.RoundTrip(ProxyFixture::Request("POST", "/plain", "a", "x"));
  CHECK(response.verdict == "answered");
  CHECK(fixture.server.runs("a") == 1);
}

TEST_CASE(
    "a connection whose packets are dropped is detected before the deadline") {
  ForEachRequest([&](const RouteCase& route_case, const std::string& method) {
    ProxyFixture fixture;
    TestCaller caller(fixture.loop, fixture.proxy.port());
    CHECK(
        caller.RoundTrip(ProxyFixture::Request("GET", route_case.path, "first"))
            .verdict == "answered");
    fixture.server.DropIncomingPackets();
    const Response response = caller.RoundTrip(
        ProxyFixture::Request(method, route_case.path, "a", Body(method)));
    if (route_case.idempotent) {
      CHECK(response.verdict == "answered");
    } else {
      CHECK(response.verdict == "may-have-run");
      CHECK(response.reason == "silent");
      CHECK(response.status == 504);
    }
    CHECK(fixture.server.runs("a") == (route_case.idempotent ? 1 : 0));
    CHECK(caller.RoundTrip(ProxyFixture::Request("GET", route_case.path, "b"))
              .verdict == "answered");
  });
}

TEST_CASE(
    "a slow request on a working connection is not aborted before its "
    "deadline") {
  ProxyFixture fixture;
  fixture.server.script = {Behavior::kSilent};
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response = caller.RoundTrip(ProxyFixture::Request(
      "GET", "/keyed/1", "a", "", "gentianreach-timeout-ms: 900\r\n"));
  CHECK(response.verdict == "may-have-run");
  CHECK(response.reason == "deadline");
}

TEST_CASE("requests beyond the server's capacity wait and all get verdicts") {
  ProxyFixture fixture;
  std::vector<std::unique_ptr<TestCaller>> callers;
  callers.reserve(200);
  for (int i = 0; i < 200; ++i) {
    callers.push_back(
        std::make_unique<TestCaller>(fixture.loop, fixture.proxy.port()));
    callers.back()->Send(
        ProxyFixture::Request("POST", "/plain", std::to_string(i), "x"));
  }
  for (int i = 0; i < 200; ++i) {
    const Response response = callers[i]->Receive();
    CheckVerdictInvariants(response, fixture.server.runs(std::to_string(i)),
                           false);
    if (response.verdict != "answered") {
      CHECK(response.verdict == "not-run");
    }
  }
  CHECK(fixture.proxy.in_flight() == 0);
}

}  // namespace
}  // namespace gentianreach::proxy
