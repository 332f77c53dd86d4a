#include "keyspace/owner_shares.h"

#include <cmath>
#include <map>

namespace gentianreach::keyspace {
namespace {

// Part of its capacity that a server is used for while it is asked for more.
// The rest keeps its queue short.
constexpr double kTargetUtilization = 0.8;
// A count of requests is above the capacity only if it differs by this many
// standard deviations.
constexpr double kSignificantDeviations = 2;

}  // namespace

std::vector<OwnerShare> FindOwnerShares(
    const OwnershipTable& table,
    const std::vector<Candidate>& candidates,
    const KeyLoad& load) {
  std::map<ServerId, double> counts;
  for (const OwnedRange& it : table.ranges) {
    counts[it.owner.server] += load.In(it.range);
  }
  std::vector<OwnerShare> shares;
  for (const Candidate& it : candidates) {
    // What the server can answer in the time that the counts cover.
    const double answerable = it.capacity * KeyLoad::kTimeConstant.count();
    const double scatter = kSignificantDeviations * std::sqrt(answerable / 2);
    const double asked = counts[it.server];
    if (asked > answerable + scatter) {
      shares.push_back({it.server, kTargetUtilization * answerable / asked});
    }
  }
  return shares;
}

}  // namespace gentianreach::keyspace
