// Plans one service.
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

// Holds what is remembered of one service between plans. A plan has four
// steps: ranges without an owner, ranges of servers that leave, balance, and
// the clearing up of cool ranges.
class ServicePlanner {
 public:
  // Takes in a daemon's report of this service.
  void Observe(const DaemonId& from, ReportedLoad load, TimePoint expires);

  // Returns the actions to take now. Sorts the snapshot's lists.
  [[nodiscard]] std::vector<PlacementAction> Plan(ServiceSnapshot& snapshot,
                                                  const ServerHistory& history,
                                                  TimePoint now);

  // Returns whether nothing is left to remember for a service that has been
  // absent from the snapshots.
  [[nodiscard]] bool Forgotten(TimePoint now) const {
    return kept_until_ <= now;
  }

  // Returns the estimated load by server as of the last plan.
  [[nodiscard]] const std::map<ServerId, double>& load() const { return load_; }

  // Time for which an absent service is remembered.
  static constexpr Duration kMemory = std::chrono::minutes(10);
  // Share of the keys that balancing may move in a minute, in kKeyUnits.
  static constexpr std::uint32_t kKeysPerMinute = 290;
  static constexpr double kKeyUnits = 10000;

 private:
  // What may go at once, of the moves and of the keys of a minute.
  static constexpr std::uint32_t kMoveBurstDivisor = 2;
  static constexpr std::uint32_t kKeysBurstDivisor = 2;

  struct Step;

  [[nodiscard]] WorkTable BuildTable(const ServiceSnapshot& snapshot,
                                     const ServerHistory& history,
                                     TimePoint now) const;
  void ApplyMovesUnderWay(Step& step) const;
  void PlanUnowned(Step& step);
  void PlanDraining(Step& step);
  void PlanBalance(Step& step);
  void PlanCompaction(Step& step);
  void MoveUrgently(Step& step,
                    const std::vector<std::size_t>& ranges,
                    MoveCause cause);
  [[nodiscard]] bool NeedsBalance(const Step& step) const;
  [[nodiscard]] ReliefLimits Limits(const Step& step) const;
  [[nodiscard]] double LeastToRelieve(const Step& step) const;
  [[nodiscard]] bool RelieveAny(Step& step);
  [[nodiscard]] bool Relieve(Step& step, std::size_t from);
  void SpendMove(const Step& step, double keys);

  LoadModel model_;
  MoveBudget moves_{kMoveBurstDivisor};
  MoveBudget keys_{kKeysBurstDivisor};
  MoveLog log_;
  Compaction compaction_;
  bool balancing_ = false;
  TimePoint kept_until_;
  std::map<ServerId, double> load_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_SERVICE_PLANNER_H_
