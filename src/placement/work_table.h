// A working copy of the table of one service, to which planned actions are
// applied.
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

// A server and its planned load. Loads are in requests per second.
struct WorkServer {
  const PlacementServer* server = nullptr;
  double weight = 0;      // Slots, reduced during warm-up; 0 unless live.
  bool receives = false;  // Whether it may receive ranges.
  double load = 0;
  double key_share = 0;           // Share of the key space.
  std::vector<std::size_t> held;  // Indices of its ranges.

  // Returns the load per unit of weight.
  [[nodiscard]] double Utilization() const;
};

// A range and its planned owner.
struct WorkRange {
  const PlacementRange* range = nullptr;
  double load = 0;
  double recent = 0;                  // Load from the latest reports only.
  double key_share = 0;               // Share of the key space.
  std::size_t owner = 0;              // Index of a server, or kNoServer.
  bool recently_moved = false;        // By balancing; see MoveLog.
  bool busy = false;                  // Moving, or part of a planned action.
  std::span<const KeyRate> hot_keys;  // Hot keys within the range.

  // Returns whether the range is a single key.
  [[nodiscard]] bool IsSingleKey() const;
};

// The servers and ranges of one service with their loads. The ranges are
// sorted. Keeps pointers into the snapshot and the model from which it was
// built.
class WorkTable {
 public:
  static constexpr std::size_t kNoServer =
      std::numeric_limits<std::size_t>::max();

  // `servers` are sorted by id and `ranges` by hash; `model` was updated for
  // `ranges`.
  WorkTable(std::vector<WorkServer> servers,
            std::span<const PlacementRange* const> ranges,
            const LoadModel& model);

  // Assigns the range and its load to another server and marks it as busy.
  void Move(std::size_t range, std::size_t to);
  // Moves a part of the load of a range that is to be split to the server that
  // will receive that part, and marks the range as busy.
  void ShiftLoad(std::size_t range,
                 std::size_t to,
                 double load,
                 double key_share);

  // Returns the receiver with the lowest utilization after adding `load`, or
  // nothing if no server can receive. Among nearly equal ones, selects one in
  // the zone with the lowest utilization.
  [[nodiscard]] std::optional<std::size_t> PickReceiver(
      double load,
      std::size_t except = kNoServer) const;
  // Returns the number of ranges of a server for which no move, split or merge
  // is planned or in progress.
  [[nodiscard]] std::size_t CountIdleRanges(std::size_t server) const;
  // Returns the index of a server by its id, or kNoServer.
  [[nodiscard]] std::size_t Find(const ServerId& id) const;

  // Returns the load per unit of weight if the load were distributed evenly.
  [[nodiscard]] double MeanUtilization() const;
  // Returns a lower bound on the maximum utilization that balancing can reach:
  // the mean, or that of the hottest single key on the largest server.
  [[nodiscard]] double MinPeakUtilization() const;
  // Returns the mean load of the servers that may receive ranges.
  [[nodiscard]] double MeanLoad() const;

  [[nodiscard]] std::vector<WorkServer>& servers() { return servers_; }
  [[nodiscard]] const std::vector<WorkServer>& servers() const {
    return servers_;
  }
  [[nodiscard]] std::vector<WorkRange>& ranges() { return ranges_; }
  [[nodiscard]] const std::vector<WorkRange>& ranges() const { return ranges_; }

 private:
  [[nodiscard]] double ProjectedUtilization(const WorkServer& server,
                                            double load) const;
  [[nodiscard]] double ZoneUtilization(const ZoneName& zone) const;

  std::vector<WorkServer> servers_;
  std::vector<WorkRange> ranges_;
  double total_load_ = 0;
  double max_key_rate_ = 0;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_WORK_TABLE_H_
