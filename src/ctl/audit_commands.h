// The audit trail on the command line.
#ifndef SRC_CTL_AUDIT_COMMANDS_H_
#define SRC_CTL_AUDIT_COMMANDS_H_

#include <optional>
#include <string>

#include "audit/audit_log.h"
#include "ctl/context.h"

namespace gentianreach::ctl {

// Prints the entries that `filter` selects, after checking the whole trail.
// Returns kExitFailure where the trail has a gap.
int ShowAudit(Context& context, const audit::Filter& filter);

// Appends an entry. Returns false, with a warning printed, where the store did
// not take it in time.
bool AppendAudit(Context& context, audit::Entry entry);

// Returns the point that "2h", "15min", "30s" or "2026-01-31T12:00:00Z" says,
// the former counted back from `now`.
[[nodiscard]] std::optional<WallTime> ParseSince(const std::string& text,
                                                 WallTime now);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_AUDIT_COMMANDS_H_
