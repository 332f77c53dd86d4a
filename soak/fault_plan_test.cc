#include "soak/fault_plan.h"

#include <algorithm>
#include <chrono>
#include <set>

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
  const FleetShape shape{.daemons = 4, .servers = 5, .store_turns_back = true};
  std::set<FaultKind> kinds;
  bool overlapping = false;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
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
