// Remembers the moves that were planned a short while ago.
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

// The planned moves of one service. While a move is awaited or shown as
// running, the range's load counts for its new owner; for a while after it,
// balancing leaves the range alone.
class MoveLog {
 public:
  enum class Kind : std::uint8_t {
    kUrgent,    // The range had to move and may be balanced at once.
    kBudgeted,  // The range rests.
  };

  // Notes a planned move.
  void Add(const HashRange& range,
           const ServerId& to,
           Kind kind,
           TimePoint now);
  // Forgets moves that lie far enough back.
  void Expire(TimePoint now);

  // Returns the server that `range` is on its way to, or nothing.
  [[nodiscard]] std::optional<ServerId> Destination(const PlacementRange& range,
                                                    TimePoint now) const;
  // Returns for each of `ranges`, which are in order, whether balancing should
  // leave it alone.
  [[nodiscard]] std::vector<bool> Resting(
      std::span<const PlacementRange* const> ranges) const;

  // Time that the caller has to begin a planned move.
  static constexpr Duration kAwaited = std::chrono::seconds(5);
  // Time between two moves of a range by balancing.
  static constexpr Duration kRest = std::chrono::minutes(1);

 private:
  struct Entry {
    ServerId to;
    TimePoint awaited;  // The caller begins the move before this.
    Kind kind = Kind::kUrgent;
    TimePoint rested;  // The range may move again, and the entry goes.
  };

  std::map<HashRange, Entry> entries_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_MOVE_LOG_H_
