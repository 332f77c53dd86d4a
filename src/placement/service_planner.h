// Plans the placement of one service.
#ifndef SRC_PLACEMENT_SERVICE_PLANNER_H_
#define SRC_PLACEMENT_SERVICE_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "gentianreach/placement.h"
#include "placement/compaction.h"
#include "placement/load_model.h"
#include "placement/move_budget.h"
#include "placement/move_log.h"
#include "placement/relief.h"
#include "placement/server_history.h"
#include "placement/work_table.h"

namespace gentianreach::internal {

// The part of a snapshot that concerns one service.
struct ServiceSnapshot {
  std::vector<const PlacementServer*> servers;
  std::vector<const PlacementRange*> ranges;
  settings::ServiceT settings;
};

// Plans one service and keeps its state between plans. A plan has four steps:
// assign ranges without an owner, move ranges off draining servers, balance
// load, and return and merge cool ranges.
class ServicePlanner {
 public:
  // Records the load of this service that a daemon reported.
  void Observe(const DaemonId& from, ReportedLoad load, TimePoint expires);

  // Returns the actions to take now. Sorts the snapshot's lists.
  [[nodiscard]] std::vector<PlacementAction> Plan(ServiceSnapshot& snapshot,
                                                  const ServerHistory& history,
                                                  TimePoint now);

  // Returns whether the service has been absent from the snapshots for so long
  // that its state can be deleted.
  [[nodiscard]] bool Expired(TimePoint now) const { return expires_at_ <= now; }

  // Returns the estimated load by server as of the last plan.
  [[nodiscard]] const std::map<ServerId, double>& load() const { return load_; }

  // How long the state of an absent service is kept.
  static constexpr Duration kRetention = std::chrono::minutes(10);
  // Share of the key space that balancing may move per minute, in units of
  // 1 / kKeyUnits.
  static constexpr std::uint32_t kKeyUnitsPerMinute = 290;
  static constexpr double kKeyUnits = 10000;

 private:
  // Parts of the moves and of the key share of a minute that may be spent at
  // once.
  static constexpr std::uint32_t kMoveBurstDivisor = 2;
  static constexpr std::uint32_t kKeyBurstDivisor = 2;

  struct PlanContext;

  [[nodiscard]] WorkTable BuildTable(const ServiceSnapshot& snapshot,
                                     const ServerHistory& history,
                                     TimePoint now) const;
  void ApplyMovesInProgress(PlanContext& context) const;
  void PlanUnowned(PlanContext& context);
  void PlanDraining(PlanContext& context);
  void PlanBalance(PlanContext& context);
  void PlanCompaction(PlanContext& context);
  void MoveUrgently(PlanContext& context,
                    const std::vector<std::size_t>& ranges,
                    MoveCause cause);
  [[nodiscard]] bool NeedsBalance(const PlanContext& context) const;
  [[nodiscard]] ReliefLimits BalanceLimits(const PlanContext& context) const;
  [[nodiscard]] double ReliefThreshold(const PlanContext& context) const;
  [[nodiscard]] bool RelieveMostUtilised(PlanContext& context);
  [[nodiscard]] bool Relieve(PlanContext& context, std::size_t from);
  void SpendMove(const PlanContext& context, double key_share);

  LoadModel model_;
  MoveBudget move_budget_{kMoveBurstDivisor};
  MoveBudget key_budget_{kKeyBurstDivisor};
  MoveLog move_log_;
  Compaction compaction_;
  bool balancing_ = false;
  TimePoint expires_at_;
  std::map<ServerId, double> load_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_SERVICE_PLANNER_H_
