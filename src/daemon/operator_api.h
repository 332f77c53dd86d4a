// The operator HTTP API of a daemon: JSON queries, actions and metrics.
#ifndef SRC_DAEMON_OPERATOR_API_H_
#define SRC_DAEMON_OPERATOR_API_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/histogram.hpp>

#include "cell_generated.h"
#include "daemon/operator_server.h"
#include "daemon/request_log.h"
#include "gentianreach/cell_agent.h"
#include "peer/peer_net.h"
#include "policy/quarantine.h"

namespace gentianreach {

// Counts and latencies of the requests that a daemon has finished.
class RequestMetrics {
 public:
  RequestMetrics();

  void Add(const proxy::RequestRecord& record);
  // Returns the metrics in the Prometheus text format.
  [[nodiscard]] std::string ToText() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> milliseconds_;
  // Request counts by service, outcome and reason.
  std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t>
      finished_;
  std::uint64_t attempts_ = 0;
};

// A snapshot of the daemon's state, valid for the duration of one request.
struct OperatorView {
  std::string daemon;
  std::string zone;
  std::string cell;
  // Whether the daemon can serve callers. Stays true once set, so that the loss
  // of one service's servers does not remove the daemon from the load balancer.
  bool ready = false;
  bool stopping = false;
  std::uint64_t settings_version = 0;
  std::string settings_sync_status;
  // The settings versions that the other members last reported as active.
  std::map<DaemonId, std::uint64_t> settings_members;
  std::string settings_text;
  std::vector<QuarantineEntry> quarantine;
  CellStatus status;
  Duration permit_left{};
  std::shared_ptr<const stored::CellT> record;
  PeerNetCounters peers;
  std::size_t in_flight = 0;
  std::size_t caller_connections = 0;
  const RequestLog* requests = nullptr;
  const RequestMetrics* metrics = nullptr;
  std::function<KeyRoute(const ServiceName&, KeyHash)> route;
};

// Registers handlers for the read-only paths: /healthz, /status, /metrics,
// /owners, /servers, /explain, /settings and /quarantine.
void RegisterOperatorQueries(OperatorServer& server,
                             const std::function<OperatorView()>& view);

// Handles POST /quarantine/lift with {"fingerprint": "N"}.
[[nodiscard]] OperatorResponse HandleLift(
    const OperatorRequest& request,
    const std::function<bool(Fingerprint)>& lift);

// Handles POST /drain with {"server": S, "drain": bool, "actor": A}. `drain`
// returns false if there is no such server.
[[nodiscard]] OperatorResponse HandleDrain(
    const OperatorRequest& request,
    const std::function<bool(const std::string&, bool, const std::string&)>&
        drain);

}  // namespace gentianreach

#endif  // SRC_DAEMON_OPERATOR_API_H_
