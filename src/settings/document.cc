#include "settings/document.h"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/fusion/include/std_pair.hpp>
#include <boost/spirit/home/x3.hpp>
#include <map>
#include <utility>

namespace gentianreach::settings {
namespace {

namespace x3 = boost::spirit::x3;

// Path components of the deepest branch; bounds the work of every lookup.
constexpr std::size_t kMaxPathComponents = 8;

const auto kPathComponent = +x3::char_("a-zA-Z0-9_.-");
const auto kSection =
    x3::lit('[') >> x3::raw[x3::lexeme[kPathComponent % '/']] >> ']';
const auto kAssignment = x3::raw[x3::lexeme[kPathComponent]] >> '=' >>
                         x3::raw[x3::lexeme[*x3::char_]];

// Returns whether `grammar` matches the whole line; stores the match in `part`.
template <typename Grammar, typename Part>
bool ParseLine(std::string_view line, const Grammar& grammar, Part* part) {
  const char* it = line.data();
  const char* const end = it + line.size();
  return x3::phrase_parse(it, end, grammar, x3::blank, *part) && it == end;
}

// Parses a text line by line into branches.
class Reader {
 public:
  Reader(std::string_view file,
         std::vector<Branch>* branches,
         std::vector<SettingsError>* errors)
      : file_(file), branches_(branches), errors_(errors) {}

  void Read(std::string_view line) {
    ++line_;
    const std::string text = boost::trim_copy(std::string(line));
    if (text.empty() || text.front() == '#' || text.front() == ';') {
      return;
    }
    if (text.front() == '[') {
      ReadSection(text);
      return;
    }
    ReadAssignment(text);
  }

  void Report(std::string path, std::string message) {
    errors_->push_back({file_, line_, std::move(path), std::move(message)});
  }

 private:
  void ReadSection(const std::string& text) {
    std::string path;
    current_ = kNone;
    if (!ParseLine(text, kSection, &path)) {
      Report("", "malformed section header: expected [name] or [name/name]");
      return;
    }
    if (static_cast<std::size_t>(std::ranges::count(path, '/')) >=
        kMaxPathComponents) {
      Report(path, "section path has more than 8 components");
      return;
    }
    const auto [it, added] = index_.try_emplace(path, branches_->size());
    if (!added) {
      Report(path, "duplicate section; first at line " +
                       std::to_string((*branches_)[it->second].line));
      // Its keys are added to the first section, so that they are checked too.
      current_ = it->second;
      return;
    }
    current_ = branches_->size();
    branches_->push_back({path, line_, {}});
  }

  void ReadAssignment(const std::string& text) {
    std::pair<std::string, std::string> assignment;
    if (!ParseLine(text, kAssignment, &assignment)) {
      Report("", "expected [section] or key = value");
      return;
    }
    const auto& [key, value] = assignment;
    if (current_ == kNone) {
      Report(key, "key outside of a section");
      return;
    }
    Branch& branch = (*branches_)[current_];
    if (const Entry* first = branch.Find(key); first != nullptr) {
      Report(branch.path + "/" + key,
             "duplicate key; first at line " + std::to_string(first->line));
      return;
    }
    branch.entries.push_back({key, value, line_});
  }

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  std::string file_;
  std::vector<Branch>* branches_;
  std::vector<SettingsError>* errors_;
  std::map<std::string, std::size_t> index_;
  std::size_t current_ = kNone;
  int line_ = 0;
};

}  // namespace

const Entry* Branch::Find(std::string_view key) const {
  const auto it = std::ranges::find(entries, key, &Entry::key);
  return it == entries.end() ? nullptr : &*it;
}

Document Document::Parse(std::string_view text,
                         std::string_view file,
                         std::vector<SettingsError>* errors) {
  Document doc;
  doc.file_ = std::string(file);
  Reader reader(file, &doc.branches_, errors);
  if (text.size() > kMaxTextBytes) {
    reader.Report("", "settings text is longer than 900 KiB");
    return doc;
  }
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    reader.Read(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  for (std::size_t i = 0; i < doc.branches_.size(); ++i) {
    std::string_view path = doc.branches_[i].path;
    doc.index_.emplace(path, i);
    for (path = ParentOf(path); !path.empty(); path = ParentOf(path)) {
      doc.parents_.emplace(path);
    }
  }
  return doc;
}

const Branch* Document::Find(std::string_view path) const {
  const auto it = index_.find(path);
  return it == index_.end() ? nullptr : &branches_[it->second];
}

std::optional<EffectiveEntry> Document::Lookup(std::string_view path,
                                               std::string_view key) const {
  for (; !path.empty(); path = ParentOf(path)) {
    const Branch* branch = Find(path);
    if (branch == nullptr) {
      continue;
    }
    if (const Entry* entry = branch->Find(key); entry != nullptr) {
      return EffectiveEntry{branch, entry};
    }
  }
  return std::nullopt;
}

bool Document::HasChildren(std::string_view path) const {
  return parents_.contains(path);
}

std::string_view ParentOf(std::string_view path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string_view::npos ? std::string_view()
                                         : path.substr(0, slash);
}

std::string_view RootOf(std::string_view path) {
  return path.substr(0, path.find('/'));
}

std::string_view NameOf(std::string_view path) {
  const std::size_t slash = path.find('/');
  return slash == std::string_view::npos ? std::string_view()
                                         : path.substr(slash + 1);
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  const std::string owned(text);
  boost::split(parts, owned, boost::is_any_of(","));
  for (std::string& it : parts) {
    boost::trim(it);
  }
  std::erase(parts, std::string());
  return parts;
}

}  // namespace gentianreach::settings
