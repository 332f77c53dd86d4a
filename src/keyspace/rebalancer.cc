#include "keyspace/rebalancer.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
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
// A key that overloads any server moves to one that is faster by this factor,
// and which is nearly the fastest.
constexpr double kFasterServer = 1.5;
constexpr double kNearlyFastest = 0.85;
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

// Marks a range whose owner is no candidate.
constexpr std::size_t kNoCandidate = static_cast<std::size_t>(-1);

// A range that does not move, and whose it is.
struct Holding {
  KeyRange range;
  std::size_t candidate = kNoCandidate;
  bool moving = false;
};

std::vector<Holding> HoldingsOf(const OwnershipTable& table,
                                const std::vector<Candidate>& candidates) {
  std::map<std::pair<ServerId, Incarnation>, std::size_t> places;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    places[{candidates[i].server, candidates[i].incarnation}] = i;
  }
  std::vector<Holding> holdings;
  for (const OwnedRange& it : table.ranges) {
    const auto place = places.find({it.owner.server, it.owner.incarnation});
    holdings.push_back({it.range,
                        place == places.end() ? kNoCandidate : place->second,
                        it.moving()});
  }
  return holdings;
}

// Load of each candidate, in their order.
std::vector<double> Loads(const std::vector<Holding>& holdings,
                          std::size_t candidates,
                          const KeyLoad& load) {
  std::vector<double> loads(candidates, 0);
  for (const Holding& it : holdings) {
    if (it.candidate != kNoCandidate) {
      loads[it.candidate] += LoadOf(it.range, load);
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
    const auto end =
        &it == &candidates.back()
            ? kKeyCount
            : static_cast<std::uint32_t>(std::lround(kKeyCount * sum / total));
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
  std::vector<double> loads =
      Loads(HoldingsOf(table, candidates), candidates.size(), load);
  double total = LoadOf(orphan, load);
  for (const double it : loads) {
    total += it;
  }
  const double mean = total / static_cast<double>(candidates.size());
  const int most = std::min(kMostPieces, static_cast<int>(candidates.size()));
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

namespace {

// The two servers between which a transfer helps most.
struct Pair {
  std::size_t from = 0;
  std::size_t to = 0;
  // Load that the transfer should have; none where the two are balanced.
  double wanted = 0;
};

// Servers in `stuck` cannot be relieved.
Pair FindPair(const std::vector<double>& loads,
              const std::vector<Candidate>& candidates,
              const std::set<std::size_t>& stuck) {
  Pair pair;
  double total = 0;
  double highest = -1;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total += loads[i];
    const double relative = loads[i] / candidates[i].capacity;
    if (relative > highest && !stuck.contains(i)) {
      highest = relative;
      pair.from = i;
    }
    if (relative < loads[pair.to] / candidates[pair.to].capacity) {
      pair.to = i;
    }
  }
  const double mean = total / TotalCapacity(candidates);
  const double most = mean * candidates[pair.from].capacity;
  const double least = mean * candidates[pair.to].capacity;
  const bool overloaded = loads[pair.from] > kOverload * most;
  const bool unused = loads[pair.to] < kUnderload * least;
  if ((overloaded || unused) && pair.from != pair.to) {
    pair.wanted = std::min(loads[pair.from] - most, least - loads[pair.to]);
  }
  return pair;
}

// Adds the parts of `range` that a transfer of `wanted` load could take: the
// narrowest with that load, or, where a single key is heavier than that, what
// lies beside it.
void AddParts(const KeyRange& range,
              double wanted,
              const KeyLoad& load,
              std::vector<KeyRange>* parts) {
  KeyRange part = NarrowestPart(range, wanted, load);
  if (part.width() > kWidestTransfer) {
    part.last = part.first + kWidestTransfer - 1;
  }
  // A part far above what is wanted would only swap the two servers' roles.
  if (LoadOf(part, load) <= 2 * wanted) {
    parts->push_back(part);
    return;
  }
  for (KeyRange beside : {KeyRange{range.first, part.first - 1},
                          KeyRange{part.last + 1, range.last}}) {
    const bool is_left = beside.first == range.first;
    if ((is_left && part.first == range.first) ||
        (!is_left && part.last == range.last)) {
      continue;
    }
    if (beside.width() > kWidestTransfer) {
      beside.last = beside.first + kWidestTransfer - 1;
    }
    if (LoadOf(beside, load) > wanted) {
      beside = NarrowestPart(beside, wanted, load);
    }
    if (LoadOf(beside, load) <= 2 * wanted) {
      parts->push_back(beside);
    }
  }
}

// Returns the place of the holding to cut, and the part to transfer; the
// number of holdings where none fits.
std::pair<std::size_t, KeyRange> FindPart(const std::vector<Holding>& holdings,
                                          const Pair& pair,
                                          const KeyLoad& load) {
  std::size_t place = holdings.size();
  KeyRange best;
  for (std::size_t i = 0; i < holdings.size(); ++i) {
    const Holding& it = holdings[i];
    if (it.moving || it.candidate != pair.from) {
      continue;
    }
    std::vector<KeyRange> parts;
    AddParts(it.range, pair.wanted, load, &parts);
    for (const KeyRange& part : parts) {
      // A range that holds too little moves whole, where it is worth it.
      const bool worthwhile = part.width() >= kWidestTransfer ||
                              LoadOf(part, load) >= pair.wanted / 3;
      if (worthwhile &&
          (place == holdings.size() || part.width() < best.width())) {
        place = i;
        best = part;
      }
    }
  }
  return {place, best};
}

// Returns the holding of a single key that is most of the load of `candidate`.
std::optional<std::size_t> FindHotKey(const std::vector<Holding>& holdings,
                                      std::size_t candidate,
                                      const std::vector<double>& loads,
                                      const KeyLoad& load) {
  for (std::size_t i = 0; i < holdings.size(); ++i) {
    const Holding& it = holdings[i];
    if (it.candidate == candidate && !it.moving && it.range.width() == 1 &&
        load.In(it.range) > loads[candidate] / 2) {
      return i;
    }
  }
  return std::nullopt;
}

// Returns the candidate that is the least loaded of the fastest ones, or `from`
// where that is about as fast.
std::size_t FindFastest(const std::vector<Candidate>& candidates,
                        const std::vector<double>& loads,
                        std::size_t from) {
  double highest = 0;
  for (const Candidate& it : candidates) {
    highest = std::max(highest, it.capacity);
  }
  if (candidates[from].capacity * kFasterServer >= highest) {
    return from;
  }
  std::size_t best = from;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i != from && candidates[i].capacity > highest * kNearlyFastest &&
        (best == from || loads[i] < loads[best])) {
      best = i;
    }
  }
  return best;
}

// Cuts `part` out of the holding at `place` and gives it to `candidate`.
void Apply(std::vector<Holding>& holdings,
           std::size_t place,
           const KeyRange& part,
           std::size_t candidate) {
  const Holding whole = holdings[place];
  holdings[place] = {part, candidate, true};
  if (whole.range.first < part.first) {
    holdings.push_back(
        {{whole.range.first, part.first - 1}, whole.candidate, false});
  }
  if (part.last < whole.range.last) {
    holdings.push_back(
        {{part.last + 1, whole.range.last}, whole.candidate, false});
  }
}

}  // namespace

