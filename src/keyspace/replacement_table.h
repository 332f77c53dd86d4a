// The table of owners that replaces one that cannot be read.
#ifndef SRC_KEYSPACE_REPLACEMENT_TABLE_H_
#define SRC_KEYSPACE_REPLACEMENT_TABLE_H_

#include <cstdint>

#include "gentianreach/ids.h"
#include "keyspace/ownership_table.h"

namespace gentianreach::keyspace {

// Upper bound on the tokens that one table allocates. Each table that is
// written raises the revision of the store by one at least, so that all tokens
// of the tables up to a revision are below its product with this number.
constexpr std::uint64_t kMaxTokensPerTable = std::uint64_t{1} << 20;

// Number of tables that may have been written since the last one that a daemon
// has seen.
constexpr std::uint64_t kMaxUnseenTables = std::uint64_t{1} << 10;

// Returns a table in which an owner without a name, which only the end of its
// leases clears, stands for all servers that may hold the keys. Its tokens are
// above those of all tables up to `revision`, that of the table that cannot be
// used, and above `seen`, the highest `next_token` of the tables that this
// daemon has seen: the store's counter may have gone back since. The keys stay
// with the owners in `copy`, which may be outdated; without a copy (null) they
// have none.
[[nodiscard]] OwnershipTable ReplacementTable(const OwnershipTable* copy,
                                              std::uint64_t revision,
                                              Token seen,
                                              Epoch epoch);

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_REPLACEMENT_TABLE_H_
