// The active routing configuration, which maps requests to services.
#ifndef SRC_ROUTING_ROUTING_CONFIG_H_
#define SRC_ROUTING_ROUTING_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentianreach::routing {

// Limits on what a caller may send, and its timeouts.
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 64 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// A service and its weight in the split of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Starts and ends with a slash.
  std::string path_prefix;
  // Whether a request may be run more than once.
  bool idempotent = false;
  // Longest time that a caller waits for a response.
  std::chrono::milliseconds timeout{1000};
  // A response within this time has its full value for the caller.
  std::chrono::milliseconds latency_objective{1000};
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  // Largest number of servers to which one request is sent.
  std::uint32_t max_attempts = 1;
  // At least one service; several share the requests by weight.
  std::vector<WeightedService> split;
};

struct Service {
  std::string name;
  // Connections that one server accepts from all daemons together.
  std::uint32_t max_connections = 100;
  // Whether each key is owned by a single server.
  bool keyed = false;
  // Target of a GET request that a server answers without running a caller's
  // request.
  std::string health_path = "/";
  // Requests per second that a cold server takes from all daemons together;
  // 0: no limit.
  double warmup_rate = 0;
  // How long a server usually is cold after its start.
  std::chrono::milliseconds warmup_time{0};
};

struct RoutingConfig {
  std::uint64_t version = 0;
  CallerLimits limits;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  // Descriptions of values that are unusable and were replaced by defaults.
  std::vector<std::string> ignored_values;
};

}  // namespace gentianreach::routing

#endif  // SRC_ROUTING_ROUTING_CONFIG_H_
