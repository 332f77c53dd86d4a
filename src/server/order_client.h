// Sends orders to backend servers over kept connections of its own.
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

// What became of an order.
struct OrderResult {
  // Nothing where the server did not answer in time, or not sensibly.
  std::optional<ServerResponse> response;
  // Nobody listens at the server's address: its process is gone.
  bool refused = false;
};

// An order is a datagram: where all connections to a server are in use, which
// happens when it does not answer, the order is dropped, and the agent that
// wanted it asks again. So a server that is frozen costs a bounded number of
// connections and nothing else. Belongs to the loop's thread.
class OrderClient {
 public:
  using Done = std::function<void(const OrderResult&)>;

  // `loop` must outlive the client.
  explicit OrderClient(net::EventLoop& loop) : loop_(loop), pools_(loop) {}
  OrderClient(const OrderClient&) = delete;
  OrderClient& operator=(const OrderClient&) = delete;

  // Sends `order`; `done` is called at most once, no later than `deadline`. A
  // dropped order ends without a call.
  void Send(const ServerOrder& order, TimePoint deadline, Done done);

  // Returns the number of orders dropped.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  net::EventLoop& loop_;
  proxy::ServerPools pools_;
  std::uint64_t dropped_ = 0;
};

}  // namespace gentianreach

#endif  // SRC_SERVER_ORDER_CLIENT_H_
