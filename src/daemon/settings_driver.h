// Performs the I/O of the settings relay (settings/settings_relay.h) and
// applies its active settings tree to this daemon.
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

// Calls back with the complete settings tree of each newer version once it is
// active. `store` must outlive the driver.
class SettingsDriver {
 public:
  using ActiveCallback = std::function<void(const settings::TreeT&)>;

  SettingsDriver(DaemonId self,
                 std::uint64_t seed,
                 StoreClient& store,
                 CellLinks links,
                 ActiveCallback on_active);
  SettingsDriver(const SettingsDriver&) = delete;
  SettingsDriver& operator=(const SettingsDriver&) = delete;

  void Start();
  // Passes a message from another daemon to the relay.
  void OnPeerMessage(const DaemonId& from, const peer::MessageUnion& message);

  // Returns the number of the active version, or 0 if there is none yet.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  // Returns the text of the active version, or "" if there is none yet.
  [[nodiscard]] std::string text() const;
  [[nodiscard]] const settings::SettingsRelay& relay() const { return relay_; }

 private:
  void Tick();
  void ProcessRelayOutput();
  void ApplyActiveVersion();

  DaemonId self_;
  StoreClient& store_;
  CellLinks links_;
  ActiveCallback on_active_;
  MonotonicClock clock_;
  settings::SettingsRelay relay_;
  Timer tick_;
  std::uint64_t version_ = 0;
  std::uint64_t rejections_logged_ = 0;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_SETTINGS_DRIVER_H_
