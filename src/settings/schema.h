// The sections, keys and values that settings may have, read from the embedded
// reflection data of schema/settings.fbs.
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

// A parsed value. Integers, enum values, durations (in ms) and sizes (in bytes)
// are uint64.
using Value = std::variant<bool, std::uint64_t, double, std::string>;

// A parsed value, or the reason why the text is invalid.
struct ParsedValue {
  std::optional<Value> value;
  std::string error;
};

// A key that the schema defines.
class Key {
 public:
  Key(const reflection::Schema* schema, const reflection::Field* field)
      : schema_(schema), field_(field) {}

  [[nodiscard]] std::string_view name() const {
    return field_->name()->string_view();
  }
  [[nodiscard]] const reflection::Field& field() const { return *field_; }
  // Returns the value of the schema attribute `name`, or an empty string.
  [[nodiscard]] std::string_view Attribute(const char* name) const;
  // Returns a description of the type, such as "duration" or "plain or keyed".
  [[nodiscard]] std::string TypeName() const;
  // Returns the default in the syntax of the settings file.
  [[nodiscard]] std::string DefaultText() const;
  // Returns "LOW to HIGH" in the syntax of the settings file, or an empty
  // string.
  [[nodiscard]] std::string RangeText() const;
  // Returns the value of `text` after checking its type, unit and range.
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
  // Whether branches below the root define named objects, such as services.
  bool named = false;

  // Returns the key called `name`, or nullopt.
  [[nodiscard]] std::optional<Key> Find(std::string_view name) const;
  // Returns all keys in the schema's order.
  [[nodiscard]] std::vector<Key> Keys() const;
};

// Returns the section whose paths begin with `root`, or nullopt.
[[nodiscard]] std::optional<Section> FindSection(std::string_view root);
// Returns the section [daemon] of a daemon's local configuration file. It is
// not part of the settings tree.
[[nodiscard]] Section DaemonSection();
// Returns the section [entry] of an entry daemon's configuration file.
[[nodiscard]] Section EntrySection();
// Returns the names of the sections of the settings tree.
[[nodiscard]] std::vector<std::string> SectionNames();
// Returns the name in `known` with the smallest edit distance to `name`, or
// nullopt if none is similar.
[[nodiscard]] std::optional<std::string> NearestName(
    std::string_view name,
    const std::vector<std::string>& known);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_SCHEMA_H_
