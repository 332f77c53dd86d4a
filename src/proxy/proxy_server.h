// The data path of a daemon: accepts requests from callers, sends each to the
// owner of its key (or to a server of a plain service) and returns the complete
// response or a correct verdict.
//
//   net::EventLoop loop;
//   ProxyServer proxy(loop, router, picker, hooks, options);
//   proxy.SetRoutes(std::make_shared<RouteTable>(tree));
//   proxy.Listen("127.0.0.1:0");
//
// The proxy works on the loop's thread only. For several threads, give each its
// own EventLoop, router, picker and ProxyServer, listening on the same address
// with `reuse_port`.
#ifndef SRC_PROXY_PROXY_SERVER_H_
#define SRC_PROXY_PROXY_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/leaf/result.hpp>

#include "base/log.h"
#include "gentianreach/router.h"
#include "gentianreach/time.h"
#include "net/descriptor_limit.h"
#include "net/event_loop.h"
#include "net/listener.h"
#include "net/tcp_socket.h"
#include "proxy/caller_connection.h"
#include "proxy/caller_session.h"
#include "proxy/plain_servers.h"
#include "proxy/proxy_options.h"
#include "proxy/proxy_state.h"
#include "proxy/request_record.h"
#include "proxy/route_table.h"
#include "settings_generated.h"

namespace gentianreach::proxy {

template <KeyRouter Router, PlainPicker Picker>
class ProxyServer {
 public:
  // `loop`, `router` and `picker` must outlive the proxy.
  ProxyServer(net::EventLoop& loop,
              Router& router,
              Picker& picker,
              ProxyHooks hooks,
              ProxyOptions options);
  ~ProxyServer();
  ProxyServer(const ProxyServer&) = delete;
  ProxyServer& operator=(const ProxyServer&) = delete;

  // Starts accepting callers at `address` ("IP:port"; port 0: any free one).
  // Fails with net::SocketError if the address cannot be used.
  boost::leaf::result<void> Listen(const std::string& address);
  // Returns the port that Listen() bound.
  [[nodiscard]] std::uint16_t port() const;

  // Replaces the routes. Requests in flight keep the previous ones.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  // Replaces the limits. Existing connections and pools keep the previous ones.
  void SetLimits(const settings::LimitsT& limits);
  // Sets which requests may be routed.
  void SetServing(const ServingRule& serving) { state_->serving = serving; }
  // Sets the number of daemons that share the servers' connections.
  void SetEntryCount(std::uint32_t entry_count);
  // Wakes the requests that wait for an owner. Must be called after every
  // change of the router's table.
  void OwnersChanged();
  // Sets the daemon's quarantine, which must outlive the proxy. The daemon must
  // report live servers to it (OnServerAlive) and exchange its updates with the
  // other daemons; the proxy reports the attempts.
  void SetQuarantine(Quarantine* quarantine) {
    state_->policies.SetQuarantine(quarantine);
  }
  // Drops the state of a removed server and closes its idle connections.
  void ForgetServer(const ServerId& server);

  // Stops gracefully: accepts no new connections, finishes the requests in
  // flight and closes each connection after its response. Calls `done` when all
  // connections are closed; those still open at `deadline` are reset.
  void Stop(TimePoint deadline, std::function<void()> done);

  // Returns the number of requests in flight.
  [[nodiscard]] std::size_t in_flight() const { return state_->in_flight; }
  // Returns the number of callers' connections.
  [[nodiscard]] std::size_t caller_connections() const {
    return callers_->size();
  }

 private:
  using State = ProxyState<Router, Picker>;
  using Callers =
      std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>;

  // While stopping, idle connections are closed after this pause, so that a
  // request already in transit still gets its response.
  static constexpr Duration kStopGrace = std::chrono::milliseconds(200);

  void OnConnection(net::TcpSocket socket);
  void CheckStopped();
  void AbortCallers();

