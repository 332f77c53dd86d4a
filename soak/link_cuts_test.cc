#include "soak/link_cuts.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include <doctest/doctest.h>

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin{seconds(100)};
constexpr TimePoint kEnd{seconds(160)};
constexpr std::size_t kDaemons = 12;

std::vector<Fault> Plan(std::uint64_t seed, bool cut_links) {
  return MakePlan(seed,
                  {.daemons = kDaemons, .servers = 24, .cut_links = cut_links},
                  kBegin, kEnd);
}

std::vector<Fault> CutsOf(std::uint64_t seed) {
  std::vector<Fault> plan = Plan(seed, true);
  std::erase_if(
      plan, [](const Fault& it) { return it.kind != FaultKind::kCutLinks; });
  return plan;
}

std::string TextOf(const std::vector<Fault>& plan) {
  std::string text;
  for (const Fault& it : plan) {
    text += ToString(it, kBegin) + "\n";
  }
  return text;
}

TEST_CASE("links are cut only if that is asked for") {
  const auto plan = Plan(7, false);
  CHECK(std::ranges::count(plan, FaultKind::kCutLinks, &Fault::kind) == 0);
  CHECK(CutsOf(7).size() > 5);
}

TEST_CASE("the other faults of a seed do not depend on cuts of links") {
  std::vector<Fault> with_cuts = Plan(7, true);
  std::vector<Fault> plan = Plan(7, false);
  const auto is_added = [](const Fault& it) {
    return it.kind == FaultKind::kCutLinks ||
           it.kind == FaultKind::kChangeConfig;
  };
  std::erase_if(with_cuts, is_added);
  std::erase_if(plan, is_added);
  CHECK(TextOf(with_cuts) == TextOf(plan));
}

TEST_CASE("the configuration changes about once a second beside cuts") {
  const auto plan = Plan(7, true);
  const auto changes =
      std::ranges::count(plan, FaultKind::kChangeConfig, &Fault::kind);
  CHECK(changes > (kEnd - kBegin) / seconds(1) / 2);
  CHECK(changes < (kEnd - kBegin) / seconds(1) * 2);
}

TEST_CASE("cuts last for seconds, one after the other") {
  bool at_once = false;
  bool later = false;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TimePoint end = kBegin;
    for (const Fault& it : CutsOf(seed)) {
      CHECK(it.begins > end);
      CHECK((it.ends - it.begins >= seconds(2) || it.ends == kEnd));
      at_once = at_once || it.begins - end < milliseconds(100);
      later = later || it.begins - end > seconds(1);
      end = it.ends;
    }
  }
  CHECK(at_once);
  CHECK(later);
}

TEST_CASE("each link of two daemons is cut once at most, in every way") {
  std::set<LinkCutKind> kinds;
  int mixed = 0;
  int alike = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const Fault& fault : CutsOf(seed)) {
      std::set<std::pair<std::size_t, std::size_t>> pairs;
      std::set<LinkCutKind> of_fault;
      for (const LinkCut& it : fault.links) {
        CHECK(it.from < kDaemons);
        CHECK(it.to < kDaemons);
        CHECK(it.from != it.to);
        CHECK(pairs.insert(std::minmax(it.from, it.to)).second);
        of_fault.insert(it.kind);
      }
      mixed += of_fault.size() > 1 ? 1 : 0;
      alike += of_fault.size() == 1 && fault.links.size() > 3 ? 1 : 0;
      kinds.merge(of_fault);
    }
  }
  CHECK(kinds.size() == 4);
  CHECK(mixed > 0);
  CHECK(alike > 0);
}

TEST_CASE("cuts affect few links, most, or all of a daemon's") {
  bool few = false;
  bool most = false;
  bool all_of_leader = false;
  bool all_of_other = false;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const Fault& fault : CutsOf(seed)) {
      constexpr std::size_t kLinks = kDaemons * (kDaemons - 1) / 2;
      few = few || fault.links.size() < kLinks / 5;
      most = most || fault.links.size() > kLinks / 2;
      const bool all_of_target =
          fault.links.size() == kDaemons - 1 &&
          std::ranges::all_of(fault.links, [&](const LinkCut& it) {
            return it.from == fault.target || it.to == fault.target;
          });
      all_of_leader = all_of_leader || (all_of_target && fault.around_leader);
      all_of_other = all_of_other || (all_of_target && !fault.around_leader);
    }
  }
  CHECK(few);
  CHECK(most);
  CHECK(all_of_leader);
  CHECK(all_of_other);
}

TEST_CASE("a cut around the leader affects whoever leads") {
  Fault fault{.kind = FaultKind::kCutLinks,
              .target = 2,
              .links = {{2, 5, LinkCutKind::kReset},
                        {1, 2, LinkCutKind::kOneWay},
                        {0, 1, LinkCutKind::kSilent}},
              .around_leader = true};
  const auto ends = [&](std::size_t leader) {
    std::vector<std::pair<std::size_t, std::size_t>> pairs;
    for (const LinkCut& it : LinksOf(fault, leader)) {
      pairs.emplace_back(it.from, it.to);
    }
    return pairs;
  };
  using Pairs = std::vector<std::pair<std::size_t, std::size_t>>;
  CHECK(ends(5) == Pairs{{5, 2}, {1, 5}, {0, 1}});
  CHECK(ends(2) == Pairs{{2, 5}, {1, 2}, {0, 1}});
  fault.around_leader = false;
  CHECK(ends(5) == Pairs{{2, 5}, {1, 2}, {0, 1}});
}

TEST_CASE("a plan names the cut links and how they are cut") {
  const Fault fault{
      .kind = FaultKind::kCutLinks,
      .target = 2,
      .links = {{2, 5, LinkCutKind::kReset}, {1, 2, LinkCutKind::kOneWay}},
      .around_leader = true,
      .begins = kBegin,
      .ends = kEnd};
  CHECK(ToString(fault, kBegin) ==
        "at_ms=0 until_ms=60000 fault=cut-links target=2 around_leader=1 "
        "links=2-5/reset,1-2/one-way");
}

}  // namespace
}  // namespace gentianreach::soak
