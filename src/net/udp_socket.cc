#include "net/udp_socket.h"

#include <linux/sock_diag.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "net/socket_address.h"
#include "net/tcp_socket.h"

namespace gentianreach::net {
namespace {

// Bytes, of which the kernel gives as many as its settings allow. The default
// holds about a hundred datagrams, fewer than a large fleet sends while its
// leader stands still.
constexpr int kReceiveBufferSize = 4 << 20;

}  // namespace

UdpSocket::~UdpSocket() {
  if (socket_) {
    loop_.Unwatch(watch_, g_socket_get_fd(socket_.get()));
    g_socket_close(socket_.get(), nullptr);
  }
}

boost::leaf::result<void> UdpSocket::Open(const std::string& address,
                                          Receiver receiver) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return boost::leaf::new_error(SocketError{address + ": not an IP:port"});
  }
  GError* raw_error = nullptr;
  auto socket = GObjectPtr<GSocket>::Adopt(
      g_socket_new(g_socket_address_get_family(parsed.get()),
                   G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &raw_error));
  if (!socket ||
      // Address reuse is off, since two sockets would share the datagrams.
      g_socket_bind(socket.get(), parsed.get(), FALSE, &raw_error) == 0) {
    const GErrorPtr error(raw_error);
    return boost::leaf::new_error(SocketError{address + ": " + error->message});
  }
  g_socket_set_blocking(socket.get(), FALSE);
  g_socket_set_option(socket.get(), SOL_SOCKET, SO_RCVBUF, kReceiveBufferSize,
                      nullptr);
  socket_ = std::move(socket);
  receiver_ = std::move(receiver);
  watch_ = loop_.Watch(g_socket_get_fd(socket_.get()),
                       [this](ReadyEvents) { Receive(); });
  return {};
}

std::string UdpSocket::address() const {
  const auto address = GObjectPtr<GSocketAddress>::Adopt(
      g_socket_get_local_address(socket_.get(), nullptr));
  if (!address) {
    return {};
  }
  return IpText(address.get()) + ":" +
         std::to_string(g_inet_socket_address_get_port(
             G_INET_SOCKET_ADDRESS(address.get())));
}

std::uint64_t UdpSocket::CountDropped() const {
  std::array<std::uint32_t, SK_MEMINFO_VARS> info{};
  socklen_t size = sizeof(info);
  if (!socket_ || getsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET,
                             SO_MEMINFO, info.data(), &size) != 0) {
    return 0;
  }
  return info[SK_MEMINFO_DROPS];
}

void UdpSocket::Send(const std::string& address,
                     std::span<const std::uint8_t> data) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed || !socket_ ||
      g_socket_send_to(socket_.get(), parsed.get(),
                       reinterpret_cast<const gchar*>(data.data()), data.size(),
                       nullptr, nullptr) < 0) {
    ++unsent_;
  }
}

void UdpSocket::Receive() {
  while (true) {
    const auto space = loop_.scratch();
    const gssize n = g_socket_receive(socket_.get(), space.data(), space.size(),
                                      nullptr, nullptr);
    if (n <= 0) {
      return;
    }
    receiver_({reinterpret_cast<const std::uint8_t*>(space.data()),
               static_cast<std::size_t>(n)});
  }
}

}  // namespace gentianreach::net
