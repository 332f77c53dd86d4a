// Chooses what to take off an overloaded server.
#ifndef SRC_PLACEMENT_RELIEF_H_
#define SRC_PLACEMENT_RELIEF_H_

#include <cstddef>
#include <optional>

#include "gentianreach/key.h"
#include "placement/work_table.h"
#include "settings_generated.h"

namespace gentianreach::internal {

// How load comes off a server.
enum class ReliefKind : std::uint8_t {
  kMove,     // A whole range moves.
  kIsolate,  // A hot key is split off, to move later.
  kHalve,    // A range is divided, for a part to move later.
};

// One way to bring load from a server to another.
struct Relief {
  ReliefKind kind = ReliefKind::kMove;
  std::size_t range = 0;
  KeyHash at;       // The key to isolate, or where the upper half begins.
  double load = 0;  // What is to move, now or later.
  double keys = 0;
};

// What a relief may aim at.
struct ReliefLimits {
  // Utilisation down to which single keys and whole ranges are taken off.
  double key_level = 0;
  double range_level = 0;
  double keys_left = 1;  // Greatest share of the keys to move at once.
};

// Returns the relief from `from` to `to` with the most balance for its cost,
// or nothing where none is worth it.
//
// Balance gained is the load brought below the wanted level on both servers.
// Cost is a fixed part for each move, the requests that wait meanwhile, weighed
// by `unavailable_weight`, and the share of the keys that changes owner,
// weighed by `churn_weight`.
//
// Whatever the reports say, a server keeps its last range and a share of the
// keys. A load counts as the lesser of the smoothed and the recent one, so that
// what is cooling is not moved.
[[nodiscard]] std::optional<Relief> ChooseRelief(
    const WorkTable& table,
    std::size_t from,
    std::size_t to,
    const settings::ServiceT& service,
    const ReliefLimits& limits);

// Load below which a single key is not worth moving, as a share of the mean
// load of a server.
inline constexpr double kLeastHotLoad = 0.005;
// Share of its even part of the keys that balancing leaves with a server.
inline constexpr double kLeastKeysKept = 0.25;
// Greatest number of ranges for each server.
inline constexpr std::size_t kGreatestRangesPerServer = 256;

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_RELIEF_H_
