#include "proxy/server_connection.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "gentianreach/check.h"
#include "http/status.h"

namespace gentianreach::proxy {
namespace {

using namespace std::chrono_literals;

// An idle connection is dropped this long before the server's announced idle
// timeout, so that no request is sent while the server closes the connection.
constexpr Duration kIdleMargin = 1s;
// Longest time for which an idle connection is kept on a server's word.
constexpr Duration kMaxIdleTime = 60s;
// Limits for reading an unneeded response in order to reuse its connection.
constexpr Duration kDiscardTimeout = 1s;
constexpr std::size_t kMaxDiscardBytes = 64 * 1024;
// Maximum size of a response head.
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

}  // namespace

ServerConnection::ServerConnection(net::EventLoop& loop,
                                   ClosedCallback on_closed,
                                   ServerConnectionOptions options)
    : loop_(loop),
      on_closed_(std::move(on_closed)),
      options_(std::move(options)),
      timer_(loop, [this] { OnTimer(); }) {}

void ServerConnection::Connect(const std::string& address) {
  opened_at_ = loop_.Now();
  auto socket = net::TcpSocket::Connect(address, options_.source_ip);
  if (!socket) {
    loop_.Defer(
        [self = shared_from_this()] { self->Fail(ServerFailure::kConnect); });
    return;
  }
  socket_ = std::move(*socket);
  if (options_.reset_when_process_ends) {
    socket_.ResetWhenProcessEnds();
  }
  timer_.Set(loop_.Now() + options_.connect_timeout);
  watch_ = loop_.Watch(socket_.fd(),
                       [self = shared_from_this()](net::ReadyEvents events) {
                         self->OnReady(events);
                       });
}

void ServerConnection::Start(std::string bytes,
                             bool head_only,
                             bool complete,
                             Sink sink,
                             TimePoint send_until) {
  GENTIANREACH_CHECK(!sink_);
  send_until_ = send_until;
  sink_ = std::move(sink);
  head_only_ = head_only;
  complete_ = complete;
  written_ = false;
  response_begun_ = false;
  paused_ = false;
  failure_ = ServerFailure::kNone;
  body_.clear();
  ExpectResponse();
  last_progress_ = loop_.Now();
  out_.Append(std::move(bytes));
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kBusy;
    timer_.Clear();
    Flush();
  }
}

void ServerConnection::SendBody(std::string bytes, bool complete) {
  complete_ = complete;
  out_.Append(std::move(bytes));
  if (phase_ == Phase::kBusy) {
    Flush();
  }
}

void ServerConnection::Abandon() {
  Close();
}

void ServerConnection::Discard(std::function<void()> on_end) {
  const auto self = shared_from_this();
  if (phase_ != Phase::kBusy || !complete_ || out_.size() != 0) {
    Close();
    return;
  }
  timer_.Set(loop_.Now() + kDiscardTimeout);
  auto sink = [self, on_end = std::move(on_end),
               size = std::size_t{0}](ServerEvent event) mutable {
    size += self->body_.size();
    if (event == ServerEvent::kEnd) {
      on_end();
    } else if (size > kMaxDiscardBytes) {
      self->Close();
    }
  };
  // The old sink may be on the call stack; it is released after that has
  // unwound.
  loop_.Defer([old = std::move(sink_)] {});
  sink_ = std::move(sink);
  ResumeReading();
}

void ServerConnection::ResumeReading() {
  if (!paused_) {
    return;
  }
  paused_ = false;
  // Deferred because the code that called this method may still be using the
  // loop's scratch buffer.
  loop_.Defer([self = shared_from_this()] {
    self->OnReceived({});
    self->ReadAvailable();
  });
}

net::PathState ServerConnection::QueryPath() {
  return phase_ == Phase::kBusy ? socket_.QueryPath()
                                : net::PathState::kUnknown;
}

bool ServerConnection::Reusable() {
  return phase_ == Phase::kIdle && reusable_ && socket_.HasNothingToRead();
}

