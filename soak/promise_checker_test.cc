#include "soak/promise_checker.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100'000 + ms));
}

SentRequest Request(const std::string& id, bool idempotent) {
  return {.id = id,
          .method = "POST",
          .path = "/keyed/x",
          .body = "body",
          .key = 7,
          .idempotent = idempotent,
          .daemon = 1,
          .sent = At(0),
          .deadline = At(2000)};
}

ObservedRun Run(const std::string& id,
                const std::string& server,
                std::uint64_t token,
                TimePoint at) {
  return {id, "POST", "/keyed/x", server, 7, token, at};
}

ReceivedResponse MakeResponse(const std::string& id, int status) {
  return {status, id, "stamp", "POST /keyed/x body", At(100)};
}

TEST_CASE(
    "a request that ran once and got its server's response is no violation") {
  PromiseChecker checker(true);
  checker.OnSent(Request("a", false));
  checker.OnRun(Run("a", "s1", 1, At(10)));
  checker.OnResponse("a", MakeResponse("a", 200));
  checker.CheckOwners(At(1000));
  checker.CheckUnanswered(At(1000));
  CHECK(checker.violations().empty());
  CHECK(checker.statuses().at(200) == 1);
}

TEST_CASE("a second run is reported unless the request is idempotent") {
  for (const bool idempotent : {true, false}) {
    PromiseChecker checker(true);
    checker.OnSent(Request("a", idempotent));
    checker.OnRun(Run("a", "s1", 1, At(10)));
    checker.OnRun(Run("a", "s2", 2, At(20)));
    CHECK(checker.violations().empty() == idempotent);
    checker.OnRun(Run("a", "s3", 3, At(30)));
    CHECK_FALSE(checker.violations().empty());
  }
}

TEST_CASE("a refused request that runs is reported, also when it runs later") {
  for (const bool later : {true, false}) {
    PromiseChecker checker(true);
    checker.OnSent(Request("a", false));
    if (later) {
      checker.OnResponse("a", MakeResponse("a", 503));
    }
    checker.OnRun(Run("a", "s1", 1, At(10)));
    if (!later) {
      checker.OnResponse("a", MakeResponse("a", 503));
    }
    CHECK(checker.violations().size() == 1);
  }
}

TEST_CASE("wrong or late responses are reported") {
  PromiseChecker checker(true);
  ReceivedResponse bad = MakeResponse("a", 200);
  SUBCASE("id of another request") {
    bad.request_id = "b";
  }
  SUBCASE("without a stamp") {
    bad.stamp.clear();
  }
  SUBCASE("truncated body") {
    bad.body.pop_back();
  }
  SUBCASE("status 404") {
    bad.status = 404;
  }
  SUBCASE("late") {
    bad.at = At(2501);
  }
  checker.OnSent(Request("a", false));
  checker.OnResponse("a", bad);
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("a late response is no violation while its daemon is disturbed") {
  PromiseChecker checker(true);
  checker.OnSent(Request("a", false));
  checker.AddDisturbance(1, At(1000), At(1500));
  ReceivedResponse late = MakeResponse("a", 200);
  late.at = At(4000);
  checker.OnResponse("a", late);
  CHECK(checker.violations().empty());
}

TEST_CASE("a run under a lower token than the previous owner's is reported") {
  PromiseChecker checker(true);
  for (const char* id : {"a", "b", "c"}) {
    checker.OnSent(Request(id, true));
  }
  // Reports from different servers may arrive out of order.
  checker.OnRun(Run("b", "s2", 6, At(20)));
  checker.OnRun(Run("a", "s1", 5, At(10)));
  checker.CheckOwners(At(25));
  CHECK(checker.violations().empty());
  checker.OnRun(Run("c", "s1", 5, At(30)));
  checker.CheckOwners(At(40));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("two servers with the same token are reported") {
  PromiseChecker checker(true);
  checker.OnSent(Request("a", true));
  checker.OnSent(Request("b", true));
  checker.OnRun(Run("a", "s1", 5, At(10)));
  checker.OnRun(Run("b", "s2", 5, At(20)));
  checker.CheckOwners(At(40));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE(
    "a request that ran without a response is reported unless disturbed") {
  for (const bool disturbed : {true, false}) {
    PromiseChecker checker(true);
    checker.OnSent(Request("a", true));
    checker.OnSent(Request("b", true));
    checker.OnRun(Run("a", "s1", 5, At(10)));
    checker.OnNoResponse("a", At(20));
    checker.OnNoResponse("b", At(20));
    if (disturbed) {
      checker.AddDisturbance(1, At(15), At(18));
    }
    checker.CheckUnanswered(At(30));
    CHECK(checker.violations().size() == (disturbed ? 0 : 1));
  }
}

TEST_CASE("a run of a request that was not sent is reported") {
  PromiseChecker checker(true);
  checker.OnRun(Run("a", "s1", 5, At(10)));
  CHECK(checker.violations().size() == 1);
}

}  // namespace
}  // namespace gentianreach::soak