std::vector<Transfer> Rebalance(const OwnershipTable& table,
                                const std::vector<Candidate>& candidates,
                                const KeyLoad& load,
                                std::size_t most) {
  std::vector<Transfer> transfers;
  if (candidates.size() < 2 || load.In({0, kKeyCount - 1}) < kLeastSamples) {
    return transfers;
  }
  std::vector<Holding> holdings = HoldingsOf(table, candidates);
  std::vector<double> loads = Loads(holdings, candidates.size(), load);
  std::set<std::size_t> stuck;
  while (transfers.size() < most && stuck.size() < candidates.size()) {
    const Pair pair = FindPair(loads, candidates, stuck);
    if (pair.wanted <= 0) {
      break;
    }
    const auto [place, part] = FindPart(holdings, pair, load);
    if (place == holdings.size()) {
      stuck.insert(pair.from);
      const auto hot = FindHotKey(holdings, pair.from, loads, load);
      const std::size_t fastest = FindFastest(candidates, loads, pair.from);
      if (!hot || fastest == pair.from) {
        continue;
      }
      // No server can carry the key: the fastest one carries most of it.
      const KeyRange key = holdings[*hot].range;
      Apply(holdings, *hot, key, fastest);
      stuck.insert(fastest);
      transfers.push_back(
          {key, candidates[fastest].server, candidates[fastest].incarnation});
      continue;
    }
    Apply(holdings, place, part, pair.to);
    const double moved = LoadOf(part, load);
    loads[pair.from] -= moved;
    loads[pair.to] += moved;
    transfers.push_back(
        {part, candidates[pair.to].server, candidates[pair.to].incarnation});
  }
  return transfers;
}

}  // namespace gentianreach::keyspace
