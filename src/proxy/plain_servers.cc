#include "proxy/plain_servers.h"

#include <algorithm>
#include <utility>

namespace gentianreach::proxy {

void LeastOutstandingPicker::Replace(const ServiceName& service,
                                     std::vector<ServerChoice> servers) {
  Group& group = groups_[service];
  std::vector<Entry> entries;
  entries.reserve(servers.size());
  for (auto& it : servers) {
    const auto old = std::find_if(
        group.entries.begin(), group.entries.end(),
        [&](const Entry& entry) { return entry.choice.server == it.server; });
    const std::size_t outstanding =
        old == group.entries.end() ? 0 : old->outstanding;
    entries.push_back({std::move(it), outstanding});
  }
  group.entries = std::move(entries);
  group.next = 0;
}

std::optional<ServerChoice> LeastOutstandingPicker::Pick(
    const ServiceName& service,
    std::span<const ServerId> tried,
    TimePoint /*now*/) {
  const auto group = groups_.find(service);
  if (group == groups_.end()) {
    return std::nullopt;
  }
  auto& [entries, next] = group->second;
  Entry* best = nullptr;
  bool best_tried = false;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    Entry& it = entries[(next + i) % entries.size()];
    const bool was_tried =
        std::find(tried.begin(), tried.end(), it.choice.server) != tried.end();
    if (best != nullptr && std::pair(was_tried, it.outstanding) >=
                               std::pair(best_tried, best->outstanding)) {
      continue;
    }
    best = &it;
    best_tried = was_tried;
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  next = (next + 1) % entries.size();
  ++best->outstanding;
  return best->choice;
}

void LeastOutstandingPicker::Finished(const ServiceName& service,
                                      const ServerId& server,
                                      Verdict /*verdict*/,
                                      Duration /*service_time*/,
                                      TimePoint /*now*/) {
  const auto group = groups_.find(service);
  if (group == groups_.end()) {
    return;
  }
  for (auto& it : group->second.entries) {
    if (it.choice.server != server || it.outstanding == 0) {
      continue;
    }
    --it.outstanding;
    return;
  }
}

}  // namespace gentianreach::proxy
