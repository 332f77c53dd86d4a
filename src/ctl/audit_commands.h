// The audit command of gentianreachctl.
#ifndef SRC_CTL_AUDIT_COMMANDS_H_
#define SRC_CTL_AUDIT_COMMANDS_H_

#include <optional>
#include <string>

#include "audit/audit_log.h"
#include "ctl/context.h"

namespace gentianreach::ctl {

// Prints the audit entries that match `filter` and verifies the whole trail.
// Returns kExitFailure if the trail cannot be read or has a gap.
int ShowAudit(Context& context, const audit::Filter& filter);

// Appends an entry to the audit trail. Returns false and prints an error if the
// store did not accept it in time.
bool AppendAudit(Context& context, audit::Entry entry);

// Returns the time that `text` denotes: an age like "2d", "2h", "15min" or
// "30s" counted back from `now`, or an ISO 8601 time like
// "2026-01-31T12:00:00Z". Returns nullopt if `text` is neither.
[[nodiscard]] std::optional<WallTime> ParseSince(const std::string& text,
                                                 WallTime now);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_AUDIT_COMMANDS_H_
