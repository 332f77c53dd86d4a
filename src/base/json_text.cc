#include "base/json_text.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gentianreach {
namespace {

using nlohmann::json;

// Far deeper than any object of the store, and far from the stack's limit.
constexpr std::size_t kMaxDepth = 64;

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kSpace) + 1 - begin);
}

// Returns the position of the quote that ends the string that begins at
// `begin`, or that of the end of `text`.
std::size_t FindStringEnd(std::string_view text, std::size_t begin) {
  std::size_t i = begin + 1;
  while (i < text.size() && text[i] != '"') {
    i += text[i] == '\\' ? 2 : 1;
  }
  return std::min(i, text.size());
}

bool IsTooDeep(std::string_view text) {
  std::size_t depth = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '"') {
      i = FindStringEnd(text, i);
    } else if (text[i] == '{' || text[i] == '[') {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if ((text[i] == '}' || text[i] == ']') && depth > 0) {
      --depth;
    }
  }
  return false;
}

// Returns the name in `text`, the text before the colon of a member.
std::optional<std::string> ParseName(std::string_view text) {
  const auto name = ParseJson(text);
  return name && name->is_string() ? std::optional(name->get<std::string>())
                                   : std::nullopt;
}

}  // namespace

std::optional<json> ParseJson(std::string_view text) {
  if (IsTooDeep(text)) {
    return std::nullopt;
  }
  json value = json::parse(text.begin(), text.end(), nullptr, false);
  return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

std::string ToJsonText(const json& value) {
  constexpr int kCompact = -1;
  return value.dump(kCompact, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<JsonPart>> SplitJson(std::string_view text) {
  text = Trim(text);
  if (!text.starts_with('{') && !text.starts_with('[')) {
    return std::nullopt;
  }
  const bool named = text.front() == '{';
  std::vector<JsonPart> parts;
  // Where the current part begins, and where its value does.
  std::size_t begin = 1;
  std::size_t value_begin = named ? std::string_view::npos : begin;
  const auto end_part = [&](std::size_t end) {
    if (value_begin != std::string_view::npos) {
      const auto name =
          named ? ParseName(text.substr(begin, value_begin - 1 - begin))
                : std::string();
      const std::string_view value =
          Trim(text.substr(value_begin, end - value_begin));
      if (name && !value.empty()) {
        parts.push_back({*name, value});
      }
    }
    begin = end + 1;
    value_begin = named ? std::string_view::npos : begin;
  };
  // Brackets that end what is open.
  std::string open;
  for (std::size_t i = 0; i < text.size(); ++i) {
    switch (text[i]) {
      case '"':
        i = FindStringEnd(text, i);
        break;
      case '{':
      case '[':
        open += text[i] == '{' ? '}' : ']';
        break;
      case '}':
      case ']':
        if (text[i] != open.back()) {
          return std::nullopt;
        }
        open.pop_back();
        if (open.empty()) {
          end_part(i);
          return i + 1 == text.size() ? std::optional(std::move(parts))
                                      : std::nullopt;
        }
        break;
      case ':':
        if (open.size() == 1 && value_begin == std::string_view::npos) {
          value_begin = i + 1;
        }
        break;
      case ',':
        if (open.size() == 1) {
          end_part(i);
        }
        break;
      default:
        break;
    }
  }
  return std::nullopt;
}

std::string_view JsonMember(const std::vector<JsonPart>& object,
                            std::string_view name) {
  const auto it = std::find_if(object.rbegin(), object.rend(),
                               [&](const auto& m) { return m.name == name; });
  return it == object.rend() ? std::string_view() : it->value;
}

std::string_view JsonMember(std::string_view text, std::string_view name) {
  const auto object = SplitJson(text);
  return object ? JsonMember(*object, name) : std::string_view();
}

}  // namespace gentianreach
