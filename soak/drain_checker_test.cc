#include "soak/drain_checker.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kAccepted = 10'000;
constexpr std::size_t kServer = 4;
constexpr std::size_t kTaker = 1;
constexpr std::size_t kSender = 2;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100'000 + ms));
}

DeliveredRun RunAt(int ms, const std::string& incarnation = "a#1") {
  return {.request_id = "r",
          .server = kServer,
          .incarnation = incarnation,
          .taken_by = kTaker,
          .sent_by = kSender,
          .at = At(ms)};
}

// A server that leaves at kAccepted.
DrainChecker Leaving() {
  DrainChecker checker;
  checker.OnDraining("a#1", At(kAccepted));
  return checker;
}

TEST_CASE("until the bound a leaving server may get requests") {
  DrainChecker checker = Leaving();
  checker.OnRun(RunAt(kAccepted));
  checker.OnRun(RunAt(kAccepted + 2500));
  checker.Check(At(20'000));
  CHECK(checker.violations().empty());
  CHECK(checker.runs() == 1);
  CHECK(checker.late_runs() == 0);
}

TEST_CASE("a request that reaches a server after the bound is reported once") {
  DrainChecker checker = Leaving();
  checker.OnRun(RunAt(kAccepted + 2501));
  checker.Check(At(kAccepted + 2501));
  CHECK(checker.violations().empty());
  checker.Check(At(20'000));
  checker.Check(At(21'000));
  CHECK(checker.violations().size() == 1);
  CHECK(checker.late_runs() == 1);
}

TEST_CASE("other servers, and later incarnations, may get requests") {
  DrainChecker checker = Leaving();
  checker.OnRun(RunAt(kAccepted + 2600, "a#2"));
  checker.OnRun(RunAt(kAccepted + 2600, "b#1"));
  checker.Check(At(20'000));
  CHECK(checker.violations().empty());
}

TEST_CASE("faults excuse a late request until they are over for some time") {
  DrainChecker checker = Leaving();
  const TimePoint at = At(kAccepted + 2600);
  const TimePoint end = at - DrainChecker::kStability;
  const TimePoint begin = end - milliseconds(100);
  // By a fault that ends at `end`, and one that ends just before.
  DrainChecker before = Leaving();
  const TimePoint earlier = end - milliseconds(1);
  SUBCASE("the daemon that took the request") {
    checker.AddDaemonDisturbance(kTaker, begin, end);
    before.AddDaemonDisturbance(kTaker, begin, earlier);
  }
  SUBCASE("the daemon that sent it") {
    checker.AddDaemonDisturbance(kSender, begin, end);
    before.AddDaemonDisturbance(kSender, begin, earlier);
  }
  SUBCASE("the server") {
    checker.AddServerDisturbance(kServer, begin, end);
    before.AddServerDisturbance(kServer, begin, earlier);
  }
  for (DrainChecker* it : {&checker, &before}) {
    it->OnRun(RunAt(kAccepted + 2600));
    it->Check(At(20'000));
  }
  CHECK(checker.violations().empty());
  CHECK(before.violations().size() == 1);
}

TEST_CASE(
    "the store must be stable when it accepts the entry, and at the run") {
  DrainChecker checker = Leaving();
  std::size_t violations = 0;
  SUBCASE("a fault just before") {
    checker.AddStoreDisturbance(At(kAccepted - 4000), At(kAccepted - 3000));
  }
  SUBCASE("a fault that has been over for long enough") {
    checker.AddStoreDisturbance(At(kAccepted - 4000), At(kAccepted - 3001));
    violations = 1;
  }
  SUBCASE("a fault after it") {
    checker.AddStoreDisturbance(At(kAccepted + 100), At(kAccepted + 200));
  }
  SUBCASE("a fault that ends just before") {
    checker.AddStoreDisturbance(At(kAccepted + 1), At(kAccepted + 2));
  }
  checker.OnRun(RunAt(kAccepted + 2600));
  checker.Check(At(20'000));
  CHECK(checker.violations().size() == violations);
}

TEST_CASE("a fault of the store between the two excuses nothing") {
  DrainChecker checker = Leaving();
  checker.AddStoreDisturbance(At(kAccepted + 1), At(kAccepted + 1999));
  checker.OnRun(RunAt(kAccepted + 4999));
  checker.OnRun(RunAt(kAccepted + 5000));
  checker.Check(At(20'000));
  CHECK(checker.violations().size() == 1);
  CHECK(checker.excused_runs() == 1);
}

TEST_CASE("a late request is not judged if its daemons are not known") {
  DrainChecker checker = Leaving();
  DeliveredRun run = RunAt(kAccepted + 2600);
  SUBCASE("the one that took it") {
    run.taken_by.reset();
  }
  SUBCASE("the one that sent it") {
    run.sent_by.reset();
  }
  checker.OnRun(run);
  checker.Check(At(20'000));
  CHECK(checker.violations().empty());
  CHECK(checker.late_runs() == 1);
}

TEST_CASE("late runs are counted as excused once they have been checked") {
  DrainChecker checker = Leaving();
  checker.AddServerDisturbance(0, At(kAccepted), At(kAccepted));
  DeliveredRun excused = RunAt(kAccepted + 2600);
  excused.server = 0;
  checker.OnRun(excused);
  checker.OnRun(RunAt(kAccepted + 2600));
  checker.OnRun(RunAt(kAccepted + 2400));
  CHECK(checker.excused_runs() == 0);
  checker.Check(At(20'000));
  CHECK(checker.late_runs() == 2);
  CHECK(checker.excused_runs() == 1);
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("drains count as judged if the store was stable until the bound") {
  DrainChecker checker = Leaving();
  checker.OnDraining("b#1", At(kAccepted + 6000));
  CHECK(checker.DrainsInStableStore() == 2);
  checker.AddStoreDisturbance(At(kAccepted + 2501), At(kAccepted + 2900));
  CHECK(checker.DrainsInStableStore() == 2);
  checker.AddStoreDisturbance(At(kAccepted + 2500), At(kAccepted + 2600));
  CHECK(checker.DrainsInStableStore() == 1);
}

TEST_CASE("faults of other daemons and servers excuse nothing") {
  DrainChecker checker = Leaving();
  checker.AddDaemonDisturbance(0, At(0), At(20'000));
  checker.AddServerDisturbance(0, At(0), At(20'000));
  checker.OnRun(RunAt(kAccepted + 2600));
  checker.Check(At(20'000));
  CHECK(checker.violations().size() == 1);
}

}  // namespace
}  // namespace gentianreach::soak
