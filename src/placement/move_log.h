// Records the moves that were planned recently.
#ifndef SRC_PLACEMENT_MOVE_LOG_H_
#define SRC_PLACEMENT_MOVE_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/placement.h"
#include "gentianreach/time.h"

namespace gentianreach::internal {

// The recently planned moves of one service. Until a move has started or timed
// out, and while it is in progress, the load of the range counts for its new
// owner. Balancing does not move the range again for kMinMoveInterval.
class MoveLog {
 public:
  enum class Kind : std::uint8_t {
    kUrgent,    // Balancing may move the range again at once.
    kBudgeted,  // Balancing waits for kMinMoveInterval.
  };

  // Records a planned move.
  void Add(const HashRange& range,
           const ServerId& to,
           Kind kind,
           TimePoint now);
  // Removes moves planned at least kMinMoveInterval ago.
  void Expire(TimePoint now);

  // Returns the server to which `range` is to move or is moving, or nothing.
  [[nodiscard]] std::optional<ServerId> Destination(const PlacementRange& range,
                                                    TimePoint now) const;
  // Returns for each of `ranges`, which are sorted, whether it overlaps a range
  // that balancing has moved within kMinMoveInterval.
  [[nodiscard]] std::vector<bool> RecentlyMoved(
      std::span<const PlacementRange* const> ranges) const;

  // Time in which the caller must begin a planned move.
  static constexpr Duration kStartTimeout = std::chrono::seconds(5);
  // Minimum time between two moves of a range by balancing.
  static constexpr Duration kMinMoveInterval = std::chrono::minutes(1);

 private:
  struct Entry {
    ServerId to;
    TimePoint start_deadline;  // If not started by then, the move was dropped.
    Kind kind = Kind::kUrgent;
    // When the entry is removed and balancing may move the range again.
    TimePoint expires_at;
  };

  std::map<HashRange, Entry> entries_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_MOVE_LOG_H_
