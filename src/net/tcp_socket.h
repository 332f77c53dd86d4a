// Non-blocking TCP sockets over GIO.
#ifndef SRC_NET_TCP_SOCKET_H_
#define SRC_NET_TCP_SOCKET_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

namespace gentianreach::net {

// Why a socket could not be opened, in words for people.
struct SocketError {
  std::string message;
};

enum class IoStatus : std::uint8_t {
  kOk,
  kWouldBlock,
  kClosed,  // The peer closed its side in order.
  kFailed,  // The connection is broken.
};

// The outcome of one transfer; `bytes` counts where the status is kOk.
struct IoResult {
  IoStatus status = IoStatus::kOk;
  std::size_t bytes = 0;
};

// How an attempt to connect ended.
enum class ConnectStatus : std::uint8_t {
  kConnected,
  kRefused,  // The machine answered that nobody listens there.
  kFailed,
};

// What the kernel knows of the way to the other machine.
enum class PathState : std::uint8_t {
  kUnknown,
  kAcknowledged,    // All that was sent has been acknowledged.
  kUnacknowledged,  // Data or keep-alive probes remain without a response.
};

// Owns one socket. Movable; closes on destruction.
class TcpSocket {
 public:
  TcpSocket() = default;

  // Returns a socket that listens at `address` ("IP:port").
  static boost::leaf::result<TcpSocket> Listen(const std::string& address,
                                               bool reuse_port);
  // Begins to connect to `address` ("IP:port"). The socket turns writable once
  // FinishConnect() can tell how it went.
  static boost::leaf::result<TcpSocket> Connect(const std::string& address);

  // Returns a caller's connection, or nothing where none waits.
  [[nodiscard]] std::optional<TcpSocket> Accept();
  // Returns how the attempt to connect ended.
  [[nodiscard]] ConnectStatus FinishConnect();

  // Receives up to `out.size()` bytes.
  IoResult Receive(std::span<char> out);
  // Sends a part of `data`, up to all of it.
  IoResult Send(std::string_view data);
  // Returns whether neither bytes nor an end of the stream wait to be read.
  [[nodiscard]] bool HasNothingToRead();

  // Returns whether the other machine acknowledges. Asks it to answer
  // keep-alive probes from now on, since it has nothing else to acknowledge
  // while it computes a response.
  [[nodiscard]] PathState QueryPath();

  // Ends the sending side: the peer reads the end of the stream.
  void ShutdownSend();
  // Closes in order.
  void Close();
  // Closes so that the peer sees an error (TCP reset) instead of an end.
  void Abort();

  [[nodiscard]] bool is_open() const { return socket_ != nullptr; }
  // Returns the descriptor, for EventLoop::Watch().
  [[nodiscard]] int fd() const { return g_socket_get_fd(socket_.get()); }
  // Returns the IP address of the other side; empty where it is not known.
  [[nodiscard]] std::string PeerAddress() const;
  // Returns the local port.
  [[nodiscard]] std::uint16_t port() const;

 private:
  struct Unref {
    void operator()(GSocket* it) const { g_object_unref(it); }
  };
  explicit TcpSocket(GSocket* socket) : socket_(socket) {}

  std::unique_ptr<GSocket, Unref> socket_;
};

}  // namespace gentianreach::net

#endif  // SRC_NET_TCP_SOCKET_H_
