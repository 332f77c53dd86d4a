// The store of the fleet, and the configuration in it.
#include "soak/fleet.h"

#include <algorithm>
#include <sstream>
#include <string>

#include "platform/testing/sample_config.h"

namespace gentianreach::soak {
namespace {

constexpr const char* kConfigObject = "config main ";
// How many versions probes ask for most while the configuration changes often.
constexpr std::uint64_t kRecentVersions = 8;

// Returns the path prefix of the route that only `version` has.
std::string RouteOf(std::uint64_t version) {
  return "/v" + std::to_string(version) + "/";
}

}  // namespace

void Fleet::StartStore() {
  store_ =
      Spawn({Program("store_program")}, {},
            {[this](const std::string& line) { OnStoreLine(line); },
             [this](int status) {
               events_.on_failure("the store exited unexpectedly, status " +
                                  std::to_string(status));
             }});
}

void Fleet::OnStoreLine(const std::string& line) {
  if (line.starts_with(kAddressPrefix)) {
    store_address_ = line.substr(kAddressPrefix.size());
    return;
  }
  std::istringstream in(line);
  std::string event;
  std::string kind;
  std::string name;
  std::int64_t at = 0;
  in >> event >> kind;
  if (in && event == "leader") {
    OnLeader(kind);
    return;
  }
  in >> name >> at;
  if (!in || event != "accepted" || unaccepted_.empty()) {
    events_.on_failure("unexpected output of the store: " + line);
    return;
  }
  config_checker_.OnAccepted(unaccepted_.front(), TimePoint(Duration(at)));
  unaccepted_.pop_front();
}

// Writes the next version of the configuration, which has a route of its own
// instead of the one of the version before. An invalid one has a route to a
// service that does not exist.
void Fleet::WriteConfig(bool valid) {
  ++config_version_;
  auto config =
      platform::testing::SampleConfig(static_cast<int>(config_version_));
  platform::testing::AddReadRoute(config, RouteOf(config_version_));
  if (valid) {
    valid_version_ = config_version_;
  } else {
    config["listeners"][0]["rules"].back()["action"]["service"] = "unknown";
    config_checker_.OnInvalid(config_version_);
  }
  config_checker_.OnWritten(config_version_, loop_.Now());
  unaccepted_.push_back(config_version_);
  store_->WriteLine(std::string("put ") + kConfigObject + config.dump());
}

std::string Fleet::newest_route() const {
  return RouteOf(valid_version_);
}

RequestKind Fleet::ConfigProbe(std::size_t daemon, std::uint64_t draw) const {
  // With frequent changes, some ask for what the daemon last went by, and for
  // versions that have just been replaced.
  const std::uint64_t choices = cut_links_ ? 6 : 4;
  std::uint64_t version = config_version_;
  switch (draw % choices) {
    case 0:
      return {.path_prefix = "/read/", .config_version = 0};
    case 1:
      // Version 1 is never written.
      version = 1 + draw / choices % config_version_;
      break;
    case 2:
      version = config_version_ - 1;
      break;
    case 4:
      version =
          std::max<std::uint64_t>(config_checker_.LatestInForce(daemon), 1);
      break;
    case 5:
      version -= std::min(version - 1, 2 + draw / choices % kRecentVersions);
      break;
    default:
      break;
  }
  return {.path_prefix = RouteOf(version), .config_version = version};
}

void Fleet::BeginRefusal(const Fault& fault) {
  const DaemonSlot& slot = daemons_[fault.target];
  if (KeepsPathToStore(fault)) {
    const bool busy = fault.refusal == Refusal::kUnavailable;
    store_->WriteLine("refuse " + slot.ip + (busy ? " 503" : " 429"));
    return;
  }
  slot.store_proxy->SetClientCut(slot.ip, fault.refusal == Refusal::kReset
                                              ? ClientCut::kReset
                                              : ClientCut::kSilent);
}

void Fleet::EndRefusal(const Fault& fault) {
  const DaemonSlot& slot = daemons_[fault.target];
  if (KeepsPathToStore(fault)) {
    store_->WriteLine("refuse " + slot.ip + " 0");
  } else {
    slot.store_proxy->SetClientCut(slot.ip, ClientCut::kNone);
  }
}

}  // namespace gentianreach::soak
