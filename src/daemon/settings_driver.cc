#include "daemon/settings_driver.h"

#include <utility>

#include "base/log.h"
#include "store/store_caller.h"

namespace gentianreach {

using settings::SettingsRelay;

SettingsDriver::SettingsDriver(DaemonId self,
                               std::uint64_t seed,
                               StoreClient& store,
                               CellLinks links,
                               ActiveCallback on_active)
    : self_(std::move(self)),
      store_(store),
      links_(std::move(links)),
      on_active_(std::move(on_active)),
      relay_(self_, seed, clock_.Now()) {}

void SettingsDriver::Start() {
  Tick();
}

void SettingsDriver::OnPeerMessage(const DaemonId& from,
                                   const peer::MessageUnion& message) {
  relay_.OnMessage(from, message, clock_.Now());
  ProcessRelayOutput();
}

std::string SettingsDriver::text() const {
  return relay_.active_version() == nullptr ? ""
                                            : relay_.active_version()->text;
}

void SettingsDriver::Tick() {
  std::vector<DaemonId> others = links_.other_members();
  std::vector<DaemonId> cell = others;
  cell.push_back(self_);
  relay_.SetMembers(std::move(cell), std::move(others));
  relay_.Tick(clock_.Now());
  ProcessRelayOutput();
  tick_.Set(clock_.Now() + SettingsRelay::kTickInterval, [this] { Tick(); });
}

void SettingsDriver::ProcessRelayOutput() {
  for (const settings::RelayMessage& it : relay_.TakeOutgoing()) {
    links_.send(it.to, it.message);
  }
  const auto call = relay_.PollStore(clock_.Now());
  if (call.has_value()) {
    MakeStoreCall(store_, *call, [this](const store::Reply& reply) {
      relay_.OnStoreReply(reply, clock_.Now());
      ProcessRelayOutput();
    });
  }
  ApplyActiveVersion();
}

void SettingsDriver::ApplyActiveVersion() {
  if (relay_.counters().rejected != rejections_logged_) {
    rejections_logged_ = relay_.counters().rejected;
    for (const settings::SettingsError& it : relay_.rejection()) {
      Log(LogLevel::kError, "settings_refused", {{"error", ToString(it)}});
    }
  }
  const auto version = relay_.active_version();
  if (version == nullptr || version->number <= version_) {
    return;
  }
  version_ = version->number;
  Log(LogLevel::kInfo, "settings_in_force", {{"version", version_}});
  on_active_(*version->tree);
}

}  // namespace gentianreach
