// Accepts the connections to one address.
#ifndef SRC_NET_LISTENER_H_
#define SRC_NET_LISTENER_H_

#include <cstdint>
#include <functional>
#include <string>

#include <boost/leaf/result.hpp>

#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "net/tcp_socket.h"

namespace gentianreach::net {

class Listener {
 public:
  using Sink = std::function<void(TcpSocket)>;

  // Passes each connection to `sink`.
  Listener(EventLoop& loop, Sink sink);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() { Close(); }

  // Starts accepting at `address` ("IP:port"; port 0: any). Fails with
  // SocketError.
  boost::leaf::result<void> Listen(const std::string& address, bool reuse_port);
  // Accepts all connections that wait. If that fails, as without a free
  // descriptor, it is tried again until none waits: the loop reports only new
  // connections.
  void Accept();
  // Stops accepting. Connections that wait are reset.
  void Close();

  [[nodiscard]] bool is_open() const { return socket_.is_open(); }
  // Returns the local port.
  [[nodiscard]] std::uint16_t port() const { return socket_.port(); }

 private:
  EventLoop& loop_;
  const Sink sink_;
  TcpSocket socket_;
  EventLoop::WatchId watch_ = 0;
  DeadlineTimer retry_timer_;
};

}  // namespace gentianreach::net

#endif  // SRC_NET_LISTENER_H_
