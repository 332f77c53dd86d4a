#include "settings/edit.h"

#include <algorithm>
#include <set>
#include <utility>

#include "settings/document.h"

namespace gentianreach::settings {
namespace {

// Reported as a conflict when `mine` reorders branches.
constexpr std::string_view kOrderConflict = "(order of branches)";

// The lines of one branch verbatim, with comments. The lines before the first
// section are a block with an empty path.
struct Block {
  std::string path;
  std::string text;
};

std::vector<std::string_view> LinesOf(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size() - 1);
    lines.push_back(text.substr(0, end + 1));
    text.remove_prefix(end + 1);
  }
  return lines;
}

Document ParseIgnoringErrors(std::string_view text) {
  std::vector<SettingsError> errors;
  return Document::Parse(text, "", &errors);
}

std::vector<Block> BlocksOf(std::string_view text) {
  const Document doc = ParseIgnoringErrors(text);
  const std::vector<std::string_view> lines = LinesOf(text);
  std::vector<Block> blocks(1);
  auto branch = doc.branches().begin();
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const bool starts = branch != doc.branches().end() &&
                        branch->line == static_cast<int>(i) + 1;
    if (starts) {
      blocks.push_back({branch->path, ""});
      ++branch;
    }
    blocks.back().text += lines[i];
  }
  return blocks;
}

std::string JoinBlocks(const std::vector<Block>& blocks) {
  std::string text;
  for (const Block& it : blocks) {
    text += it.text;
    if (!it.text.empty() && it.text.back() != '\n') {
      text += '\n';
    }
  }
  return text;
}

const Block* FindBlock(const std::vector<Block>& blocks,
                       std::string_view path) {
  const auto it = std::ranges::find(blocks, path, &Block::path);
  return it == blocks.end() ? nullptr : &*it;
}

// Returns `text` without trailing whitespace.
std::string_view WithoutTrailingSpace(std::string_view text) {
  const std::size_t last = text.find_last_not_of(" \t\r\n");
  return last == std::string_view::npos ? std::string_view()
                                        : text.substr(0, last + 1);
}

bool SameBlock(const Block* a, const Block* b) {
  if (a == nullptr || b == nullptr) {
    return a == b;
  }
  return WithoutTrailingSpace(a->text) == WithoutTrailingSpace(b->text);
}

std::set<std::string> ChangedPaths(const std::vector<Block>& from,
                                   const std::vector<Block>& to) {
  std::set<std::string> changed;
  for (const auto* list : {&from, &to}) {
    for (const Block& it : *list) {
      if (!SameBlock(FindBlock(from, it.path), FindBlock(to, it.path))) {
        changed.insert(it.path);
      }
    }
  }
  return changed;
}

// Returns the paths of `blocks` that also occur in `other`, in the order of
// `blocks`.
std::vector<std::string> CommonPaths(const std::vector<Block>& blocks,
                                     const std::vector<Block>& other) {
  std::vector<std::string> paths;
  for (const Block& it : blocks) {
    if (FindBlock(other, it.path) != nullptr) {
      paths.push_back(it.path);
    }
  }
  return paths;
}

// Copies the block at `path` from `mine` to `merged`: replaces it, removes it
// if `mine` has none, or inserts it after the nearest preceding block of `mine`
// that `merged` has.
void CopyBlock(const std::vector<Block>& mine,
               const std::string& path,
               std::vector<Block>* merged) {
  const Block* wanted = FindBlock(mine, path);
  const auto place = std::ranges::find(*merged, path, &Block::path);
  if (wanted == nullptr) {
    std::erase_if(*merged, [&](const Block& it) { return it.path == path; });
    return;
  }
  if (place != merged->end()) {
    *place = *wanted;
    return;
  }
  auto position = merged->end();
  for (const Block* it = wanted; it != mine.data(); --it) {
    const auto before =
        std::ranges::find(*merged, std::prev(it)->path, &Block::path);
    if (before != merged->end()) {
      position = std::next(before);
      break;
    }
  }
  merged->insert(position, *wanted);
}

}  // namespace

