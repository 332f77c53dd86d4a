#include "soak/caller.h"

#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

#include "http/serializer.h"
#include "platform/platform_client.h"
#include "platform/testing/sample_config.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

// Deadline sent with each request; shorter than the routes' own timeouts.
constexpr milliseconds kDeadline{2000};
// Wait after the deadline before the caller closes the connection.
constexpr Duration kGiveUpAfter = milliseconds(1500);
constexpr Duration kConnectTimeout = milliseconds(1000);
// Pause between requests, and before the next connection attempt.
constexpr std::uint64_t kMaxPauseMs = 30;
constexpr Duration kPauseAfterFailure = milliseconds(50);
constexpr std::uint64_t kMaxConfigProbePauseMs = 200;
// Maximum number of requests per connection.
constexpr std::uint64_t kMaxRequestsPerConnection = 200;
constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr std::size_t kMaxBodyBytes = 300;

std::string_view NamePrefix(Caller::Role role) {
  switch (role) {
    case Caller::Role::kLoad:
      return "c";
    case Caller::Role::kProbe:
      return "p";
    case Caller::Role::kConfigProbe:
      break;
  }
  return "v";
}

}  // namespace

Caller::Caller(CallerContext& context,
               Role role,
               std::size_t index,
               std::uint64_t seed)
    : context_(context),
      role_(role),
      name_(std::string(NamePrefix(role)) + std::to_string(index)),
      random_(seed + index),
      preferred_daemon_(index % context.daemons.size()),
      daemon_(preferred_daemon_),
      timer_(context.loop, [this] { OnTimer(); }) {}

void Caller::Start() {
  Connect();
}

void Caller::Connect() {
  if (context_.stopped) {
    return;
  }
  connected_ = false;
  auto socket = net::TcpSocket::Connect(context_.daemons[daemon_]);
  if (!socket) {
    timer_.Set(context_.loop.Now() + kPauseAfterFailure);
    return;
  }
  socket_ = *std::move(socket);
  watch_ = context_.loop.Watch(
      socket_.fd(), [self = shared_from_this()](net::ReadyEvents events) {
        self->OnReady(events);
      });
  timer_.Set(context_.loop.Now() + kConnectTimeout);
}

void Caller::OnTimer() {
  if (!socket_.is_open()) {
    Connect();
    return;
  }
  if (!connected_ || awaiting_response_) {
    OnEnd();
    return;
  }
  SendNext();
}

void Caller::OnReady(net::ReadyEvents events) {
  const auto self = shared_from_this();
  if (!connected_ && (events.writable || events.hung_up)) {
    if (socket_.FinishConnect() != net::ConnectStatus::kConnected) {
      OnEnd();
      return;
    }
    connected_ = true;
    requests_left_ = 1 + random_() % kMaxRequestsPerConnection;
    SendNext();
  }
  if (connected_ && events.writable) {
    Flush();
  }
  if (socket_.is_open() && connected_) {
    Receive();
  }
}

std::optional<RequestTarget> Caller::NextTarget() {
  if (role_ == Role::kProbe) {
    return context_.expected.Next(daemon_);
  }
  RequestTarget target;
  if (role_ == Role::kConfigProbe) {
    target.kind = context_.config_probe(daemon_, random_());
    return target;
  }
  target.kind = context_.kinds[random_() % context_.kinds.size()];
  if (target.kind.keyed) {
    target.key = context_.keys[random_() % context_.keys.size()];
  }
  return target;
}

