#include "settings/schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>
#include <span>

#include "settings_bfbs_generated.h"

namespace gentianreach::settings {
namespace {

struct Unit {
  std::string_view suffix;
  std::uint64_t factor;
};
// The first unit of each list is the one in which the schema stores values.
constexpr std::array kTimeUnits = {Unit{"ms", 1}, Unit{"s", 1000},
                                   Unit{"min", 60'000}, Unit{"h", 3'600'000}};
constexpr std::array kSizeUnits = {Unit{"B", 1}, Unit{"KiB", 1ULL << 10},
                                   Unit{"MiB", 1ULL << 20},
                                   Unit{"GiB", 1ULL << 30}};

struct RootName {
  std::string_view root;
  const char* table;
  bool named;
};
constexpr std::array kRoots = {
    RootName{"services", "gentianreach.settings.Service", true},
    RootName{"routes", "gentianreach.settings.Route", true},
    RootName{"places", "gentianreach.settings.Place", true},
    RootName{"cell", "gentianreach.settings.CellTiming", false},
    RootName{"limits", "gentianreach.settings.Limits", false}};

const reflection::Schema* EmbeddedSchema() {
  return reflection::GetSchema(TreeBinarySchema::data());
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text, std::string_view* rest) {
  T value{};
  const char* const end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc()) {
    return std::nullopt;
  }
  *rest = std::string_view(it, static_cast<std::size_t>(end - it));
  return value;
}

std::span<const Unit> UnitsOf(std::string_view unit) {
  if (unit == "ms") {
    return kTimeUnits;
  }
  if (unit == "bytes") {
    return kSizeUnits;
  }
  return {};
}

std::string UnitList(std::span<const Unit> units) {
  std::string list;
  for (const Unit& it : units) {
    list += (list.empty() ? "" : ", ") + std::string(it.suffix);
  }
  return list;
}

// Returns `value` in the largest unit that divides it without remainder.
std::string WithUnit(std::uint64_t value, std::string_view unit) {
  std::string text = std::to_string(value);
  for (const Unit& it : UnitsOf(unit)) {
    if (value % it.factor == 0 && (value != 0 || it.factor == 1)) {
      text = std::to_string(value / it.factor) + std::string(it.suffix);
    }
  }
  return text;
}

std::string FormatReal(double value) {
  std::array<char, 32> buf{};
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), value);
  return {buf.data(), end};
}

// Returns "path-segment" for "PathSegment".
std::string KebabCase(std::string_view name) {
  std::string text;
  for (const char it : name) {
    const bool upper = it >= 'A' && it <= 'Z';
    if (upper && !text.empty()) {
      text += '-';
    }
    text += upper ? static_cast<char>(it - 'A' + 'a') : it;
  }
  return text;
}

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

std::optional<std::uint64_t> IntegerAttribute(std::string_view text) {
  std::string_view rest;
  return ParseNumber<std::uint64_t>(text, &rest);
}

}  // namespace

std::string_view Key::Attribute(const char* name) const {
  if (field_->attributes() == nullptr) {
    return {};
  }
  const auto* it = field_->attributes()->LookupByKey(name);
  return it == nullptr || it->value() == nullptr ? std::string_view()
                                                 : it->value()->string_view();
}

const reflection::Enum* Key::EnumType() const {
  const int index = field_->type()->index();
  return index < 0 ? nullptr : schema_->enums()->Get(index);
}

std::string Key::TypeName() const {
  const auto type = field_->type()->base_type();
  if (type == reflection::BaseType::String) {
    return "text";
  }
  if (type == reflection::BaseType::Bool) {
    return "true or false";
  }
  if (type == reflection::BaseType::Double) {
    return "number";
  }
  if (const reflection::Enum* names = EnumType(); names != nullptr) {
    std::string list;
    for (const auto* it : *names->values()) {
      list += (list.empty() ? "" : " or ") + KebabCase(it->name()->str());
    }
    return list;
  }
  const std::string_view unit = Attribute("unit");
  return unit == "ms" ? "duration" : unit == "bytes" ? "size" : "whole number";
}

std::string Key::DefaultText() const {
  const auto type = field_->type()->base_type();
  if (type == reflection::BaseType::String) {
    return "";
  }
  if (type == reflection::BaseType::Bool) {
    return field_->default_integer() != 0 ? "true" : "false";
  }
  if (type == reflection::BaseType::Double) {
    return FormatReal(field_->default_real());
  }
  const auto value = static_cast<std::uint64_t>(field_->default_integer());
  if (const reflection::Enum* names = EnumType(); names != nullptr) {
    const auto* it = names->values()->LookupByKey(field_->default_integer());
    return it == nullptr ? "" : KebabCase(it->name()->str());
  }
  return WithUnit(value, Attribute("unit"));
}