std::string SetValue(std::string_view text,
                     std::string_view path,
                     std::string_view value) {
  const std::string branch(ParentOf(path));
  const std::string_view key =
      path.substr(branch.empty() ? 0 : branch.size() + 1);
  const std::string line = std::string(key) + " = " + std::string(value) + "\n";
  const Document doc = ParseIgnoringErrors(text);
  const Branch* found = doc.Find(branch);
  if (found == nullptr) {
    std::string result(text);
    if (!result.empty() && result.back() != '\n') {
      result += '\n';
    }
    return result + "[" + branch + "]\n" + line;
  }
  const Entry* entry = found->Find(key);
  const int last =
      found->entries.empty() ? found->line : found->entries.back().line;
  std::string result;
  int number = 0;
  for (const std::string_view it : LinesOf(text)) {
    ++number;
    const bool replaced = entry != nullptr && number == entry->line;
    if (replaced) {
      result += line;
      continue;
    }
    result += it;
    if (entry == nullptr && number == last) {
      result += it.back() == '\n' ? line : "\n" + line;
    }
  }
  return result;
}

std::vector<Difference> Compare(std::string_view from, std::string_view to) {
  const Document before = ParseIgnoringErrors(from);
  const Document after = ParseIgnoringErrors(to);
  std::vector<Difference> list;
  for (const Branch& it : after.branches()) {
    const Branch* old = before.Find(it.path);
    if (old == nullptr) {
      list.push_back({"[" + it.path + "]", std::nullopt, ""});
    }
    for (const Entry& entry : it.entries) {
      const Entry* was = old == nullptr ? nullptr : old->Find(entry.key);
      if (was != nullptr && was->value == entry.value) {
        continue;
      }
      const auto value =
          was == nullptr ? std::nullopt : std::optional(was->value);
      list.push_back({it.path + "/" + entry.key, value, entry.value});
    }
  }
  for (const Branch& it : before.branches()) {
    const Branch* now = after.Find(it.path);
    if (now == nullptr) {
      list.push_back({"[" + it.path + "]", "", std::nullopt});
    }
    for (const Entry& entry : it.entries) {
      if (now == nullptr || now->Find(entry.key) == nullptr) {
        list.push_back({it.path + "/" + entry.key, entry.value, std::nullopt});
      }
    }
  }
  return list;
}

std::string ToString(const Difference& difference) {
  const auto show = [](const std::optional<std::string>& value) {
    return value ? "\"" + *value + "\"" : std::string("(not set)");
  };
  return difference.path + ": " + show(difference.from) + " -> " +
         show(difference.to);
}

MergeResult Merge(std::string_view base,
                  std::string_view theirs,
                  std::string_view mine) {
  const std::vector<Block> old = BlocksOf(base);
  const std::vector<Block> wanted = BlocksOf(mine);
  std::vector<Block> merged = BlocksOf(theirs);
  const std::set<std::string> my_changes = ChangedPaths(old, wanted);
  const std::set<std::string> their_changes = ChangedPaths(old, merged);
  MergeResult result;
  for (const std::string& it : my_changes) {
    if (their_changes.contains(it) &&
        !SameBlock(FindBlock(merged, it), FindBlock(wanted, it))) {
      result.conflicts.push_back(it);
    }
  }
  // A changed order cannot be merged branch by branch, so it is a conflict.
  if (CommonPaths(old, wanted) != CommonPaths(wanted, old)) {
    result.conflicts.emplace_back(kOrderConflict);
  }
  if (!result.conflicts.empty()) {
    return result;
  }
  for (const Block& it : wanted) {
    if (my_changes.contains(it.path)) {
      CopyBlock(wanted, it.path, &merged);
    }
  }
  for (const std::string& it : my_changes) {
    CopyBlock(wanted, it, &merged);
  }
  result.text = JoinBlocks(merged);
  return result;
}

}  // namespace gentianreach::settings
