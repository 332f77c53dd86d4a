#include "soak/expected_requests.h"

#include <chrono>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach::soak {
namespace {

using std::chrono::seconds;

const TimePoint kFrom = TimePoint(seconds(100));
const RequestKind kPlain{"/read/", false, true};
const RequestKind kKeyed{"/keyed/", true, true};

// Guards against a check of requests that nobody made.
TEST_CASE(
    "every route and key is asked for at every daemon until it is served") {
  ExpectedRequests expected;
  expected.Expect(2, {kPlain, kKeyed}, {1, 2}, kFrom);
  const std::set<std::string> all = {"/read/", "/keyed/1", "/keyed/2"};
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    for (int round = 0; round < 2; ++round) {
      std::set<std::string> asked;
      for (std::size_t i = 0; i < all.size(); ++i) {
        const auto next = expected.Next(daemon);
        REQUIRE(next.has_value());
        asked.insert(next->name());
      }
      CHECK(asked == all);
    }
  }
  while (const auto next = expected.Next(0)) {
    expected.OnSuccess(0, *next, kFrom);
  }
  CHECK_FALSE(expected.AllServed());
  while (const auto next = expected.Next(1)) {
    expected.OnSuccess(1, *next, kFrom);
  }
  CHECK(expected.AllServed());
}

TEST_CASE("a success counts for its daemon, route and key only") {
  ExpectedRequests expected;
  expected.Expect(2, {kKeyed}, {1, 2}, kFrom);
  expected.OnSuccess(0, {kKeyed, 1}, kFrom);
  CHECK(expected.DescribeUnserved() ==
        "3 of them, first /keyed/2 by d0, asked for 0 times by its probe");
}

TEST_CASE("a success of a request that was sent earlier does not count") {
  ExpectedRequests expected;
  expected.Expect(1, {kPlain}, {}, kFrom);
  expected.OnSuccess(0, {kPlain, std::nullopt}, kFrom - seconds(1));
  CHECK_FALSE(expected.AllServed());
  expected.OnSuccess(0, {kPlain, std::nullopt}, kFrom);
  CHECK(expected.AllServed());
}

}  // namespace
}  // namespace gentianreach::soak
