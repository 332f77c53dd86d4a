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

// Load added to the measured requests, in requests over all keys and spread
// evenly, so that ranges without requests are balanced as well.
constexpr double kBaseLoadRequests = 20;
// A server is overloaded if its load per capacity exceeds the mean by this
// factor.
constexpr double kOverloadFactor = 1.3;
// With fewer requests than this over all keys, the measured load is too noisy
// to act on.
constexpr double kMinSampledRequests = 30;
// A server is underloaded if its load per capacity is below this fraction of
// the mean.
constexpr double kUnderloadFactor = 0.4;
// Part of its share that a server takes over from an overloaded one even if it
// has its share already: in a large fleet no server is far below it, and one
// that has slightly more is not overloaded yet.
constexpr double kSpareShare = 0.2;
// Counts of requests scatter around their mean, all the more the fewer requests
// a server gets. A difference counts only if it exceeds this many standard
// deviations: of hundreds of servers, several differ by two of them.
constexpr double kSignificantDeviations = 3.0;
// A key that would overload any server moves only to a server that is faster
// than its owner by this factor and close to the highest capacity.
constexpr double kMinSpeedup = 1.5;
constexpr double kNearFastestFactor = 0.85;
// Widest range that one rebalancing transfer moves. Larger moves take several
// steps, which limits the number of keys that are in transfer at a time.
constexpr std::uint32_t kMaxTransferKeys = kKeyCount / 16;
// Upper bound on the pieces into which ReassignRange() splits a range.
constexpr int kMaxPieces = 3;

double LoadOf(const KeyRange& range, const KeyLoad& load) {
  return load.In(range) + kBaseLoadRequests * range.width() / kKeyCount;
}

double LoadAt(std::uint32_t key, const KeyLoad& load) {
  return load.At(key) + kBaseLoadRequests / kKeyCount;
}

// Index of the owner of a range that no candidate owns.
constexpr std::size_t kNoCandidate = static_cast<std::size_t>(-1);

// A range and the index of the candidate that owns it.
struct AssignedRange {
  KeyRange range;
  std::size_t candidate = kNoCandidate;
  bool moving = false;
};

std::vector<AssignedRange> AssignedRanges(
    const OwnershipTable& table,
    const std::vector<Candidate>& candidates) {
  std::map<std::pair<ServerId, Incarnation>, std::size_t> indices;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    indices[{candidates[i].server, candidates[i].incarnation}] = i;
  }
  std::vector<AssignedRange> assigned;
  for (const OwnedRange& it : table.ranges) {
    const auto index = indices.find({it.owner.server, it.owner.incarnation});
    assigned.push_back({it.range,
                        index == indices.end() ? kNoCandidate : index->second,
                        it.moving()});
  }
  return assigned;
}

