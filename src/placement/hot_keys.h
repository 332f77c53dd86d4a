// Counts requests on the path of every request: the hottest keys in bounded
// memory.
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
// counters (the space-saving algorithm). A key with more than one in
// `capacity` of the recent requests always has a counter.
//
// Count() takes constant time: counters are kept in order of their counts, in
// blocks of equal count, so that one more request exchanges two counters at
// most. Take() and the decay in it take time in proportion to `capacity`.
class HotKeyTracker {
 public:
  // `capacity` is the number of counters, at least one.
  explicit HotKeyTracker(std::size_t capacity);

  // Counts one request.
  void Count(KeyHash hash);

  // Returns at most `limit` keys with the requests surely counted for each
  // since the last call. The keys are those of the highest counts that were
  // requested more than once, the most requested first. Takes a quarter off all
  // counts, so that keys that have cooled give up their counters.
  std::vector<HotKeyCount> Take(std::size_t limit);

  // Returns the number of keys that have a counter.
  [[nodiscard]] std::size_t size() const { return counters_.size(); }
  // Returns an upper bound on the decayed count of `hash`; zero where it has
  // no counter.
  [[nodiscard]] std::uint64_t UpperBound(KeyHash hash) const;

 private:
  struct Counter {
    std::uint64_t hash = 0;
    std::uint64_t requests = 0;  // Since Take(), without inherited error.
    std::uint32_t block = 0;
  };
  // Counters [begin, end) have the same count. The blocks form a list in order
  // of count.
  struct Block {
    std::uint64_t count = 0;
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
    std::uint32_t higher = 0;
    std::uint32_t lower = 0;
  };

  std::uint32_t AddBlock(const Block& block);
  void RemoveBlock(std::uint32_t id);
  void Increment(std::uint32_t place);
  void Exchange(std::uint32_t a, std::uint32_t b);
  std::uint32_t AppendCounter(KeyHash hash);
  std::uint32_t ReplaceLowest(KeyHash hash);
  void Decay();

  std::size_t capacity_;
  std::vector<Counter> counters_;  // In order of count, the highest first.
  std::vector<Block> blocks_;
  std::vector<std::uint32_t> free_blocks_;
  std::uint32_t lowest_;  // Block of the lowest count.
  boost::unordered_flat_map<std::uint64_t, std::uint32_t> index_;
};

// Returns the sum of several daemons' hot keys, the most requested first, at
// most `limit` of them.
[[nodiscard]] std::vector<HotKeyCount> MergeHotKeys(
    std::span<const std::vector<HotKeyCount>> parts,
    std::size_t limit);

}  // namespace gentianreach

#endif  // SRC_PLACEMENT_HOT_KEYS_H_
