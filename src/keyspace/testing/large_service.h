// A keyed service with many servers and ranges, for tests.
#ifndef SRC_KEYSPACE_TESTING_LARGE_SERVICE_H_
#define SRC_KEYSPACE_TESTING_LARGE_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "keyspace/ownership_table.h"
#include "keyspace/range_assigner.h"

namespace gentianreach::keyspace::testing {

// Returns `count` servers of the same capacity.
inline std::vector<AssignerServer> ServersOf(std::size_t count,
                                             double capacity = 1) {
  std::vector<AssignerServer> servers;
  servers.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = "s" + std::to_string(i);
    servers.push_back(
        {ServerId(id), Incarnation(1), id + ":1", false, capacity});
  }
  return servers;
}

// Returns a table of `count` ranges of about equal width, owned by `servers` in
// turn, as a leader of the first epoch wrote it.
inline OwnershipTable EvenTable(std::uint32_t count,
                                const std::vector<AssignerServer>& servers) {
  OwnershipTable table;
  table.epoch = Epoch(1);
  for (std::uint32_t i = 0; i < count; ++i) {
    table.ranges.push_back(
        {{i * kKeyCount / count, (i + 1) * kKeyCount / count - 1},
         {servers[i % servers.size()].id, Incarnation(1), Token(i + 1)},
         {}});
  }
  table.next_token = Token(count + 1);
  return table;
}

}  // namespace gentianreach::keyspace::testing

#endif  // SRC_KEYSPACE_TESTING_LARGE_SERVICE_H_
