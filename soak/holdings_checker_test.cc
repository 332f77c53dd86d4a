#include "soak/holdings_checker.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kKey = 7;
constexpr milliseconds kLease{6000};

TimePoint At(int ms) {
  return TimePoint(milliseconds(100'000 + ms));
}

ObservedOrder Grant(const std::string& server, std::uint64_t token, int ms) {
  return {.server = server,
          .first = 0,
          .last = 10,
          .token = token,
          .at = At(ms),
          .until = At(ms) + kLease};
}

ObservedOrder Release(const std::string& server, int ms) {
  return {.server = server, .first = 0, .last = 10, .at = At(ms)};
}

TEST_CASE("keys may move after a release, an end of the server or its lease") {
  HoldingsChecker checker({kKey});
  checker.OnOrder(Grant("a", 1, 0));
  SUBCASE("release") {
    checker.OnOrder(Release("a", 1000));
  }
  SUBCASE("end") {
    checker.OnEnd("a", At(1000));
  }
  SUBCASE("lease") {}
  checker.OnOrder(Grant("b", 2, 6001));
  checker.Check(At(20'000));
  CHECK(checker.violations().empty());
  CHECK(checker.orders() >= 2);
}

TEST_CASE(
    "two servers that hold a key for more than the tolerance are reported"
    " once") {
  HoldingsChecker checker({kKey});
  checker.OnOrder(Grant("a", 1, 0));
  checker.OnOrder(Grant("b", 2, 1000));
  checker.Check(At(1500));
  CHECK(checker.violations().empty());
  checker.Check(At(1501));
  checker.Check(At(9000));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE(
    "a server that held a key with another until its lease ended is"
    " reported") {
  HoldingsChecker checker({kKey});
  checker.OnOrder(Grant("a", 1, 0));
  checker.OnOrder(Grant("b", 2, 5000));
  checker.Check(At(20'000));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("orders that were held up on their way are not judged") {
  HoldingsChecker checker({kKey});
  ObservedOrder late = Grant("a", 1, 1000);
  late.delayed = true;
  checker.OnOrder(Grant("b", 2, 0));
  checker.OnOrder(late);
  checker.Check(At(5000));
  CHECK(checker.violations().empty());
  CHECK(checker.excused_pairs() == 1);
  checker.OnOrder(Grant("b", 2, 5500));
  checker.OnOrder(Grant("a", 1, 5600));
  checker.Check(At(9000));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("a renewal that was held up hides no earlier grant") {
  HoldingsChecker checker({kKey});
  ObservedOrder late = Grant("a", 1, 1100);
  late.delayed = true;
  checker.OnOrder(Grant("a", 1, 0));
  checker.OnOrder(Grant("b", 2, 1000));
  checker.OnOrder(late);
  checker.OnOrder(Grant("b", 2, 2000));
  checker.Check(At(20'000));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("a token that is not above those of other servers is reported") {
  HoldingsChecker checker({kKey});
  checker.OnOrder(Grant("a", 2, 0));
  checker.OnOrder(Release("a", 100));
  checker.OnOrder(Grant("b", 2, 200));
  checker.Check(At(300));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("a renewal under the same token is no new grant") {
  HoldingsChecker checker({kKey});
  checker.OnOrder(Grant("a", 2, 0));
  checker.OnOrder(Grant("a", 2, 1500));
  checker.Check(At(3000));
  CHECK(checker.violations().empty());
}

}  // namespace
}  // namespace gentianreach::soak
