// The cuts of links between daemons in a fault plan.
#ifndef SOAK_LINK_CUTS_H_
#define SOAK_LINK_CUTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gentianreach/time.h"
#include "soak/fault_plan.h"

namespace gentianreach::soak {

// Adds cuts of links between daemons to `plan`, one fault at a time, and
// frequent changes of the configuration. A fault cuts a share of all links,
// those between two halves of the daemons, or those of one daemon, which may be
// the leader, in one way or in several.
void AddLinkCuts(std::uint64_t seed,
                 const FleetShape& shape,
                 TimePoint begin,
                 TimePoint end,
                 std::vector<Fault>& plan);

// Returns the links that `fault` cuts while the daemon `leader` leads.
[[nodiscard]] std::vector<LinkCut> LinksOf(const Fault& fault,
                                           std::size_t leader);

}  // namespace gentianreach::soak

#endif  // SOAK_LINK_CUTS_H_
