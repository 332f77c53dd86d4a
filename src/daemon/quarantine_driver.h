// Shares the quarantine with the other daemons and tells it which servers live.
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
  // An incarnation of a server answered an order sent at `asked_at`.
  void OnServerAnswered(const ServerId& server,
                        Incarnation incarnation,
                        TimePoint asked_at);
  // An order found nobody at the server's address; `incarnation` is 0 where
  // the order was meant for any incarnation of it.
  void OnServerRefused(const ServerId& server, Incarnation incarnation);
  // Takes another daemon's update.
  void OnUpdate(const peer::QuarantineUpdateT& update);
  // Sends what has changed here to the other daemons.
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
