// Brings the settings tree in force on this daemon: does what the relay asks
// for (settings/settings_relay.h).
#ifndef SRC_DAEMON_SETTINGS_DRIVER_H_
#define SRC_DAEMON_SETTINGS_DRIVER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/timer.h"
#include "daemon/cell_links.h"
#include "gentianreach/settings.h"
#include "settings/settings_relay.h"
#include "store/store_client.h"

namespace gentianreach {

// Hands over each newer tree, whole, once it is in force. `store` must outlive
// the driver.
class SettingsDriver {
 public:
  using Taker = std::function<void(const settings::TreeT&)>;

  SettingsDriver(DaemonId self,
                 std::uint64_t seed,
                 StoreClient& store,
                 CellLinks links,
                 Taker taker);
  SettingsDriver(const SettingsDriver&) = delete;
  SettingsDriver& operator=(const SettingsDriver&) = delete;

  void Start();
  // Hands a message of another daemon to the relay.
  void OnPeer(const DaemonId& from, const peer::MessageUnion& message);

  // Returns the version in force; zero before the first.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  // Returns the text in force.
  [[nodiscard]] std::string text() const;
  [[nodiscard]] const settings::SettingsRelay& relay() const { return relay_; }

 private:
  void Tick();
  void Pump();
  void Take();

  DaemonId self_;
  StoreClient& store_;
  CellLinks links_;
  Taker taker_;
  MonotonicClock clock_;
  settings::SettingsRelay relay_;
  Timer tick_;
  std::uint64_t version_ = 0;
  std::uint64_t rejections_shown_ = 0;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_SETTINGS_DRIVER_H_
