// The text of the settings as branches of keys, with the lines they stand on.
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

// One section. Its entries are its own, without what it inherits.
struct Branch {
  std::string path;
  int line = 0;
  std::vector<Entry> entries;

  // Returns the branch's own entry of `key`, or null.
  [[nodiscard]] const Entry* Find(std::string_view key) const;
};

// An effective value and the branch that it came from.
struct Effective {
  const Branch* origin = nullptr;
  const Entry* entry = nullptr;
};

// A parsed text. Branches keep the order of the text.
class Document {
 public:
  // Parses `text`. Faults go to `errors`; what could be read is returned.
  static Document Parse(std::string_view text,
                        std::string_view file,
                        std::vector<SettingsError>* errors);

  [[nodiscard]] const std::vector<Branch>& branches() const {
    return branches_;
  }
  [[nodiscard]] const std::string& file() const { return file_; }

  // Returns the branch at `path`, or null.
  [[nodiscard]] const Branch* Find(std::string_view path) const;

  // Returns the nearest entry of `key` from `path` upwards, or nothing where
  // no branch on the way sets it. `path` itself need not exist.
  [[nodiscard]] std::optional<Effective> Lookup(std::string_view path,
                                                std::string_view key) const;

  // Returns whether branches lie below `path`.
  [[nodiscard]] bool HasChildren(std::string_view path) const;

 private:
  std::string file_;
  std::vector<Branch> branches_;
  std::map<std::string, std::size_t, std::less<>> index_;
  std::set<std::string, std::less<>> parents_;
};

// Returns the path one step up; empty for a path of one step.
[[nodiscard]] std::string_view ParentOf(std::string_view path);
// Returns the first step of the path.
[[nodiscard]] std::string_view RootOf(std::string_view path);
// Returns the path without its first step.
[[nodiscard]] std::string_view NameOf(std::string_view path);
// Returns the elements of a list separated by commas, without blanks around
// them and without empty ones.
[[nodiscard]] std::vector<std::string> SplitList(std::string_view text);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_DOCUMENT_H_
