#include "ctl/settings_status.h"

#include <algorithm>
#include <map>

namespace gentianreach::ctl {
namespace {

constexpr std::chrono::milliseconds kPollInterval{200};

}  // namespace

std::vector<DaemonVersion> GetDaemonVersions(Context& context) {
  std::map<std::string, DaemonVersion> found;
  for (const std::string& address : context.options().daemons) {
    const auto status = context.CallDaemon(address, "/status");
    if (!status) {
      found[address] = {address, 0, "no answer"};
      continue;
    }
    const std::string name = TextOf(*status, "daemon");
    found[name] = {name, status->value("settings_version", std::uint64_t{0}),
                   TextOf(*status, "settings_standing")};
    const Json members = status->value("settings_members", Json::object());
    for (const auto& [member, version] : members.items()) {
      found.try_emplace(member,
                        DaemonVersion{member, version.get<std::uint64_t>(),
                                      "as reported by " + name});
    }
  }
  std::vector<DaemonVersion> list;
  list.reserve(found.size());
  for (const auto& [name, version] : found) {
    list.push_back(version);
  }
  return list;
}

int WaitUntilActive(Context& context,
                    std::uint64_t version,
                    TimePoint deadline) {
  if (context.options().daemons.empty()) {
    PrintError("cannot wait: use --daemon or GENTIANREACH_DAEMON");
    return kExitBehind;
  }
  while (true) {
    std::vector<DaemonVersion> behind = GetDaemonVersions(context);
    std::erase_if(
        behind, [&](const DaemonVersion& it) { return it.version >= version; });
    if (behind.empty()) {
      return kExitOk;
    }
    if (context.clock().Now() >= deadline) {
      for (const DaemonVersion& it : behind) {
        PrintError("behind: " + it.daemon + " runs version " +
                   std::to_string(it.version) +
                   (it.detail.empty() ? "" : " (" + it.detail + ")"));
      }
      return kExitBehind;
    }
    context.WaitUntil(context.clock().Now() + kPollInterval);
  }
}

}  // namespace gentianreach::ctl
