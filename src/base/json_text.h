// Reads JSON of other programs, and writes JSON that may contain bytes of
// theirs. Nothing here throws.
#ifndef SRC_BASE_JSON_TEXT_H_
#define SRC_BASE_JSON_TEXT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace gentianreach {

// Returns the value of `text`. Returns nullopt if `text` is not JSON in valid
// UTF-8, has a number that is out of range, or is nested so deeply that
// recursive functions could not handle the value.
[[nodiscard]] std::optional<nlohmann::json> ParseJson(std::string_view text);

// Returns `value` as compact text. Bytes in strings that are not UTF-8, which
// nlohmann::json::dump() throws for, are written as U+FFFD.
[[nodiscard]] std::string ToJsonText(const nlohmann::json& value);

// Text of a member of an object, or of an element of an array, which has no
// name.
struct JsonPart {
  std::string name;
  std::string_view value;
};

// Splits the object or array in `text` without parsing the values, so that one
// that cannot be parsed does not hide the others. Leaves out members whose name
// cannot be parsed. Returns nullopt if `text` is neither, or if its quotes and
// brackets do not match.
[[nodiscard]] std::optional<std::vector<JsonPart>> SplitJson(
    std::string_view text);

// Returns the text of the last member `name` of an object, or "" if there is
// none.
[[nodiscard]] std::string_view JsonMember(const std::vector<JsonPart>& object,
                                          std::string_view name);
[[nodiscard]] std::string_view JsonMember(std::string_view text,
                                          std::string_view name);

}  // namespace gentianreach

#endif  // SRC_BASE_JSON_TEXT_H_
