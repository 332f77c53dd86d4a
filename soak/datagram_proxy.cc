#include "soak/datagram_proxy.h"

#include <sys/socket.h>

#include "net/socket_address.h"
#include "net/tcp_socket.h"

namespace gentianreach::soak {
namespace {

// Bytes, for bursts of datagrams while the soak is busy.
constexpr int kReceiveBufferSize = 4 << 20;

}  // namespace

DatagramProxy::~DatagramProxy() {
  for (auto& [ip, it] : endpoints_) {
    loop_.Unwatch(it.watch, g_socket_get_fd(it.socket.get()));
    g_socket_close(it.socket.get(), nullptr);
  }
}

boost::leaf::result<void> DatagramProxy::Add(const std::string& address,
                                             const std::string& target) {
  const auto bound = net::ParseSocketAddress(address);
  Endpoint endpoint{.target = net::ParseSocketAddress(target)};
  if (!bound || !endpoint.target) {
    return boost::leaf::new_error(
        net::SocketError{address + " or " + target + ": not an IP:port"});
  }
  GError* raw_error = nullptr;
  endpoint.socket = GObjectPtr<GSocket>::Adopt(
      g_socket_new(g_socket_address_get_family(bound.get()),
                   G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &raw_error));
  if (!endpoint.socket || g_socket_bind(endpoint.socket.get(), bound.get(),
                                        FALSE, &raw_error) == 0) {
    const GErrorPtr error(raw_error);
    return boost::leaf::new_error(
        net::SocketError{address + ": " + error->message});
  }
  g_socket_set_blocking(endpoint.socket.get(), FALSE);
  g_socket_set_option(endpoint.socket.get(), SOL_SOCKET, SO_RCVBUF,
                      kReceiveBufferSize, nullptr);
  const std::string ip = net::IpText(endpoint.target.get());
  endpoint.watch = loop_.Watch(g_socket_get_fd(endpoint.socket.get()),
                               [this, ip](net::ReadyEvents) { Forward(ip); });
  endpoints_[ip] = std::move(endpoint);
  return {};
}

void DatagramProxy::SetCut(const std::string& from,
                           const std::string& to,
                           bool cut) {
  if (cut) {
    cuts_.emplace(from, to);
  } else {
    cuts_.erase({from, to});
  }
}

void DatagramProxy::Forward(const std::string& to) {
  const Endpoint& receiver = endpoints_.at(to);
  while (true) {
    const auto buf = loop_.scratch();
    GSocketAddress* raw_source = nullptr;
    const gssize n =
        g_socket_receive_from(receiver.socket.get(), &raw_source, buf.data(),
                              buf.size(), nullptr, nullptr);
    const auto source = GObjectPtr<GSocketAddress>::Adopt(raw_source);
    if (n < 0) {
      return;
    }
    const std::string from = net::IpText(source.get());
    const auto sender = endpoints_.find(from);
    if (sender == endpoints_.end() || cuts_.contains({from, to})) {
      ++dropped_;
      continue;
    }
    g_socket_send_to(sender->second.socket.get(), receiver.target.get(),
                     buf.data(), static_cast<gsize>(n), nullptr, nullptr);
  }
}

}  // namespace gentianreach::soak
