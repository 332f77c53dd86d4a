#include "proxy/caller_connection.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gentianreach::proxy {
namespace {

using namespace std::chrono_literals;

// How long a closing connection waits for the caller to send more or to close
// its side, and how long at most. Closing earlier could send a reset that
// destroys the last response: a caller may read it only after its whole request
// has been sent.
constexpr Duration kLingerTimeout = 1s;
constexpr Duration kMaxLingerTime = 10s;
// The next pipelined request is not started while more bytes than this are
// unsent.
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;

}  // namespace

CallerConnection::CallerConnection(net::EventLoop& loop,
                                   net::TcpSocket socket,
                                   std::size_t max_header,
                                   CallerTimeouts timeouts)
    : loop_(loop),
      socket_(std::move(socket)),
      max_header_(max_header),
      timeouts_(timeouts),
      peer_hash_(std::hash<std::string>()(socket_.PeerAddress())),
      timer_(loop, [this] { OnTimer(); }) {}

void CallerConnection::Start(Sink sink) {
  sink_ = std::move(sink);
  parser_.emplace(max_header_);
  timer_.Set(loop_.Now() + timeouts_.idle);
  watch_ = loop_.Watch(socket_.fd(),
                       [self = shared_from_this()](net::ReadyEvents events) {
                         self->OnReady(events);
                       });
}

void CallerConnection::ResumeReading() {
  if (!paused_) {
    return;
  }
  paused_ = false;
  // Deferred because the code that called this method may still be using the
  // loop's scratch buffer.
  loop_.Defer([self = shared_from_this()] {
    self->ParseInput();
    self->ReadAvailable();
  });
}

void CallerConnection::Write(std::string data) {
  if (!socket_.is_open()) {
    return;
  }
  out_.Append(std::move(data));
  Flush();
}

void CallerConnection::FinishResponse(bool keep_alive) {
  if (phase_ == Phase::kClosed) {
    return;
  }
  if (keep_alive && phase_ == Phase::kResponding) {
    BeginNextRequest();
    return;
  }
  phase_ = Phase::kFlushing;
  timer_.Set(loop_.Now() + timeouts_.idle);
  if (out_.size() == 0 && socket_.is_open()) {
    Linger();
  }
}

void CallerConnection::BeginNextRequest() {
  phase_ = Phase::kIdle;
  paused_ = false;
  parser_.emplace(max_header_);
  head_.Clear();
  body_.clear();
  timer_.Set(loop_.Now() + timeouts_.idle);
  if (parsing_) {
    return;
  }
  if (!pending_.empty() || readable_ || hung_up_) {
    loop_.Defer([self = shared_from_this()] {
      self->ParseInput();
      self->ReadAvailable();
    });
  }
}

void CallerConnection::Abort() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  loop_.Unwatch(watch_, socket_.fd());
  socket_.Abort();
  OnEndOfStream();
}

bool CallerConnection::HasLeft() {
  return hung_up_ || socket_.PeerHasClosed();
}

void CallerConnection::CloseIfIdle() {
  if (phase_ == Phase::kIdle && pending_.empty() && out_.size() == 0 &&
      socket_.HasNothingToRead()) {
    Close();
  }
}

void CallerConnection::OnReady(net::ReadyEvents events) {
  const auto self = shared_from_this();
  readable_ = readable_ || events.readable || events.hung_up;
  hung_up_ = hung_up_ || events.hung_up;
  if (events.writable && blocked_) {
    Flush();
  }
  if (hung_up_ && phase_ == Phase::kResponding) {
    OnEndOfStream();
    return;
  }
  ReadAvailable();
}

void CallerConnection::OnTimer() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kHead:
      Refuse({408, "the request's head took too long"});
      return;
    case Phase::kBody:
    case Phase::kResponding:
      Emit(CallerEvent::kDeadline);
      return;
    default:
      Close();
  }
}

bool CallerConnection::WantsToRead() const {
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kHead:
      return out_.size() <= kMaxUnsentBytes;
    case Phase::kBody:
      return !paused_;
    case Phase::kLingering:
      return true;
    default:
      return false;
  }
}

void CallerConnection::ReadAvailable() {
  while (readable_ && WantsToRead()) {
    const auto space = loop_.scratch();
    const net::IoResult result = socket_.Receive(space);
    if (result.status == net::IoStatus::kWouldBlock) {
      readable_ = false;
      break;
    }
    if (result.status != net::IoStatus::kOk) {
      OnEndOfStream();
      return;
    }
    // A short read means that the socket is empty; edge-triggered polling
    // reports the next bytes as a new event.
    readable_ = hung_up_ || result.bytes == space.size();
    OnReceived({space.data(), result.bytes});
  }
  if (hung_up_ && phase_ == Phase::kResponding) {
    OnEndOfStream();
  }
}

