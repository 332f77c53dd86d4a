// Watches whether this daemon reaches any backend server.
#ifndef SRC_ENTRY_SERVER_PATH_MONITOR_H_
#define SRC_ENTRY_SERVER_PATH_MONITOR_H_

#include <functional>

#include "entry/entry_state.h"
#include "entry/server_reachability.h"
#include "gentianreach/ids.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// Sends the probes that ServerReachability requests, and logs its decisions.
class ServerPathMonitor {
 public:
  explicit ServerPathMonitor(EntryState& state) : state_(state) {}
  ServerPathMonitor(const ServerPathMonitor&) = delete;
  ServerPathMonitor& operator=(const ServerPathMonitor&) = delete;

  // Sends the probes that are due. Call it periodically.
  void Check();
  // Sets the metrics of the path.
  void SetMetrics();

  // Called after the path has changed.
  std::function<void(ServerPath before)> on_change;

 private:
  // Requests the health path of `server` on a new connection. Any valid
  // response, even a refusal, is an answer.
  void Probe(const routing::BackendServer& server);
  void OnProbeEnd(const ServerId& server, bool answered);
  void HandleChange();

  EntryState& state_;
  // The state that was handled last.
  ServerPath path_ = ServerPath::kOpen;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_PATH_MONITOR_H_
