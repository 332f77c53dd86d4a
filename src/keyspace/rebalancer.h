// Computes ownership transfers that keep the load of the servers balanced.
#ifndef SRC_KEYSPACE_REBALANCER_H_
#define SRC_KEYSPACE_REBALANCER_H_

#include <cstddef>
#include <vector>

#include "gentianreach/ids.h"
#include "keyspace/key_load.h"
#include "keyspace/ownership_table.h"

namespace gentianreach::keyspace {

// A server that is eligible to own keys.
struct Candidate {
  ServerId server;
  Incarnation incarnation;
  // Throughput in requests per second, relative to the other candidates.
  double capacity = 1;
};

// A range and its new owner.
struct Transfer {
  KeyRange range;
  ServerId server;
  Incarnation incarnation;
};

// Returns a partition of the key space into at most one range per candidate,
// with widths proportional to capacity. `candidates` must not be empty.
[[nodiscard]] std::vector<Transfer> PartitionByCapacity(
    const std::vector<Candidate>& candidates);

// Returns the load that each of `candidates` has by the ranges that it owns.
[[nodiscard]] std::vector<double> LoadsOf(
    const std::vector<Candidate>& candidates,
    const OwnershipTable& table,
    const KeyLoad& load);

// Returns the transfers that move `range` away from an owner that can no longer
// serve it. The range is split if its load is too high for one new owner.
// `candidate_loads` are those of LoadsOf(); the load of `range` is added.
[[nodiscard]] std::vector<Transfer> ReassignRange(
    const KeyRange& range,
    const std::vector<Candidate>& candidates,
    const KeyLoad& load,
    std::vector<double>* candidate_loads);

// Returns up to `max_transfers` transfers that even out the load; apply them in
// order. Each moves the narrowest suitable range from the server with the
// highest load per capacity, given the transfers before it, to the one with the
// lowest. Returns none if the gain does not justify the number of keys moved.
[[nodiscard]] std::vector<Transfer> Rebalance(
    const OwnershipTable& table,
    const std::vector<Candidate>& candidates,
    const KeyLoad& load,
    std::size_t max_transfers);

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_REBALANCER_H_
