// The working copy of one service's table on which a plan is tried out.
#ifndef SRC_PLACEMENT_WORK_TABLE_H_
#define SRC_PLACEMENT_WORK_TABLE_H_

#include <cstddef>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gentianreach/placement.h"
#include "placement/load_model.h"

namespace gentianreach::internal {

// A server while planning. Loads are requests per second.
struct WorkServer {
  const PlacementServer* server = nullptr;
  double weight = 0;      // Slots, less while cold; 0 unless live.
  bool receives = false;  // May be given ranges.
  double load = 0;
  double keys = 0;                // Share of the space.
  std::vector<std::size_t> held;  // Indices of ranges that it keeps.

  // Returns the load per unit of weight.
  [[nodiscard]] double Utilisation() const;
};

// A range while planning.
struct WorkRange {
  const PlacementRange* range = nullptr;
  double load = 0;
  double recent = 0;                  // The load by the last reports alone.
  double keys = 0;                    // Share of the space.
  std::size_t owner = 0;              // Index of a server, or kNoServer.
  bool resting = false;               // Moved by balancing a short while ago.
  bool busy = false;                  // Moving, or acted on in this plan.
  std::span<const KeyRate> hot_keys;  // Those within the range.

  // Returns whether the range is a single key.
  [[nodiscard]] bool Single() const;
};

// Servers and ranges of one service, with their loads; ranges in order of
// position. Keeps pointers into the snapshot and the model that it was built
// from.
class WorkTable {
 public:
  static constexpr std::size_t kNoServer =
      std::numeric_limits<std::size_t>::max();

  // `ranges` are in order; `model` has been updated for them.
  WorkTable(std::vector<WorkServer> servers,
            std::span<const PlacementRange* const> ranges,
            const LoadModel& model);

  // Puts the range with its load under another server, and marks it busy.
  void Move(std::size_t range, std::size_t to);
  // Shifts the load of a part of a range that is still to be split off.
  void Foresee(std::size_t range, std::size_t to, double load, double keys);

  // Returns the receiver that carries least after taking `load`, or nothing.
  // Among near equals, one in the zone that carries least is taken.
  [[nodiscard]] std::optional<std::size_t> PickReceiver(
      double load,
      std::size_t except = kNoServer) const;
  // Returns the number of ranges that a server holds and that no move, split or
  // merge is planned or under way for.
  [[nodiscard]] std::size_t Settled(std::size_t server) const;
  // Returns the index of a server by its id, or kNoServer.
  [[nodiscard]] std::size_t Find(const ServerId& id) const;

  // Returns the load per unit of weight if all were shared out evenly.
  [[nodiscard]] double MeanUtilisation() const;
  // Returns the least possible value of the greatest utilisation: the mean, or
  // that of the hottest single key on the largest server.
  [[nodiscard]] double LowerBound() const;
  // Returns the mean load of a server.
  [[nodiscard]] double MeanLoad() const;

  [[nodiscard]] std::vector<WorkServer>& servers() { return servers_; }
  [[nodiscard]] const std::vector<WorkServer>& servers() const {
    return servers_;
  }
  [[nodiscard]] std::vector<WorkRange>& ranges() { return ranges_; }
  [[nodiscard]] const std::vector<WorkRange>& ranges() const { return ranges_; }

 private:
  [[nodiscard]] double Pressure(const WorkServer& server, double load) const;
  [[nodiscard]] double ZoneUtilisation(const ZoneName& zone) const;

  std::vector<WorkServer> servers_;
  std::vector<WorkRange> ranges_;
  double total_ = 0;
  double hottest_ = 0;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_WORK_TABLE_H_
