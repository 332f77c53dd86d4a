#include "keyspace/rebalancer.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace gentianreach::keyspace {
namespace {

// Load that every key counts with besides its requests, so that ranges which
// nobody has asked for yet are spread as well; in requests over all keys.
constexpr double kBaseLoad = 20;
// A server is relieved when its load per capacity exceeds the mean by this
// factor.
constexpr double kOverload = 1.3;
// Fewer samples than this over all keys say nothing about the load.
constexpr double kLeastSamples = 30;
// A server keeps at least this part of the mean load before it counts as one
// that has too little.
constexpr double kUnderload = 0.4;
// Widest range that moves for balance at once, in keys. Where balance needs
// more, it comes in steps, so that not too many keys are on their way.
constexpr std::uint32_t kWidestTransfer = kKeyCount / 16;
// The most pieces into which an orphaned range is cut.
constexpr int kMostPieces = 3;

double LoadOf(const KeyRange& range, const KeyLoad& load) {
  return load.In(range) + kBaseLoad * range.width() / kKeyCount;
}

double LoadAt(std::uint32_t key, const KeyLoad& load) {
  return load.At(key) + kBaseLoad / kKeyCount;
}

// Load of each candidate, in their order.
std::vector<double> Loads(const OwnershipTable& table,
                          const std::vector<Candidate>& candidates,
                          const KeyLoad& load) {
  std::vector<double> loads(candidates.size(), 0);
  for (const OwnedRange& it : table.ranges) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (it.owner.IsLife(candidates[i].server, candidates[i].incarnation)) {
        loads[i] += LoadOf(it.range, load);
      }
    }
  }
  return loads;
}

double TotalCapacity(const std::vector<Candidate>& candidates) {
  double total = 0;
  for (const Candidate& it : candidates) {
    total += it.capacity;
  }
  return total;
}

// Returns the narrowest part of `range` with a load of `wanted` or just above;
// the whole range where it has less.
KeyRange NarrowestPart(const KeyRange& range,
                       double wanted,
                       const KeyLoad& load) {
  KeyRange best = range;
  double sum = 0;
  std::uint32_t first = range.first;
  for (std::uint32_t last = range.first; last <= range.last; ++last) {
    sum += LoadAt(last, load);
    while (first < last && sum - LoadAt(first, load) >= wanted) {
      sum -= LoadAt(first, load);
      ++first;
    }
    if (sum >= wanted && last - first < best.last - best.first) {
      best = {first, last};
    }
  }
  return best;
}

// Cuts `range` into `pieces` of about the same load.
std::vector<KeyRange> CutByLoad(const KeyRange& range,
                                int pieces,
                                const KeyLoad& load) {
  std::vector<KeyRange> cut;
  const double share = LoadOf(range, load) / pieces;
  double sum = 0;
  std::uint32_t first = range.first;
  for (std::uint32_t key = range.first; key < range.last; ++key) {
    sum += LoadAt(key, load);
    if (sum < share || static_cast<int>(cut.size()) + 1 >= pieces) {
      continue;
    }
    cut.push_back({first, key});
    first = key + 1;
    sum = 0;
  }
  cut.push_back({first, range.last});
  return cut;
}

}  // namespace

std::vector<Transfer> DivideAll(const std::vector<Candidate>& candidates) {
  const double total = TotalCapacity(candidates);
  std::vector<Transfer> divided;
  double sum = 0;
  std::uint32_t next = 0;
  for (const Candidate& it : candidates) {
    sum += it.capacity;
    const auto end = &it == &candidates.back()
                         ? kKeyCount
                         : static_cast<std::uint32_t>(
                               std::lround(kKeyCount * sum / total));
    if (end == next) {
      continue;
    }
    divided.push_back({{next, end - 1}, it.server, it.incarnation});
    next = end;
  }
  return divided;
}

std::vector<Transfer> Rehome(const KeyRange& orphan,
                             const OwnershipTable& table,
                             const std::vector<Candidate>& candidates,
                             const KeyLoad& load) {
  std::vector<Transfer> transfers;
  if (candidates.empty()) {
    return transfers;
  }
  std::vector<double> loads = Loads(table, candidates, load);
  double total = LoadOf(orphan, load);
  for (const double it : loads) {
    total += it;
  }
  const double mean = total / static_cast<double>(candidates.size());
  const int most =
      std::min(kMostPieces, static_cast<int>(candidates.size()));
  const int pieces = std::clamp(
      static_cast<int>(std::ceil(LoadOf(orphan, load) / (mean / 3))), 1, most);
  for (const KeyRange& piece : CutByLoad(orphan, pieces, load)) {
    const double weight = LoadOf(piece, load);
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
      if ((loads[i] + weight) / candidates[i].capacity <
          (loads[best] + weight) / candidates[best].capacity) {
        best = i;
      }
    }
    loads[best] += weight;
    transfers.push_back(
        {piece, candidates[best].server, candidates[best].incarnation});
  }
  return transfers;
}

std::optional<Transfer> Rebalance(const OwnershipTable& table,
                                  const std::vector<Candidate>& candidates,
                                  const KeyLoad& load) {
  if (candidates.size() < 2 ||
      load.In({0, kKeyCount - 1}) < kLeastSamples) {
    return std::nullopt;
  }
  const std::vector<double> loads = Loads(table, candidates, load);
  double total = 0;
  std::size_t most = 0;
  std::size_t least = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total += loads[i];
    const double relative = loads[i] / candidates[i].capacity;
    if (relative > loads[most] / candidates[most].capacity) {
      most = i;
    }
    if (relative < loads[least] / candidates[least].capacity) {
      least = i;
    }
  }
  const double mean = total / TotalCapacity(candidates);
  const double surplus = loads[most] - mean * candidates[most].capacity;
  const double room = mean * candidates[least].capacity - loads[least];
  const bool overloaded =
      loads[most] > kOverload * mean * candidates[most].capacity;
  const bool unused =
      loads[least] < kUnderload * mean * candidates[least].capacity;
  if ((!overloaded && !unused) || most == least) {
    return std::nullopt;
  }
  const double wanted = std::min(surplus, room);
  const OwnedRange* from = nullptr;
  KeyRange best;
  for (const OwnedRange& it : table.ranges) {
    if (it.moving() || !it.owner.IsLife(candidates[most].server,
                                        candidates[most].incarnation)) {
      continue;
    }
    KeyRange part = NarrowestPart(it.range, wanted, load);
    const bool is_step = part.width() > kWidestTransfer;
    if (is_step) {
      part.last = part.first + kWidestTransfer - 1;
    }
    // A range that holds too little moves whole, where it is worth it.
    const bool worthwhile = is_step || LoadOf(part, load) >= wanted / 3;
    // A part far above what is wanted would only swap the two servers' roles.
    const bool fits = LoadOf(part, load) <= 2 * wanted;
    if (worthwhile && fits &&
        (from == nullptr || part.width() < best.width())) {
      from = &it;
      best = part;
    }
  }
  if (from == nullptr) {
    return std::nullopt;
  }
  return Transfer{best, candidates[least].server,
                  candidates[least].incarnation};
}

}  // namespace gentianreach::keyspace
