// Which part of the requests for the keys of overloaded servers is admitted.
#ifndef SRC_KEYSPACE_OWNER_SHARES_H_
#define SRC_KEYSPACE_OWNER_SHARES_H_

#include <vector>

#include "gentianreach/ids.h"
#include "keyspace/key_load.h"
#include "keyspace/ownership_table.h"
#include "keyspace/rebalancer.h"

namespace gentianreach::keyspace {

struct OwnerShare {
  ServerId server;
  // Part of the requests for its keys that it can answer in time, below 1.
  double share = 1;
};

// Returns the servers that are asked for more than they can answer. The
// capacities of `candidates` are in requests per second.
//
// The load that this answers: a key hotter than its owner, or an owner that has
// not been relieved yet, in a fleet of hundreds of daemons. Each of them sends
// it a request now and then and knows nothing of its queue; if all send, the
// queue is always full and no request is answered in time. Only the leader
// knows what all daemons are asked for.
[[nodiscard]] std::vector<OwnerShare> FindOwnerShares(
    const OwnershipTable& table,
    const std::vector<Candidate>& candidates,
    const KeyLoad& load);

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_OWNER_SHARES_H_
