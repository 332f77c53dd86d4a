// Ranges of the keys of a keyed service.
#ifndef SRC_KEYSPACE_KEY_RANGE_H_
#define SRC_KEYSPACE_KEY_RANGE_H_

#include <compare>
#include <cstdint>

namespace gentianreach::keyspace {

// Number of keys of each keyed service. Keys are 0 to kKeyCount - 1.
inline constexpr std::uint32_t kKeyCount = 65536;

// The keys from `first` to `last`, inclusive.
struct KeyRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  [[nodiscard]] bool Contains(std::uint32_t key) const {
    return first <= key && key <= last;
  }
  [[nodiscard]] std::uint32_t width() const { return last - first + 1; }
  constexpr auto operator<=>(const KeyRange&) const = default;
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_KEY_RANGE_H_
