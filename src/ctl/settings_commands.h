// The settings commands of gentianreachctl.
#ifndef SRC_CTL_SETTINGS_COMMANDS_H_
#define SRC_CTL_SETTINGS_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "ctl/context.h"
#include "gentianreach/time.h"

namespace gentianreach::ctl {

// Options of a settings change.
struct ChangeOptions {
  bool dry_run = false;
  bool merge = false;
  // Whether to wait until the version is active on all daemons.
  bool wait = false;
  std::chrono::seconds wait_timeout{30};
  // The version that the applied file is based on.
  std::optional<std::uint64_t> base;
  std::string reason;
};

// Prints the effective value at `path` (a key or a branch), or the whole text
// if `path` is empty. With `origin`, also prints the branch and line that set
// the value.
int GetSettings(Context& context, const std::string& path, bool origin);
// Sets one value.
int SetSetting(Context& context,
               const std::string& path,
               const std::string& value,
               const ChangeOptions& options);
// Replaces the settings with the contents of `file` ("-": standard input).
int ApplySettings(Context& context,
                  const std::string& file,
                  const ChangeOptions& options);
// Creates a new version with the text of an earlier version.
int RestoreSettings(Context& context,
                    std::uint64_t version,
                    const ChangeOptions& options);
// Prints the differences between the current version and `file`.
int DiffFile(Context& context, const std::string& file);
// Prints the differences between two versions; 0 is the current version.
int DiffVersions(Context& context, std::uint64_t from, std::uint64_t to);
// Prints the latest `limit` versions.
int ShowHistory(Context& context, std::uint64_t limit);
// Prints the accepted version and the active version of each daemon.
int ShowSettingsStatus(Context& context);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_SETTINGS_COMMANDS_H_
