// Finds ranges that have cooled and need not stand alone any more.
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

// Watches the ranges of one service. A small range is cool once its load has
// stayed below kCoolLoad for kCooling; that load lies far enough below the one
// at which a key is isolated that no key goes back and forth.
class Compaction {
 public:
  // Brings the marks up to `now`.
  void Update(const WorkTable& table, TimePoint now);

  // Returns merges of cool ranges with a neighbour of the same owner, and
  // marks their ranges busy.
  [[nodiscard]] std::vector<MergeRanges> Merges(WorkTable& table,
                                                TimePoint now) const;

  // Returns a cool single key and the neighbour's server to which it should
  // go back, applied to the table; nothing where there is none.
  [[nodiscard]] std::vector<MoveRange> Returns(WorkTable& table,
                                               std::size_t limit,
                                               TimePoint now) const;

  // Load of a cool range, as a share of the mean load of a server.
  static constexpr double kCoolLoad = 0.0025;
  // Time that a range stays cool before it is joined to another.
  static constexpr Duration kCooling = std::chrono::minutes(1);
  // Greatest number of merges in one plan; each changes the table.
  static constexpr std::size_t kGreatestMerges = 16;

 private:
  [[nodiscard]] bool Cool(const WorkRange& range, TimePoint now) const;

  // When each range that is cool now counts as cool.
  std::map<HashRange, TimePoint> cool_from_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_COMPACTION_H_
