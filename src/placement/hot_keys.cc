#include "placement/hot_keys.h"

#include <algorithm>
#include <utility>

#include "gentianreach/check.h"

namespace gentianreach {
namespace {

constexpr std::uint32_t kNoBlock = UINT32_MAX;

bool Hotter(const HotKeyCount& a, const HotKeyCount& b) {
  if (a.requests != b.requests) {
    return a.requests > b.requests;
  }
  return a.hash < b.hash;
}

}  // namespace

HotKeyTracker::HotKeyTracker(std::size_t capacity)
    : capacity_(capacity), lowest_(kNoBlock) {
  GENTIANREACH_CHECK(capacity > 0 && capacity < kNoBlock);
  counters_.reserve(capacity);
  blocks_.reserve(capacity + 1);
  index_.reserve(capacity + 1);
}

void HotKeyTracker::Count(KeyHash hash) {
  const auto it = index_.find(hash.value());
  if (it != index_.end()) {
    Increment(it->second);
    return;
  }
  const bool full = counters_.size() == capacity_;
  Increment(full ? ReplaceLowest(hash) : AppendCounter(hash));
}

std::vector<HotKeyCount> HotKeyTracker::Take(std::size_t limit) {
  std::vector<HotKeyCount> keys;
  for (Counter& it : counters_) {
    const bool repeated = blocks_[it.block].count > 1;
    if (keys.size() < limit && repeated && it.requests > 0) {
      keys.push_back({KeyHash(it.hash), it.requests});
    }
    it.requests = 0;
  }
  std::sort(keys.begin(), keys.end(), Hotter);
  Decay();
  return keys;
}

std::uint64_t HotKeyTracker::UpperBound(KeyHash hash) const {
  const auto it = index_.find(hash.value());
  return it == index_.end() ? 0 : blocks_[counters_[it->second].block].count;
}

std::uint32_t HotKeyTracker::AddBlock(const Block& block) {
  std::uint32_t id = 0;
  if (free_blocks_.empty()) {
    id = static_cast<std::uint32_t>(blocks_.size());
    blocks_.push_back(block);
  } else {
    id = free_blocks_.back();
    free_blocks_.pop_back();
    blocks_[id] = block;
  }
  if (block.higher != kNoBlock) {
    blocks_[block.higher].lower = id;
  }
  if (block.lower != kNoBlock) {
    blocks_[block.lower].higher = id;
  } else {
    lowest_ = id;
  }
  return id;
}

void HotKeyTracker::RemoveBlock(std::uint32_t id) {
  const Block block = blocks_[id];
  if (block.higher != kNoBlock) {
    blocks_[block.higher].lower = block.lower;
  }
  if (block.lower != kNoBlock) {
    blocks_[block.lower].higher = block.higher;
  } else {
    lowest_ = block.higher;
  }
  free_blocks_.push_back(id);
}

// Swaps the counter to the front of its block, then moves the block boundary
// so that the counter becomes the last one of the block with the next count.
void HotKeyTracker::Increment(std::uint32_t index) {
  const std::uint32_t id = counters_[index].block;
  const std::uint32_t first = blocks_[id].begin;
  ++counters_[index].requests;
  SwapCounters(index, first);
  const std::uint64_t count = blocks_[id].count + 1;
  const std::uint32_t higher = blocks_[id].higher;
  ++blocks_[id].begin;
  if (higher != kNoBlock && blocks_[higher].count == count) {
    ++blocks_[higher].end;
    counters_[first].block = higher;
  } else {
    counters_[first].block = AddBlock({count, first, first + 1, higher, id});
  }
  if (blocks_[id].begin == blocks_[id].end) {
    RemoveBlock(id);
  }
}

void HotKeyTracker::SwapCounters(std::uint32_t a, std::uint32_t b) {
  if (a == b) {
    return;
  }
  std::swap(counters_[a], counters_[b]);
  index_[counters_[a].hash] = a;
  index_[counters_[b].hash] = b;
}

// Adds a counter with count zero for `hash` and returns its index.
std::uint32_t HotKeyTracker::AppendCounter(KeyHash hash) {
  const auto index = static_cast<std::uint32_t>(counters_.size());
  if (lowest_ != kNoBlock && blocks_[lowest_].count == 0) {
    ++blocks_[lowest_].end;
  } else {
    AddBlock({0, index, index + 1, lowest_, kNoBlock});
  }
  counters_.push_back({hash.value(), 0, lowest_});
  index_.emplace(hash.value(), index);
  return index;
}

// Reassigns the counter with the lowest count to `hash` and returns its index.
// The new key inherits the count, which is the maximum error of its count.
std::uint32_t HotKeyTracker::ReplaceLowest(KeyHash hash) {
  const std::uint32_t index = blocks_[lowest_].end - 1;
  index_.erase(counters_[index].hash);
  counters_[index].hash = hash.value();
  counters_[index].requests = 0;
  index_.emplace(hash.value(), index);
  return index;
}

// Reduces every count by a quarter, removes the counters that reach zero and
// rebuilds the blocks. The order of the counters does not change.
void HotKeyTracker::Decay() {
  std::vector<std::uint64_t> counts;
  counts.reserve(counters_.size());
  for (const Counter& it : counters_) {
    counts.push_back(blocks_[it.block].count * 3 / 4);
  }
  while (!counts.empty() && counts.back() == 0) {
    counts.pop_back();
    index_.erase(counters_.back().hash);
    counters_.pop_back();
  }
  blocks_.clear();
  free_blocks_.clear();
  lowest_ = kNoBlock;
  for (std::uint32_t i = 0; i < counts.size(); ++i) {
    if (lowest_ != kNoBlock && blocks_[lowest_].count == counts[i]) {
      ++blocks_[lowest_].end;
    } else {
      AddBlock({counts[i], i, i + 1, lowest_, kNoBlock});
    }
    counters_[i].block = lowest_;
  }
}

std::vector<HotKeyCount> MergeHotKeys(
    std::span<const std::vector<HotKeyCount>> parts,
    std::size_t limit) {
  boost::unordered_flat_map<std::uint64_t, std::uint64_t> sums;
  for (const std::vector<HotKeyCount>& part : parts) {
    for (const HotKeyCount& it : part) {
      sums[it.hash.value()] += it.requests;
    }
  }
  std::vector<HotKeyCount> keys;
  keys.reserve(sums.size());
  for (const auto& [hash, requests] : sums) {
    keys.push_back({KeyHash(hash), requests});
  }
  std::sort(keys.begin(), keys.end(), Hotter);
  if (keys.size() > limit) {
    keys.resize(limit);
  }
  return keys;
}

}  // namespace gentianreach
