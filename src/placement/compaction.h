// Finds ranges whose load has dropped so far that they can be merged.
#ifndef SRC_PLACEMENT_COMPACTION_H_
#define SRC_PLACEMENT_COMPACTION_H_

#include <cstddef>
#include <map>
#include <vector>

#include "gentianreach/key.h"
#include "gentianreach/placement.h"
#include "gentianreach/time.h"
#include "placement/work_table.h"

namespace gentianreach::internal {

// Tracks the cool ranges of one service. A small range is cool once its load
// has stayed below kCoolLoad for kCoolingTime. kCoolLoad is half of
// kMinHotLoad, at which a key is isolated; the gap keeps a key from being
// isolated and merged in turn.
class Compaction {
 public:
  // Updates which ranges are cool at `now`.
  void Update(const WorkTable& table, TimePoint now);

  // Returns merges of cool ranges with an adjacent range of the same owner,
  // and marks the ranges as busy. Plans at most kMaxMerges.
  [[nodiscard]] std::vector<MergeRanges> PlanMerges(WorkTable& table,
                                                    TimePoint now) const;

  // Returns at most `limit` moves of isolated keys that have cooled to the
  // owner of the adjacent lower range, so that they can be merged with it.
  // Applies the moves to the table.
  [[nodiscard]] std::vector<MoveRange> PlanReturns(WorkTable& table,
                                                   std::size_t limit,
                                                   TimePoint now) const;

  // Maximum load of a cool range, as a share of the mean load of a server.
  static constexpr double kCoolLoad = 0.0025;
  // How long the load of a range must stay low before the range is cool.
  static constexpr Duration kCoolingTime = std::chrono::minutes(1);
  // Limits the changes that one plan makes to the ownership table.
  static constexpr std::size_t kMaxMerges = 16;

 private:
  [[nodiscard]] bool IsCool(const WorkRange& range, TimePoint now) const;

  // For each range with low load, the time from which it is cool.
  std::map<HashRange, TimePoint> cool_from_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_COMPACTION_H_
