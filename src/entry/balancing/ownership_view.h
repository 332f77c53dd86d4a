// A daemon's copy of the ownership tables.
#ifndef SRC_ENTRY_BALANCING_OWNERSHIP_VIEW_H_
#define SRC_ENTRY_BALANCING_OWNERSHIP_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "gentianreach/ids.h"
#include "keyspace/key_load.h"
#include "keyspace/ownership_table.h"

namespace gentianreach::entry {

class OwnershipView {
 public:
  // Stores the table of a service, which has `revision` in the store. Returns
  // whether it differs from the known one.
  bool Put(const std::string& service,
           std::uint64_t revision,
           keyspace::OwnershipTable table) {
    const auto [found, is_new] = entries_.try_emplace(service);
    Entry& entry = found->second;
    entry.revision = revision;
    entry.tokens_seen = std::max(entry.tokens_seen, table.next_token);
    const bool changed = is_new || !(entry.table == table);
    entry.table = std::move(table);
    return changed;
  }

  // Returns the table of a service, or null if none is known.
  [[nodiscard]] const keyspace::OwnershipTable* Find(
      const std::string& service) const {
    const auto it = entries_.find(service);
    return it == entries_.end() ? nullptr : &it->second.table;
  }
  // Returns the highest `next_token` of the tables of a service so far. A table
  // in the store with a lower one is older than a table that was there before.
  [[nodiscard]] Token tokens_seen(const std::string& service) const {
    const auto it = entries_.find(service);
    return it == entries_.end() ? Token() : it->second.tokens_seen;
  }
  [[nodiscard]] std::uint64_t revision(const std::string& service) const {
    const auto it = entries_.find(service);
    return it == entries_.end() ? 0 : it->second.revision;
  }

 private:
  struct Entry {
    std::uint64_t revision = 0;
    Token tokens_seen;
    keyspace::OwnershipTable table;
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_OWNERSHIP_VIEW_H_
