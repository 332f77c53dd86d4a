#include "placement/compaction.h"

#include <utility>

namespace gentianreach::internal {
namespace {

// Returns the greatest share of the space that a merged range may cover.
double GreatestShare(const WorkTable& table) {
  const double servers = static_cast<double>(table.servers().size());
  return 1.0 / (servers * static_cast<double>(kRangesPerServer));
}

bool Adjacent(const WorkRange& lower, const WorkRange& upper) {
  const KeyHash last = lower.range->range.last;
  return last.value() + 1 == upper.range->range.first.value() &&
         last < upper.range->range.first;
}

}  // namespace

void Compaction::Update(const WorkTable& table, TimePoint now) {
  const double cool = kCoolLoad * table.MeanLoad();
  const double small = GreatestShare(table) / 2;
  std::map<HashRange, TimePoint> cool_from;
  for (const WorkRange& it : table.ranges()) {
    if (it.load > cool || it.keys > small) {
      continue;
    }
    const HashRange& range = it.range->range;
    const auto old = cool_from_.find(range);
    const TimePoint from =
        old == cool_from_.end() ? now + kCooling : old->second;
    cool_from.emplace_hint(cool_from.end(), range, from);
  }
  cool_from_ = std::move(cool_from);
}

std::vector<MergeRanges> Compaction::Merges(WorkTable& table,
                                            TimePoint now) const {
  const double greatest = GreatestShare(table);
  std::vector<MergeRanges> merges;
  std::vector<WorkRange>& ranges = table.ranges();
  for (std::size_t i = 0; i + 1 < ranges.size(); ++i) {
    if (merges.size() == kGreatestMerges) {
      break;
    }
    WorkRange& lower = ranges[i];
    WorkRange& upper = ranges[i + 1];
    const bool idle =
        !lower.busy && !upper.busy && !lower.resting && !upper.resting;
    if (!idle || !Adjacent(lower, upper)) {
      continue;
    }
    if (lower.owner != upper.owner || lower.owner == WorkTable::kNoServer) {
      continue;
    }
    // One of the two is cool; the other may be a wide range of ordinary load,
    // but not a hot key that stands alone.
    const bool lower_cool = Cool(lower, now);
    const bool upper_cool = Cool(upper, now);
    const bool joins = (lower_cool && (upper_cool || !upper.Single())) ||
                       (upper_cool && !lower.Single());
    if (!joins || lower.keys + upper.keys > greatest) {
      continue;
    }
    merges.push_back(
        {lower.range->service, lower.range->range, upper.range->range});
    lower.busy = true;
    upper.busy = true;
  }
  return merges;
}

std::vector<MoveRange> Compaction::Returns(WorkTable& table,
                                           std::size_t limit,
                                           TimePoint now) const {
  std::vector<MoveRange> moves;
  std::vector<WorkRange>& ranges = table.ranges();
  for (std::size_t i = 1; i + 1 < ranges.size() && moves.size() < limit; ++i) {
    WorkRange& it = ranges[i];
    const bool idle = !it.busy && !it.resting;
    if (!idle || !it.Single() || !Cool(it, now)) {
      continue;
    }
    const std::size_t to = ranges[i - 1].owner;
    if (!Adjacent(ranges[i - 1], it) || to == WorkTable::kNoServer ||
        it.owner == WorkTable::kNoServer) {
      continue;
    }
    const bool at_home = to == it.owner || ranges[i + 1].owner == it.owner;
    // A server keeps its last range, also where that is a cool key.
    if (at_home || !table.servers()[to].receives ||
        table.Settled(it.owner) < 2) {
      continue;
    }
    moves.push_back({it.range->service, it.range->range, it.range->owner,
                     table.servers()[to].server->id, MoveCause::kReturn});
    table.Move(i, to);
  }
  return moves;
}

bool Compaction::Cool(const WorkRange& range, TimePoint now) const {
  const auto it = cool_from_.find(range.range->range);
  return it != cool_from_.end() && it->second <= now;
}

}  // namespace gentianreach::internal
