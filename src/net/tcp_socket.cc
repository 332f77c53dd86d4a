#include "net/tcp_socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <cerrno>
#include <chrono>
#include <utility>

#include "net/socket_address.h"

namespace gentianreach::net {
namespace {

namespace leaf = boost::leaf;

constexpr gint kListenBacklog = 1024;

// Owns a GError that a GIO call may set.
class ErrorSlot {
 public:
  ErrorSlot() = default;
  ~ErrorSlot() { g_clear_error(&error_); }
  ErrorSlot(const ErrorSlot&) = delete;
  ErrorSlot& operator=(const ErrorSlot&) = delete;

  GError** out() { return &error_; }
  [[nodiscard]] bool Matches(GIOErrorEnum code) const {
    return g_error_matches(error_, G_IO_ERROR, code) != 0;
  }
  [[nodiscard]] std::string message() const {
    return error_ != nullptr ? error_->message : "unknown error";
  }

 private:
  GError* error_ = nullptr;
};

IoResult ToResult(gssize n, const ErrorSlot& error) {
  if (n > 0) {
    return {IoStatus::kOk, static_cast<std::size_t>(n)};
  }
  if (n == 0) {
    return {IoStatus::kClosed, 0};
  }
  if (error.Matches(G_IO_ERROR_WOULD_BLOCK)) {
    return {IoStatus::kWouldBlock, 0};
  }
  return {IoStatus::kFailed, 0};
}

void DisableNagle(GSocket* socket) {
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

}  // namespace

// A socket and the parsed form of the address that it is for.
struct TcpSocket::Opened {
  TcpSocket socket;
  GObjectPtr<GSocketAddress> address;
};

leaf::result<TcpSocket::Opened> TcpSocket::Open(const std::string& address) {
  auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return leaf::new_error(SocketError{address + ": not an IP:port"});
  }
  ErrorSlot error;
  TcpSocket socket(g_socket_new(g_socket_address_get_family(parsed.get()),
                                G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                error.out()));
  if (!socket.is_open()) {
    return leaf::new_error(SocketError{address + ": " + error.message()});
  }
  g_socket_set_blocking(socket.socket_.get(), FALSE);
  return Opened{std::move(socket), std::move(parsed)};
}

leaf::result<TcpSocket> TcpSocket::Listen(const std::string& address,
                                          bool reuse_port) {
  BOOST_LEAF_AUTO(opened, Open(address));
  GSocket* socket = opened.socket.socket_.get();
  if (reuse_port) {
    g_socket_set_option(socket, SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
  }
  g_socket_set_listen_backlog(socket, kListenBacklog);
  ErrorSlot error;
  if (g_socket_bind(socket, opened.address.get(), TRUE, error.out()) == 0 ||
      g_socket_listen(socket, error.out()) == 0) {
    return leaf::new_error(SocketError{address + ": " + error.message()});
  }
  return std::move(opened.socket);
}

leaf::result<TcpSocket> TcpSocket::Connect(const std::string& address,
                                           const std::string& source_ip) {
  BOOST_LEAF_AUTO(opened, Open(address));
  GSocket* socket = opened.socket.socket_.get();
  ErrorSlot error;
  if (!source_ip.empty()) {
    const auto source = ParseIpAddress(source_ip);
    if (!source) {
      return leaf::new_error(SocketError{source_ip + ": not an IP address"});
    }
    if (g_socket_bind(socket, source.get(), FALSE, error.out()) == 0) {
      return leaf::new_error(SocketError{source_ip + ": " + error.message()});
    }
  }
  DisableNagle(socket);
  if (g_socket_connect(socket, opened.address.get(), nullptr, error.out()) ==
          0 &&
      !error.Matches(G_IO_ERROR_PENDING)) {
    return leaf::new_error(SocketError{address + ": " + error.message()});
  }
  return std::move(opened.socket);
}

std::optional<TcpSocket> TcpSocket::Accept() {
  GSocket* socket = g_socket_accept(socket_.get(), nullptr, nullptr);
  if (socket == nullptr) {
    return std::nullopt;
  }
  g_socket_set_blocking(socket, FALSE);
  DisableNagle(socket);
  return TcpSocket(socket);
}

ConnectStatus TcpSocket::FinishConnect() {
  ErrorSlot error;
  if (g_socket_check_connect_result(socket_.get(), error.out()) != 0) {
    return ConnectStatus::kConnected;
  }
  return error.Matches(G_IO_ERROR_CONNECTION_REFUSED) ? ConnectStatus::kRefused
                                                      : ConnectStatus::kFailed;
}

IoResult TcpSocket::Receive(std::span<char> out) {
  ErrorSlot error;
  const gssize n = g_socket_receive(socket_.get(), out.data(), out.size(),
                                    nullptr, error.out());
  return ToResult(n, error);
}

IoResult TcpSocket::Send(std::string_view data) {
  ErrorSlot error;
  const gssize n = g_socket_send(socket_.get(), data.data(), data.size(),
                                 nullptr, error.out());
  return ToResult(n, error);
}

bool TcpSocket::HasNothingToRead() {
  constexpr auto kCondition =
      static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
  return g_socket_condition_check(socket_.get(), kCondition) == 0;
}

bool TcpSocket::PeerHasClosed() {
  if (!socket_) {
    return true;
  }
  char next = 0;
  const ssize_t n = recv(g_socket_get_fd(socket_.get()), &next, sizeof(next),
                         MSG_PEEK | MSG_DONTWAIT);
  return n == 0 ||
         (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::size_t TcpSocket::UnacknowledgedBytes() const {
  return socket_ ? net::UnacknowledgedBytes(fd()) : 0;
}

PathState TcpSocket::QueryPath() {
  constexpr gint kProbeSeconds = 1;
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds,
                      nullptr);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds,
                      nullptr);
  g_socket_set_keepalive(socket_.get(), TRUE);
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return PathState::kUnknown;
  }
  return info.tcpi_unacked == 0 && info.tcpi_probes == 0
             ? PathState::kAcknowledged
             : PathState::kUnacknowledged;
}

void TcpSocket::ResetWhenProcessEnds() {
  ResetOnClose(fd());
  resets_when_process_ends_ = true;
}

void TcpSocket::LimitUnacknowledged(std::chrono::milliseconds limit) {
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<gint>(limit.count()), nullptr);
}

void TcpSocket::ShutdownSend() {
  g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

std::size_t UnacknowledgedBytes(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

void ResetOnClose(int fd) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void TcpSocket::Close() {
  if (!socket_) {
    return;
  }
  if (resets_when_process_ends_ && UnacknowledgedBytes() == 0) {
    const linger orderly{};
    setsockopt(fd(), SOL_SOCKET, SO_LINGER, &orderly, sizeof(orderly));
  }
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  resets_when_process_ends_ = false;
}

void TcpSocket::Abort() {
  if (!socket_) {
    return;
  }
  ResetOnClose(fd());
  resets_when_process_ends_ = false;
  Close();
}

std::string TcpSocket::PeerAddress() const {
  const auto address = GObjectPtr<GSocketAddress>::Adopt(
      g_socket_get_remote_address(socket_.get(), nullptr));
  return IpText(address.get());
}

std::uint16_t TcpSocket::port() const {
  const auto address = GObjectPtr<GSocketAddress>::Adopt(
      g_socket_get_local_address(socket_.get(), nullptr));
  if (!address || !G_IS_INET_SOCKET_ADDRESS(address.get())) {
    return 0;
  }
  return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address.get()));
}

}  // namespace gentianreach::net
