#include "gentianreach/settings.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "settings/checks.h"
#include "settings/document.h"
#include "settings/schema.h"

namespace gentianreach::settings {
namespace {

using ValueMap = std::map<std::string, Value, std::less<>>;

void CheckBranch(const Document& doc,
                 const Branch& branch,
                 std::vector<SettingsError>* errors) {
  const auto section = FindSection(RootOf(branch.path));
  const auto report = [&](int line, std::string path, std::string message) {
    errors->push_back({doc.file(), line, std::move(path), std::move(message)});
  };
  const auto suggest = [](std::string_view name,
                          const std::vector<std::string>& known) {
    const auto nearest = NearestName(name, known);
    return nearest ? "; did you mean " + *nearest + "?" : std::string();
  };
  if (!section) {
    report(branch.line, branch.path,
           "unknown section" + suggest(RootOf(branch.path), SectionNames()));
    return;
  }
  if (!section->named && !NameOf(branch.path).empty()) {
    report(branch.line, branch.path,
           "[" + std::string(section->root) + "] has no branches");
    return;
  }
  std::vector<std::string> known;
  for (const Key& it : section->Keys()) {
    known.emplace_back(it.name());
  }
  for (const Entry& it : branch.entries) {
    const std::string path = branch.path + "/" + it.key;
    const auto key = section->Find(it.key);
    if (!key) {
      report(it.line, path, "unknown key" + suggest(it.key, known));
      continue;
    }
    if (ParsedValue parsed = key->Parse(it.value); !parsed.value) {
      report(it.line, path, parsed.error + ", not \"" + it.value + "\"");
    }
  }
}

// Returns the effective values of the keys that are set at or above `path`.
ValueMap ValuesOf(const Document& doc,
                  const Section& section,
                  std::string_view path) {
  ValueMap values;
  for (const Key& it : section.Keys()) {
    const auto found = doc.Lookup(path, it.name());
    if (!found) {
      continue;
    }
    if (ParsedValue parsed = it.Parse(found->entry->value); parsed.value) {
      values.emplace(it.name(), *std::move(parsed.value));
    }
  }
  return values;
}

void AddScalar(flatbuffers::FlatBufferBuilder* fbb,
               const reflection::Field& field,
               const Value& value) {
  const flatbuffers::voffset_t offset = field.offset();
  switch (field.type()->base_type()) {
    case reflection::BaseType::Bool:
      fbb->AddElement<std::uint8_t>(offset, std::get<bool>(value) ? 1 : 0);
      return;
    case reflection::BaseType::UByte:
      fbb->AddElement<std::uint8_t>(
          offset, static_cast<std::uint8_t>(std::get<std::uint64_t>(value)));
      return;
    case reflection::BaseType::UInt:
      fbb->AddElement<std::uint32_t>(
          offset, static_cast<std::uint32_t>(std::get<std::uint64_t>(value)));
      return;
    case reflection::BaseType::ULong:
      fbb->AddElement<std::uint64_t>(offset, std::get<std::uint64_t>(value));
      return;
    case reflection::BaseType::Double:
      fbb->AddElement<double>(offset, std::get<double>(value));
      return;
    default:
      return;
  }
}

// Builds the schema's table from values and unpacks it, so that a key added to
// the schema needs no code here.
template <typename Table>
std::unique_ptr<typename Table::NativeTableType> Build(const Section& section,
                                                       const ValueMap& values) {
  flatbuffers::FlatBufferBuilder fbb;
  std::map<std::string, flatbuffers::Offset<flatbuffers::String>> texts;
  for (const auto& [name, value] : values) {
    if (const auto* text = std::get_if<std::string>(&value)) {
      texts[name] = fbb.CreateString(*text);
    }
  }
  const flatbuffers::uoffset_t start = fbb.StartTable();
  for (const auto& [name, value] : values) {
    const reflection::Field& field = section.Find(name)->field();
    if (const auto it = texts.find(name); it != texts.end()) {
      fbb.AddOffset(field.offset(), it->second);
      continue;
    }
    AddScalar(&fbb, field, value);
  }
  fbb.Finish(flatbuffers::Offset<Table>(fbb.EndTable(start)));
  auto built = std::make_unique<typename Table::NativeTableType>();
  flatbuffers::GetRoot<Table>(fbb.GetBufferPointer())->UnPackTo(built.get());
  return built;
}

template <typename Table, typename Named>
std::vector<std::unique_ptr<Named>> BuildNamed(const Document& doc,
                                               std::string_view root) {
  std::vector<std::unique_ptr<Named>> list;
  const Section section = *FindSection(root);
  for (const Branch& it : doc.branches()) {
    if (RootOf(it.path) != root || NameOf(it.path).empty() ||
        doc.HasChildren(it.path)) {
      continue;
    }
    auto named = std::make_unique<Named>();
    named->name = std::string(NameOf(it.path));
    named->settings = Build<Table>(section, ValuesOf(doc, section, it.path));
    list.push_back(std::move(named));
  }
  return list;
}

template <typename Table>
auto BuildSingle(const Document& doc, std::string_view root) {
  const Section section = *FindSection(root);
  return Build<Table>(section, ValuesOf(doc, section, root));
}

std::unique_ptr<TreeT> BuildTree(const Document& doc) {
  auto tree = std::make_unique<TreeT>();
  tree->services = BuildNamed<Service, NamedServiceT>(doc, "services");
  tree->routes = BuildNamed<Route, NamedRouteT>(doc, "routes");
  tree->places = BuildNamed<Place, NamedPlaceT>(doc, "places");
  tree->cell = BuildSingle<CellTiming>(doc, "cell");
  tree->limits = BuildSingle<Limits>(doc, "limits");
  return tree;
}

}  // namespace

std::string ToString(const SettingsError& error) {
  std::string text = error.file + ":" + std::to_string(error.line) + ": ";
  if (!error.path.empty()) {
    text += error.path + ": ";
  }
  return text + error.message;
}

LoadResult LoadSettings(std::string_view text, std::string_view file) {
  LoadResult result;
  const Document doc = Document::Parse(text, file, &result.errors);
  for (const Branch& it : doc.branches()) {
    CheckBranch(doc, it, &result.errors);
  }
  std::unique_ptr<TreeT> tree = BuildTree(doc);
  ResolvePlaces(doc, tree.get(), &result.errors);
  CheckRoutes(doc, *tree, &result.errors);
  CheckTiming(doc, *tree, &result.errors);
  std::ranges::stable_sort(result.errors, {}, &SettingsError::line);
  if (result.errors.empty()) {
    result.tree = std::move(tree);
  }
  return result;
}

std::uint64_t DigestOf(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace gentianreach::settings
