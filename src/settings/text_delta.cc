#include "settings/text_delta.h"

#include <algorithm>

namespace gentianreach::settings {

TextDelta MakeDelta(std::string_view from, std::string_view to) {
  const auto head = static_cast<std::size_t>(
      std::ranges::mismatch(from, to).in1 - from.begin());
  from.remove_prefix(head);
  to.remove_prefix(head);
  std::size_t tail = 0;
  const std::size_t longest = std::min(from.size(), to.size());
  while (tail < longest &&
         from[from.size() - 1 - tail] == to[to.size() - 1 - tail]) {
    ++tail;
  }
  return {head, from.size() - tail,
          std::string(to.substr(0, to.size() - tail))};
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