void CallerConnection::OnReceived(std::string_view data) {
  if (phase_ == Phase::kLingering) {
    timer_.Set(std::min(loop_.Now() + kLingerTimeout, linger_until_));
    return;
  }
  pending_.append(data);
  ParseInput();
}

void CallerConnection::OnEndOfStream() {
  const bool in_request =
      phase_ == Phase::kBody || phase_ == Phase::kResponding;
  if (in_request) {
    Emit(CallerEvent::kDisconnected);
  }
  Close();
}

void CallerConnection::ParseInput() {
  if (parsing_) {
    return;
  }
  parsing_ = true;
  while (!pending_.empty() && ParseStep()) {
  }
  parsing_ = false;
  if (pending_.empty()) {
    pending_ = std::string();
  }
}

bool CallerConnection::ParseStep() {
  switch (phase_) {
    case Phase::kIdle:
    case Phase::kHead:
      return out_.size() <= kMaxUnsentBytes && ParseHead();
    case Phase::kBody:
      return !paused_ && ParseBody();
    default:
      return false;
  }
}

bool CallerConnection::ParseHead() {
  const auto result = parser_->Parse(pending_, head_, body_);
  pending_.erase(0, result.consumed);
  if (result.status == http::ParseStatus::kMalformed) {
    Refuse({400, "malformed request head"});
    return false;
  }
  if (result.status == http::ParseStatus::kHeaderTooLarge) {
    Refuse({431, "the request's head is too large"});
    return false;
  }
  if (result.status == http::ParseStatus::kNeedMore) {
    if (phase_ == Phase::kIdle) {
      phase_ = Phase::kHead;
      timer_.Set(loop_.Now() + timeouts_.head);
    }
    return false;
  }
  if (const auto refusal = http::CheckRequest(head_)) {
    Refuse(*refusal);
    return false;
  }
  const bool complete = parser_->done();
  phase_ = complete ? Phase::kResponding : Phase::kBody;
  Emit(CallerEvent::kHead);
  if (complete && phase_ == Phase::kResponding) {
    Emit(CallerEvent::kBodyEnd);
  }
  return true;
}

bool CallerConnection::ParseBody() {
  const auto result = parser_->Parse(pending_, head_, body_);
  pending_.erase(0, result.consumed);
  if (!body_.empty()) {
    Emit(CallerEvent::kBody);
    body_.clear();
  }
  if (phase_ != Phase::kBody) {
    return false;
  }
  if (result.status == http::ParseStatus::kMalformed ||
      result.status == http::ParseStatus::kHeaderTooLarge) {
    Refuse({400, "malformed request body"});
    return false;
  }
  if (result.status != http::ParseStatus::kDone) {
    return false;
  }
  phase_ = Phase::kResponding;
  Emit(CallerEvent::kBodyEnd);
  return true;
}

void CallerConnection::Refuse(http::Refusal refusal) {
  refusal_ = refusal;
  // The start of the next request cannot be located reliably after an invalid
  // one, so the remaining input is discarded.
  pending_.clear();
  if (phase_ != Phase::kBody) {
    phase_ = Phase::kHead;
  }
  Emit(CallerEvent::kRefused);
}

void CallerConnection::Flush() {
  const net::FlushStatus status = out_.Flush(socket_, any_sent_);
  if (status == net::FlushStatus::kBlocked) {
    blocked_ = true;
    return;
  }
  if (status == net::FlushStatus::kFailed) {
    // Deferred because the code that wrote is still on the call stack.
    loop_.Defer([self = shared_from_this()] {
      if (self->phase_ != Phase::kClosed) {
        self->OnEndOfStream();
      }
    });
    return;
  }
  if (!blocked_) {
    return;
  }
  blocked_ = false;
  if (phase_ == Phase::kFlushing) {
    Linger();
    return;
  }
  Emit(CallerEvent::kDrained);
  ParseInput();
  ReadAvailable();
}

void CallerConnection::Linger() {
  phase_ = Phase::kLingering;
  pending_.clear();
  socket_.ShutdownSend();
  const TimePoint now = loop_.Now();
  linger_until_ = now + kMaxLingerTime;
  timer_.Set(now + kLingerTimeout);
  loop_.Defer([self = shared_from_this()] { self->ReadAvailable(); });
}

void CallerConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  phase_ = Phase::kClosed;
  timer_.Clear();
  if (socket_.is_open()) {
    loop_.Unwatch(watch_, socket_.fd());
    socket_.Close();
  }
  Emit(CallerEvent::kClosed);
  // The sink may be on the call stack; it is released after that has unwound.
  loop_.Defer([self] { self->sink_ = nullptr; });
}

void CallerConnection::Emit(CallerEvent event) {
  if (sink_) {
    sink_(event);
  }
}

}  // namespace gentianreach::proxy
