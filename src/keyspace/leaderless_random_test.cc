// Orders of killed leaders that arrive while nobody leads.
#include "keyspace/testing/assigner_simulation.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CheckSeeds;

TEST_CASE(
    "a key has two holders for 0.5 s at most when a partition ends while "
    "nobody leads") {
  CheckSeeds({.killed = true,
              .longest_cut = seconds(26),
              .earliest_arrival = Duration(0),
              .latest_arrival = milliseconds(300),
              .overlaps = true,
              .leaderless = true},
             40);
}

}  // namespace
}  // namespace gentianreach::keyspace
