#include "gentianreach/placement.h"

#include "peer_generated.h"

namespace gentianreach {

std::vector<HashRange> PartsOf(const SplitRange& split) {
  std::vector<HashRange> parts;
  const KeyHash at = split.at;
  if (split.range.first < at) {
    parts.push_back({split.range.first, KeyHash(at.value() - 1)});
  }
  if (!split.isolate) {
    parts.push_back({at, split.range.last});
    return parts;
  }
  parts.push_back({at, at});
  if (at < split.range.last) {
    parts.push_back({KeyHash(at.value() + 1), split.range.last});
  }
  return parts;
}

const char* ToString(MoveCause cause) {
  switch (cause) {
    case MoveCause::kNoOwner:
      return "no-owner";
    case MoveCause::kDraining:
      return "draining";
    case MoveCause::kBalance:
      return "balance";
    case MoveCause::kReturn:
      return "return";
  }
  return "unknown";
}

}  // namespace gentianreach
