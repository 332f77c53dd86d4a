// Writes this daemon's part of the audit trail to the store.
#ifndef SRC_DAEMON_AUDIT_DRIVER_H_
#define SRC_DAEMON_AUDIT_DRIVER_H_

#include <string>

#include "audit/audit_log.h"
#include "base/timer.h"
#include "gentianreach/cell_agent.h"
#include "store/store_client.h"

namespace gentianreach {

// Takes entries, logs them, and appends them to the trail in batches. `store`
// must outlive it.
class AuditDriver {
 public:
  AuditDriver(std::string writer, StoreClient& store);
  AuditDriver(const AuditDriver&) = delete;
  AuditDriver& operator=(const AuditDriver&) = delete;

  // Notes a change of the cell.
  void Add(const AuditEvent& event);
  // Notes any other change.
  void Add(audit::Entry entry);

  // Returns the number of entries that wait for the store.
  [[nodiscard]] std::size_t pending() const { return appender_.pending(); }

 private:
  void Pump();

  StoreClient& store_;
  MonotonicClock clock_;
  audit::AuditAppender appender_;
  Timer timer_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_AUDIT_DRIVER_H_
