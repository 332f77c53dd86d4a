// The daemon on an entry VM, assembled from its components.
//
// The daemon runs on the main context of the thread that creates it. Each
// component owns its sockets and state: the cell agent with the store and the
// peer connections, the proxy with the connections to callers and backend
// servers, and the operator HTTP server.
#ifndef SRC_DAEMON_DAEMON_H_
#define SRC_DAEMON_DAEMON_H_

#include <functional>
#include <memory>

#include <boost/leaf/result.hpp>

#include "settings_generated.h"

namespace gentianreach {

// The reason why a daemon cannot start, as one line.
struct StartError {
  std::string message;
};

class Daemon {
 public:
  explicit Daemon(const settings::DaemonT& settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  // Starts listening on the configured addresses and begins to join the cell.
  // Fails with StartError.
  boost::leaf::result<void> Start();

  // Shuts down gracefully: fails the load balancer's health check, finishes the
  // requests in flight, hands over its role in the cell and leaves it, then
  // calls `done`.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_DAEMON_H_
