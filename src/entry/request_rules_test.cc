#include "entry/request_rules.h"

#include <chrono>
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

http::MessageHead Answer(int status,
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

ResponseKind Evaluate(const http::MessageHead& head) {
  return JudgeResponse(head, kNames, "r1");
}

TEST_CASE("a stamped answer with the request's id is final") {
  CHECK(Evaluate(Answer(200, "r1", "s")) == ResponseKind::kFinal);
  CHECK(Evaluate(Answer(404, "r1", "s")) == ResponseKind::kFinal);
  CHECK(Evaluate(Answer(500, "r1", "s")) == ResponseKind::kServerError);
}

TEST_CASE("an answer with another id belongs to another request") {
  CHECK(Evaluate(Answer(200, "r2", "s")) == ResponseKind::kForeign);
  CHECK(Evaluate(Answer(503, "r2", "", true)) == ResponseKind::kForeign);
}

TEST_CASE("an answer without id or stamp is unusable") {
  CHECK(Evaluate(Answer(200, "", "s")) == ResponseKind::kUnusable);
  CHECK(Evaluate(Answer(200, "r1", "")) == ResponseKind::kUnusable);
  CHECK(Evaluate(Answer(500, "r1", "")) == ResponseKind::kUnusable);
}

TEST_CASE("only the server's own word says that a request has not run") {
  CHECK(Evaluate(Answer(503, "r1", "", true)) == ResponseKind::kNotRun);
  CHECK(Evaluate(Answer(421, "", "", true)) == ResponseKind::kNotRun);
  CHECK(Evaluate(Answer(503, "r1", "")) == ResponseKind::kUnusable);
  // A success that claims not to have run is no statement.
  CHECK(Evaluate(Answer(200, "r1", "s", true)) == ResponseKind::kFinal);
}

TEST_CASE("an encoded body is not the server's") {
  auto head = Answer(200, "r1", "s");
  head.Add(http::FieldId::content_encoding, "Content-Encoding", "gzip");
  CHECK(Evaluate(head) == ResponseKind::kUnusable);
}

TEST_CASE("the deadline is the sooner of the caller's and the route's") {
  routing::Route route;
  route.timeout = milliseconds(1000);
  const TimePoint now(std::chrono::seconds(9));
  http::MessageHead head;
  CHECK(RequestDeadline(head, kNames, route, now) == now + milliseconds(1000));
  head.Add(http::FieldId::unknown, "X-Deadline", "300");
  CHECK(RequestDeadline(head, kNames, route, now) == now + milliseconds(300));
  http::MessageHead wrong;
  wrong.Add(http::FieldId::unknown, "X-Deadline", "soon");
  CHECK(RequestDeadline(wrong, kNames, route, now) == now + milliseconds(1000));
}

TEST_CASE("a request is refused rather than answered late") {
  routing::Route route;
  route.latency_objective = milliseconds(400);
  CHECK(LongestLatency(route, milliseconds(100), milliseconds(1000)) ==
        milliseconds(440));
  // Near the deadline there is less time.
  CHECK(LongestLatency(route, milliseconds(100), milliseconds(200)) ==
        milliseconds(170));
  // A server that is always late is still better than none.
  CHECK(LongestLatency(route, milliseconds(700), milliseconds(2000)) ==
        milliseconds(700));
}

TEST_CASE("callers are asked back within what they honour") {
  CHECK(BoundRetryAfter(milliseconds(100), milliseconds(1000)) ==
        milliseconds(100));
  CHECK(BoundRetryAfter(milliseconds(700), milliseconds(1000)) ==
        milliseconds(300));
  CHECK(BoundRetryAfter(milliseconds(1), milliseconds(1000)) ==
        milliseconds(40));
  CHECK(FormatSeconds(milliseconds(1250)) == "1.250");
}

TEST_CASE("numbers are whole and bounded") {
  CHECK(ParseNumber("65535", 65535) == 65535);
  CHECK_FALSE(ParseNumber("65536", 65535).has_value());
  CHECK_FALSE(ParseNumber("-1", 65535).has_value());
  CHECK_FALSE(ParseNumber("1x", 65535).has_value());
  CHECK_FALSE(ParseNumber("", 65535).has_value());
}

}  // namespace
}  // namespace gentianreach::entry
