// Finds the route of a request by its host and the longest path prefix.
#ifndef SRC_ROUTING_HOST_ROUTES_H_
#define SRC_ROUTING_HOST_ROUTES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "routing/routing_config.h"

namespace gentianreach::routing {

// Distributes a route's requests over its services by smooth weighted round
// robin: any sequence of consecutive requests is split as closely to the
// weights as whole numbers allow.
class TrafficSplit {
 public:
  // `seed` sets the starting position of the rotation, so that several daemons
  // do not send their first requests to the same service.
  TrafficSplit(const std::vector<WeightedService>& parts, std::uint64_t seed);

  // Returns the index of the service that gets the next request.
  std::size_t Next();

 private:
  std::vector<std::int64_t> weights_;
  std::vector<std::int64_t> credits_;
  std::int64_t total_ = 0;
};

// A route and its state.
struct RouteEntry {
  RouteEntry(Route of, TrafficSplit shared)
      : route(std::move(of)), split(std::move(shared)) {}

  Route route;
  TrafficSplit split;
};

// The routes of one configuration, indexed by host.
class HostRoutes {
 public:
  HostRoutes(std::shared_ptr<const RoutingConfig> config, std::uint64_t seed);

  // Returns the route of a request, or null if there is none. Ignores case and
  // a port in `host`.
  [[nodiscard]] RouteEntry* Find(std::string_view host,
                                 std::string_view target);
  [[nodiscard]] const RoutingConfig& config() const { return *config_; }

 private:
  std::shared_ptr<const RoutingConfig> config_;
  // Routes by host, the longest path prefix first.
  std::unordered_map<std::string, std::vector<std::unique_ptr<RouteEntry>>>
      by_host_;
};

}  // namespace gentianreach::routing

#endif  // SRC_ROUTING_HOST_ROUTES_H_
