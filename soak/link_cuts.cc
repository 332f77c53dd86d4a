#include "soak/link_cuts.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "soak/plan_random.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

// Cuts, and the changes of the configuration beside them, have random sequences
// of their own, so that the other faults of a seed do not depend on them.
constexpr std::uint64_t kCutSequence = 0x8ebc6af09c88c6e3;
constexpr std::uint64_t kChangeSequence = 0x589965cc75374cc3;
// Range of durations: long enough for daemons to lose their leader and to have
// old copies of the store's objects.
constexpr double kMinCutMs = 2000;
constexpr double kMaxCutMs = 9000;
// Time between two cuts, and the probability that they follow at once.
constexpr milliseconds kLeastPause{60};
constexpr double kMeanPauseMs = 1500;
constexpr double kSeriesProbability = 0.5;
// Range of the share of links that a cut affects, and the probability that it
// affects them in several ways.
constexpr double kMinShare = 0.1;
constexpr double kMaxShare = 0.9;
constexpr double kMixedProbability = 0.5;
constexpr double kMeanChangeIntervalMs = 1000;
constexpr milliseconds kChangeDuration{1};
constexpr std::size_t kCutKinds =
    static_cast<std::size_t>(LinkCutKind::kOneWay) + 1;

// Which links a cut affects.
enum class Pattern : std::uint8_t {
  kShare,
  kHalves,
  kOneDaemon,
  kLeader,
  kPartOfLeader,
};
constexpr std::size_t kPatterns =
    static_cast<std::size_t>(Pattern::kPartOfLeader) + 1;

class CutPlanner {
 public:
  CutPlanner(std::uint64_t seed, std::size_t daemons)
      : random_(seed), daemons_(daemons) {}

  // Returns a cut that begins at `at`.
  Fault Draw(TimePoint at) {
    Fault fault{.kind = FaultKind::kCutLinks,
                .target = random_.Index(daemons_),
                .begins = at,
                .ends = at + random_.Span(kMinCutMs, kMaxCutMs)};
    const auto pattern = static_cast<Pattern>(random_.Index(kPatterns));
    fault.around_leader =
        pattern == Pattern::kLeader || pattern == Pattern::kPartOfLeader;
    const double share = random_.Between(kMinShare, kMaxShare);
    const LinkCutKind kind = DrawKind();
    const bool mixed = random_.Chance(kMixedProbability);
    std::vector<bool> half;
    for (std::size_t i = 0; i < daemons_; ++i) {
      half.push_back(random_.Index(2) == 0);
    }
    for (std::size_t i = 0; i < daemons_; ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        const bool of_target = i == fault.target || j == fault.target;
        const bool drawn = random_.Chance(share);
        if (!IsCut(pattern, of_target, half[i] != half[j], drawn)) {
          continue;
        }
        LinkCut cut{i, j, mixed ? DrawKind() : kind};
        if (random_.Index(2) == 0) {
          std::swap(cut.from, cut.to);
        }
        fault.links.push_back(cut);
      }
    }
    return fault;
  }
  // Returns the time from the end of a cut to the next one.
  Duration DrawPause() {
    const Duration pause = random_.Pause(kMeanPauseMs);
    return kLeastPause +
           (random_.Chance(kSeriesProbability) ? Duration(0) : pause);
  }

 private:
  static bool IsCut(Pattern pattern, bool of_target, bool between, bool drawn) {
    switch (pattern) {
      case Pattern::kShare:
        return drawn;
      case Pattern::kHalves:
        return between;
      case Pattern::kOneDaemon:
      case Pattern::kLeader:
        return of_target;
      case Pattern::kPartOfLeader:
        return of_target && drawn;
    }
    return false;
  }
  LinkCutKind DrawKind() {
    return static_cast<LinkCutKind>(random_.Index(kCutKinds));
  }

  PlanRandom random_;
  const std::size_t daemons_;
};

}  // namespace

void AddLinkCuts(std::uint64_t seed,
                 const FleetShape& shape,
                 TimePoint begin,
                 TimePoint end,
                 std::vector<Fault>& plan) {
  CutPlanner planner(seed ^ kCutSequence, shape.daemons);
  for (TimePoint at = begin + planner.DrawPause(); at < end;
       at += planner.DrawPause()) {
    Fault fault = planner.Draw(at);
    at = fault.ends;
    fault.ends = std::min(fault.ends, end);
    plan.push_back(std::move(fault));
  }
  PlanRandom changes(seed ^ kChangeSequence);
  for (TimePoint at = begin + changes.Pause(kMeanChangeIntervalMs); at < end;
       at += changes.Pause(kMeanChangeIntervalMs)) {
    plan.push_back({.kind = FaultKind::kChangeConfig,
                    .begins = at,
                    .ends = std::min<TimePoint>(at + kChangeDuration, end)});
  }
}

std::vector<LinkCut> LinksOf(const Fault& fault, std::size_t leader) {
  std::vector<LinkCut> links = fault.links;
  if (!fault.around_leader) {
    return links;
  }
  for (LinkCut& it : links) {
    for (std::size_t* end : {&it.from, &it.to}) {
      if (*end == leader) {
        *end = fault.target;
      } else if (*end == fault.target) {
        *end = leader;
      }
    }
  }
  return links;
}

}  // namespace gentianreach::soak
