#include "daemon/settings_driver.h"

#include <utility>

#include "base/log.h"

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
  if (read.status != StoreStatus::kOk || read.version.value() <= version_) {
    return;
  }
  settings::LoadResult loaded = settings::LoadSettings(read.bytes, kObject);
  if (!loaded.ok()) {
    for (const settings::SettingsError& it : loaded.errors) {
      Log(LogLevel::kError, "settings_refused", {{"error", ToString(it)}});
    }
    return;
  }
  version_ = read.version.value();
  text_ = read.bytes;
  loaded.tree->version = version_;
  Log(LogLevel::kInfo, "settings_in_force", {{"version", version_}});
  taker_(*loaded.tree);
}

}  // namespace gentianreach
