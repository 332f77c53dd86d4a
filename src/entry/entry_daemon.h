// One daemon on an entry VM that serves the platform: everything wired
// together.
//
// Runs on the main context of the thread that makes it. What lasts is in the
// platform's store: the operators' configuration, the servers' entries, who
// leads the daemons and who owns which keys (docs/design/platform.md).
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

  // Opens the addresses and begins to follow the store. Fails with StartError.
  boost::leaf::result<void> Start();
  // Returns the port that callers connect to.
  [[nodiscard]] std::uint16_t caller_port() const;
  // Stops gracefully: fails the balancer's check, leaves the lead, finishes
  // what is in flight, then calls `done`.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_DAEMON_H_
