#include "daemon/settings_driver.h"

#include <utility>

#include "base/log.h"
#include "settings/stored_version.h"

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

constexpr const char* kObject = "settings/current";
constexpr milliseconds kPollInterval{1000};
constexpr milliseconds kStoreTimeout{2000};

}  // namespace

SettingsDriver::SettingsDriver(StoreClient& store, Taker taker)
    : store_(store), taker_(std::move(taker)) {}

void SettingsDriver::Start() {
  Poll();
}

void SettingsDriver::Poll() {
  store_.Read(kObject, clock_.Now() + kStoreTimeout,
              [this](const ObjectRead& read) {
                Take(read);
                poll_.Set(clock_.Now() + kPollInterval, [this] { Poll(); });
              });
}

void SettingsDriver::Take(const ObjectRead& read) {
  if (read.status != StoreStatus::kOk) {
    return;
  }
  const auto stored = settings::Decode(read.bytes);
  if (!stored) {
    Log(LogLevel::kError, "settings_damaged", {{"object", kObject}});
    return;
  }
  if (stored->number <= version_) {
    return;
  }
  settings::LoadResult loaded = settings::LoadSettings(stored->text, kObject);
  if (!loaded.ok()) {
    for (const settings::SettingsError& it : loaded.errors) {
      Log(LogLevel::kError, "settings_refused", {{"error", ToString(it)}});
    }
    return;
  }
  version_ = stored->number;
  text_ = stored->text;
  loaded.tree->version = version_;
  Log(LogLevel::kInfo, "settings_in_force", {{"version", version_}});
  taker_(*loaded.tree);
}

}  // namespace gentianreach