std::string Key::RangeText() const {
  const auto bound = [this](const char* name) {
    const std::string_view text = Attribute(name);
    const auto value = IntegerAttribute(text);
    return Attribute("unit").empty() || !value
               ? std::string(text)
               : WithUnit(*value, Attribute("unit"));
  };
  const std::string low = bound("low");
  const std::string high = bound("high");
  return low.empty() && high.empty() ? "" : low + " to " + high;
}

ParsedValue Key::Parse(std::string_view text) const {
  switch (field_->type()->base_type()) {
    case reflection::BaseType::String:
      return {std::string(text), ""};
    case reflection::BaseType::Bool:
      if (text == "true" || text == "false") {
        return {text == "true", ""};
      }
      return {std::nullopt, "expected true or false"};
    case reflection::BaseType::Double:
      return ParseReal(text);
    default:
      return EnumType() != nullptr ? ParseEnum(text) : ParseInteger(text);
  }
}

ParsedValue Key::ParseInteger(std::string_view text) const {
  std::string_view rest;
  const auto number = ParseNumber<std::uint64_t>(text, &rest);
  if (!number) {
    return {std::nullopt, "expected a " + TypeName()};
  }
  const std::span<const Unit> units = UnitsOf(Attribute("unit"));
  std::uint64_t value = *number;
  if (units.empty()) {
    if (!rest.empty()) {
      return {std::nullopt, "expected a whole number without a unit"};
    }
  } else {
    rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
    const auto it = std::ranges::find(units, rest, &Unit::suffix);
    if (it == units.end()) {
      return {std::nullopt, "expected a unit, one of " + UnitList(units)};
    }
    if (__builtin_mul_overflow(value, it->factor, &value)) {
      return {std::nullopt, "number too large"};
    }
  }
  const auto low = IntegerAttribute(Attribute("low"));
  const auto high = IntegerAttribute(Attribute("high"));
  if ((low && value < *low) || (high && value > *high)) {
    return {std::nullopt, "out of range " + RangeText()};
  }
  return {value, ""};
}

ParsedValue Key::ParseReal(std::string_view text) const {
  std::string_view rest;
  const auto value = ParseNumber<double>(text, &rest);
  if (!value || !rest.empty() || !std::isfinite(*value)) {
    return {std::nullopt, "expected a number"};
  }
  const auto low = ParseNumber<double>(Attribute("low"), &rest);
  const auto high = ParseNumber<double>(Attribute("high"), &rest);
  if ((low && *value < *low) || (high && *value > *high)) {
    return {std::nullopt, "out of range " + RangeText()};
  }
  return {*value, ""};
}

ParsedValue Key::ParseEnum(std::string_view text) const {
  for (const auto* it : *EnumType()->values()) {
    if (KebabCase(it->name()->str()) == text) {
      return {static_cast<std::uint64_t>(it->value()), ""};
    }
  }
  return {std::nullopt, "expected " + TypeName()};
}

std::optional<Key> Section::Find(std::string_view name) const {
  const auto* field = table->fields()->LookupByKey(std::string(name).c_str());
  if (field == nullptr) {
    return std::nullopt;
  }
  return Key(EmbeddedSchema(), field);
}

std::vector<Key> Section::Keys() const {
  std::vector<Key> keys;
  for (const auto* it : *table->fields()) {
    keys.emplace_back(EmbeddedSchema(), it);
  }
  std::ranges::sort(keys, {}, [](const Key& it) { return it.field().id(); });
  return keys;
}

std::optional<Section> FindSection(std::string_view root) {
  const auto it = std::ranges::find(kRoots, root, &RootName::root);
  if (it == kRoots.end()) {
    return std::nullopt;
  }
  return Section{it->root, EmbeddedSchema()->objects()->LookupByKey(it->table),
                 it->named};
}

Section DaemonSection() {
  return Section{
      "daemon",
      EmbeddedSchema()->objects()->LookupByKey("gentianreach.settings.Daemon"),
      false};
}

Section EntrySection() {
  return Section{"entry",
                 EmbeddedSchema()->objects()->LookupByKey(
                     "gentianreach.settings.EntryDaemon"),
                 false};
}

std::vector<std::string> SectionNames() {
  std::vector<std::string> names;
  names.reserve(kRoots.size());
  for (const RootName& it : kRoots) {
    names.emplace_back(it.root);
  }
  return names;
}

std::optional<std::string> NearestName(std::string_view name,
                                       const std::vector<std::string>& known) {
  // Names that differ in more than a third of their length, and in more than
  // two letters, are too different for a useful suggestion.
  constexpr std::size_t kLengthPerEdit = 3;
  constexpr std::size_t kMaxNameLength = 64;
  std::optional<std::string> nearest;
  if (name.size() > kMaxNameLength) {
    return nearest;
  }
  std::size_t limit =
      std::max<std::size_t>(2, name.size() / kLengthPerEdit) + 1;
  for (const std::string& it : known) {
    const std::size_t distance = EditDistance(name, it);
    if (distance < limit) {
      limit = distance;
      nearest = it;
    }
  }
  return nearest;
}

}  // namespace gentianreach::settings
