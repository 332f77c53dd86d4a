// Who owns which keys of one service, as the platform's store keeps it.
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

// One incarnation of a server that was given keys under a token.
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

// Keys with one owner.
struct OwnedRange {
  KeyRange range;
  Owner owner;
  // Owners before that may still hold the keys. While there are any, the keys
  // are on their way to `owner` and nobody is known to serve them.
  std::vector<Owner> earlier;

  [[nodiscard]] bool moving() const { return !earlier.empty(); }
  bool operator==(const OwnedRange&) const = default;
};

// The ranges of one service in order of keys. They cover all keys.
struct OwnershipTable {
  // The leader that wrote it.
  Epoch epoch;
  // The next token that nobody has had.
  Token next_token{1};
  std::vector<OwnedRange> ranges;

  // Returns the range of `key`. The table must not be empty.
  [[nodiscard]] const OwnedRange& Find(std::uint32_t key) const;
  // Joins neighbours that have the same owner and token and do not move.
  void JoinNeighbours();
  bool operator==(const OwnershipTable&) const = default;
};

[[nodiscard]] nlohmann::json EncodeTable(const OwnershipTable& table);
// Returns nothing where `content` is no table or its ranges leave a gap.
[[nodiscard]] std::optional<OwnershipTable> DecodeTable(
    const nlohmann::json& content);

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_OWNERSHIP_TABLE_H_
