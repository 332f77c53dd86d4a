// Parses INI text into the validated tree of schema/settings.fbs.
//
// A section name is a path. A branch inherits all keys of its parents and may
// override them:
//
//   [routes]                 ; shared by all routes
//   deadline = 2s
//   [routes/boats]           ; shared by the routes below
//   service = boats
//   [routes/boats/record]    ; a route: it has no branches below it
//   path_prefix = /boats/
//
// Only a leaf branch is a service, a route or a place. Its name is its path
// without the first component ("boats/record"). A request uses the first
// matching route in the order of the text.
#ifndef INCLUDE_GENTIANREACH_SETTINGS_H_
#define INCLUDE_GENTIANREACH_SETTINGS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "settings_generated.h"

namespace gentianreach::settings {

// Maximum length of the text, below the limit of the store.
inline constexpr std::size_t kMaxTextBytes = 900 * 1024;

// An error in a settings text. `line` starts at 1. `path` is the branch and the
// key ("routes/boats/deadline"), or empty if the line has none.
struct SettingsError {
  std::string file;
  int line = 0;
  std::string path;
  std::string message;

  bool operator==(const SettingsError&) const = default;
};

// Returns "FILE:LINE: PATH: MESSAGE".
[[nodiscard]] std::string ToString(const SettingsError& error);

// The result of LoadSettings: the tree, or all errors in order of line.
struct LoadResult {
  std::unique_ptr<TreeT> tree;
  std::vector<SettingsError> errors;

  [[nodiscard]] bool ok() const { return tree != nullptr; }
};

// Returns the tree of `text`, or all its errors. `file` is used in errors only.
// The tree has effective values, with groups of places replaced by their zones;
// its `version` is 0. Accepts any text and never throws.
[[nodiscard]] LoadResult LoadSettings(std::string_view text,
                                      std::string_view file);

// Returns the digest that daemons use to compare texts (XXH3, 64 bits).
[[nodiscard]] std::uint64_t DigestOf(std::string_view text);

}  // namespace gentianreach::settings

#endif  // INCLUDE_GENTIANREACH_SETTINGS_H_
