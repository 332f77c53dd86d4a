// Keys, their hashes and ranges of hashes.
#ifndef INCLUDE_GENTIANREACH_KEY_H_
#define INCLUDE_GENTIANREACH_KEY_H_

#include <compare>
#include <cstdint>
#include <limits>
#include <string_view>

#include "gentianreach/ids.h"

namespace gentianreach {

// Position of a key in its service's space of 2^64 positions.
class KeyHash {
 public:
  constexpr KeyHash() = default;
  explicit constexpr KeyHash(std::uint64_t value) : value_(value) {}

  [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
  constexpr auto operator<=>(const KeyHash&) const = default;

 private:
  std::uint64_t value_ = 0;
};

// Returns the position of `key` in the space of `service` (XXH3, 64 bits).
[[nodiscard]] KeyHash HashKey(const ServiceName& service, std::string_view key);

// A range of positions. Both ends are inclusive, so that a range can consist of
// one key or of the whole space.
struct HashRange {
  KeyHash first;
  KeyHash last{std::numeric_limits<std::uint64_t>::max()};

  // Returns whether `hash` lies in the range.
  [[nodiscard]] constexpr bool Contains(KeyHash hash) const {
    return first <= hash && hash <= last;
  }
  // Returns whether the two ranges share a position.
  [[nodiscard]] constexpr bool Overlaps(const HashRange& other) const {
    return first <= other.last && other.first <= last;
  }
  // Returns the share of the whole space that the range covers, in (0, 1].
  [[nodiscard]] double Share() const;

  constexpr auto operator<=>(const HashRange&) const = default;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_KEY_H_
