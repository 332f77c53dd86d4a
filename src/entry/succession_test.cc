#include "entry/succession.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

// Returns `count` members in `zones` zones, of which each 20th has more
// processor time.
std::vector<SuccessionMember> Members(std::size_t count, std::size_t zones) {
  std::vector<SuccessionMember> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({.name = "d" + std::to_string(i),
                       .zone = ZoneName("z" + std::to_string(i % zones)),
                       .processor_share = i % 20 == 0 ? 0.5 : 0.1});
  }
  return members;
}

TEST_CASE("members with more processor time succeed first, cut ones last") {
  std::vector<SuccessionMember> members = Members(3, 1);
  members[0].servers_lost = true;
  members[2].processor_share = 0.2;
  CHECK(PlanSuccession(members).order == std::vector<std::size_t>{2, 1, 0});
}

TEST_CASE("a small fleet fetches its copies from the leader") {
  for (const std::size_t n : {0, 1, 12, 40}) {
    for (const auto& it : PlanSuccession(Members(n, 3)).mirrors) {
      CHECK_FALSE(it.has_value());
    }
  }
}

TEST_CASE("in a large fleet few members fetch their copies from the leader") {
  for (const std::size_t n : {63, 295, 1000}) {
    const std::vector<SuccessionMember> members = Members(n, 3);
    const Succession plan = PlanSuccession(members);
    std::size_t from_leader = 0;
    std::map<std::size_t, std::size_t> per_mirror;
    for (std::size_t i = 0; i < n; ++i) {
      if (!plan.mirrors[i]) {
        ++from_leader;
        continue;
      }
      const std::size_t mirror = *plan.mirrors[i];
      ++per_mirror[mirror];
      CHECK(members[mirror].zone == members[i].zone);
      CHECK_FALSE(plan.mirrors[mirror].has_value());
    }
    CHECK(from_leader <= n / 20 + 4);
    for (const auto& [mirror, served] : per_mirror) {
      CHECK(served <= 24);
    }
  }
}

TEST_CASE("a cut member is no mirror while others have a path") {
  std::vector<SuccessionMember> members = Members(30, 1);
  members[0].servers_lost = true;
  for (const auto& it : PlanSuccession(members).mirrors) {
    CHECK(it != std::size_t{0});
  }
}

}  // namespace
}  // namespace gentianreach::entry
