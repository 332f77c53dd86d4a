// Edits, differences and three-way merges of settings texts.
#ifndef SRC_SETTINGS_EDIT_H_
#define SRC_SETTINGS_EDIT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianreach::settings {

// One key that differs between two texts; nothing stands for "not set". A
// branch itself is said by a path in brackets, its value being empty.
struct Difference {
  std::string path;
  std::optional<std::string> from;
  std::optional<std::string> to;

  bool operator==(const Difference&) const = default;
};

// Returns `text` with the key at `path` ("routes/boats/deadline") set to
// `value`. Comments and order are kept; a missing branch is added at the end.
[[nodiscard]] std::string SetValue(std::string_view text,
                                   std::string_view path,
                                   std::string_view value);

// Returns what differs, in the order of `to`, then what is only in `from`.
[[nodiscard]] std::vector<Difference> Compare(std::string_view from,
                                              std::string_view to);

// Returns "path: from -> to".
[[nodiscard]] std::string ToString(const Difference& difference);

// A merged text, or the branches that both sides changed differently.
struct MergeResult {
  std::optional<std::string> text;
  std::vector<std::string> conflicts;
};

// Merges the changes from `base` to `mine` into `theirs`, branch by branch.
// The result is not checked: its caller loads it.
[[nodiscard]] MergeResult Merge(std::string_view base,
                                std::string_view theirs,
                                std::string_view mine);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_EDIT_H_
