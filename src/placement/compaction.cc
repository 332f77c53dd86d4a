#include "placement/compaction.h"

#include <utility>

namespace gentianreach::internal {
namespace {

// Returns the largest share of the key space that a merged range may cover.
double MaxMergedShare(const WorkTable& table) {
  const double servers = static_cast<double>(table.servers().size());
  return 1.0 / (servers * static_cast<double>(kRangesPerServer));
}

bool AreAdjacent(const WorkRange& lower, const WorkRange& upper) {
  const KeyHash last = lower.range->range.last;
  return last.value() + 1 == upper.range->range.first.value() &&
         last < upper.range->range.first;
}

}  // namespace

void Compaction::Update(const WorkTable& table, TimePoint now) {
  const double max_load = kCoolLoad * table.MeanLoad();
  const double max_share = MaxMergedShare(table) / 2;
  std::map<HashRange, TimePoint> cool_from;
  for (const WorkRange& it : table.ranges()) {
    if (it.load > max_load || it.key_share > max_share) {
      continue;
    }
    const HashRange& range = it.range->range;
    const auto previous = cool_from_.find(range);
    const TimePoint cool_at =
        previous == cool_from_.end() ? now + kCoolingTime : previous->second;
    cool_from.emplace_hint(cool_from.end(), range, cool_at);
  }
  cool_from_ = std::move(cool_from);
}

std::vector<MergeRanges> Compaction::PlanMerges(WorkTable& table,
                                                TimePoint now) const {
  const double max_share = MaxMergedShare(table);
  std::vector<MergeRanges> merges;
  std::vector<WorkRange>& ranges = table.ranges();
  for (std::size_t i = 0; i + 1 < ranges.size(); ++i) {
    if (merges.size() == kMaxMerges) {
      break;
    }
    WorkRange& lower = ranges[i];
    WorkRange& upper = ranges[i + 1];
    const bool idle = !lower.busy && !upper.busy && !lower.recently_moved &&
                      !upper.recently_moved;
    if (!idle || !AreAdjacent(lower, upper)) {
      continue;
    }
    if (lower.owner != upper.owner || lower.owner == WorkTable::kNoServer) {
      continue;
    }
    // At least one range must be cool. The other may have any load, unless it
    // is an isolated hot key.
    const bool lower_cool = IsCool(lower, now);
    const bool upper_cool = IsCool(upper, now);
    const bool mergeable =
        (lower_cool && (upper_cool || !upper.IsSingleKey())) ||
        (upper_cool && !lower.IsSingleKey());
    if (!mergeable || lower.key_share + upper.key_share > max_share) {
      continue;
    }
    merges.push_back(
        {lower.range->service, lower.range->range, upper.range->range});
    lower.busy = true;
    upper.busy = true;
  }
  return merges;
}

std::vector<MoveRange> Compaction::PlanReturns(WorkTable& table,
                                               std::size_t limit,
                                               TimePoint now) const {
  std::vector<MoveRange> moves;
  std::vector<WorkRange>& ranges = table.ranges();
  for (std::size_t i = 1; i + 1 < ranges.size() && moves.size() < limit; ++i) {
    WorkRange& it = ranges[i];
    const bool idle = !it.busy && !it.recently_moved;
    if (!idle || !it.IsSingleKey() || !IsCool(it, now)) {
      continue;
    }
    const std::size_t to = ranges[i - 1].owner;
    if (!AreAdjacent(ranges[i - 1], it) || to == WorkTable::kNoServer ||
        it.owner == WorkTable::kNoServer) {
      continue;
    }
    const bool can_merge = to == it.owner || ranges[i + 1].owner == it.owner;
    // A server keeps its last range, even if that is a cool key.
    if (can_merge || !table.servers()[to].receives ||
        table.CountIdleRanges(it.owner) < 2) {
      continue;
    }
    moves.push_back({it.range->service, it.range->range, it.range->owner,
                     table.servers()[to].server->id, MoveCause::kReturn});
    table.Move(i, to);
  }
  return moves;
}

bool Compaction::IsCool(const WorkRange& range, TimePoint now) const {
  const auto it = cool_from_.find(range.range->range);
  return it != cool_from_.end() && it->second <= now;
}

}  // namespace gentianreach::internal
