#include "entry/succession.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace gentianreach::entry {
namespace {

// A zone with fewer members has no mirrors.
constexpr std::size_t kMinMirroredMembers = 16;
// Members per mirror, including the mirror.
constexpr std::size_t kMembersPerMirror = 24;

}  // namespace

Succession PlanSuccession(const std::vector<SuccessionMember>& members) {
  Succession plan;
  plan.order.resize(members.size());
  std::iota(plan.order.begin(), plan.order.end(), std::size_t{0});
  std::stable_sort(
      plan.order.begin(), plan.order.end(), [&](std::size_t a, std::size_t b) {
        return std::pair(!members[a].servers_lost, members[a].processor_share) >
               std::pair(!members[b].servers_lost, members[b].processor_share);
      });
  plan.mirrors.resize(members.size());
  std::map<ZoneName, std::vector<std::size_t>> zones;
  for (const std::size_t it : plan.order) {
    zones[members[it].zone].push_back(it);
  }
  for (const auto& [zone, in_zone] : zones) {
    if (in_zone.size() < kMinMirroredMembers) {
      continue;
    }
    const std::size_t mirrors =
        (in_zone.size() + kMembersPerMirror - 1) / kMembersPerMirror;
    for (std::size_t i = mirrors; i < in_zone.size(); ++i) {
      plan.mirrors[in_zone[i]] = in_zone[i % mirrors];
    }
  }
  return plan;
}

}  // namespace gentianreach::entry
