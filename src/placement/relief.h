// Selects the load to move from an overloaded server.
#ifndef SRC_PLACEMENT_RELIEF_H_
#define SRC_PLACEMENT_RELIEF_H_

#include <cstddef>
#include <optional>

#include "gentianreach/key.h"
#include "placement/work_table.h"
#include "settings_generated.h"

namespace gentianreach::internal {

// How load is taken off a server.
enum class ReliefKind : std::uint8_t {
  kMove,     // Moves a whole range.
  kIsolate,  // Splits off a hot key, to be moved later.
  kHalve,    // Splits a range in two, to move one half later.
};

// A way to move load from one server to another.
struct Relief {
  ReliefKind kind = ReliefKind::kMove;
  std::size_t range = 0;
  KeyHash at;       // The key to isolate, or the first of the upper half.
  double load = 0;  // To be moved, now or later.
  double key_share = 0;
};

// The target levels and limits of a relief.
struct ReliefLimits {
  // Target utilization for relief by single keys and by whole ranges.
  double key_level = 0;
  double range_level = 0;
  double key_share_left = 1;  // Maximum key share to move.
};

// Returns the relief from `from` to `to` with the best ratio of gain to cost,
// or nothing if none gains enough.
//
// The gain is the reduction of load above the target level on both servers.
// The cost has a fixed part for each move, a part for the requests that wait
// during the move, weighted by `unavailable_weight`, and a part for the key
// share that changes owner, weighted by `churn_weight`.
//
// Regardless of the reported load, a server keeps its last range and a minimum
// key share. The load of a range or key is the lower of its smoothed and recent
// values, so that ranges and keys whose load is dropping are not moved.
[[nodiscard]] std::optional<Relief> ChooseRelief(
    const WorkTable& table,
    std::size_t from,
    std::size_t to,
    const settings::ServiceT& service,
    const ReliefLimits& limits);

// Minimum gain of a relief, as a share of the mean load of a server. A smaller
// load is not worth moving.
inline constexpr double kMinHotLoad = 0.005;
// Key share that balancing leaves to a server, relative to the mean key share.
inline constexpr double kMinKeyShareKept = 0.25;
// Balancing splits no ranges once the service has this many per server.
inline constexpr std::size_t kMaxRangesPerServer = 256;

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_RELIEF_H_
