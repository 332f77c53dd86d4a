#include "gentianreach/settings.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gentianreach/check.h"
#include "settings/builder.h"
#include "settings/checks.h"
#include "settings/document.h"
#include "settings/schema.h"

namespace gentianreach::settings {
namespace {

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
    const auto section = FindSection(RootOf(it.path));
    CheckBranch(doc, it, section, SectionNames(), &result.errors);
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
