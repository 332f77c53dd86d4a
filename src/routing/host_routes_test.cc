#include "routing/host_routes.h"

#include <array>
#include <memory>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach::routing {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.split = {{"s", 1}};
  return route;
}

HostRoutes MakeRoutes() {
  auto config = std::make_shared<RoutingConfig>();
  config->routes = {MakeRoute("short", "a.example", "/x/"),
                    MakeRoute("long", "a.example", "/x/y/"),
                    MakeRoute("other", "b.example", "/x/")};
  return HostRoutes(config, 0);
}

std::string Find(HostRoutes& routes,
                 const std::string& host,
                 const std::string& target) {
  const RouteEntry* entry = routes.Find(host, target);
  return entry == nullptr ? "none" : entry->route.name;
}

TEST_CASE("the route of the host with the longest matching prefix is found") {
  HostRoutes routes = MakeRoutes();
  CHECK(Find(routes, "a.example", "/x/1") == "short");
  CHECK(Find(routes, "a.example", "/x/y/1") == "long");
  CHECK(Find(routes, "b.example", "/x/y/1") == "other");
  CHECK(Find(routes, "a.example", "/z/") == "none");
  CHECK(Find(routes, "c.example", "/x/1") == "none");
}

TEST_CASE("a prefix matches up to its slash, and the query is not matched") {
  HostRoutes routes = MakeRoutes();
  CHECK(Find(routes, "a.example", "/xy") == "none");
  CHECK(Find(routes, "a.example", "/x") == "none");
  CHECK(Find(routes, "a.example", "/q?/x/") == "none");
  CHECK(Find(routes, "a.example", "/x/?q=/x/y/") == "short");
}

TEST_CASE("hosts are compared without their port and case") {
  HostRoutes routes = MakeRoutes();
  CHECK(Find(routes, "A.Example:8080", "/x/1") == "short");
}

TEST_CASE("a split follows the weights for any seed") {
  for (const std::uint64_t seed : {0, 3, 17}) {
    TrafficSplit split({{"a", 70}, {"b", 20}, {"c", 10}}, seed);
    std::array<int, 3> counts{};
    for (int i = 0; i < 100; ++i) {
      ++counts[split.Next()];
    }
    CHECK(counts == std::array<int, 3>{70, 20, 10});
  }
}

TEST_CASE("a service with weight zero gets no requests") {
  TrafficSplit split({{"a", 0}, {"b", 5}}, 1);
  for (int i = 0; i < 20; ++i) {
    CHECK(split.Next() == 1);
  }
}

}  // namespace
}  // namespace gentianreach::routing
