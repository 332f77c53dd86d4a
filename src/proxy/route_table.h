// Which service a request belongs to and which key it carries.
//
// A RouteTable is built once from the settings and shared, never changed. To
// change the routes, build another and hand it to ProxyServer::SetRoutes();
// requests in flight keep the table that they started with.
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

// A service as the data path needs it.
struct ServiceInfo {
  ServiceName name;
  bool keyed = false;
  std::uint32_t slots = 0;        // Of one backend server.
  std::uint32_t connections = 0;  // Of one backend server, over all daemons.
  double retry_budget = 0;        // Retries as a share of requests.
};

// One rule: which requests it takes and what holds for them.
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
  Duration default_timeout{};  // Where the caller states none.
  Duration max_timeout{};      // Upper bound of what a caller may ask for.
  std::uint64_t max_body = 0;  // Bytes.
};

class RouteTable {
 public:
  using Routes = std::vector<std::unique_ptr<settings::NamedRouteT>>;
  using Services = std::vector<std::unique_ptr<settings::NamedServiceT>>;

  // Builds the table. A route whose service is not among `services` is kept
  // out, so that its requests are answered with "no route".
  RouteTable(const Routes& routes, const Services& services);
  explicit RouteTable(const settings::TreeT& tree)
      : RouteTable(tree.routes, tree.services) {}
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the rule for a request, or null. A rule that names the host goes
  // before one that takes any; then the longest path prefix wins; then a rule
  // that names the method. `host` may carry a port; `target` may carry a query.
  [[nodiscard]] const RouteRule* Match(std::string_view method,
                                       std::string_view host,
                                       std::string_view target) const;

 private:
  [[nodiscard]] const RouteRule* MatchAmong(const std::vector<RouteRule>& rules,
                                            std::string_view method,
                                            std::string_view path) const;

  std::unordered_map<std::string, std::vector<RouteRule>> rules_by_host_;
};

// Returns the key that `rule` takes from the path of `target` or its query,
// with percent-encoding undone; nothing where the request carries none. Of
// several query fields of the same name the first counts. For rules that take
// the key from a header, use the header's value.
[[nodiscard]] std::optional<std::string> KeyFromTarget(const RouteRule& rule,
                                                       std::string_view target);

// Returns `text` with %XX undone, or nothing where an escape is malformed.
[[nodiscard]] std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_ROUTE_TABLE_H_
