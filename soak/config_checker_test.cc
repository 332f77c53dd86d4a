#include "soak/config_checker.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100'000 + ms));
}

// Versions 1, accepted at 0 ms, and 2, accepted at 10 s.
ConfigChecker TwoVersions() {
  ConfigChecker checker;
  checker.OnWritten(1, At(-1));
  checker.OnAccepted(1, At(0));
  checker.OnWritten(2, At(9'999));
  checker.OnAccepted(2, At(10'000));
  return checker;
}

ConfigAnswer Answer(std::uint64_t version, int status, int sent_ms) {
  return {.daemon = 1,
          .version = version,
          .status = status,
          .sent = At(sent_ms),
          .received = At(sent_ms + 20)};
}

TEST_CASE("until the bound a daemon may go by either version") {
  ConfigChecker checker = TwoVersions();
  checker.OnAnswer(Answer(1, 200, 12'500));
  checker.OnAnswer(Answer(2, 404, 12'500));
  CHECK(checker.violations().empty());
  CHECK(checker.answers_in_touch() == 2);
}

TEST_CASE("a removed route that is served after the bound is reported") {
  ConfigChecker checker = TwoVersions();
  checker.OnAnswer(Answer(1, 200, 12'501));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("an added route that is denied after the bound is reported") {
  ConfigChecker checker = TwoVersions();
  checker.OnAnswer(Answer(2, 404, 12'501));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("a route that a later version may have removed is not judged") {
  ConfigChecker checker = TwoVersions();
  checker.OnAnswer(Answer(1, 404, 10'000));
  checker.OnWritten(3, At(12'510));
  checker.OnAnswer(Answer(2, 404, 12'501));
  CHECK(checker.violations().empty());
}

TEST_CASE("the bound does not apply until a fault is over for some time") {
  ConfigChecker checker = TwoVersions();
  checker.AddDisturbance(1, At(5'000), At(11'000));
  checker.OnAnswer(Answer(2, 404, 14'000));
  CHECK(checker.violations().empty());
  checker.OnAnswer(Answer(2, 404, 14'001));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("the bound is longer while the store is disturbed") {
  ConfigChecker checker = TwoVersions();
  checker.AddStoreDisturbance(At(11'000), At(16'000));
  checker.OnAnswer(Answer(1, 200, 17'500));
  checker.OnAnswer(Answer(2, 404, 17'500));
  CHECK(checker.violations().empty());
  CHECK(checker.answers_in_touch() == 0);
  SUBCASE("a removed route is served later than that") {
    checker.OnAnswer(Answer(1, 200, 17'501));
  }
  SUBCASE("an added route is denied later than that") {
    checker.OnAnswer(Answer(2, 404, 17'501));
  }
  CHECK(checker.violations().size() == 1);
  CHECK(checker.answers_stretched() > 0);
}

TEST_CASE("the bound is short again once the store has been stable") {
  ConfigChecker checker = TwoVersions();
  checker.AddStoreDisturbance(At(9'000), At(9'600));
  checker.OnAnswer(Answer(1, 200, 12'600));
  CHECK(checker.violations().empty());
  checker.OnAnswer(Answer(1, 200, 12'601));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("no bound applies around an outage of the store") {
  ConfigChecker checker = TwoVersions();
  checker.AddStoreDisturbance(At(11'000), At(30'000));
  std::size_t violations = 0;
  SUBCASE("that ends just before a version is accepted") {
    checker.AddStoreOutage(At(6'000), At(7'000));
  }
  SUBCASE("that is over for some time then") {
    checker.AddStoreOutage(At(6'000), At(6'999));
    violations = 1;
  }
  SUBCASE("that begins before the answer") {
    checker.AddStoreOutage(At(18'020), At(19'000));
  }
  SUBCASE("that begins after it") {
    checker.AddStoreOutage(At(18'021), At(19'000));
    violations = 1;
  }
  checker.OnAnswer(Answer(1, 200, 18'000));
  CHECK(checker.violations().size() == violations);
}

TEST_CASE("no bound applies to a daemon with a fault of its own") {
  ConfigChecker checker = TwoVersions();
  checker.AddStoreDisturbance(At(11'000), At(30'000));
  checker.AddDisturbance(1, At(15'000), At(15'000));
  checker.OnAnswer(Answer(1, 200, 18'000));
  CHECK(checker.violations().empty());
  checker.OnAnswer(Answer(1, 200, 18'001));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("an outage alone does not lift the bound of a stable store") {
  ConfigChecker checker = TwoVersions();
  checker.AddStoreOutage(At(10'000), At(20'000));
  checker.OnAnswer(Answer(1, 200, 12'501));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("a daemon that goes back to an earlier version is reported") {
  ConfigChecker checker = TwoVersions();
  checker.AddDisturbance(1, At(0), At(100'000));
  SUBCASE("the earlier version's route is served") {
    checker.OnAnswer(Answer(2, 200, 10'100));
    checker.OnAnswer(Answer(1, 200, 10'371));
  }
  SUBCASE("the later version's route is denied") {
    checker.OnAnswer(Answer(2, 200, 10'100));
    checker.OnAnswer(Answer(2, 404, 10'371));
  }
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("a daemon that starts again may know an earlier version") {
  ConfigChecker checker = TwoVersions();
  CHECK(checker.LatestInForce(1) == 0);
  checker.OnAnswer(Answer(2, 200, 10'100));
  CHECK(checker.LatestInForce(1) == 2);
  checker.OnStart(1);
  CHECK(checker.LatestInForce(1) == 0);
  checker.OnAnswer(Answer(1, 200, 10'400));
  CHECK(checker.violations().empty());
}

TEST_CASE("an invalid version that is in force is reported") {
  ConfigChecker checker = TwoVersions();
  checker.OnWritten(3, At(11'000));
  checker.OnAccepted(3, At(11'001));
  checker.OnInvalid(3);
  checker.OnAnswer(Answer(3, 404, 14'000));
  CHECK(checker.violations().empty());
  checker.OnAnswer(Answer(2, 404, 14'000));
  CHECK(checker.violations().size() == 1);
  checker.OnAnswer(Answer(3, 200, 14'000));
  CHECK(checker.violations().size() == 2);
}

TEST_CASE("added routes that are served less often are reported") {
  ConfigChecker checker = TwoVersions();
  for (int i = 0; i < 40; ++i) {
    checker.OnAnswer(Answer(0, 200, 13'000));
    checker.OnAnswer(Answer(2, i < 9 ? 200 : 503, 13'000));
  }
  checker.CheckShares();
  CHECK(checker.violations().size() == 1);
}

}  // namespace
}  // namespace gentianreach::soak
