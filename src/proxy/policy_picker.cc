#include "proxy/policy_picker.h"

#include <utility>

#include "proxy/request_policies.h"

namespace gentianreach::proxy {

void PolicyPicker::SetOptions(const ServiceName& service,
                              const PickerOptions& options) {
  groups_[service] = {std::make_unique<Picker>(options, ++seed_), {}};
}

void PolicyPicker::Replace(const ServiceName& service,
                           const std::vector<ServerChoice>& servers,
                           bool cold,
                           TimePoint now) {
  Group& group = groups_[service];
  if (!group.picker) {
    group.picker = std::make_unique<Picker>(PickerOptions{}, ++seed_);
  }
  std::map<ServerId, ServerChoice> next;
  for (const auto& it : servers) {
    next.emplace(it.server, it);
    group.picker->Add(it.server, cold, now);
  }
  for (const auto& [server, choice] : group.servers) {
    if (!next.contains(server)) {
      group.picker->Remove(server);
    }
  }
  group.servers = std::move(next);
}

Picker* PolicyPicker::Find(const ServiceName& service) {
  const auto it = groups_.find(service);
  return it == groups_.end() ? nullptr : it->second.picker.get();
}

std::optional<ServerChoice> PolicyPicker::Pick(const ServiceName& service,
                                               std::span<const ServerId> tried,
                                               TimePoint now) {
  const auto group = groups_.find(service);
  if (group == groups_.end() || !group->second.picker) {
    return std::nullopt;
  }
  const auto server = group->second.picker->Pick(tried, now);
  if (!server) {
    return std::nullopt;
  }
  group->second.picker->OnSent(*server);
  return group->second.servers.at(*server);
}

void PolicyPicker::Finished(const ServiceName& service,
                            const ServerId& server,
                            Verdict verdict,
                            Duration service_time,
                            TimePoint now) {
  if (Picker* picker = Find(service)) {
    picker->OnEnd(server, ToAttemptEnd(verdict), service_time, now);
  }
}

}  // namespace gentianreach::proxy
