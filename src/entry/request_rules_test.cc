#include "entry/request_rules.h"

#include <chrono>
#include <limits>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

const HeaderNames kNames = {.request_id = "x-id",
                            .deadline_ms = "x-deadline",
                            .response_stamp = "x-stamp",
                            .expected_server = "x-expect",
                            .server_load = "x-load",
                            .not_run = "x-not-run",
                            .key = "x-key"};

http::MessageHead MakeResponse(int status,
                               const std::string& id,
                               const std::string& stamp,
                               bool not_run = false) {
  http::MessageHead head;
  head.status = status;
  if (!id.empty()) {
    head.Add(http::FieldId::unknown, "X-Id", id);
  }
  if (!stamp.empty()) {
    head.Add(http::FieldId::unknown, "X-Stamp", stamp);
  }
  if (not_run) {
    head.Add(http::FieldId::unknown, "X-Not-Run", "1");
  }
  return head;
}

ResponseKind Classify(const http::MessageHead& head, bool is_first = true) {
  return ClassifyResponse(head, kNames,
                          {.request_id = "r1", .is_first = is_first});
}

TEST_CASE("a stamped response with the request id is final") {
  CHECK(Classify(MakeResponse(200, "r1", "s")) == ResponseKind::kFinal);
  CHECK(Classify(MakeResponse(404, "r1", "s")) == ResponseKind::kFinal);
  CHECK(Classify(MakeResponse(500, "r1", "s")) == ResponseKind::kServerError);
}

// Guards against passing on what is no response: 000 reached a caller once.
TEST_CASE("a response without a final status is unusable") {
  for (const int status : {0, 1, 99, 100, 101, 199, 600, 999}) {
    CAPTURE(status);
    CHECK(Classify(MakeResponse(status, "r1", "s")) == ResponseKind::kUnusable);
    CHECK(ClassifyResponse(MakeResponse(status, "r1", "s", true), kNames,
                           {.request_id = "r1", .idempotent = true}) ==
          ResponseKind::kUnusable);
  }
  CHECK(Classify(MakeResponse(599, "r1", "s")) == ResponseKind::kServerError);
}

TEST_CASE("a response with a different request id is classified as such") {
  CHECK(Classify(MakeResponse(200, "r2", "s")) ==
        ResponseKind::kWrongRequestId);
  CHECK(Classify(MakeResponse(503, "r2", "", true)) ==
        ResponseKind::kWrongRequestId);
}

TEST_CASE("a response without a request id or stamp is unusable") {
  CHECK(Classify(MakeResponse(200, "", "s")) == ResponseKind::kUnusable);
  CHECK(Classify(MakeResponse(200, "r1", "")) == ResponseKind::kUnusable);
  CHECK(Classify(MakeResponse(500, "r1", "")) == ResponseKind::kUnusable);
}

TEST_CASE("a request counts as not run only if the not-run header says so") {
  CHECK(Classify(MakeResponse(503, "r1", "", true)) == ResponseKind::kNotRun);
  CHECK(Classify(MakeResponse(421, "", "", true)) == ResponseKind::kNotRun);
  CHECK(Classify(MakeResponse(503, "r1", "")) == ResponseKind::kUnusable);
  // The header is ignored on a successful response.
  CHECK(Classify(MakeResponse(200, "r1", "s", true)) == ResponseKind::kFinal);
}

TEST_CASE("a response without a request id proves nothing unless it is first") {
  for (const int status : {400, 421, 429, 503}) {
    CAPTURE(status);
    CHECK(Classify(MakeResponse(status, "", "", true)) ==
          ResponseKind::kNotRun);
    CHECK(Classify(MakeResponse(status, "", "", true), false) ==
          ResponseKind::kUnusable);
    CHECK(Classify(MakeResponse(status, "r1", "", true), false) ==
          ResponseKind::kNotRun);
  }
  CHECK(ClassifyResponse(MakeResponse(200, "", "s"), kNames, {}) ==
        ResponseKind::kUnusable);
}

TEST_CASE("a response that was run is not passed on as a promise") {
  for (const int status : {408, 421, 429, 503}) {
    CAPTURE(status);
    const auto head = MakeResponse(status, "r1", "s");
    CHECK(Classify(head) == ResponseKind::kFalsePromise);
    CHECK(ClassifyResponse(head, kNames,
                           {.request_id = "r1", .idempotent = true}) !=
          ResponseKind::kFalsePromise);
  }
}

