#include "routing/host_routes.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace gentianreach::routing {
namespace {

// Returns `host` in lower case and without its port.
std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return key;
}

}  // namespace

TrafficSplit::TrafficSplit(const std::vector<WeightedService>& parts,
                           std::uint64_t seed) {
  for (const WeightedService& it : parts) {
    weights_.push_back(it.weight);
    total_ += it.weight;
  }
  credits_.assign(weights_.size(), 0);
  if (total_ == 0) {
    return;
  }
  const auto skipped =
      static_cast<std::int64_t>(seed % static_cast<std::uint64_t>(total_));
  for (std::int64_t i = 0; i < skipped; ++i) {
    Next();
  }
}

std::size_t TrafficSplit::Next() {
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights_.size(); ++i) {
    credits_[i] += weights_[i];
    if (credits_[i] > credits_[best]) {
      best = i;
    }
  }
  if (!credits_.empty()) {
    credits_[best] -= total_;
  }
  return best;
}

HostRoutes::HostRoutes(std::shared_ptr<const RoutingConfig> config,
                       std::uint64_t seed)
    : config_(std::move(config)) {
  for (const Route& it : config_->routes) {
    by_host_[HostKey(it.host)].push_back(
        std::make_unique<RouteEntry>(it, TrafficSplit(it.split, seed)));
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(
        routes.begin(), routes.end(), [](const auto& a, const auto& b) {
          return a->route.path_prefix.size() > b->route.path_prefix.size();
        });
  }
}

RouteEntry* HostRoutes::Find(std::string_view host, std::string_view target) {
  const auto found = by_host_.find(HostKey(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const auto& it : found->second) {
    if (path.starts_with(it->route.path_prefix)) {
      return it.get();
    }
  }
  return nullptr;
}

}  // namespace gentianreach::routing
