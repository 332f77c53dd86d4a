#include "placement/move_log.h"

#include <algorithm>

namespace gentianreach::internal {

void MoveLog::Add(const HashRange& range,
                  const ServerId& to,
                  Kind kind,
                  TimePoint now) {
  entries_[range] = {to, now + kAwaited, kind, now + kRest};
}

void MoveLog::Expire(TimePoint now) {
  std::erase_if(entries_,
                [now](const auto& it) { return it.second.rested <= now; });
}

std::optional<ServerId> MoveLog::Destination(const PlacementRange& range,
                                             TimePoint now) const {
  const auto it = entries_.find(range.range);
  if (it == entries_.end() || it->second.to == range.owner) {
    return std::nullopt;
  }
  if (!range.moving && it->second.awaited <= now) {
    return std::nullopt;
  }
  return it->second.to;
}

// An entry overlaps a range if it begins before the range's end and ends after
// its beginning, so one sweep with the furthest end so far suffices.
std::vector<bool> MoveLog::Resting(
    std::span<const PlacementRange* const> ranges) const {
  std::vector<bool> resting(ranges.size(), false);
  auto next = entries_.begin();
  bool any = false;
  KeyHash furthest;
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    const HashRange& range = ranges[i]->range;
    for (; next != entries_.end() && next->first.first <= range.last; ++next) {
      if (next->second.kind == Kind::kBudgeted) {
        furthest = std::max(furthest, next->first.last);
        any = true;
      }
    }
    resting[i] = any && furthest >= range.first;
  }
  return resting;
}

}  // namespace gentianreach::internal
