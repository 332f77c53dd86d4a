// Plans which server should own which range, on behalf of the assigner.
//
// Each elected assigner has one Placement. Pass it the load reports of all
// members as they arrive, and request a plan about once a second:
//
//   placement.Observe(DaemonId("entry-3"), report, now);
//   for (const PlacementAction& it : placement.Plan(snapshot, now)) ...
//
// The caller performs the actions in order, at its own pace, and passes the
// result in the next snapshot. An action that it drops is planned again while
// the cause persists. Placement starts no action on a range that the
// snapshot shows as moving, nor two on one range in one plan.
//
// The class reads no clock, uses no random numbers and logs nothing: equal
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

// The state of a server according to the assigner. A fenced server has already
// lost its ranges; a draining one still serves them.
enum class PlacementServerState : std::uint8_t { kLive, kDraining, kFenced };

// A backend server of one keyed service.
struct PlacementServer {
  ServerId id;
  ServiceName service;
  ZoneName zone;
  std::uint32_t slots = 1;  // Capacity, relative to other servers.
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
  bool moving = false;  // A move is in progress; no action is planned.
};

// The input of a plan. The ranges of one service do not overlap; their order
// does not matter.
struct PlacementSnapshot {
  std::vector<PlacementServer> servers;
  std::vector<PlacementRange> ranges;
  // A service that is missing here has the default settings.
  std::map<ServiceName, settings::ServiceT> settings;
};

// Why a range should move. Only kBalance and kReturn count towards the limit
// `moves_per_minute`.
enum class MoveCause : std::uint8_t {
  kNoOwner,   // No owner, or the owner is fenced or not listed.
  kDraining,  // The owner is leaving.
  kBalance,   // The owner is overloaded.
  kReturn,    // A key that is no longer hot joins the adjacent range.
};

// Assigns `range` to another server. `from` is empty if it has no owner.
struct MoveRange {
  ServiceName service;
  HashRange range;
  ServerId from;
  ServerId to;
  MoveCause cause = MoveCause::kBalance;

  bool operator==(const MoveRange&) const = default;
};

// Splits `range` without a change of owner: into two, where `at` is the first
// key of the upper part, or, with `isolate`, so that `at` has its own range.
struct SplitRange {
  ServiceName service;
  HashRange range;
  KeyHash at;
  bool isolate = false;

  bool operator==(const SplitRange&) const = default;
};

// Merges two adjacent ranges of one owner.
struct MergeRanges {
  ServiceName service;
  HashRange lower;
  HashRange upper;

  bool operator==(const MergeRanges&) const = default;
};

using PlacementAction = std::variant<MoveRange, SplitRange, MergeRanges>;

// Returns the two or three ranges that result from a split, in order.
[[nodiscard]] std::vector<HashRange> PartsOf(const SplitRange& split);

// Returns `count` ranges of equal size that cover the whole space, in order.
// kRangesPerServer for each server is a good start for a new service.
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

  // Records the load that `from` has counted since its last report. A report
  // replaces the previous one of the same sender, so that a duplicate adds
  // nothing. It expires after kReportLifetime. Its ranges may be outdated.
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

  // How long the report of a daemon is used.
  static constexpr Duration kReportLifetime = std::chrono::seconds(10);

 private:
  std::unique_ptr<internal::PlacementState> state_;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_PLACEMENT_H_
