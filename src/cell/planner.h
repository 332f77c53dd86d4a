// Computes the next record that the assigner writes.
//
// `MakePlan` compares the record with the known state of members and servers
// and returns the target record. It depends only on the current state, not on
// earlier calls, so that a new assigner can continue after any step of its
// predecessor.
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

// A request to start or to end the draining of a server.
struct ProposedDrain {
  std::string server;
  bool drain = true;
  std::string actor;
};

using Proposal =
    std::variant<ProposedMove, ProposedSplit, ProposedMerge, ProposedDrain>;

// The current state of a server, as this daemon knows it.
struct ServerFacts {
  // No daemon has received a response within the suspicion time.
  bool silent = true;
  // This daemon has received a response within the suspicion time.
  bool reachable = false;
  Incarnation incarnation;      // As in the server's latest response.
  bool draining = false;        // According to the server or the list of VMs.
  bool leases_expired = false;  // Fenced, and certain to have stopped serving.
};

struct PlanInput {
  std::string self;
  // Whether members may be removed, and servers fenced.
  bool may_remove_members = false;
  bool may_fence = false;
  std::set<std::string> members_to_remove;  // Silent or leaving.
  std::vector<stored::MemberT> joiners;
  std::set<std::uint64_t> droppable_views;
  std::map<std::string, ServerFacts> servers;
  std::set<std::uint64_t> completed_moves;  // By token.
  std::vector<ListedServer> listed_servers;
  std::vector<CellService> services;
  std::uint32_t ranges_per_server = 8;
  // Whether keyed services without ranges get their first ranges now.
  bool first_ranges = false;
  std::vector<Proposal> proposals;
};

struct Plan {
  Record record;
  std::vector<AuditEvent> audit;
};

// Returns the next record, or nullopt if no change is needed.
[[nodiscard]] std::optional<Plan> MakePlan(const Record& current,
                                           const PlanInput& input);

// Returns the record that makes `input.self` the assigner. The predecessor is
// removed from the members if it is in `input.members_to_remove`.
[[nodiscard]] Plan MakeElection(const Record& current, const PlanInput& input);

}  // namespace gentianreach::cell

#endif  // SRC_CELL_PLANNER_H_
