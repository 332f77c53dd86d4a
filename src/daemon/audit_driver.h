// Writes this daemon's audit entries to the store.
#ifndef SRC_DAEMON_AUDIT_DRIVER_H_
#define SRC_DAEMON_AUDIT_DRIVER_H_

#include <string>

#include "audit/audit_log.h"
#include "base/timer.h"
#include "gentianreach/cell_agent.h"
#include "store/store_client.h"

namespace gentianreach {

// Logs audit entries and appends them to the audit trail in batches. `store`
// must outlive the driver.
class AuditDriver {
 public:
  AuditDriver(std::string writer, StoreClient& store);
  AuditDriver(const AuditDriver&) = delete;
  AuditDriver& operator=(const AuditDriver&) = delete;

  // Adds an entry for a change made by the cell agent.
  void Add(const AuditEvent& event);
  // Adds an entry for any other change.
  void Add(audit::Entry entry);

  // Returns the number of entries that are not yet stored.
  [[nodiscard]] std::size_t pending() const { return appender_.pending(); }

 private:
  void SendNextBatch();

  StoreClient& store_;
  MonotonicClock clock_;
  audit::AuditAppender appender_;
  Timer timer_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_AUDIT_DRIVER_H_
