// Parser for the settings text. Keeps the line numbers for error messages.
#ifndef SRC_SETTINGS_DOCUMENT_H_
#define SRC_SETTINGS_DOCUMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gentianreach/settings.h"

namespace gentianreach::settings {

// One "key = value" line.
struct Entry {
  std::string key;
  std::string value;
  int line = 0;
};

// One section with its own entries, without inherited ones.
struct Branch {
  std::string path;
  int line = 0;
  std::vector<Entry> entries;

  // Returns the branch's own entry for `key`, or null.
  [[nodiscard]] const Entry* Find(std::string_view key) const;
};

// An entry and the branch that sets it, which may be a parent of the branch
// that was asked for.
struct EffectiveEntry {
  const Branch* origin = nullptr;
  const Entry* entry = nullptr;
};

// A parsed settings text. Branches are in the order of the text.
class Document {
 public:
  // Returns the parsed `text`. Syntax errors are appended to `errors`; lines
  // with errors are skipped.
  static Document Parse(std::string_view text,
                        std::string_view file,
                        std::vector<SettingsError>* errors);

  [[nodiscard]] const std::vector<Branch>& branches() const {
    return branches_;
  }
  [[nodiscard]] const std::string& file() const { return file_; }

  // Returns the branch at `path`, or null.
  [[nodiscard]] const Branch* Find(std::string_view path) const;

  // Returns the entry for `key` at `path` or at the nearest parent that sets
  // it, or nullopt if none does. There need not be a branch at `path` itself.
  [[nodiscard]] std::optional<EffectiveEntry> Lookup(
      std::string_view path,
      std::string_view key) const;

  // Returns whether there are branches below `path`.
  [[nodiscard]] bool HasChildren(std::string_view path) const;

 private:
  std::string file_;
  std::vector<Branch> branches_;
  std::map<std::string, std::size_t, std::less<>> index_;
  std::set<std::string, std::less<>> parents_;
};

// Returns the path without its last component; empty for a single component.
[[nodiscard]] std::string_view ParentOf(std::string_view path);
// Returns the first component of the path.
[[nodiscard]] std::string_view RootOf(std::string_view path);
// Returns the path without its first component.
[[nodiscard]] std::string_view NameOf(std::string_view path);
// Returns the non-empty elements of a comma-separated list, trimmed of
// whitespace.
[[nodiscard]] std::vector<std::string> SplitList(std::string_view text);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_DOCUMENT_H_
