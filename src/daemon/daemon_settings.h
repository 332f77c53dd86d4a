// The settings of one daemon: its identity, addresses, store and TLS files.
#ifndef SRC_DAEMON_DAEMON_SETTINGS_H_
#define SRC_DAEMON_DAEMON_SETTINGS_H_

#include <memory>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"

namespace gentianreach {

// The settings, or all errors ordered by line.
struct DaemonSettingsResult {
  std::unique_ptr<settings::DaemonT> daemon;
  std::vector<settings::SettingsError> errors;
};

// Returns the parsed and validated section [daemon] of `text`. `file` is used
// only in error messages. Absent optional strings get their default values.
[[nodiscard]] DaemonSettingsResult LoadDaemonSettings(std::string_view text,
                                                      std::string_view file);

}  // namespace gentianreach

#endif  // SRC_DAEMON_DAEMON_SETTINGS_H_
