// Brings the settings tree of the store in force on this daemon.
#ifndef SRC_DAEMON_SETTINGS_DRIVER_H_
#define SRC_DAEMON_SETTINGS_DRIVER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/timer.h"
#include "gentianreach/settings.h"
#include "platform/store_client.h"

namespace gentianreach {

// Reads `settings/current` and hands over each newer tree, whole. A tree that
// does not pass the checks is logged and not taken.
class SettingsDriver {
 public:
  using Taker = std::function<void(const settings::TreeT&)>;

  SettingsDriver(StoreClient& store, Taker taker);
  SettingsDriver(const SettingsDriver&) = delete;
  SettingsDriver& operator=(const SettingsDriver&) = delete;

  void Start();

  // Returns the version in force; zero before the first.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  // Returns the text in force.
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  void Poll();
  void Take(const ObjectRead& read);

  StoreClient& store_;
  Taker taker_;
  MonotonicClock clock_;
  Timer poll_;
  std::uint64_t version_ = 0;
  std::string text_;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_SETTINGS_DRIVER_H_