TEST_CASE("a response with a content encoding is unusable") {
  auto head = MakeResponse(200, "r1", "s");
  head.Add(http::FieldId::content_encoding, "Content-Encoding", "gzip");
  CHECK(Classify(head) == ResponseKind::kUnusable);
}

TEST_CASE(
    "the deadline is the earlier of the caller's deadline and the route's "
    "timeout") {
  routing::Route route;
  route.timeout = milliseconds(1000);
  const TimePoint now(std::chrono::seconds(9));
  http::MessageHead head;
  CHECK(RequestDeadline(head, kNames, route, now) == now + milliseconds(1000));
  head.Add(http::FieldId::unknown, "X-Deadline", "300");
  CHECK(RequestDeadline(head, kNames, route, now) == now + milliseconds(300));
  http::MessageHead malformed;
  malformed.Add(http::FieldId::unknown, "X-Deadline", "soon");
  CHECK(RequestDeadline(malformed, kNames, route, now) ==
        now + milliseconds(1000));
}

TEST_CASE(
    "the latency limit follows the objective, the time left and the processing "
    "time") {
  routing::Route route;
  route.latency_objective = milliseconds(400);
  CHECK(MaxExpectedLatency(route, milliseconds(100), milliseconds(1000)) ==
        milliseconds(440));
  // Close to the deadline, the time left is the limit.
  CHECK(MaxExpectedLatency(route, milliseconds(100), milliseconds(200)) ==
        milliseconds(170));
  // A server that always misses the objective is still used.
  CHECK(MaxExpectedLatency(route, milliseconds(700), milliseconds(2000)) ==
        milliseconds(700));
}

TEST_CASE("Retry-After is clamped to the range that callers honour") {
  CHECK(ClampRetryAfter(milliseconds(100), milliseconds(1000)) ==
        milliseconds(100));
  CHECK(ClampRetryAfter(milliseconds(700), milliseconds(1000)) ==
        milliseconds(300));
  CHECK(ClampRetryAfter(milliseconds(1), milliseconds(1000)) ==
        milliseconds(40));
  CHECK(FormatSeconds(milliseconds(1250)) == "1.250");
}

TEST_CASE("ParseNumber accepts only whole numbers up to the maximum") {
  CHECK(ParseNumber("65535", 65535) == 65535);
  CHECK_FALSE(ParseNumber("65536", 65535).has_value());
  CHECK_FALSE(ParseNumber("-1", 65535).has_value());
  CHECK_FALSE(ParseNumber("1x", 65535).has_value());
  CHECK_FALSE(ParseNumber("", 65535).has_value());
}

TEST_CASE("ParseDecimal accepts only decimal numbers that are not negative") {
  CHECK(ParseDecimal("0") == 0);
  CHECK(ParseDecimal("21.5") == 21.5);
  CHECK(ParseDecimal("inf") == std::numeric_limits<double>::infinity());
  for (const char* it : {"", "-1", "-0", "-inf", "nan", "-nan", "1e400", "3/s",
                         " 3", "3 ", "3,5", "+3"}) {
    CHECK_MESSAGE(!ParseDecimal(it), it);
  }
}

TEST_CASE("a rest is the Retry-After of a 503 in seconds") {
  const TimePoint now(std::chrono::seconds(10));
  const auto rest = [&](int status, const char* retry_after) {
    http::MessageHead head;
    head.status = status;
    head.Add(http::FieldId::retry_after, "Retry-After", retry_after);
    return RequestedRest(head, now);
  };
  CHECK(rest(503, "3") == now + std::chrono::seconds(3));
  CHECK(rest(503, "0.25") == now + milliseconds(250));
  CHECK(rest(503, "1e30") == now + std::chrono::hours(1));
  CHECK(rest(503, "inf") == now + std::chrono::hours(1));
  CHECK_FALSE(rest(429, "3"));
  for (const char* it :
       {"", "0", "-1", "nan", "3 s", "Fri, 04 Dec 2026 11:20:19 GMT"}) {
    CAPTURE(it);
    CHECK_FALSE(rest(503, it));
  }
}

}  // namespace
}  // namespace gentianreach::entry