void ServerConnection::OnReady(net::ReadyEvents events) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kConnecting && (events.writable || events.hung_up)) {
    OnConnected();
  }
  if (phase_ == Phase::kConnecting || phase_ == Phase::kClosed) {
    return;
  }
  readable_ = readable_ || events.readable || events.hung_up;
  hung_up_ = hung_up_ || events.hung_up;
  if (events.writable && blocked_) {
    Flush();
  }
  ReadAvailable();
}

void ServerConnection::OnConnected() {
  const net::ConnectStatus status = socket_.FinishConnect();
  if (status != net::ConnectStatus::kConnected) {
    Fail(status == net::ConnectStatus::kRefused ? ServerFailure::kRefused
                                                : ServerFailure::kConnect);
    return;
  }
  if (sink_ && loop_.Now() >= send_until_) {
    Fail(ServerFailure::kTooLate);
    return;
  }
  if (options_.unacknowledged_limit) {
    // Not earlier, since it would also keep a lost SYN from being repeated.
    socket_.LimitUnacknowledged(*options_.unacknowledged_limit);
  }
  timer_.Clear();
  phase_ = sink_ ? Phase::kBusy : Phase::kIdle;
  established_at_ = loop_.Now();
  last_progress_ = established_at_;
  // Makes Flush() emit kDrained for bytes that were queued while connecting.
  blocked_ = true;
  Flush();
  if (phase_ == Phase::kIdle && on_established) {
    on_established();
  }
}

void ServerConnection::OnTimer() {
  const auto self = shared_from_this();
  if (phase_ == Phase::kConnecting) {
    Fail(ServerFailure::kConnect);
    return;
  }
  Close();
}

void ServerConnection::ReadAvailable() {
  while (readable_ && !paused_ && phase_ != Phase::kClosed) {
    const auto space = loop_.scratch();
    const net::IoResult result = socket_.Receive(space);
    if (result.status == net::IoStatus::kWouldBlock) {
      readable_ = false;
      return;
    }
    if (result.status != net::IoStatus::kOk) {
      OnEndOfStream(result.status == net::IoStatus::kClosed);
      return;
    }
    // A short read means that the socket is empty; edge-triggered polling
    // reports the next bytes as a new event.
    readable_ = hung_up_ || result.bytes == space.size();
    OnReceived({space.data(), result.bytes});
  }
}

void ServerConnection::OnReceived(std::string_view data) {
  if (phase_ == Phase::kIdle && !data.empty()) {
    // Unsolicited bytes: they could be taken for the response to the next
    // request, so the connection is closed.
    Close();
    return;
  }
  if (phase_ != Phase::kBusy) {
    return;
  }
  last_progress_ = loop_.Now();
  pending_.append(data);
  while (!paused_ && phase_ == Phase::kBusy && ParseStep()) {
  }
}

bool ServerConnection::ParseStep() {
  if (pending_.empty()) {
    return false;
  }
  const auto result = parser_->Parse(pending_, head_, body_);
  pending_.erase(0, result.consumed);
  if (result.status == http::ParseStatus::kMalformed ||
      result.status == http::ParseStatus::kHeaderTooLarge) {
    Fail(ServerFailure::kMalformed);
    return false;
  }
  if (result.status == http::ParseStatus::kHead) {
    return OnResponseHead();
  }
  if (!body_.empty()) {
    if (!skipping_) {
      Emit(ServerEvent::kBody);
    }
    body_.clear();
  }
  if (phase_ == Phase::kBusy && parser_->done()) {
    if (skipping_) {
      ExpectResponse();
      return !pending_.empty();
    }
    OnResponseEnd();
    return false;
  }
  return !pending_.empty() && result.consumed > 0;
}

bool ServerConnection::OnResponseHead() {
  if (head_.status == http::status::kSwitchingProtocols) {
    // No request asks for it.
    Fail(ServerFailure::kMalformed);
    return false;
  }
  if (!http::status::IsFinal(head_.status)) {
    // An interim response; the final one follows.
    ExpectResponse();
    return true;
  }
  if (head_.framing == http::BodyFraming::kUntilEnd &&
      !options_.accept_until_end) {
    Fail(ServerFailure::kTruncated);
    return false;
  }
  response_begun_ = true;
  ++responses_;
  Emit(ServerEvent::kHead);
  if (phase_ == Phase::kBusy && parser_->done()) {
    if (skipping_) {
      ExpectResponse();
      return true;
    }
    OnResponseEnd();
    return false;
  }
  return phase_ == Phase::kBusy;
}

