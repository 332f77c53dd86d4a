// State shared by the sessions of one ProxyServer. Used on one loop only.
#ifndef SRC_PROXY_PROXY_STATE_H_
#define SRC_PROXY_PROXY_STATE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "proxy/proxy_options.h"
#include "proxy/request_policies.h"
#include "proxy/request_record.h"
#include "proxy/route_table.h"
#include "proxy/server_pool.h"

namespace gentianreach::proxy {

// Callbacks of requests that wait for a change of owner.
class HeldRequestQueue {
 public:
  // Adds a waiter and returns its id.
  std::uint64_t Add(std::function<void()> wake) {
    waiters_.emplace(++last_, std::move(wake));
    return last_;
  }
  // Removes a waiter; no effect if it is not present.
  void Remove(std::uint64_t id) { waiters_.erase(id); }
  [[nodiscard]] std::size_t size() const { return waiters_.size(); }
  // Removes and calls all current waiters.
  void WakeAll() {
    const auto waiters = std::exchange(waiters_, {});
    for (const auto& [id, wake] : waiters) {
      wake();
    }
  }

 private:
  std::map<std::uint64_t, std::function<void()>> waiters_;
  std::uint64_t last_ = 0;
};

template <typename RouterT, typename PickerT>
struct ProxyState {
  ProxyState(net::EventLoop& loop,
             RouterT& router,
             PickerT& picker,
             ProxyHooks hooks,
             ProxyOptions options)
      : loop(loop),
        router(router),
        picker(picker),
        hooks(std::move(hooks)),
        options(std::move(options)),
        pools(loop),
        policies(loop) {
    SetLimits(this->options.limits);
  }

  // Replaces the limits; see ProxyServer::SetLimits().
  void SetLimits(const settings::LimitsT& limits) {
    options.limits = limits;
    pools.SetProgressTimeout(
        std::chrono::milliseconds(limits.progress_timeout));
  }

  // Returns whether requests of a route may be served with the current
  // settings, depending on whether the route is idempotent.
  [[nodiscard]] bool MayServe(bool idempotent) const {
    return idempotent ? serving.idempotent : serving.other;
  }

  // Returns a unique request id.
  std::string NextRequestId() {
    return options.id_prefix + "-" + std::to_string(++last_request);
  }
  // Returns this daemon's share of the connections of one server.
  [[nodiscard]] std::size_t ConnectionShare(const ServiceInfo& service) const {
    const std::uint32_t daemons = std::max(1U, options.entry_count);
    return std::max(1U, service.connections / daemons);
  }

  // Returns the admission gate of `server`.
  std::shared_ptr<ServerGate> Gate(const ServerId& server,
                                   const ServiceInfo& service) {
    return policies.Gate(server, service, options.entry_count);
  }

  net::EventLoop& loop;
  RouterT& router;
  PickerT& picker;
  ProxyHooks hooks;
  ProxyOptions options;
  ServingRule serving;
  std::shared_ptr<const RouteTable> routes;
  ServerPools pools;
  RequestPolicies policies;
  HeldRequestQueue held;
  std::uint64_t last_request = 0;
  std::size_t in_flight = 0;
  bool stopping = false;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_PROXY_STATE_H_