// Returns the load of each candidate, in the order of the candidates.
std::vector<double> CandidateLoads(const std::vector<AssignedRange>& assigned,
                                   std::size_t candidates,
                                   const KeyLoad& load) {
  std::vector<double> loads(candidates, 0);
  for (const AssignedRange& it : assigned) {
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

// Returns the narrowest subrange of `range` whose load reaches `target_load`,
// or `range` if its load is lower.
KeyRange NarrowestSubrange(const KeyRange& range,
                           double target_load,
                           const KeyLoad& load) {
  KeyRange best = range;
  double sum = 0;
  std::uint32_t first = range.first;
  for (std::uint32_t last = range.first; last <= range.last; ++last) {
    sum += LoadAt(last, load);
    while (first < last && sum - LoadAt(first, load) >= target_load) {
      sum -= LoadAt(first, load);
      ++first;
    }
    if (sum >= target_load && last - first < best.last - best.first) {
      best = {first, last};
    }
  }
  return best;
}

// Returns `range` split into up to `pieces` parts of about equal load.
std::vector<KeyRange> SplitByLoad(const KeyRange& range,
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

std::vector<Transfer> PartitionByCapacity(
    const std::vector<Candidate>& candidates) {
  const double total = TotalCapacity(candidates);
  std::vector<Transfer> partition;
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
    partition.push_back({{next, end - 1}, it.server, it.incarnation});
    next = end;
  }
  return partition;
}

std::vector<double> LoadsOf(const std::vector<Candidate>& candidates,
                            const OwnershipTable& table,
                            const KeyLoad& load) {
  return CandidateLoads(AssignedRanges(table, candidates), candidates.size(),
                        load);
}

std::vector<Transfer> ReassignRange(const KeyRange& range,
                                    const std::vector<Candidate>& candidates,
                                    const KeyLoad& load,
                                    std::vector<double>* candidate_loads) {
  std::vector<Transfer> transfers;
  if (candidates.empty()) {
    return transfers;
  }
  std::vector<double>& loads = *candidate_loads;
  double total = LoadOf(range, load);
  for (const double it : loads) {
    total += it;
  }
  const double mean = total / static_cast<double>(candidates.size());
  const int max_pieces =
      std::min(kMaxPieces, static_cast<int>(candidates.size()));
  const int pieces =
      std::clamp(static_cast<int>(std::ceil(LoadOf(range, load) / (mean / 3))),
                 1, max_pieces);
  for (const KeyRange& piece : SplitByLoad(range, pieces, load)) {
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

// Returns by how much a load with the mean `mean` differs from it by chance.
// The requests are independent of each other, and the exponential decay of the
// counts halves their variance.
double Scatter(double mean) {
  return kSignificantDeviations * std::sqrt(mean / 2);
}

// The donor and the receiver of a transfer, as indices of candidates.
struct TransferPair {
  std::size_t from = 0;
  std::size_t to = 0;
  // Load to transfer; 0 if the two servers are balanced.
  double target_load = 0;
};

// Returns the index of the server with the highest load per capacity that
// `may_give` is true for, or nullopt if there is none.
template <typename Predicate>
std::optional<std::size_t> FindDonor(const std::vector<double>& loads,
                                     const std::vector<Candidate>& candidates,
                                     Predicate may_give) {
  std::optional<std::size_t> donor;
  double highest = -1;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double relative = loads[i] / candidates[i].capacity;
    if (relative > highest && may_give(i)) {
      highest = relative;
      donor = i;
    }
  }
  return donor;
}

// Returns the server with the highest load per capacity among those that are
// overloaded, and the one with the lowest. If no server is overloaded but one
// is underloaded, any server may be the donor. Servers in `excluded_donors` are
// not considered as donors.
TransferPair FindTransferPair(const std::vector<double>& loads,
                              const std::vector<Candidate>& candidates,
                              const std::set<std::size_t>& excluded_donors) {
  TransferPair pair;
  double total = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total += loads[i];
    if (loads[i] / candidates[i].capacity <
        loads[pair.to] / candidates[pair.to].capacity) {
      pair.to = i;
    }
  }
  const double mean = total / TotalCapacity(candidates);
  const auto share = [&](std::size_t i) {
    return mean * candidates[i].capacity;
  };
  const auto may_give = [&](std::size_t i) {
    return i != pair.to && !excluded_donors.contains(i);
  };
  auto donor = FindDonor(loads, candidates, [&](std::size_t i) {
    return may_give(i) && loads[i] > kOverloadFactor * share(i) &&
           loads[i] - share(i) > Scatter(share(i));
  });
  const double to_share = share(pair.to);
  const bool underloaded = loads[pair.to] < kUnderloadFactor * to_share &&
                           to_share - loads[pair.to] > Scatter(to_share);
  const bool donor_overloaded = donor.has_value();
  if (!donor && underloaded) {
    donor = FindDonor(loads, candidates, may_give);
  }
  if (donor) {
    pair.from = *donor;
    pair.target_load =
        std::min(loads[*donor] - share(*donor),
                 std::max(to_share - loads[pair.to],
                          donor_overloaded ? kSpareShare * to_share : 0));
  }
  return pair;
}

// Appends the parts of `range` that qualify for a transfer of `target_load`:
// the narrowest part with that load or, if that part is far too heavy (a hot
// key), what lies on either side of it.
void AppendTransferableParts(const KeyRange& range,
                             double target_load,
                             const KeyLoad& load,
                             std::vector<KeyRange>* parts) {
  KeyRange part = NarrowestSubrange(range, target_load, load);
  if (part.width() > kMaxTransferKeys) {
    part.last = part.first + kMaxTransferKeys - 1;
  }
  // Moving more than twice the target load would only swap the roles of the two
  // servers.
  if (LoadOf(part, load) <= 2 * target_load) {
    parts->push_back(part);
    return;
  }
  for (KeyRange adjacent : {KeyRange{range.first, part.first - 1},
                            KeyRange{part.last + 1, range.last}}) {
    const bool is_left = adjacent.first == range.first;
    if ((is_left && part.first == range.first) ||
        (!is_left && part.last == range.last)) {
      continue;
    }
    if (adjacent.width() > kMaxTransferKeys) {
      adjacent.last = adjacent.first + kMaxTransferKeys - 1;
    }
    if (LoadOf(adjacent, load) > target_load) {
      adjacent = NarrowestSubrange(adjacent, target_load, load);
    }
    if (LoadOf(adjacent, load) <= 2 * target_load) {
      parts->push_back(adjacent);
    }
  }
}

// Returns the index of the assigned range to split and the part to transfer, or
// `assigned.size()` as the index if no part qualifies.
std::pair<std::size_t, KeyRange> FindTransferablePart(
    const std::vector<AssignedRange>& assigned,
    const TransferPair& pair,
    const KeyLoad& load) {
  std::size_t index = assigned.size();
  KeyRange best;
  for (std::size_t i = 0; i < assigned.size(); ++i) {
    const AssignedRange& it = assigned[i];
    if (it.moving || it.candidate != pair.from) {
      continue;
    }
    std::vector<KeyRange> parts;
    AppendTransferableParts(it.range, pair.target_load, load, &parts);
    for (const KeyRange& part : parts) {
      // A range with less than the target load moves whole if it has at least a
      // third of it.
      const bool worthwhile = part.width() >= kMaxTransferKeys ||
                              LoadOf(part, load) >= pair.target_load / 3;
      if (worthwhile &&
          (index == assigned.size() || part.width() < best.width())) {
        index = i;
        best = part;
      }
    }
  }
  return {index, best};
}

// Returns the index of a range that is a single key and causes more than half
// of the load of `candidate`.
std::optional<std::size_t> FindHotKey(
    const std::vector<AssignedRange>& assigned,
    std::size_t candidate,
    const std::vector<double>& loads,
    const KeyLoad& load) {
  for (std::size_t i = 0; i < assigned.size(); ++i) {
    const AssignedRange& it = assigned[i];
    if (it.candidate == candidate && !it.moving && it.range.width() == 1 &&
        load.In(it.range) > loads[candidate] / 2) {
      return i;
    }
  }
  return std::nullopt;
}

// Returns the least loaded of the candidates close to the highest capacity, or
// `from` if that is about as fast.
std::size_t FindFastServer(const std::vector<Candidate>& candidates,
                           const std::vector<double>& loads,
                           std::size_t from) {
  double highest = 0;
  for (const Candidate& it : candidates) {
    highest = std::max(highest, it.capacity);
  }
  if (candidates[from].capacity * kMinSpeedup >= highest) {
    return from;
  }
  std::size_t best = from;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i != from && candidates[i].capacity > highest * kNearFastestFactor &&
        (best == from || loads[i] < loads[best])) {
      best = i;
    }
  }
  return best;
}

