// Brings the settings tree of the store in force on this daemon.
#ifndef SRC_DAEMON_SETTINGS_DRIVER_H_
#define SRC_DAEMON_SETTINGS_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/timer.h"
#include "cell_generated.h"
#include "gentianreach/settings.h"
#include "peer/peer_net.h"
#include "platform/store_client.h"
#include "settings/settings_relay.h"

namespace gentianreach {

// Runs one SettingsRelay on the thread's main context and hands over each tree
// that comes in force, whole. `net` must outlive it. Nothing comes in force
// before SetMembers() was called.
class SettingsDriver {
 public:
  using Taker = std::function<void(const settings::TreeT&)>;

  // `store` is the store's address. The driver has its own connections to it,
  // since a watch holds one for seconds.
  SettingsDriver(const DaemonId& self,
                 std::uint64_t seed,
                 const std::string& store,
                 PeerNet& net,
                 Taker taker);
  SettingsDriver(const SettingsDriver&) = delete;
  SettingsDriver& operator=(const SettingsDriver&) = delete;

  void Start();
  // Takes the members of the cell from its record.
  void SetMembers(const stored::CellT& record);
  // Hands over a message of another daemon; others than the relay's are
  // ignored.
  void OnPeer(const ReceivedFrame& frame);

  // Returns the version in force; zero before the first.
  [[nodiscard]] std::uint64_t version() const;
  // Returns the text in force.
  [[nodiscard]] std::string text() const;
  [[nodiscard]] const settings::SettingsRelay& relay() const { return relay_; }

 private:
  void Tick();
  // Sends, calls and hands over what the relay has ready.
  void Pump();
  void LogRejection();

  DaemonId self_;
  StoreClient store_;
  PeerNet& net_;
  Taker taker_;
  MonotonicClock clock_;
  Timer tick_;
  settings::SettingsRelay relay_;
  std::map<DaemonId, std::string> addresses_;
  std::uint64_t taken_ = 0;
  std::uint64_t rejections_logged_ = 0;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_SETTINGS_DRIVER_H_
