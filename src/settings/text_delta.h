// Difference of two texts, expressed as one replaced span.
#ifndef SRC_SETTINGS_TEXT_DELTA_H_
#define SRC_SETTINGS_TEXT_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianreach::settings {

// Replaces `removed` bytes at `offset` by `inserted`.
struct TextDelta {
  std::uint64_t offset = 0;
  std::uint64_t removed = 0;
  std::string inserted;
};

// Returns the shortest single replacement that turns `from` into `to`.
[[nodiscard]] TextDelta MakeDelta(std::string_view from, std::string_view to);

// Returns `from` with the delta applied, or nullopt if its span is outside of
// `from`.
[[nodiscard]] std::optional<std::string> ApplyDelta(std::string_view from,
                                                    const TextDelta& delta);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_TEXT_DELTA_H_
