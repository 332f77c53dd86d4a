// The daemon of an entry VM: creates its components and connects them.
//
// Runs on the main context of the thread that creates it. Durable state is in
// the platform's store: the routing configuration of the operators, the server
// entries, the leader record and the ownership tables
// (docs/design/platform.md).
#ifndef SRC_ENTRY_ENTRY_DAEMON_H_
#define SRC_ENTRY_ENTRY_DAEMON_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/leaf/result.hpp>

#include "daemon/daemon.h"
#include "settings_generated.h"

namespace gentianreach::entry {

class EntryDaemon {
 public:
  explicit EntryDaemon(const settings::EntryDaemonT& settings);
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;
  ~EntryDaemon();

  // Listens at the configured addresses and starts to follow the store. Blocks
  // for up to 5 s while one of them is in use. Fails with net::SocketError or
  // ListenError.
  boost::leaf::result<void> Start();
  // Returns the port that callers connect to.
  [[nodiscard]] std::uint16_t caller_port() const;
  // Stops gracefully: fails the load balancer's health check, steps down as
  // leader, completes the requests in flight and then calls `done`.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_DAEMON_H_
