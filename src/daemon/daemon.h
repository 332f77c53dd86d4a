// One daemon on an entry VM: everything wired together.
//
// The daemon runs on the main context of the thread that makes it. Its parts
// own their sockets and state: the cell's agent with the store and the peers,
// the proxy with callers and backend servers, the operators' server.
#ifndef SRC_DAEMON_DAEMON_H_
#define SRC_DAEMON_DAEMON_H_

#include <functional>
#include <memory>

#include <boost/leaf/result.hpp>

#include "settings_generated.h"

namespace gentianreach {

// Why a daemon cannot start, in one line.
struct StartError {
  std::string message;
};

class Daemon {
 public:
  explicit Daemon(const settings::DaemonT& settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  // Opens the addresses and begins to look for the cell. Fails with
  // StartError.
  boost::leaf::result<void> Start();

  // Stops gracefully: fails the balancer's check, finishes what is in flight,
  // hands over what it holds, then calls `done`.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_DAEMON_H_
