// Sends load reports from every daemon to the assigner, and runs the assigner's
// placement planning.
#ifndef SRC_DAEMON_PLACEMENT_DRIVER_H_
#define SRC_DAEMON_PLACEMENT_DRIVER_H_

#include <map>
#include <memory>

#include "base/timer.h"
#include "daemon/cell_driver.h"
#include "daemon/cell_links.h"
#include "gentianreach/placement.h"
#include "placement/load_counter.h"
#include "proxy/request_record.h"
#include "settings_generated.h"

namespace gentianreach {

// Counts this daemon's requests, reports them to the assigner and, while this
// daemon is the assigner, plans moves and proposes them to the cell. `cell`
// must outlive it.
class PlacementDriver {
 public:
  PlacementDriver(DaemonId self, CellDriver& cell, CellLinks links);
  PlacementDriver(const PlacementDriver&) = delete;
  PlacementDriver& operator=(const PlacementDriver&) = delete;

  void Start();
  // Counts a finished request.
  void Count(const proxy::RequestRecord& record);
  // Handles a LoadReport from another daemon.
  void OnReport(const DaemonId& from, const peer::LoadReportT& report);
  void OnSettings(const settings::TreeT& tree);

 private:
  void Report();
  void Plan();
  [[nodiscard]] PlacementSnapshot MakeSnapshot(const stored::CellT& record);
  [[nodiscard]] TimePoint FirstSeen(const stored::ServerT& server);
  void Propose(const PlacementAction& action);

  DaemonId self_;
  CellDriver& cell_;
  CellLinks links_;
  MonotonicClock clock_;
  LoadCounter counter_;
  // Null unless this daemon is the assigner.
  std::unique_ptr<Placement> placement_;
  std::map<ServiceName, settings::ServiceT> services_;
  // When this assigner first saw a server, by server and incarnation.
  std::map<std::pair<std::string, std::uint64_t>, TimePoint> first_seen_;
  Timer report_timer_;
  Timer plan_timer_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_PLACEMENT_DRIVER_H_
