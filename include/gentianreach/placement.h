// Which server should own which range: the planner behind the assigner.
//
// One Placement lives with each elected assigner. Feed it the load reports of
// every member as they arrive, and ask for a plan about once a second:
//
//   placement.Observe(DaemonId("entry-3"), report, now);
//   for (const PlacementAction& it : placement.Plan(snapshot, now)) ...
//
// The caller carries out the actions in order, at its own pace, and shows the
// result in the next snapshot. An action that it drops is planned again while
// the reason for it stands. Placement starts no action on a range that the
// snapshot shows as moving, nor two on one range in one plan.
//
// The class reads no clock, draws no random numbers and logs nothing: equal
// calls give equal plans. It is not thread-safe.
#ifndef INCLUDE_GENTIANREACH_PLACEMENT_H_
#define INCLUDE_GENTIANREACH_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"
#include "settings_generated.h"

namespace gentianreach::peer {
struct LoadReportT;
}  // namespace gentianreach::peer

namespace gentianreach {

// What the assigner holds of a server. A fenced server has lost its ranges
// already; a draining one still serves them.
enum class PlacementServerState : std::uint8_t { kLive, kDraining, kFenced };

// A backend server of one keyed service.
struct PlacementServer {
  ServerId id;
  ServiceName service;
  ZoneName zone;
  std::uint32_t slots = 1;  // Capacity, relative to the service's others.
  PlacementServerState state = PlacementServerState::kLive;
  // When the assigner first saw this incarnation; starts the warm-up.
  TimePoint first_seen;
};

// A range of the ownership table.
struct PlacementRange {
  ServiceName service;
  HashRange range;
  ServerId owner;  // Empty: none.
  Token token;
  bool moving = false;  // A move is under way; no action is planned.
};

// What a plan starts from. The ranges of one service do not overlap; their
// order does not matter.
struct PlacementSnapshot {
  std::vector<PlacementServer> servers;
  std::vector<PlacementRange> ranges;
  // A service that is absent here has the settings' defaults.
  std::map<ServiceName, settings::ServiceT> settings;
};

// Why a range should move. Only balancing and returns come out of the budget
// `moves_per_minute`.
enum class MoveCause : std::uint8_t {
  kNoOwner,   // No owner, or the owner is fenced or not listed.
  kDraining,  // The owner is leaving.
  kBalance,   // The owner carries too much.
  kReturn,    // A key that has cooled goes back to the owner beside it.
};

// Gives `range` to another server. `from` is empty where nobody owns it.
struct MoveRange {
  ServiceName service;
  HashRange range;
  ServerId from;
  ServerId to;
  MoveCause cause = MoveCause::kBalance;

  bool operator==(const MoveRange&) const = default;
};

// Divides `range` without a change of owner: into two at `at`, which begins
// the upper part, or, with `isolate`, so that the key `at` stands alone.
struct SplitRange {
  ServiceName service;
  HashRange range;
  KeyHash at;
  bool isolate = false;

  bool operator==(const SplitRange&) const = default;
};

// Joins two adjacent ranges of one owner.
struct MergeRanges {
  ServiceName service;
  HashRange lower;
  HashRange upper;

  bool operator==(const MergeRanges&) const = default;
};

using PlacementAction = std::variant<MoveRange, SplitRange, MergeRanges>;

// Returns the two or three ranges that a split leaves, in order.
[[nodiscard]] std::vector<HashRange> PartsOf(const SplitRange& split);

// Returns `count` ranges of equal size that cover the whole space, in order.
// A new service begins well with kRangesPerServer for each server.
[[nodiscard]] std::vector<HashRange> InitialRanges(std::size_t count);
inline constexpr std::size_t kRangesPerServer = 8;

// Returns the name of the cause as written in logs, for example "no-owner".
[[nodiscard]] const char* ToString(MoveCause cause);

namespace internal {
class PlacementState;
}  // namespace internal

class Placement {
 public:
  Placement();
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;
  Placement(Placement&&) noexcept;
  Placement& operator=(Placement&&) noexcept;

  // Takes in what `from` counted since its last report. A report replaces the
  // sender's former one, so that a repeated report adds nothing, and it counts
  // until kReportLifetime has passed. Ranges may be those of an older table.
  void Observe(const DaemonId& from,
               const peer::LoadReportT& report,
               TimePoint now);

  // Returns the actions to take now, the most urgent first.
  [[nodiscard]] std::vector<PlacementAction> Plan(
      const PlacementSnapshot& snapshot,
      TimePoint now);

  // Returns the estimated load of `service` in requests per second, by server,
  // as of the last plan.
  [[nodiscard]] std::map<ServerId, double> LoadOf(
      const ServiceName& service) const;

  // How long a daemon's report stands for its load.
  static constexpr Duration kReportLifetime = std::chrono::seconds(10);

 private:
  std::unique_ptr<internal::PlacementState> state_;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_PLACEMENT_H_