void Caller::SendNext() {
  if (context_.stopped) {
    CloseSocket();
    return;
  }
  const auto target = NextTarget();
  if (!target) {
    CloseSocket();
    timer_.Clear();
    return;
  }
  target_ = *target;
  const RequestKind& kind = target_.kind;
  request_ = {};
  request_.id = name_ + "-" + std::to_string(++sent_);
  request_.method = kind.idempotent ? "GET" : "POST";
  request_.path = kind.path_prefix + request_.id;
  request_.idempotent = kind.idempotent;
  request_.config_version = kind.config_version;
  request_.daemon = daemon_;
  request_.sent = context_.loop.Now();
  request_.deadline = request_.sent + kDeadline;
  if (!kind.idempotent) {
    request_.body.assign(random_() % kMaxBodyBytes, 'x');
  }
  const entry::HeaderNames names = platform::PlatformHeaders();
  std::string text = request_.method + " " + request_.path + " HTTP/1.1\r\n";
  http::AppendField(text, "Host", platform::testing::kSampleHost);
  http::AppendField(text, names.request_id, request_.id);
  http::AppendField(text, names.deadline_ms,
                    static_cast<std::uint64_t>(kDeadline.count()));
  if (target_.key) {
    request_.key = target_.key;
    http::AppendField(text, names.key, std::uint64_t{*target_.key});
  }
  if (!kind.idempotent) {
    http::AppendField(text, "Content-Length",
                      std::uint64_t{request_.body.size()});
  }
  http::AppendHeadEnd(text);
  text += request_.body;
  parser_ = std::make_unique<http::ResponseParser>(kMaxHeaderBytes);
  head_.Clear();
  body_.clear();
  awaiting_response_ = true;
  context_.checker.OnSent(request_);
  timer_.Set(request_.deadline + kGiveUpAfter);
  out_.Append(std::move(text));
  Flush();
}

void Caller::Flush() {
  bool any_sent = false;
  if (out_.Flush(socket_, any_sent) == net::FlushStatus::kFailed) {
    OnEnd();
  }
}

void Caller::Receive() {
  while (socket_.is_open()) {
    std::array<char, 16384> buf{};
    const net::IoResult result = socket_.Receive(buf);
    if (result.status == net::IoStatus::kWouldBlock) {
      return;
    }
    if (result.status != net::IoStatus::kOk) {
      OnEnd();
      return;
    }
    received_.append(buf.data(), result.bytes);
    while (awaiting_response_) {
      const http::ParseResult parsed = parser_->Parse(received_, head_, body_);
      received_.erase(0, parsed.consumed);
      if (parsed.status == http::ParseStatus::kDone) {
        OnResponse();
        break;
      }
      if (parsed.status == http::ParseStatus::kHead) {
        continue;
      }
      if (parsed.status != http::ParseStatus::kNeedMore) {
        OnEnd();
        return;
      }
      break;
    }
  }
}

void Caller::OnResponse() {
  awaiting_response_ = false;
  const entry::HeaderNames names = platform::PlatformHeaders();
  ReceivedResponse response;
  response.status = head_.status;
  response.request_id = head_.Get(names.request_id).value_or("");
  response.stamp = head_.Get(names.response_stamp).value_or("");
  response.body = body_;
  response.at = context_.loop.Now();
  context_.checker.OnResponse(request_.id, response);
  if (request_.config_version) {
    context_.config_checker.OnAnswer({.daemon = daemon_,
                                      .version = *request_.config_version,
                                      .status = response.status,
                                      .sent = request_.sent,
                                      .received = response.at});
  }
  if (response.status == 200) {
    context_.expected.OnSuccess(daemon_, target_, request_.sent);
  }
  if (!head_.keep_alive) {
    OnEnd();
    return;
  }
  if (--requests_left_ == 0) {
    OnEnd();
    daemon_ = preferred_daemon_;
    return;
  }
  const std::uint64_t max_pause_ms =
      role_ == Role::kConfigProbe ? kMaxConfigProbePauseMs : kMaxPauseMs;
  timer_.Set(response.at + milliseconds(random_() % max_pause_ms));
}

void Caller::OnEnd() {
  if (awaiting_response_) {
    awaiting_response_ = false;
    context_.checker.OnNoResponse(request_.id, context_.loop.Now());
  }
  CloseSocket();
  if (role_ == Role::kLoad) {
    // The next connection goes to a random daemon, as behind a load balancer.
    daemon_ = random_() % context_.daemons.size();
  }
  timer_.Set(context_.loop.Now() + kPauseAfterFailure);
}

void Caller::CloseSocket() {
  if (!socket_.is_open()) {
    return;
  }
  context_.loop.Unwatch(watch_, socket_.fd());
  socket_.Close();
  received_.clear();
  out_ = net::OutputBuffer();
}

}  // namespace gentianreach::soak
