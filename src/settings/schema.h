// The permitted sections, keys and values, read from the embedded reflection
// of schema/settings.fbs.
#ifndef SRC_SETTINGS_SCHEMA_H_
#define SRC_SETTINGS_SCHEMA_H_

#include <flatbuffers/reflection.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gentianreach::settings {

// A value as the schema's type of its key: integers, enums and times in ms or
// sizes in bytes as uint64.
using Value = std::variant<bool, std::uint64_t, double, std::string>;

// A parsed value, or why the text is none.
struct ParsedValue {
  std::optional<Value> value;
  std::string error;
};

// One permitted key.
class Key {
 public:
  Key(const reflection::Schema* schema, const reflection::Field* field)
      : schema_(schema), field_(field) {}

  [[nodiscard]] std::string_view name() const {
    return field_->name()->string_view();
  }
  [[nodiscard]] const reflection::Field& field() const { return *field_; }
  // Returns the value of the schema's attribute, empty where absent.
  [[nodiscard]] std::string_view Attribute(const char* name) const;
  // Returns the type in words, for example "duration" or "plain or keyed".
  [[nodiscard]] std::string TypeName() const;
  // Returns the default as an operator would write it.
  [[nodiscard]] std::string DefaultText() const;
  // Returns "LOW to HIGH" as an operator would write it, or an empty text.
  [[nodiscard]] std::string RangeText() const;
  // Parses `text` and checks type, unit and range.
  [[nodiscard]] ParsedValue Parse(std::string_view text) const;

 private:
  [[nodiscard]] ParsedValue ParseInteger(std::string_view text) const;
  [[nodiscard]] ParsedValue ParseReal(std::string_view text) const;
  [[nodiscard]] ParsedValue ParseEnum(std::string_view text) const;
  [[nodiscard]] const reflection::Enum* EnumType() const;

  const reflection::Schema* schema_;
  const reflection::Field* field_;
};

// The kind of section whose path begins with `root`.
struct Section {
  std::string_view root;
  const reflection::Object* table = nullptr;
  // Whether branches below the root stand for named things.
  bool named = false;

  // Returns the key called `name`, or nothing.
  [[nodiscard]] std::optional<Key> Find(std::string_view name) const;
  // Returns all keys in the schema's order.
  [[nodiscard]] std::vector<Key> Keys() const;
};

// Returns the section for the first step of a path, or nothing.
[[nodiscard]] std::optional<Section> FindSection(std::string_view root);
// Returns the section [daemon] of a daemon's own file, which is no part of the
// tree.
[[nodiscard]] Section DaemonSection();
// Returns the section [entry] of an entry daemon's file.
[[nodiscard]] Section EntrySection();
// Returns the names of all sections.
[[nodiscard]] std::vector<std::string> SectionNames();
// Returns the name among `known` that differs least from `name`, or nothing
// where none is near.
[[nodiscard]] std::optional<std::string> NearestName(
    std::string_view name,
    const std::vector<std::string>& known);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_SCHEMA_H_
