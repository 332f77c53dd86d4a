#include "soak/fault_plan.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include <doctest/doctest.h>

namespace gentianreach::soak {
namespace {

using std::chrono::seconds;

constexpr TimePoint kBegin{seconds(100)};
constexpr TimePoint kEnd{seconds(160)};

std::string TextOf(const std::vector<Fault>& plan) {
  std::string text;
  for (const Fault& it : plan) {
    text += ToString(it, kBegin) + "\n";
  }
  return text;
}

TEST_CASE("plans are equal for equal seeds and differ for different seeds") {
  const FleetShape shape;
  const std::string plan = TextOf(MakePlan(7, shape, kBegin, kEnd));
  CHECK(plan == TextOf(MakePlan(7, shape, kBegin, kEnd)));
  CHECK(plan != TextOf(MakePlan(8, shape, kBegin, kEnd)));
}

TEST_CASE(
    "plans contain every kind of fault, within the time span and fleet size") {
  FleetShape shape{
      .daemons = 4, .servers = 5, .store_turns_back = true, .cut_links = true};
  std::set<FaultKind> kinds;
  bool overlapping = false;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    // Refusals leave few of the other faults.
    shape.store_refuses = seed % 2 == 0;
    const std::vector<Fault> plan = MakePlan(seed, shape, kBegin, kEnd);
    CHECK(plan.size() > 30);
    CHECK(std::ranges::is_sorted(plan, {}, &Fault::begins));
    TimePoint latest_end = kBegin;
    for (const Fault& it : plan) {
      kinds.insert(it.kind);
      CHECK(it.begins >= kBegin);
      CHECK(it.begins < it.ends);
      CHECK(it.ends <= kEnd);
      CHECK(it.target < std::max(shape.daemons, shape.servers));
      overlapping = overlapping || it.begins < latest_end;
      latest_end = std::max(latest_end, it.ends);
    }
  }
  CHECK(kinds.size() == kFaultKinds);
  CHECK(overlapping);
}

TEST_CASE("the store turns back only if that is asked for") {
  FleetShape shape;
  const auto plan = MakePlan(7, shape, kBegin, kEnd);
  CHECK(std::ranges::none_of(plan, [](const Fault& it) {
    return it.kind == FaultKind::kStoreTurnsBack;
  }));
  shape.store_turns_back = true;
  CHECK(MakePlan(7, shape, kBegin, kEnd).size() > plan.size());
}

// Returns the number of servers of a service that faults affect at `at`.
std::size_t AwayAt(TimePoint at, bool plain, const std::vector<Fault>& plan) {
  std::set<std::size_t> away;
  for (const Fault& it : plan) {
    if (IsServerFault(it.kind) && IsPlainServer(it.target) == plain &&
        it.begins <= at && at < it.ends) {
      away.insert(it.target);
    }
  }
  return away.size();
}

TEST_CASE("the store refuses daemons only if that is asked for") {
  FleetShape shape{.daemons = 12, .servers = 36, .fault_rate = 0.05};
  const auto plan = MakePlan(7, shape, kBegin, kEnd);
  const auto of_kind = [](const std::vector<Fault>& faults, FaultKind kind) {
    return std::ranges::count(faults, kind, &Fault::kind);
  };
  CHECK(of_kind(plan, FaultKind::kStoreRefuses) == 0);
  shape.store_refuses = true;
  const auto refusing = MakePlan(7, shape, kBegin, kEnd);
  CHECK(of_kind(refusing, FaultKind::kDrainServer) >
        10 * of_kind(plan, FaultKind::kDrainServer));
  CHECK(of_kind(refusing, FaultKind::kCutDaemon) <
        of_kind(plan, FaultKind::kCutDaemon));
}

TEST_CASE("the store refuses some daemons for seconds, in every way") {
  const FleetShape shape{.daemons = 4, .servers = 6, .store_refuses = true};
  std::set<Refusal> ways;
  int mixed = 0;
  int alike = 0;
  int of_all_but_one = 0;
  int of_one = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const std::vector<Fault> plan = MakePlan(seed, shape, kBegin, kEnd);
    for (const Fault& it : plan) {
      if (it.kind != FaultKind::kStoreRefuses) {
        continue;
      }
      ways.insert(it.refusal);
      CHECK((it.ends - it.begins >= seconds(2) || it.ends == kEnd));
      const auto together = std::ranges::count_if(plan, [&](const Fault& o) {
        return o.kind == it.kind && o.begins <= it.begins && it.begins < o.ends;
      });
      CHECK(together < 4);
      of_all_but_one += together == 3 ? 1 : 0;
      of_one += together == 1 ? 1 : 0;
      const auto same = std::ranges::count_if(plan, [&](const Fault& o) {
        return o.kind == it.kind && o.begins == it.begins &&
               o.refusal == it.refusal;
      });
      mixed += same < together ? 1 : 0;
      alike += same == together && same > 1 ? 1 : 0;
    }
  }
  CHECK(ways.size() == 4);
  CHECK(mixed > 0);
  CHECK(alike > 0);
  CHECK(of_all_but_one > 0);
  CHECK(of_one > 0);
}

TEST_CASE("daemons that get 503 or 429 have a path to the store") {
  Fault fault{.kind = FaultKind::kStoreRefuses};
  for (const auto& [refusal, keeps] :
       {std::pair{Refusal::kUnavailable, true},
        std::pair{Refusal::kTooManyRequests, true},
        std::pair{Refusal::kReset, false},
        std::pair{Refusal::kSilent, false}}) {
    fault.refusal = refusal;
    CHECK(KeepsPathToStore(fault) == keeps);
  }
  CHECK_FALSE(KeepsPathToStore({.kind = FaultKind::kStoreBusy}));
}

TEST_CASE("drains beside refusals leave half of the servers of a service") {
  const FleetShape shape{
      .daemons = 12, .servers = 24, .fault_rate = 1e-9, .store_refuses = true};
  std::size_t most = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const std::vector<Fault> plan = MakePlan(seed, shape, kBegin, kEnd);
    for (const Fault& it : plan) {
      most = std::max(most, AwayAt(it.begins, false, plan));
      CHECK(AwayAt(it.begins, true, plan) <= 4);
      CHECK(AwayAt(it.begins, false, plan) <= 8);
    }
  }
  CHECK(most >= 6);
}

TEST_CASE("signal faults on the same daemon do not overlap") {
  const FleetShape shape{2, 2};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const std::vector<Fault> plan = MakePlan(seed, shape, kBegin, kEnd);
    for (std::size_t i = 0; i < plan.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        const bool same_daemon = IsDaemonFault(plan[i].kind) &&
                                 IsDaemonFault(plan[j].kind) &&
                                 plan[i].target == plan[j].target;
        CHECK_FALSE((same_daemon && plan[i].begins < plan[j].ends));
      }
    }
  }
}

}  // namespace
}  // namespace gentianreach::soak
