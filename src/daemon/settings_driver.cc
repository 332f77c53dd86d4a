#include "daemon/settings_driver.h"

#include <utility>
#include <vector>

#include "base/log.h"
#include "platform/store_caller.h"

namespace gentianreach {

SettingsDriver::SettingsDriver(const DaemonId& self,
                               std::uint64_t seed,
                               const std::string& store,
                               PeerNet& net,
                               Taker taker)
    : self_(self),
      store_(store),
      net_(net),
      taker_(std::move(taker)),
      relay_(self, seed, clock_.Now()) {}

void SettingsDriver::Start() {
  Tick();
}

void SettingsDriver::Tick() {
  relay_.Tick(clock_.Now());
  Pump();
  tick_.Set(clock_.Now() + settings::SettingsRelay::kTickInterval,
            [this] { Tick(); });
}

void SettingsDriver::SetMembers(const stored::CellT& record) {
  addresses_.clear();
  std::vector<DaemonId> members;
  for (const auto& it : record.members) {
    members.emplace_back(it->daemon);
    addresses_[members.back()] = it->peer_address;
  }
  relay_.SetMembers(std::move(members), {});
  Pump();
}

void SettingsDriver::OnPeer(const ReceivedFrame& frame) {
  relay_.OnMessage(frame.sender.daemon, frame.message, clock_.Now());
  Pump();
}

void SettingsDriver::Pump() {
  for (const settings::RelayMessage& it : relay_.TakeOutgoing()) {
    const auto address = addresses_.find(it.to);
    if (address != addresses_.end()) {
      net_.Send(address->second, it.message);
    }
  }
  if (const auto call = relay_.PollStore(clock_.Now())) {
    MakeStoreCall(store_, *call, [this](const store::Reply& reply) {
      relay_.OnStoreReply(reply, clock_.Now());
      Pump();
    });
  }
  LogRejection();
  if (version() == taken_) {
    return;
  }
  taken_ = version();
  Log(LogLevel::kInfo, "settings_in_force", {{"version", taken_}});
  taker_(*relay_.in_force()->tree);
}

void SettingsDriver::LogRejection() {
  if (relay_.counters().rejected == rejections_logged_) {
    return;
  }
  rejections_logged_ = relay_.counters().rejected;
  for (const settings::SettingsError& it : relay_.rejection()) {
    Log(LogLevel::kError, "settings_refused", {{"error", ToString(it)}});
  }
}

std::uint64_t SettingsDriver::version() const {
  return relay_.in_force() ? relay_.in_force()->number : 0;
}

std::string SettingsDriver::text() const {
  return relay_.in_force() ? relay_.in_force()->text : "";
}

}  // namespace gentianreach
