// Versions of the settings as objects of the store.
#ifndef SRC_SETTINGS_STORED_VERSION_H_
#define SRC_SETTINGS_STORED_VERSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "stored_settings_generated.h"

namespace gentianreach::settings {

inline constexpr std::string_view kCurrentName = "settings/current";
inline constexpr std::string_view kHistoryPrefix = "settings/history/";
// Versions before the current one that the store keeps.
inline constexpr std::uint64_t kHistoryKept = 1000;

// Returns the name of the history object that keeps version `number`, until
// version `number` + kHistoryKept takes its place.
[[nodiscard]] std::string HistoryName(std::uint64_t number);

// Returns the object's bytes.
[[nodiscard]] std::string Encode(const stored::SettingsVersionT& version);

// Returns the version in `bytes`, or nothing where they are damaged or the
// text does not have the digest.
[[nodiscard]] std::optional<stored::SettingsVersionT> Decode(
    std::string_view bytes);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_STORED_VERSION_H_
