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

// Shares a route's requests between its services by smooth weighted round
// robin: any run of consecutive requests is split as closely to the weights as
// whole numbers allow.
class TrafficSplit {
 public:
  // `seed` shifts where the rotation begins, so that several daemons do not
  // send their first requests to the same service.
  TrafficSplit(const std::vector<WeightedService>& parts, std::uint64_t seed);

  // Returns the index of the part that gets the next request.
  std::size_t Next();

 private:
  std::vector<std::int64_t> weights_;
  std::vector<std::int64_t> credits_;
  std::int64_t total_ = 0;
};

// A route with the state that is kept for it.
struct RouteEntry {
  RouteEntry(Route of, TrafficSplit shared)
      : route(std::move(of)), split(std::move(shared)) {}

  Route route;
  TrafficSplit split;
};

// An index of one configuration's routes.
class HostRoutes {
 public:
  HostRoutes(std::shared_ptr<const RoutingConfig> config, std::uint64_t seed);

  // Returns the route of a request, or null. A port in `host` is ignored.
  [[nodiscard]] RouteEntry* Find(std::string_view host,
                                 std::string_view target);
  [[nodiscard]] const RoutingConfig& config() const { return *config_; }

 private:
  std::shared_ptr<const RoutingConfig> config_;
  // By host, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::unique_ptr<RouteEntry>>>
      by_host_;
};

}  // namespace gentianreach::routing

#endif  // SRC_ROUTING_HOST_ROUTES_H_
