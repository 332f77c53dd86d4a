// Replicates the quarantine to the other daemons and reports to it which
// servers are alive.
#ifndef SRC_DAEMON_QUARANTINE_DRIVER_H_
#define SRC_DAEMON_QUARANTINE_DRIVER_H_

#include "base/timer.h"
#include "daemon/cell_links.h"
#include "policy/quarantine.h"
#include "settings_generated.h"

namespace gentianreach {

class QuarantineDriver {
 public:
  explicit QuarantineDriver(CellLinks links);
  QuarantineDriver(const QuarantineDriver&) = delete;
  QuarantineDriver& operator=(const QuarantineDriver&) = delete;

  void Start();
  // Handles the response of a server's incarnation to an order sent at
  // `asked_at`.
  void OnServerAnswered(const ServerId& server,
                        Incarnation incarnation,
                        TimePoint asked_at);
  // Handles an order whose connection was refused at the server's address.
  // `incarnation` is 0 if the order was meant for any incarnation.
  void OnServerRefused(const ServerId& server, Incarnation incarnation);
  // Merges an update from another daemon.
  void OnUpdate(const peer::QuarantineUpdateT& update);
  // Sends the local changes to the other daemons.
  void Flush();

  [[nodiscard]] Quarantine& quarantine() { return quarantine_; }
  [[nodiscard]] const Quarantine& quarantine() const { return quarantine_; }

 private:
  void Tick();

  CellLinks links_;
  MonotonicClock clock_;
  Quarantine quarantine_;
  Timer tick_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_QUARANTINE_DRIVER_H_
