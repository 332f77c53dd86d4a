// Maps requests to services and extracts their keys.
//
// A RouteTable is built from the settings and immutable. To change the routes,
// build a new one and pass it to ProxyServer::SetRoutes(). Requests in flight
// keep the table that they started with.
#ifndef SRC_PROXY_ROUTE_TABLE_H_
#define SRC_PROXY_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"
#include "settings_generated.h"

namespace gentianreach::proxy {

// The settings of a service that the data path uses.
struct ServiceInfo {
  ServiceName name;
  bool keyed = false;
  std::uint32_t slots = 0;        // Of one backend server.
  std::uint32_t connections = 0;  // Of one backend server, over all daemons.
  double retry_budget = 0;        // Retries as a share of requests.
};

// One route: the requests that it matches and the settings that apply to them.
struct RouteRule {
  std::string name;
  ServiceInfo service;
  std::string host;                  // In lower case, without port; empty: any.
  std::string path_prefix;           // Matches whole path segments; empty: any.
  std::vector<std::string> methods;  // Empty: any.
  settings::KeySource key_source = settings::KeySource::None;
  std::string key_name;
  std::uint32_t key_segment = 0;
  bool idempotent = false;
  settings::Priority priority = settings::Priority::Normal;
  Duration default_timeout{};  // Used if the caller sets no timeout.
  Duration max_timeout{};      // Upper bound of the caller's timeout.
  std::uint64_t max_body = 0;  // Bytes.
};

class RouteTable {
 public:
  using Routes = std::vector<std::unique_ptr<settings::NamedRouteT>>;
  using Services = std::vector<std::unique_ptr<settings::NamedServiceT>>;

  // Builds the table. A route whose service is not in `services` is omitted,
  // so that its requests get the verdict "no route".
  RouteTable(const Routes& routes, const Services& services);
  explicit RouteTable(const settings::TreeT& tree)
      : RouteTable(tree.routes, tree.services) {}
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the rule that matches a request, or null. A rule for the request's
  // host takes precedence over one for any host, then a longer path prefix over
  // a shorter one, then a rule with methods over one without. `host` may have a
  // port, `target` a query.
  [[nodiscard]] const RouteRule* Match(std::string_view method,
                                       std::string_view host,
                                       std::string_view target) const;

 private:
  [[nodiscard]] const RouteRule* MatchAmong(const std::vector<RouteRule>& rules,
                                            std::string_view method,
                                            std::string_view path) const;

  std::unordered_map<std::string, std::vector<RouteRule>> rules_by_host_;
};

// Returns the percent-decoded key that `rule` selects from the path or query of
// `target`, or nothing if there is none. If a query field occurs several times,
// the first is used. Rules that take the key from a header are not handled
// here.
[[nodiscard]] std::optional<std::string> KeyFromTarget(const RouteRule& rule,
                                                       std::string_view target);

// Returns `text` with %XX escapes decoded, or nothing if one is malformed.
[[nodiscard]] std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_ROUTE_TABLE_H_
