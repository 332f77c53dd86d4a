// Finds the most requested keys in bounded memory and constant time per
// request.
#ifndef SRC_PLACEMENT_HOT_KEYS_H_
#define SRC_PLACEMENT_HOT_KEYS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gentianreach/key.h"

namespace gentianreach {

// A key and the number of requests for it.
struct HotKeyCount {
  KeyHash hash;
  std::uint64_t requests = 0;

  bool operator==(const HotKeyCount&) const = default;
};

// Tracks the most requested keys of one service with a fixed number of
// counters (the space-saving algorithm). A key that receives more than one in
// `capacity` of the recent requests always has a counter.
//
// Count() takes constant time: counters are sorted by count and grouped in
// blocks of equal count, so that incrementing one swaps at most two counters.
// Take(), which also decays the counts, takes O(capacity) time.
class HotKeyTracker {
 public:
  // `capacity` is the number of counters, at least one.
  explicit HotKeyTracker(std::size_t capacity);

  // Counts one request.
  void Count(KeyHash hash);

  // Returns at most `limit` keys, the most requested first, each with the
  // number of its requests since the last call; the number may be too low but
  // never too high. Selects the keys with the highest counts and omits those
  // with a count of one. Reduces all counts by a quarter, so that keys that
  // are no longer requested lose their counters.
  std::vector<HotKeyCount> Take(std::size_t limit);

  // Returns the number of keys that have a counter.
  [[nodiscard]] std::size_t size() const { return counters_.size(); }
  // Returns an upper bound on the decayed count of `hash`, or zero if it has
  // no counter.
  [[nodiscard]] std::uint64_t UpperBound(KeyHash hash) const;

 private:
  struct Counter {
    std::uint64_t hash = 0;
    std::uint64_t requests = 0;  // Since Take(); excludes inherited ones.
    std::uint32_t block = 0;
  };
  // Counters [begin, end) have the same count. The blocks form a doubly linked
  // list, sorted by count.
  struct Block {
    std::uint64_t count = 0;
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
    std::uint32_t higher = 0;
    std::uint32_t lower = 0;
  };

  std::uint32_t AddBlock(const Block& block);
  void RemoveBlock(std::uint32_t id);
  void Increment(std::uint32_t index);
  void SwapCounters(std::uint32_t a, std::uint32_t b);
  std::uint32_t AppendCounter(KeyHash hash);
  std::uint32_t ReplaceLowest(KeyHash hash);
  void Decay();

  std::size_t capacity_;
  std::vector<Counter> counters_;  // Sorted by count, highest first.
  std::vector<Block> blocks_;
  std::vector<std::uint32_t> free_blocks_;
  std::uint32_t lowest_;  // Block with the lowest count.
  boost::unordered_flat_map<std::uint64_t, std::uint32_t> index_;
};

// Returns the hot keys of several daemons with their requests added up: the
// `limit` most requested keys, the most requested first.
[[nodiscard]] std::vector<HotKeyCount> MergeHotKeys(
    std::span<const std::vector<HotKeyCount>> parts,
    std::size_t limit);

}  // namespace gentianreach

#endif  // SRC_PLACEMENT_HOT_KEYS_H_
