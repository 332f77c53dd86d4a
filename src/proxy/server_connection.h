// One connection to a backend server. Carries one request at a time.
//
// Start() takes a request and a sink for its events; the sink is released after
// kEnd or kFailed. Abandon() closes the connection, so that a late response can
// never be taken for that of another request.
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
  kDrained,  // The send buffer is empty again after the socket had blocked.
  kFailed,   // The request failed on this connection; see failure().
};

// Why a request failed on its connection.
enum class ServerFailure : std::uint8_t {
  kNone,
  kConnect,    // The connection was not established.
  kRefused,    // The connection was refused: no listener at the address.
  kLost,       // Closed or broken before a response began.
  kSilent,     // The connection made no progress; see FailAsSilent().
  kTruncated,  // Closed or broken within a response.
  kMalformed,  // The response is malformed or has no valid final status.
  kTooLate,    // Not written, as the connection was established too late.
};

struct ServerConnectionOptions {
  // A connection normally opens in about a millisecond; after this time the
  // server or the network path to it is considered down.
  Duration connect_timeout = std::chrono::seconds(1);
  // How long an idle connection is kept if the server announces no timeout.
  Duration idle_timeout = std::chrono::seconds(60);
  // Whether a response without a length is complete when the server ends the
  // stream in an orderly way after it has received the whole request. Otherwise
  // it counts as truncated.
  bool accept_until_end = false;
  // Local IP address to connect from; empty: chosen by the system.
  std::string source_ip;
  // Whether the kernel drops unacknowledged data and resets the connection when
  // this process ends.
  bool reset_when_process_ends = false;
  // How long sent data may be unacknowledged before the kernel gives up the
  // connection; nothing: for as long as the kernel retransmits by default.
  std::optional<std::chrono::milliseconds> unacknowledged_limit;
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

  // Called once when the connection has been established without a request.
  std::function<void()> on_established;

  // Starts connecting to `address` ("IP:port"). A failure is reported to the
  // sink passed to Start().
  void Connect(const std::string& address);

  // Sends a request. `bytes` holds the head and the body received so far;
  // `complete` is set if that is the whole request. `head_only` is set if the
  // response has no body (HEAD). If the connection is not established before
  // `send_until`, nothing is written and the request fails with kTooLate.
  void Start(std::string bytes,
             bool head_only,
             bool complete,
             Sink sink,
             TimePoint send_until = TimePoint::max());
  // Sends more of the request's body; `complete` is set with the last part.
  void SendBody(std::string bytes, bool complete);
  // Cancels the request and closes the connection.
  void Abandon();
  // Closes a connection that no longer makes progress. A request on it fails
  // with ServerFailure::kSilent.
  void FailAsSilent() { Fail(ServerFailure::kSilent); }
  // Returns whether the kernel sees the server acknowledge data.
  [[nodiscard]] net::PathState QueryPath();
  // Skips the response whose head has just arrived because it belongs to
  // another request; the response to the current one follows. Call on kHead
  // only.
  void SkipResponse() { skipping_ = true; }
  // Reads and discards the rest of a response that is no longer needed, so that
  // the connection can be reused. Closes the connection if that takes too many
  // bytes or too long.
  void Discard(std::function<void()> on_end);
  void PauseReading() { paused_ = true; }
  void ResumeReading();

  [[nodiscard]] const http::MessageHead& head() const { return head_; }
  [[nodiscard]] std::string& body() { return body_; }
  [[nodiscard]] ServerFailure failure() const { return failure_; }
  // Returns whether any byte of the current request was passed to the socket.
  [[nodiscard]] bool written() const { return written_; }
  // Returns the number of request bytes that the socket has not accepted yet.
  [[nodiscard]] std::size_t unsent() const { return out_.size(); }
  // Returns when the connection began to be opened.
  [[nodiscard]] TimePoint opened_at() const { return opened_at_; }
  // Returns when this side learned that the connection is established;
  // TimePoint::max() before that.
  [[nodiscard]] TimePoint established_at() const { return established_at_; }
  // Returns the number of final responses whose heads have arrived on this
  // connection, including those that were skipped.
  [[nodiscard]] std::uint64_t responses() const { return responses_; }
  // Returns when bytes were last sent or received for the current request.
  [[nodiscard]] TimePoint last_progress() const { return last_progress_; }
  // Returns whether the connection is open and may carry another request.
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
  // `orderly` is true for a normal close and false for a reset.
  void OnEndOfStream(bool orderly);
  // Returns whether the server's host has acknowledged the whole request.
  [[nodiscard]] bool IsRequestReceived() const;
  void ExpectResponse();
  // Returns when this side closes an idle connection: before the server's
  // announced idle timeout ends.
  [[nodiscard]] TimePoint IdleDeadline() const;
  // Parses one part of the response. Returns whether to call it again.
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
  std::uint64_t responses_ = 0;
  TimePoint opened_at_;
  TimePoint established_at_ = TimePoint::max();
  TimePoint last_progress_;
  TimePoint send_until_ = TimePoint::max();
  ServerFailure failure_ = ServerFailure::kNone;
  std::optional<http::ResponseParser> parser_;
  http::MessageHead head_;
  std::string body_;
  std::string pending_;
  net::OutputBuffer out_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_SERVER_CONNECTION_H_
