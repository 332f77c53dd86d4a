// A non-blocking UDP socket.
#ifndef SRC_NET_UDP_SOCKET_H_
#define SRC_NET_UDP_SOCKET_H_

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include <boost/leaf/result.hpp>

#include "base/glib_ptr.h"
#include "net/event_loop.h"

namespace gentianreach::net {

class UdpSocket {
 public:
  using Receiver = std::function<void(std::span<const std::uint8_t>)>;

  explicit UdpSocket(EventLoop& loop) : loop_(loop) {}
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Binds to `address` ("IP:port"; port 0: any free one) and passes each
  // datagram to `receiver`. Fails with SocketError.
  boost::leaf::result<void> Open(const std::string& address, Receiver receiver);
  // Returns the address that Open() bound, as "IP:port".
  [[nodiscard]] std::string address() const;
  // Sends one datagram. It may be lost, also on this host.
  void Send(const std::string& address, std::span<const std::uint8_t> data);
  // Returns the number of datagrams that could not be sent.
  [[nodiscard]] std::uint64_t unsent() const { return unsent_; }
  // Returns the number of datagrams that the kernel dropped on arrival, for
  // lack of receive buffer; 0 if it does not tell.
  [[nodiscard]] std::uint64_t CountDropped() const;

 private:
  void Receive();

  EventLoop& loop_;
  GObjectPtr<GSocket> socket_;
  EventLoop::WatchId watch_ = 0;
  Receiver receiver_;
  std::uint64_t unsent_ = 0;
};

}  // namespace gentianreach::net

#endif  // SRC_NET_UDP_SOCKET_H_
