// Which daemons run the accepted version of the settings.
#ifndef SRC_CTL_SETTINGS_STATUS_H_
#define SRC_CTL_SETTINGS_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ctl/context.h"

namespace gentianreach::ctl {

// What one daemon runs.
struct DaemonVersion {
  std::string daemon;
  std::uint64_t version = 0;
  // Why it is not known, or how current the daemon thinks it is.
  std::string detail;
};

// Asks every daemon given, and through them for the members of their cells.
[[nodiscard]] std::vector<DaemonVersion> AskVersions(Context& context);

// Waits until all daemons run `version` or a later one. Prints who is behind
// and returns kExitBehind where that does not happen by `deadline`.
int WaitInForce(Context& context, std::uint64_t version, TimePoint deadline);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_SETTINGS_STATUS_H_
