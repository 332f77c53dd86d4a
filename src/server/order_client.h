// Sends orders to backend servers over its own persistent connections.
#ifndef SRC_SERVER_ORDER_CLIENT_H_
#define SRC_SERVER_ORDER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "gentianreach/cell_agent.h"
#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "proxy/server_pool.h"
#include "server/order_codec.h"

namespace gentianreach {

// The outcome of an order.
struct OrderResult {
  // std::nullopt if the server did not send a valid response in time.
  std::optional<ServerResponse> response;
  // The connection was refused: no process listens at the server's address.
  bool refused = false;
};

// Delivers orders on a best-effort basis: if all connections to a server are in
// use, which happens when it does not respond, the order is dropped and the
// agent that issued it tries again. A frozen server thus ties up only a bounded
// number of connections. Use it only on the thread of the event loop.
class OrderClient {
 public:
  using ResultCallback = std::function<void(const OrderResult&)>;

  // `loop` must outlive the client.
  explicit OrderClient(net::EventLoop& loop) : loop_(loop), pools_(loop) {}
  OrderClient(const OrderClient&) = delete;
  OrderClient& operator=(const OrderClient&) = delete;

  // Sends `order`. `done` is called at most once, no later than `deadline`, and
  // not at all if the order is dropped.
  void Send(const ServerOrder& order, TimePoint deadline, ResultCallback done);

  // Returns the number of dropped orders.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  net::EventLoop& loop_;
  proxy::ServerPools pools_;
  std::uint64_t dropped_ = 0;
};

}  // namespace gentianreach

#endif  // SRC_SERVER_ORDER_CLIENT_H_
