// The data path of a daemon: takes requests from callers, sends each to the
// rightful owner of its key (or to a server of a plain service) and returns
// the whole answer or a true verdict.
//
//   net::EventLoop loop;
//   ProxyServer proxy(loop, router, picker, hooks, options);
//   proxy.SetRoutes(std::make_shared<RouteTable>(tree));
//   proxy.Listen("127.0.0.1:0");
//
// Everything happens on the loop's thread. For several threads, give each its
// own EventLoop, router, picker and ProxyServer, listening on the same address
// with `reuse_port`.
#ifndef SRC_PROXY_PROXY_SERVER_H_
#define SRC_PROXY_PROXY_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/leaf/result.hpp>

#include "gentianreach/router.h"
#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "proxy/plain_servers.h"
#include "proxy/request_record.h"
#include "proxy/route_table.h"
#include "settings_generated.h"

namespace gentianreach::proxy {

// What holds for one ProxyServer.
struct ProxyOptions {
  // Starts every request id. Unique per life of a daemon and per loop.
  std::string id_prefix;
  settings::LimitsT limits;
  // Lets several loops of this process listen on the same address.
  bool reuse_port = false;
  // Daemons that share the servers' connections; each opens its part.
  std::uint32_t entry_count = 1;
};

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
  // Fails with net::SocketError where the address cannot be used.
  boost::leaf::result<void> Listen(const std::string& address);
  // Returns the port that Listen() bound.
  [[nodiscard]] std::uint16_t port() const;

  // Replaces the routes. Requests in flight keep the old ones.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  // Replaces the limits. They hold for what starts from now on.
  void SetLimits(const settings::LimitsT& limits);
  // Replaces the number of daemons that share the servers' connections.
  void SetEntryCount(std::uint32_t entry_count);
  // Wakes the requests that wait for an owner. Call it after every change of
  // the router's table.
  void OwnersChanged();
  // Closes the idle connections to a server that has gone.
  void ForgetServer(const ServerId& server);

  // Stops gracefully: no new connections; requests in flight are finished,
  // each answer closing its connection. Calls `done` once nothing is left, or
  // at `deadline`, when what is left is broken off.
  void Stop(TimePoint deadline, std::function<void()> done);

  // Returns the number of requests in flight.
  [[nodiscard]] std::size_t in_flight() const;
  // Returns the number of callers' connections.
  [[nodiscard]] std::size_t caller_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_PROXY_SERVER_H_
