// What the assigner writes next.
//
// `MakePlan` compares the record with what is known of members and servers and
// returns the record as it ought to be. It looks at the present state alone,
// never at how it came about, so that a new assigner goes on wherever its
// predecessor stopped.
#ifndef SRC_CELL_PLANNER_H_
#define SRC_CELL_PLANNER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cell/record.h"
#include "gentianreach/cell_agent.h"

namespace gentianreach::cell {

// A wish to drain a server or to end that.
struct DrainWish {
  std::string server;
  bool drain = true;
  std::string actor;
};

using Wish =
    std::variant<ProposedMove, ProposedSplit, ProposedMerge, DrainWish>;

// What is known of a server at this moment.
struct ServerFacts {
  bool silent = true;  // No daemon has had an answer for the suspicion time.
  bool reachable = false;   // This daemon has had an answer lately.
  Incarnation incarnation;  // As the server said last.
  bool draining = false;    // The server or the list of VMs says so.
  bool lapsed = false;      // Fenced, and surely serving no more.
};

struct PlanInput {
  std::string self;
  // Whether silent members may be taken off, and silent servers fenced.
  bool may_reshape = false;
  bool may_fence = false;
  std::set<std::string> gone_members;  // Silent or leaving.
  std::vector<stored::MemberT> joiners;
  std::set<std::uint64_t> droppable_views;
  std::map<std::string, ServerFacts> servers;
  std::set<std::uint64_t> completed_moves;  // By token.
  std::vector<ListedServer> seen;
  std::vector<CellService> services;
  std::uint32_t ranges_per_server = 8;
  // Whether services without ranges get theirs now.
  bool first_ranges = false;
  std::vector<Wish> wishes;
};

struct Plan {
  Record record;
  std::vector<AuditEvent> audit;
};

// Returns the next record, or nothing where the present one is as it ought to
// be.
[[nodiscard]] std::optional<Plan> MakePlan(const Record& current,
                                           const PlanInput& input);

// Returns the record by which `input.self` takes over the assigner's office;
// the predecessor leaves the list if it is among `input.gone_members`.
[[nodiscard]] Plan MakeElection(const Record& current, const PlanInput& input);

}  // namespace gentianreach::cell

#endif  // SRC_CELL_PLANNER_H_
