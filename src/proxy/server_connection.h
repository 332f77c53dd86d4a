// One connection to a backend server. Carries one request at a time.
//
// Start() hands over a request and a sink for what becomes of it; the sink is
// released after kEnd or kFailed. A connection whose request was given up
// (Abandon()) is closed and never carries another.
#ifndef SRC_PROXY_SERVER_CONNECTION_H_
#define SRC_PROXY_SERVER_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gentianreach/time.h"
#include "http/message_head.h"
#include "http/message_parser.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "net/output_buffer.h"
#include "net/tcp_socket.h"

namespace gentianreach::proxy {

enum class ServerEvent : std::uint8_t {
  kHead,     // The response's head is complete; see head().
  kBody,     // Body bytes have arrived; take them from body().
  kEnd,      // The response is complete.
  kDrained,  // All request bytes have gone out, after some had to wait.
  kFailed,   // The request failed on this connection; see failure().
};

// How a request failed on a connection.
enum class ServerFailure : std::uint8_t {
  kNone,
  kConnect,    // The connection was not established.
  kRefused,    // Nobody listens at the server's address.
  kLost,       // Closed or broken before a response began.
  kSilent,     // The connection went silent; see FailAsSilent().
  kTruncated,  // Closed or broken inside of the response, or malformed.
};

struct ServerConnectionOptions {
  // A connection opens in about a millisecond; past this the server or the way
  // to it is gone.
  Duration connect_timeout = std::chrono::seconds(1);
  // How long an unused connection is kept where the server does not say.
  Duration idle_timeout = std::chrono::seconds(60);
  // Whether a response without a length that ends with an orderly close of the
  // connection is whole. Otherwise it counts as truncated.
  bool accept_until_end = false;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Sink = std::function<void(ServerEvent)>;
  using ClosedCallback = std::function<void(ServerConnection*)>;

  // `on_closed` is called once, when the connection has been closed.
  ServerConnection(net::EventLoop& loop,
                   ClosedCallback on_closed,
                   ServerConnectionOptions options = {});
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Begins to connect to `address` ("IP:port"). A failure is reported to the
  // request that Start() hands over.
  void Connect(const std::string& address);

  // Sends a request of which `bytes` are the head and the body known so far.
  // `head_only` says that the response has no body (HEAD).
  void Start(std::string bytes, bool head_only, bool complete, Sink sink);
  // Sends more of the request's body; `complete` with the last part.
  void SendBody(std::string bytes, bool complete);
  // Gives the request up and closes the connection.
  void Abandon();
  // Closes a connection that was found to be dead; a request on it fails with
  // kSilent.
  void FailAsSilent() { Fail(ServerFailure::kSilent); }
  // Returns what the kernel knows of the way to the server.
  [[nodiscard]] net::PathState QueryPath();
  // Skips the response whose head has just arrived: it belongs to another
  // request, and that of the current one follows. Call it on kHead only.
  void SkipResponse() { skipping_ = true; }
  // Reads the rest of a response that nobody wants any more, so that the
  // connection can be used again; closes it where that takes too much.
  void Discard(std::function<void()> on_end);
  void PauseReading() { paused_ = true; }
  void ResumeReading();

  [[nodiscard]] const http::MessageHead& head() const { return head_; }
  [[nodiscard]] std::string& body() { return body_; }
  [[nodiscard]] ServerFailure failure() const { return failure_; }
  // Returns whether any byte of the current request was handed to the socket.
  [[nodiscard]] bool written() const { return written_; }
  // Returns the number of request bytes that wait to be sent.
  [[nodiscard]] std::size_t unsent() const { return out_.size(); }
  // Returns when bytes of the current request last moved in either direction.
  [[nodiscard]] TimePoint last_progress() const { return last_progress_; }
  // Returns whether the connection stands and may carry another request.
  [[nodiscard]] bool Reusable();

 private:
  enum class Phase : std::uint8_t {
    kConnecting,
    kIdle,
    kBusy,
    kClosed,
  };

  void OnReady(net::ReadyEvents events);
  void OnTimer();
  void OnConnected();
  void ReadAvailable();
  void OnReceived(std::string_view data);
  // `orderly` tells a close from a reset.
  void OnEndOfStream(bool orderly);
  void ExpectResponse();
  // Returns when an unused connection is closed by this side: before the
  // server does by what it has announced.
  [[nodiscard]] TimePoint IdleDeadline() const;
  // Parses one part of the response; returns whether there may be another.
  bool ParseStep();
  bool OnResponseHead();
  void OnResponseEnd();
  void Flush();
  void Fail(ServerFailure failure);
  void Close();
  void Emit(ServerEvent event);

  net::EventLoop& loop_;
  net::TcpSocket socket_;
  net::EventLoop::WatchId watch_ = 0;
  ClosedCallback on_closed_;
  const ServerConnectionOptions options_;
  Sink sink_;
  net::DeadlineTimer timer_;
  Phase phase_ = Phase::kConnecting;
  bool readable_ = false;
  bool hung_up_ = false;
  bool paused_ = false;
  bool blocked_ = false;
  bool written_ = false;
  bool complete_ = false;
  bool head_only_ = false;
  bool response_begun_ = false;
  bool reusable_ = true;
  bool skipping_ = false;
  TimePoint last_progress_;
  ServerFailure failure_ = ServerFailure::kNone;
  std::optional<http::ResponseParser> parser_;
  http::MessageHead head_;
  std::string body_;
  std::string pending_;
  net::OutputBuffer out_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_SERVER_CONNECTION_H_
