// A daemon's own settings: who it is and where it listens.
#ifndef SRC_DAEMON_DAEMON_SETTINGS_H_
#define SRC_DAEMON_DAEMON_SETTINGS_H_

#include <memory>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"

namespace gentianreach {

// The settings, or every error in order of line.
struct DaemonSettingsResult {
  std::unique_ptr<settings::DaemonT> daemon;
  std::vector<settings::SettingsError> errors;
};

// Parses and checks the section [daemon] of `text`. `file` is used in errors
// only. Optional texts that are absent get their defaults.
[[nodiscard]] DaemonSettingsResult LoadDaemonSettings(std::string_view text,
                                                      std::string_view file);

}  // namespace gentianreach

#endif  // SRC_DAEMON_DAEMON_SETTINGS_H_
