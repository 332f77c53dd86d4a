// Decides which keys change their owner so that no server is overloaded.
#ifndef SRC_KEYSPACE_REBALANCER_H_
#define SRC_KEYSPACE_REBALANCER_H_

#include <cstddef>
#include <vector>

#include "gentianreach/ids.h"
#include "keyspace/key_load.h"
#include "keyspace/ownership_table.h"

namespace gentianreach::keyspace {

// A server that may own keys.
struct Candidate {
  ServerId server;
  Incarnation incarnation;
  // Requests that it completes in a second, relative to the others.
  double capacity = 1;
};

// A range and the server that is to own it.
struct Transfer {
  KeyRange range;
  ServerId server;
  Incarnation incarnation;
};

// Returns ranges that cover all keys, one per candidate, wide in proportion to
// its capacity. `candidates` must not be empty.
[[nodiscard]] std::vector<Transfer> DivideAll(
    const std::vector<Candidate>& candidates);

// Returns where the keys of `orphan`, whose owner cannot keep them, go. The
// range is cut in pieces where one server could not take it.
[[nodiscard]] std::vector<Transfer> Rehome(
    const KeyRange& orphan,
    const OwnershipTable& table,
    const std::vector<Candidate>& candidates,
    const KeyLoad& load);

// Returns up to `most` transfers, each from the server that is then most loaded
// for its capacity to the least loaded one, of the narrowest range that brings
// them closer; none where the gain is not worth the keys that move. Apply them
// in order.
[[nodiscard]] std::vector<Transfer> Rebalance(
    const OwnershipTable& table,
    const std::vector<Candidate>& candidates,
    const KeyLoad& load,
    std::size_t most);

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_REBALANCER_H_
