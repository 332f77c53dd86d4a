// The order in which members replace the leader, and which of them pass its
// copies on.
#ifndef SRC_ENTRY_SUCCESSION_H_
#define SRC_ENTRY_SUCCESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/ids.h"

namespace gentianreach::entry {

// What the leader knows about a member.
struct SuccessionMember {
  std::string name;
  ZoneName zone;
  // Share of a processor that the member may use.
  double processor_share = 0;
  // The member has lost its path to the servers.
  bool servers_lost = false;
};

// All members are denoted by their index.
struct Succession {
  // The first successor first.
  std::vector<std::size_t> order;
  // For each member the mirror that it fetches copies from, or nullopt if it
  // fetches them from the leader. A mirror is a member of the same zone that
  // fetches them from the leader.
  std::vector<std::optional<std::size_t>> mirrors;
};

// Returns the succession of `members`, which are sorted by name. Members with a
// path to the servers come first, and among them those with the largest
// processor share.
//
// If all members fetched each change from the leader, its load and the traffic
// between zones would grow with the fleet. So a zone with many members has
// mirrors, the first of its members in the order of succession, and the others
// are spread over these. A small zone has none.
[[nodiscard]] Succession PlanSuccession(
    const std::vector<SuccessionMember>& members);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SUCCESSION_H_
