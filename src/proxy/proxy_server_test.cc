#include "proxy/proxy_server.h"

#include <string>

#include <doctest/doctest.h>

#include "proxy/proxy_test_support.h"

namespace gentianreach::proxy {
namespace {

using testing::Behavior;
using testing::ProxyFixture;
using testing::Response;
using testing::TestCaller;
using namespace std::chrono_literals;

TEST_CASE("a keyed request reaches its owner with its token and key") {
  ProxyFixture fixture;
  fixture.server.response = "a boat";
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response =
      caller.RoundTrip(ProxyFixture::Request("GET", "/keyed/7", "a"));
  CHECK(response.status == 200);
  CHECK(response.verdict == "answered");
  CHECK(response.body == "a boat");
  CHECK(fixture.server.runs("a") == 1);
  const auto& seen = fixture.server.last_head();
  CHECK(seen.Get("gentianreach-token") == "1");
  CHECK(seen.Get("gentianreach-key-hash") ==
        std::to_string(HashKey(ServiceName("boats"), "7").value()));
  CHECK(seen.Get("gentianreach-request-id") == response.id);
  REQUIRE(fixture.records.size() == 1);
  CHECK(fixture.records[0].verdict.answered());
  CHECK(fixture.records[0].server == ServerId("s1"));
}

TEST_CASE("every method runs exactly once over persistent connections") {
  ProxyFixture fixture;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  for (const std::string method :
       {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
    for (int i = 0; i < 3; ++i) {
      const std::string id = method + std::to_string(i);
      const std::string body = method == "POST" ? "data" : "";
      const Response response =
          caller.RoundTrip(ProxyFixture::Request(method, "/plain/x", id, body));
      CHECK(response.verdict == "answered");
      CHECK(response.body == body);
      CHECK(fixture.server.runs(id) == 1);
    }
  }
  CHECK(fixture.server.accepted() == 1);
}

TEST_CASE("pipelined requests are answered in their order") {
  ProxyFixture fixture;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  caller.Send(ProxyFixture::Request("POST", "/plain", "a", "first") +
              ProxyFixture::Request("GET", "/nowhere", "b") +
              ProxyFixture::Request("POST", "/plain", "c", "third"));
  CHECK(caller.Receive().body == "first");
  CHECK(caller.Receive().status == 404);
  CHECK(caller.Receive().body == "third");
}

TEST_CASE("a large body passes in both directions") {
  ProxyFixture fixture;
  const std::string body(1'000'000, 'x');
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response =
      caller.RoundTrip(ProxyFixture::Request("POST", "/keyed/1", "a", body));
  CHECK(response.verdict == "answered");
  CHECK(fixture.server.last_body() == body);
}

TEST_CASE("a chunked body reaches the server unchanged") {
  ProxyFixture fixture;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response = caller.RoundTrip(
      "POST /plain HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n"
      "\r\n4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n");
  CHECK(response.body == "abcdef");
}

TEST_CASE("a chunked response reaches the caller complete") {
  ProxyFixture fixture;
  fixture.server.default_behavior = Behavior::kChunked;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  CHECK(caller.RoundTrip(ProxyFixture::Request("GET", "/plain", "a")).body ==
        "whole");
  CHECK(caller.RoundTrip(ProxyFixture::Request("GET", "/plain", "b")).body ==
        "whole");
}

TEST_CASE("a caller that expects 100-continue gets an interim response") {
  ProxyFixture fixture;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response = caller.RoundTrip(ProxyFixture::Request(
      "POST", "/plain", "a", "body", "Expect: 100-continue\r\n"));
  CHECK(response.body == "body");
  CHECK_FALSE(fixture.server.last_head().Get("expect"));
}

TEST_CASE("hop-by-hop fields and gentianreach fields are not forwarded") {
  ProxyFixture fixture;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  caller.RoundTrip(
      ProxyFixture::Request("GET", "/plain", "a", "",
                            "Connection: keep-alive, x-hop\r\nx-hop: 1\r\n"
                            "gentianreach-token: 99\r\nTE: trailers\r\n"
                            "x-end: 2\r\n"));
  const auto& seen = fixture.server.last_head();
  CHECK_FALSE(seen.Get("x-hop"));
  CHECK_FALSE(seen.Get("te"));
  CHECK_FALSE(seen.Get("gentianreach-token"));
  CHECK(seen.Get("x-end") == "2");
  CHECK(seen.Get("host") == "test");
}

TEST_CASE(
    "ambiguous or malformed requests are refused and close the connection") {
  const std::string host = "Host: test\r\n";
  const std::string post = "POST /plain HTTP/1.1\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<std::string> bad = {
      post + host + "Content-Length: 3\r\n" + chunked + "\r\n0\r\n\r\n",
      post + host + chunked + "Content-Length: 3\r\n\r\n0\r\n\r\n",
      post + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      post + host + "Content-Length: +3\r\n\r\nabc",
      post + host + "Transfer-Encoding: chunked, gzip\r\n\r\n",
      post + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      post + host + "Transfer-Encoding: xchunked\r\n\r\n",
      post + host + "x: a\nb: c\r\n\r\n",
      post + host + "x: a\rb\r\n\r\n",
      post + host + "x : a\r\n\r\n",
      post + "\r\n",
      post + host + host + "\r\n",
      "GET http://test/plain HTTP/1.1\r\n" + host + "\r\n",
      "CONNECT test:80 HTTP/1.1\r\n" + host + "\r\n",
      "GET /plain HTTP/1.0\r\n" + host + "\r\n",
      "\x16\x03\x01 nonsense\r\n\r\n",
  };
  ProxyFixture fixture;
  for (const auto& it : bad) {
    CAPTURE(it);
    TestCaller caller(fixture.loop, fixture.proxy.port());
    const Response response = caller.RoundTrip(it);
    CHECK(response.status >= 400);
    CHECK(response.verdict == "not-run");
    CHECK(response.reason == "bad-request");
    testing::RunUntil(fixture.loop, [&] { return caller.closed(); });
  }
  CHECK(fixture.server.heads() == 0);
}

TEST_CASE("a head over the limit is refused with 431") {
  ProxyFixture fixture;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  const Response response = caller.RoundTrip(
      ProxyFixture::Request("GET", "/plain", "a", "",
                            "x-long: " + std::string(20'000, 'y') + "\r\n"));
  CHECK(response.status == 431);
}

TEST_CASE("a body over the route's limit is refused with 413") {
  ProxyFixture fixture;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  caller.Send(
      "POST /plain HTTP/1.1\r\nHost: test\r\nContent-Length: 2000000\r\n\r\n");
  const Response response = caller.Receive();
  CHECK(response.status == 413);
  CHECK(response.verdict == "not-run");
}

TEST_CASE("a keyed request without a key is refused") {
  ProxyFixture fixture;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  CHECK(caller.RoundTrip(ProxyFixture::Request("GET", "/keyed", "a")).status ==
        400);
}

TEST_CASE("a held request is sent once the owner is known") {
  ProxyFixture fixture;
  fixture.router.route.state = RouteState::kHold;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  caller.Send(ProxyFixture::Request("GET", "/keyed/1", "a"));
  testing::RunUntil(fixture.loop,
                    [&] { return fixture.router.route_calls > 0; });
  CHECK(fixture.server.heads() == 0);
  fixture.SetOwner(fixture.server, 2);
  fixture.proxy.OwnersChanged();
  CHECK(caller.Receive().verdict == "answered");
  CHECK(fixture.server.last_head().Get("gentianreach-token") == "2");
}

TEST_CASE("a graceful stop finishes the requests in flight") {
  ProxyFixture fixture;
  fixture.server.default_behavior = Behavior::kSilent;
  TestCaller caller(fixture.loop, fixture.proxy.port());
  TestCaller idle(fixture.loop, fixture.proxy.port());
  caller.Send(ProxyFixture::Request("GET", "/keyed/1", "a"));
  testing::RunUntil(fixture.loop, [&] { return fixture.server.heads() == 1; });
  bool done = false;
  fixture.proxy.Stop(fixture.loop.Now() + 10s, [&] { done = true; });
  testing::RunUntil(fixture.loop, [&] { return idle.closed(); });
  CHECK_FALSE(done);
  fixture.server.SendLateResponses();
  CHECK(caller.Receive().body == "late");
  testing::RunUntil(fixture.loop, [&] { return done; });
  CHECK(caller.closed());
}

}  // namespace
}  // namespace gentianreach::proxy
