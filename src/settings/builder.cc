#include "settings/builder.h"

#include <utility>

namespace gentianreach::settings {

void CheckBranch(const Document& doc,
                 const Branch& branch,
                 const std::optional<Section>& section,
                 const std::vector<std::string>& sections,
                 std::vector<SettingsError>* errors) {
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
           "unknown section" + suggest(RootOf(branch.path), sections));
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

namespace internal {

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

}  // namespace internal

}  // namespace gentianreach::settings
