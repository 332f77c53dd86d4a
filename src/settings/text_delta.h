// The difference of two texts as one replaced span.
#ifndef SRC_SETTINGS_TEXT_DELTA_H_
#define SRC_SETTINGS_TEXT_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianreach::settings {

// At `offset`, `removed` bytes give way to `inserted`.
struct TextDelta {
  std::uint64_t offset = 0;
  std::uint64_t removed = 0;
  std::string inserted;
};

// Returns the shortest single span that turns `from` into `to`.
[[nodiscard]] TextDelta MakeDelta(std::string_view from, std::string_view to);

// Returns `from` with the delta applied, or nothing where it does not fit.
[[nodiscard]] std::optional<std::string> ApplyDelta(std::string_view from,
                                                    const TextDelta& delta);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_TEXT_DELTA_H_
