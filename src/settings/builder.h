// Validates the sections of a settings text and builds the FlatBuffers tables
// of the schema from their values.
#ifndef SRC_SETTINGS_BUILDER_H_
#define SRC_SETTINGS_BUILDER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <flatbuffers/flatbuffers.h>

#include "gentianreach/settings.h"
#include "settings/document.h"
#include "settings/schema.h"

namespace gentianreach::settings {

// Parsed values by key name.
using ValueMap = std::map<std::string, Value, std::less<>>;

// Appends to `errors` an unknown section, unknown keys and invalid values of
// `branch`; inherited entries are not checked. `section` is the schema's
// section for the branch, or nullopt if it has none; `sections` are the names
// of all sections, from which a similar name is suggested.
void CheckBranch(const Document& doc,
                 const Branch& branch,
                 const std::optional<Section>& section,
                 const std::vector<std::string>& sections,
                 std::vector<SettingsError>* errors);

// Returns the effective values of the keys that are set at `path` or inherited
// from its parents. Keys with invalid values are left out.
[[nodiscard]] ValueMap ValuesOf(const Document& doc,
                                const Section& section,
                                std::string_view path);

namespace internal {

void AddScalar(flatbuffers::FlatBufferBuilder* fbb,
               const reflection::Field& field,
               const Value& value);

}  // namespace internal

// Returns the schema's table with `values` set and defaults elsewhere. Works by
// reflection, so that a key added to the schema needs no code here.
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
    internal::AddScalar(&fbb, field, value);
  }
  fbb.Finish(flatbuffers::Offset<Table>(fbb.EndTable(start)));
  auto built = std::make_unique<typename Table::NativeTableType>();
  flatbuffers::GetRoot<Table>(fbb.GetBufferPointer())->UnPackTo(built.get());
  return built;
}

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_BUILDER_H_
