// Non-blocking TCP sockets based on GIO.
#ifndef SRC_NET_TCP_SOCKET_H_
#define SRC_NET_TCP_SOCKET_H_

#include <gio/gio.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

namespace gentianreach::net {

// Why a socket could not be opened, as a human-readable message.
struct SocketError {
  std::string message;
};

enum class IoStatus : std::uint8_t {
  kOk,
  kWouldBlock,
  kClosed,  // The peer closed its side in an orderly way.
  kFailed,  // The connection is broken.
};

// The outcome of one transfer; `bytes` is valid if the status is kOk.
struct IoResult {
  IoStatus status = IoStatus::kOk;
  std::size_t bytes = 0;
};

// How an attempt to connect ended.
enum class ConnectStatus : std::uint8_t {
  kConnected,
  kRefused,  // The peer's host refused the connection: no listener.
  kFailed,
};

// Whether the peer's host acknowledges data, as known to the kernel.
enum class PathState : std::uint8_t {
  kUnknown,
  kAcknowledged,    // All sent data and probes have been acknowledged.
  kUnacknowledged,  // Data or keep-alive probes are unacknowledged.
};

// Owns one socket. Movable; closes on destruction.
class TcpSocket {
 public:
  TcpSocket() = default;

  // Returns a socket that listens at `address` ("IP:port").
  static boost::leaf::result<TcpSocket> Listen(const std::string& address,
                                               bool reuse_port);
  // Starts connecting to `address` ("IP:port"). The socket becomes writable
  // when FinishConnect() can return the outcome. `source_ip` is the local IP
  // address to connect from; if it is empty, the system chooses one.
  static boost::leaf::result<TcpSocket> Connect(
      const std::string& address,
      const std::string& source_ip = {});

  // Returns the next pending connection, or nothing if there is none.
  [[nodiscard]] std::optional<TcpSocket> Accept();
  // Returns the outcome of the connection attempt.
  [[nodiscard]] ConnectStatus FinishConnect();

  // Receives up to `out.size()` bytes.
  IoResult Receive(std::span<char> out);
  // Sends as much of `data` as the socket accepts.
  IoResult Send(std::string_view data);
  // Returns whether the connection has ended and all received data is read.
  [[nodiscard]] bool PeerHasClosed();
  // Returns whether neither data nor an end of the stream is ready to be read.
  [[nodiscard]] bool HasNothingToRead();

  // Returns the number of sent bytes that the peer's host has not acknowledged;
  // 0 if the kernel does not tell.
  [[nodiscard]] std::size_t UnacknowledgedBytes() const;

  // Returns whether the peer's host acknowledges data. Enables keep-alive
  // probes from now on, since the host has nothing else to acknowledge while
  // the server computes a response.
  [[nodiscard]] PathState QueryPath();

  // Makes the kernel drop unacknowledged data and reset the connection when the
  // process ends, however it ends, rather than send on what it has accepted.
  // The same holds for destruction without Close().
  void ResetWhenProcessEnds();
  // Makes the kernel give up the connection when sent data, or data that the
  // peer's host does not accept, stays unacknowledged for `limit`.
  void LimitUnacknowledged(std::chrono::milliseconds limit);

  // Shuts down the sending side; the peer reads the end of the stream.
  void ShutdownSend();
  // Closes the socket in an orderly way. After ResetWhenProcessEnds(), closes
  // it with a reset if data is unacknowledged.
  void Close();
  // Closes the socket with a TCP reset, so that the peer sees an error rather
  // than the end of the stream.
  void Abort();

  [[nodiscard]] bool is_open() const { return socket_ != nullptr; }
  // Returns the descriptor, for EventLoop::Watch().
  [[nodiscard]] int fd() const { return g_socket_get_fd(socket_.get()); }
  // Returns the IP address of the peer, or an empty string if unknown.
  [[nodiscard]] std::string PeerAddress() const;
  // Returns the local port.
  [[nodiscard]] std::uint16_t port() const;

 private:
  struct Unref {
    void operator()(GSocket* it) const { g_object_unref(it); }
  };
  struct Opened;

  explicit TcpSocket(GSocket* socket) : socket_(socket) {}
  // Returns a new socket for `address` that is neither bound nor connected.
  static boost::leaf::result<Opened> Open(const std::string& address);

  std::unique_ptr<GSocket, Unref> socket_;
  bool resets_when_process_ends_ = false;
};

// Returns the number of sent bytes that the peer's host has not acknowledged; 0
// if the kernel does not tell.
[[nodiscard]] std::size_t UnacknowledgedBytes(int fd);

// Makes closing the socket reset its connection, so that the kernel drops data
// that has not reached the peer.
void ResetOnClose(int fd);

}  // namespace gentianreach::net

#endif  // SRC_NET_TCP_SOCKET_H_
