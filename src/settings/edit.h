// Editing, comparing and three-way merging of settings texts.
#ifndef SRC_SETTINGS_EDIT_H_
#define SRC_SETTINGS_EDIT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianreach::settings {

// One key that differs between two texts; nullopt means "not set". An added or
// removed branch has its path in brackets and an empty value.
struct Difference {
  std::string path;
  std::optional<std::string> from;
  std::optional<std::string> to;

  bool operator==(const Difference&) const = default;
};

// Returns `text` with the key at `path` (such as "routes/boats/deadline") set
// to `value`. Comments and order are kept; a missing branch is appended.
[[nodiscard]] std::string SetValue(std::string_view text,
                                   std::string_view path,
                                   std::string_view value);

// Returns the differences: changed and added keys in the order of `to`, then
// removed ones in the order of `from`.
[[nodiscard]] std::vector<Difference> Compare(std::string_view from,
                                              std::string_view to);

// Returns "path: from -> to".
[[nodiscard]] std::string ToString(const Difference& difference);

// A merged text, or the paths of the branches that conflict.
struct MergeResult {
  std::optional<std::string> text;
  std::vector<std::string> conflicts;
};

// Returns `theirs` with the changes from `base` to `mine` applied, branch by
// branch. Branches that both sides changed differently conflict. The merged
// text is not validated; the caller does that by loading it.
[[nodiscard]] MergeResult Merge(std::string_view base,
                                std::string_view theirs,
                                std::string_view mine);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_EDIT_H_
