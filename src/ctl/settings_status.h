// The active settings version of each daemon.
#ifndef SRC_CTL_SETTINGS_STATUS_H_
#define SRC_CTL_SETTINGS_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ctl/context.h"

namespace gentianreach::ctl {

// The active settings version of one daemon.
struct DaemonVersion {
  std::string daemon;
  std::uint64_t version = 0;
  // The daemon's sync status, the daemon that reported the version, or the
  // reason why the version is unknown.
  std::string detail;
};

// Returns the versions of all given daemons and, as reported by them, of the
// other members of their cells.
[[nodiscard]] std::vector<DaemonVersion> GetDaemonVersions(Context& context);

// Waits until `version` or a later one is active on all daemons. If that is not
// the case by `deadline`, prints the daemons that are behind and returns
// kExitBehind.
int WaitUntilActive(Context& context,
                    std::uint64_t version,
                    TimePoint deadline);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_SETTINGS_STATUS_H_