// Splits `part` off the range at `index` and assigns it to `candidate`.
void ApplyTransfer(std::vector<AssignedRange>& assigned,
                   std::size_t index,
                   const KeyRange& part,
                   std::size_t candidate) {
  const AssignedRange whole = assigned[index];
  assigned[index] = {part, candidate, true};
  if (whole.range.first < part.first) {
    assigned.push_back(
        {{whole.range.first, part.first - 1}, whole.candidate, false});
  }
  if (part.last < whole.range.last) {
    assigned.push_back(
        {{part.last + 1, whole.range.last}, whole.candidate, false});
  }
}

}  // namespace

std::vector<Transfer> Rebalance(const OwnershipTable& table,
                                const std::vector<Candidate>& candidates,
                                const KeyLoad& load,
                                std::size_t max_transfers) {
  std::vector<Transfer> transfers;
  if (candidates.size() < 2 ||
      load.In({0, kKeyCount - 1}) < kMinSampledRequests) {
    return transfers;
  }
  std::vector<AssignedRange> assigned = AssignedRanges(table, candidates);
  std::vector<double> loads = CandidateLoads(assigned, candidates.size(), load);
  std::set<std::size_t> excluded_donors;
  while (transfers.size() < max_transfers &&
         excluded_donors.size() < candidates.size()) {
    const TransferPair pair =
        FindTransferPair(loads, candidates, excluded_donors);
    if (pair.target_load <= 0) {
      break;
    }
    const auto [index, part] = FindTransferablePart(assigned, pair, load);
    if (index == assigned.size()) {
      excluded_donors.insert(pair.from);
      const auto hot = FindHotKey(assigned, pair.from, loads, load);
      const std::size_t fastest = FindFastServer(candidates, loads, pair.from);
      if (!hot || fastest == pair.from) {
        continue;
      }
      // The hot key exceeds the share of any server, so it goes to one of the
      // fastest.
      const KeyRange key = assigned[*hot].range;
      ApplyTransfer(assigned, *hot, key, fastest);
      excluded_donors.insert(fastest);
      transfers.push_back(
          {key, candidates[fastest].server, candidates[fastest].incarnation});
      continue;
    }
    ApplyTransfer(assigned, index, part, pair.to);
    const double moved = LoadOf(part, load);
    loads[pair.from] -= moved;
    loads[pair.to] += moved;
    transfers.push_back(
        {part, candidates[pair.to].server, candidates[pair.to].incarnation});
  }
  return transfers;
}

}  // namespace gentianreach::keyspace
