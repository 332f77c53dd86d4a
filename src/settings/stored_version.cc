#include "settings/stored_version.h"

#include <array>
#include <cstdio>

#include "gentianreach/settings.h"

namespace gentianreach::settings {

std::string HistoryName(std::uint64_t number) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%04u",
                static_cast<unsigned>(number % kMaxHistoryVersions));
  return std::string(kHistoryPrefix) + buf.data();
}

std::string Encode(const stored::SettingsVersionT& version) {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(stored::SettingsVersion::Pack(fbb, &version));
  return {reinterpret_cast<const char*>(fbb.GetBufferPointer()), fbb.GetSize()};
}

std::optional<stored::SettingsVersionT> Decode(std::string_view bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<stored::SettingsVersion>(nullptr)) {
    return std::nullopt;
  }
  stored::SettingsVersionT version;
  flatbuffers::GetRoot<stored::SettingsVersion>(data)->UnPackTo(&version);
  if (version.digest != DigestOf(version.text)) {
    return std::nullopt;
  }
  return version;
}

}  // namespace gentianreach::settings
