#include "settings/text_delta.h"

#include <algorithm>

namespace gentianreach::settings {

TextDelta MakeDelta(std::string_view from, std::string_view to) {
  const auto prefix = static_cast<std::size_t>(
      std::ranges::mismatch(from, to).in1 - from.begin());
  from.remove_prefix(prefix);
  to.remove_prefix(prefix);
  std::size_t suffix = 0;
  const std::size_t max_suffix = std::min(from.size(), to.size());
  while (suffix < max_suffix &&
         from[from.size() - 1 - suffix] == to[to.size() - 1 - suffix]) {
    ++suffix;
  }
  return {prefix, from.size() - suffix,
          std::string(to.substr(0, to.size() - suffix))};
}

std::optional<std::string> ApplyDelta(std::string_view from,
                                      const TextDelta& delta) {
  if (delta.offset > from.size() ||
      delta.removed > from.size() - delta.offset) {
    return std::nullopt;
  }
  std::string text(from.substr(0, delta.offset));
  text += delta.inserted;
  text += from.substr(delta.offset + delta.removed);
  return text;
}

}  // namespace gentianreach::settings
