// The settings tree on the command line.
#ifndef SRC_CTL_SETTINGS_COMMANDS_H_
#define SRC_CTL_SETTINGS_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "ctl/context.h"
#include "gentianreach/time.h"

namespace gentianreach::ctl {

// How a change is made.
struct ChangeOptions {
  bool dry_run = false;
  bool merge = false;
  // Whether to wait until the daemons that are asked run the version.
  bool wait = false;
  std::chrono::seconds wait_timeout{30};
  // The version that a file was made from.
  std::optional<std::uint64_t> base;
  std::string reason;
};

// Prints the effective value at `path` (a key or a branch), or the whole text
// where it is empty; with `origin`, also the branch and line it comes from.
int GetSettings(Context& context, const std::string& path, bool origin);
// Sets one value.
int SetSetting(Context& context,
               const std::string& path,
               const std::string& value,
               const ChangeOptions& options);
// Makes the text of `file` the settings ("-": standard input).
int ApplySettings(Context& context,
                  const std::string& file,
                  const ChangeOptions& options);
// Makes the text of an earlier version the settings, as a new version.
int RestoreSettings(Context& context,
                    std::uint64_t version,
                    const ChangeOptions& options);
// Prints what applying `file` would alter.
int DiffFile(Context& context, const std::string& file);
// Prints what differs between two versions; 0 is the current one.
int DiffVersions(Context& context, std::uint64_t from, std::uint64_t to);
// Prints the latest `limit` versions.
int ShowHistory(Context& context, std::uint64_t limit);
// Prints the accepted version and the version that each daemon runs.
int ShowSettingsStatus(Context& context);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_SETTINGS_COMMANDS_H_
