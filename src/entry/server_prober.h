// Sends probes to backend servers.
#ifndef SRC_ENTRY_SERVER_PROBER_H_
#define SRC_ENTRY_SERVER_PROBER_H_

#include <functional>

#include "entry/entry_state.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

class ServerProber {
 public:
  explicit ServerProber(EntryState& state) : state_(state) {}
  ServerProber(const ServerProber&) = delete;
  ServerProber& operator=(const ServerProber&) = delete;

  // Requests the health path of `server` on a new connection. Calls `done`
  // once, with whether any response arrived in time, even a refusal.
  void Probe(const routing::BackendServer& server,
             std::function<void(bool answered)> done);

 private:
  EntryState& state_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_PROBER_H_
