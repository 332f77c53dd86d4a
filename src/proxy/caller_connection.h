// One caller's HTTP connection: parses its requests one at a time, in order,
// and sends the response bytes passed to Write().
//
// The connection reports events to a sink, which responds through the methods
// below. A request begins with kHead and ends with FinishResponse(). The next
// request is parsed only after that, so pipelined requests get their responses
// in order. The connection keeps itself alive until it is closed.
#ifndef SRC_PROXY_CALLER_CONNECTION_H_
#define SRC_PROXY_CALLER_CONNECTION_H_

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
#include "http/request_rules.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "net/output_buffer.h"
#include "net/tcp_socket.h"

namespace gentianreach::proxy {

enum class CallerEvent : std::uint8_t {
  kHead,      // A request's head is complete; see head().
  kBody,      // Body bytes have arrived; take them from body().
  kBodyEnd,   // The request is complete.
  kRefused,   // The request is invalid or unsupported; see refusal().
  kDeadline,  // The deadline of SetDeadline() has passed.
  kDrained,   // The send buffer is empty again after the socket had blocked.
  kDisconnected,  // The caller closed or lost its connection during a request.
  kClosed,        // The connection is closed; the last event.
};

struct CallerTimeouts {
  // How long a connection may wait for its next request.
  Duration idle = std::chrono::seconds(75);
  // How long a caller may take to send a request's head.
  Duration head = std::chrono::seconds(10);
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  using Sink = std::function<void(CallerEvent)>;

  CallerConnection(net::EventLoop& loop,
                   net::TcpSocket socket,
                   std::size_t max_header,
                   CallerTimeouts timeouts = {});
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Starts reading. The sink is released after kClosed.
  void Start(Sink sink);

  // Returns the head of the current request.
  [[nodiscard]] const http::MessageHead& head() const { return head_; }
  // Returns the body bytes of the current kBody event. They are discarded when
  // the sink returns.
  [[nodiscard]] std::string& body() { return body_; }
  // Returns why the request was refused, after kRefused.
  [[nodiscard]] const http::Refusal& refusal() const { return refusal_; }
  // Returns whether the whole request has been read.
  [[nodiscard]] bool request_complete() const { return parser_->done(); }
  // Returns whether the caller has closed the connection, even if that has not
  // been reported yet.
  [[nodiscard]] bool HasLeft();
  // Returns a hash of the caller's IP address.
  [[nodiscard]] std::uint64_t peer_hash() const { return peer_hash_; }

  // Sets the point at which kDeadline is reported for the current request.
  void SetDeadline(TimePoint deadline) { timer_.Set(deadline); }
  // Pauses reading of the request's body until ResumeReading().
  void PauseReading() { paused_ = true; }
  void ResumeReading();

  // Queues `data` and sends as much as the socket accepts.
  void Write(std::string data);
  // Returns the number of queued bytes that the socket has not accepted yet.
  [[nodiscard]] std::size_t unsent() const { return out_.size(); }
  // Returns whether the caller's host has not acknowledged all queued bytes.
  [[nodiscard]] bool IsDelivering() const {
    return out_.size() > 0 || socket_.UnacknowledgedBytes() > 0;
  }
  // Ends the response. The connection continues with the next request if
  // `keep_alive` is set and the request was read in full. Otherwise it closes
  // once all queued bytes have been sent.
  void FinishResponse(bool keep_alive);
  // Resets the connection, so that the caller sees an error rather than a
  // normal end of the stream.
  void Abort();
  // Closes the connection if no request is in progress, nothing is queued and
  // no received data waits to be read.
  void CloseIfIdle();

 private:
  enum class Phase : std::uint8_t {
    kIdle,        // Between requests.
    kHead,        // Part of a head has arrived.
    kBody,        // Reading a body.
    kResponding,  // The request has been read.
    kFlushing,    // Sending the rest of the last response.
    kLingering,   // Sending side shut down; discarding input until the peer
                  // closes.
    kClosed,
  };

  void OnReady(net::ReadyEvents events);
  void OnTimer();
  void ReadAvailable();
  [[nodiscard]] bool WantsToRead() const;
  void OnReceived(std::string_view data);
  void OnEndOfStream();
  // Parses received bytes as far as the current phase allows.
  void ParseInput();
  bool ParseStep();
  bool ParseHead();
  bool ParseBody();
  void Refuse(http::Refusal refusal);
  void Flush();
  void BeginNextRequest();
  void Linger();
  void Close();
  void Emit(CallerEvent event);

  net::EventLoop& loop_;
  net::TcpSocket socket_;
  net::EventLoop::WatchId watch_ = 0;
  const std::size_t max_header_;
  const CallerTimeouts timeouts_;
  const std::uint64_t peer_hash_;
  Sink sink_;
  net::DeadlineTimer timer_;
  Phase phase_ = Phase::kIdle;
  TimePoint linger_until_{};
  bool readable_ = false;
  bool hung_up_ = false;
  bool paused_ = false;
  bool parsing_ = false;
  bool blocked_ = false;
  bool any_sent_ = false;
  std::optional<http::RequestParser> parser_;
  http::MessageHead head_;
  std::string body_;
  http::Refusal refusal_;
  // Bytes received but not parsed yet.
  std::string pending_;
  net::OutputBuffer out_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_CALLER_CONNECTION_H_
