#include "placement/move_log.h"

#include <algorithm>

namespace gentianreach::internal {

void MoveLog::Add(const HashRange& range,
                  const ServerId& to,
                  Kind kind,
                  TimePoint now) {
  entries_[range] = {to, now + kStartTimeout, kind, now + kMinMoveInterval};
}

void MoveLog::Expire(TimePoint now) {
  std::erase_if(entries_,
                [now](const auto& it) { return it.second.expires_at <= now; });
}

std::optional<ServerId> MoveLog::Destination(const PlacementRange& range,
                                             TimePoint now) const {
  const auto it = entries_.find(range.range);
  if (it == entries_.end() || it->second.to == range.owner) {
    return std::nullopt;
  }
  if (!range.moving && it->second.start_deadline <= now) {
    return std::nullopt;
  }
  return it->second.to;
}

// Entries and ranges are both sorted by their first hash. A range overlaps an
// entry if the largest end of all entries that begin before the end of the
// range is not below the beginning of the range, so one pass suffices.
std::vector<bool> MoveLog::RecentlyMoved(
    std::span<const PlacementRange* const> ranges) const {
  std::vector<bool> recently_moved(ranges.size(), false);
  auto next = entries_.begin();
  bool any_budgeted = false;
  KeyHash max_last;
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    const HashRange& range = ranges[i]->range;
    for (; next != entries_.end() && next->first.first <= range.last; ++next) {
      if (next->second.kind == Kind::kBudgeted) {
        max_last = std::max(max_last, next->first.last);
        any_budgeted = true;
      }
    }
    recently_moved[i] = any_budgeted && max_last >= range.first;
  }
  return recently_moved;
}

}  // namespace gentianreach::internal
