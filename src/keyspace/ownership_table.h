// The table of key owners of one service, and its format in the platform's
// store.
#ifndef SRC_KEYSPACE_OWNERSHIP_TABLE_H_
#define SRC_KEYSPACE_OWNERSHIP_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gentianreach/ids.h"
#include "keyspace/key_range.h"

namespace gentianreach::keyspace {

// An incarnation of a server that owns keys, and the token of its grants.
struct Owner {
  ServerId server;
  Incarnation incarnation;
  Token token;

  bool operator==(const Owner&) const = default;
  [[nodiscard]] bool IsServerIncarnation(const ServerId& id,
                                         Incarnation server_incarnation) const {
    return server == id && incarnation == server_incarnation;
  }
};

// A range of keys with the same owner.
struct OwnedRange {
  KeyRange range;
  Owner owner;
  // Previous owners that may still hold the keys. While there are any, the keys
  // are moving to `owner`, and no server is known to serve them.
  std::vector<Owner> earlier;

  [[nodiscard]] bool moving() const { return !earlier.empty(); }
  bool operator==(const OwnedRange&) const = default;
};

// The ranges of one service, ordered by key and covering all keys.
struct OwnershipTable {
  // Epoch of the leader that wrote the table.
  Epoch epoch;
  // Lowest token that has not been allocated.
  Token next_token{1};
  std::vector<OwnedRange> ranges;

  // Returns the range that contains `key`. The table must not be empty.
  [[nodiscard]] const OwnedRange& Find(std::uint32_t key) const;
  // Merges adjacent ranges that have the same owner and token and are not
  // moving.
  void MergeAdjacentRanges();
  bool operator==(const OwnershipTable&) const = default;
};

[[nodiscard]] nlohmann::json EncodeTable(const OwnershipTable& table);
// Returns std::nullopt if `content` is not a table or its ranges do not cover
// all keys.
[[nodiscard]] std::optional<OwnershipTable> DecodeTable(
    const nlohmann::json& content);

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_OWNERSHIP_TABLE_H_
