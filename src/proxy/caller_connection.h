// One caller's connection: reads requests, one at a time and in order, and
// writes what it is given.
//
// The connection reports events to a sink, which acts through the methods
// below. A request begins with kHead and ends with FinishResponse(); only then
// is the next one read, so that pipelined requests are answered in order. The
// connection keeps itself alive until it is closed.
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
  kRefused,   // The bytes are no valid request; see refusal().
  kDeadline,  // The deadline of SetDeadline() has passed.
  kDrained,   // All written bytes have gone out, after some had to wait.
  kGone,      // The caller closed or lost its connection during a request.
  kClosed,    // The connection is closed; the last event.
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

  // Begins to read. The sink is released after kClosed.
  void Start(Sink sink);

  // Returns the head of the current request.
  [[nodiscard]] const http::MessageHead& head() const { return head_; }
  // Returns the body bytes not yet taken; the sink takes them all.
  [[nodiscard]] std::string& body() { return body_; }
  // Returns why the bytes were refused, after kRefused.
  [[nodiscard]] const http::Refusal& refusal() const { return refusal_; }
  // Returns whether the whole request has been read.
  [[nodiscard]] bool request_complete() const { return parser_->done(); }
  // Returns a number that stands for the caller's address.
  [[nodiscard]] std::uint64_t peer_hash() const { return peer_hash_; }

  // Sets the point at which kDeadline is reported for the current request.
  void SetDeadline(TimePoint deadline) { timer_.Set(deadline); }
  // Stops and goes on reading the request's body.
  void PauseReading() { paused_ = true; }
  void ResumeReading();

  // Sends `data` as soon as the caller takes it.
  void Write(std::string data);
  // Returns the number of written bytes that wait to be sent.
  [[nodiscard]] std::size_t unsent() const { return out_.size(); }
  // Ends the response. The connection goes on with the next request where
  // `keep_alive` and the request was read in full; otherwise it closes once
  // everything has been sent.
  void FinishResponse(bool keep_alive);
  // Breaks the connection off so that the caller notices.
  void Abort();
  // Closes at once where no request is under way and none is waiting.
  void CloseIfIdle();

 private:
  enum class Phase : std::uint8_t {
    kIdle,        // Between requests.
    kHead,        // A part of a head has arrived.
    kBody,        // Reading a body.
    kResponding,  // The request has been read.
    kFlushing,    // The last response is on its way out.
    kLingering,   // Reading until the caller closes too.
    kClosed,
  };

  void OnReady(net::ReadyEvents events);
  void OnTimer();
  void ReadAvailable();
  [[nodiscard]] bool WantsToRead() const;
  void OnReceived(std::string_view data);
  void OnEndOfStream();
  // Parses what has been received as far as the current phase allows.
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
  // Received and not yet parsed.
  std::string pending_;
  net::OutputBuffer out_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_CALLER_CONNECTION_H_
