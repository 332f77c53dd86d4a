// Encoding of settings versions as objects in the store.
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
// Number of earlier versions that the store keeps.
inline constexpr std::uint64_t kMaxHistoryVersions = 1000;

// Returns the name of the history object for version `number`. Version
// `number` + kMaxHistoryVersions overwrites it.
[[nodiscard]] std::string HistoryName(std::uint64_t number);

// Returns the encoded object.
[[nodiscard]] std::string Encode(const stored::SettingsVersionT& version);

// Returns the version in `bytes`, or nullopt if they are corrupt or the digest
// does not match the text.
[[nodiscard]] std::optional<stored::SettingsVersionT> Decode(
    std::string_view bytes);

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_STORED_VERSION_H_