  std::shared_ptr<State> state_;
  // Shared because callbacks of connections may outlive the proxy.
  std::shared_ptr<Callers> callers_ = std::make_shared<Callers>();
  net::Listener listener_;
  const net::DescriptorLimit descriptors_;
  std::optional<net::EventLoop::TimerId> stop_timer_;
  TimePoint stop_deadline_;
  std::function<void()> stop_done_;
};

template <KeyRouter Router, PlainPicker Picker>
ProxyServer<Router, Picker>::ProxyServer(net::EventLoop& loop,
                                         Router& router,
                                         Picker& picker,
                                         ProxyHooks hooks,
                                         ProxyOptions options)
    : state_(std::make_shared<State>(loop,
                                     router,
                                     picker,
                                     std::move(hooks),
                                     std::move(options))),
      listener_(loop, [this](net::TcpSocket socket) {
        OnConnection(std::move(socket));
      }) {}

template <KeyRouter Router, PlainPicker Picker>
ProxyServer<Router, Picker>::~ProxyServer() {
  if (stop_timer_) {
    state_->loop.CancelTimer(*stop_timer_);
  }
  listener_.Close();
  state_->hooks = {};
  AbortCallers();
  state_->held.WakeAll();
  state_->pools.CloseIdle();
}

template <KeyRouter Router, PlainPicker Picker>
boost::leaf::result<void> ProxyServer<Router, Picker>::Listen(
    const std::string& address) {
  return listener_.Listen(address, state_->options.reuse_port);
}

template <KeyRouter Router, PlainPicker Picker>
std::uint16_t ProxyServer<Router, Picker>::port() const {
  return listener_.is_open() ? listener_.port() : 0;
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::SetRoutes(
    std::shared_ptr<const RouteTable> routes) {
  state_->routes = std::move(routes);
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::SetLimits(const settings::LimitsT& limits) {
  state_->SetLimits(limits);
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::SetEntryCount(std::uint32_t entry_count) {
  state_->options.entry_count = entry_count;
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::OwnersChanged() {
  state_->held.WakeAll();
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::ForgetServer(const ServerId& server) {
  state_->pools.Forget(server);
  state_->policies.Forget(server);
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::Stop(TimePoint deadline,
                                       std::function<void()> done) {
  state_->stopping = true;
  stop_deadline_ = deadline;
  stop_done_ = std::move(done);
  listener_.Close();
  CheckStopped();
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::OnConnection(net::TcpSocket socket) {
  if (callers_->size() >= state_->options.limits.max_caller_connections ||
      descriptors_.IsBeyondCallers(socket.fd())) {
    Log(LogLevel::kWarning, "caller_turned_away",
        {{"callers", callers_->size()},
         {"descriptor", socket.fd()},
         {"descriptor_limit", descriptors_.limit()}});
    return;
  }
  auto connection = std::make_shared<CallerConnection>(
      state_->loop, std::move(socket), state_->options.limits.max_header);
  callers_->emplace(connection.get(), connection);
  std::make_shared<CallerSession<State>>(state_, connection)
      ->Start(
          [callers = callers_](CallerConnection* it) { callers->erase(it); });
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::CheckStopped() {
  const TimePoint now = state_->loop.Now();
  if (now >= stop_deadline_) {
    AbortCallers();
  }
  if (callers_->empty()) {
    state_->pools.CloseIdle();
    const auto done = std::exchange(stop_done_, nullptr);
    if (done) {
      done();
    }
    return;
  }
  stop_timer_ =
      state_->loop.AddTimer(std::min(now + kStopGrace, stop_deadline_), [this] {
        stop_timer_.reset();
        const Callers callers = *callers_;
        for (const auto& [key, it] : callers) {
          it->CloseIfIdle();
        }
        CheckStopped();
      });
}

template <KeyRouter Router, PlainPicker Picker>
void ProxyServer<Router, Picker>::AbortCallers() {
  const Callers callers = *callers_;
  for (const auto& [key, it] : callers) {
    it->Abort();
  }
}

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_PROXY_SERVER_H_
