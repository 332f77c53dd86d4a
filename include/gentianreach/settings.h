// The settings tree: INI text in, the checked tree of schema/settings.fbs out.
//
// A section name is a path. A branch inherits every key from its parents and
// overrides what differs:
//
//   [routes]                 ; shared by all routes
//   deadline = 2s
//   [routes/boats]           ; shared by the routes below
//   service = boats
//   [routes/boats/record]    ; a route: it has no branches below it
//   path_prefix = /boats/
//
// Only a branch without branches below it is a service, a route or a place;
// its name is its path without the first step ("boats/record"). Requests match
// the first route in the order of the text.
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

// Greatest accepted length of the text, below what the store holds.
inline constexpr std::size_t kMaxTextBytes = 900 * 1024;

// One fault of a settings text. `line` counts from 1; `path` is the branch and
// the key ("routes/boats/deadline"), empty where the line has none.
struct SettingsError {
  std::string file;
  int line = 0;
  std::string path;
  std::string message;

  bool operator==(const SettingsError&) const = default;
};

// Returns "FILE:LINE: PATH: MESSAGE".
[[nodiscard]] std::string ToString(const SettingsError& error);

// What LoadSettings returns: the tree, or every error in order of line.
struct LoadResult {
  std::unique_ptr<TreeT> tree;
  std::vector<SettingsError> errors;

  [[nodiscard]] bool ok() const { return tree != nullptr; }
};

// Parses and checks `text` as a whole. `file` is used in errors only. The tree
// holds effective values, with groups of places replaced by their zones; its
// `version` is left at 0. Never throws; any text may be given.
[[nodiscard]] LoadResult LoadSettings(std::string_view text,
                                      std::string_view file);

// Returns the digest by which daemons compare texts (XXH3, 64 bits).
[[nodiscard]] std::uint64_t DigestOf(std::string_view text);

}  // namespace gentianreach::settings

#endif  // INCLUDE_GENTIANREACH_SETTINGS_H_
