// Loads the settings of an entry daemon.
#ifndef SRC_ENTRY_ENTRY_SETTINGS_H_
#define SRC_ENTRY_ENTRY_SETTINGS_H_

#include <memory>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"
#include "settings_generated.h"

namespace gentianreach::entry {

// The settings, or all errors in the order of their lines.
struct EntrySettingsResult {
  std::unique_ptr<settings::EntryDaemonT> entry;
  std::vector<settings::SettingsError> errors;
};

// Returns the parsed and validated section [entry] of `text`. `file` is used
// only in errors. Optional settings that are absent get their defaults.
[[nodiscard]] EntrySettingsResult LoadEntrySettings(std::string_view text,
                                                    std::string_view file);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_SETTINGS_H_
