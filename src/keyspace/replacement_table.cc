#include "keyspace/replacement_table.h"

#include <algorithm>

#include "keyspace/fencing_tokens.h"

namespace gentianreach::keyspace {

static_assert(kTokensPerMove * kKeyCount < kMaxTokensPerTable);

OwnershipTable ReplacementTable(const OwnershipTable* copy,
                                std::uint64_t revision,
                                Token seen,
                                Epoch epoch) {
  OwnershipTable table;
  table.epoch = epoch;
  const std::uint64_t unseen =
      seen == Token() ? 0 : kMaxUnseenTables * kMaxTokensPerTable;
  table.next_token =
      Token(std::max(revision * kMaxTokensPerTable, seen.value() + unseen));
  if (copy == nullptr) {
    table.ranges.push_back({{0, kKeyCount - 1}, {}, {}});
    table.ranges.front().owner.token = AllocateToken(&table);
    return table;
  }
  for (const OwnedRange& it : copy->ranges) {
    Owner owner = it.owner;
    owner.token = AllocateToken(&table);
    table.ranges.push_back({it.range, owner, {Owner{}}});
  }
  return table;
}

}  // namespace gentianreach::keyspace