void ServerConnection::ExpectResponse() {
  skipping_ = false;
  response_begun_ = false;
  head_.Clear();
  parser_.emplace(kMaxHeaderBytes);
  if (head_only_) {
    parser_->SkipBody();
  }
}

TimePoint ServerConnection::IdleDeadline() const {
  const auto announced = head_.Get(http::FieldId::keep_alive);
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at =
      announced ? announced->find(kTimeout) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return loop_.Now() + options_.idle_timeout;
  }
  const std::string_view digits = announced->substr(at + kTimeout.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  const Duration left = std::chrono::seconds(seconds) - kIdleMargin;
  return loop_.Now() + std::clamp(left, Duration(0), kMaxIdleTime);
}

void ServerConnection::OnResponseEnd() {
  const auto self = shared_from_this();
  reusable_ = head_.keep_alive && complete_ && out_.size() == 0 &&
              pending_.empty() && !hung_up_ && !http::StatesExcludedBody(head_);
  phase_ = Phase::kIdle;
  pending_ = std::string();
  timer_.Set(IdleDeadline());
  const Sink sink = std::move(sink_);
  sink_ = nullptr;
  sink(ServerEvent::kEnd);
  if (!reusable_) {
    Close();
  }
}

bool ServerConnection::IsRequestReceived() const {
  return complete_ && out_.size() == 0 && socket_.UnacknowledgedBytes() == 0;
}

void ServerConnection::OnEndOfStream(bool orderly) {
  // A reset looks like an orderly end once a failed send has taken the socket's
  // error, and so does the end of a process that has read all that had arrived.
  // In both cases part of the request has not been received.
  if (phase_ == Phase::kBusy && orderly && response_begun_ && !skipping_ &&
      head_.framing == http::BodyFraming::kUntilEnd && IsRequestReceived()) {
    hung_up_ = true;
    OnResponseEnd();
    return;
  }
  if (phase_ == Phase::kBusy) {
    Fail(response_begun_ || (parser_ && parser_->started()) || !pending_.empty()
             ? ServerFailure::kTruncated
             : ServerFailure::kLost);
    return;
  }
  Close();
}

void ServerConnection::Flush() {
  bool any_sent = false;
  const net::FlushStatus status = out_.Flush(socket_, any_sent);
  if (any_sent) {
    written_ = true;
    last_progress_ = loop_.Now();
  }
  if (status == net::FlushStatus::kBlocked) {
    blocked_ = true;
    return;
  }
  if (status == net::FlushStatus::kFailed) {
    // A response may have arrived before the connection broke, so received data
    // is read first.
    readable_ = true;
    hung_up_ = true;
    loop_.Defer([self = shared_from_this()] {
      self->ReadAvailable();
      if (self->phase_ == Phase::kBusy && !self->paused_) {
        self->OnEndOfStream(false);
      }
    });
    return;
  }
  if (!blocked_) {
    return;
  }
  blocked_ = false;
  if (phase_ == Phase::kBusy) {
    Emit(ServerEvent::kDrained);
  }
}

void ServerConnection::Fail(ServerFailure failure) {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  failure_ = failure;
  const Sink sink = std::move(sink_);
  sink_ = nullptr;
  Close();
  if (sink) {
    sink(ServerEvent::kFailed);
  }
}

void ServerConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  const bool was_busy = phase_ == Phase::kBusy;
  phase_ = Phase::kClosed;
  timer_.Clear();
  if (socket_.is_open()) {
    loop_.Unwatch(watch_, socket_.fd());
    if (was_busy) {
      // A reset tells the server that nobody waits for its response.
      socket_.Abort();
    } else {
      socket_.Close();
    }
  }
  on_closed_(this);
  // The sink may be on the call stack; it is released after that has unwound.
  loop_.Defer([self, sink = std::move(sink_)] {});
  sink_ = nullptr;
}

void ServerConnection::Emit(ServerEvent event) {
  if (sink_) {
    sink_(event);
  }
}

}  // namespace gentianreach::proxy
