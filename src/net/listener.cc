#include "net/listener.h"

#include <chrono>
#include <utility>

#include "base/log.h"

namespace gentianreach::net {
namespace {

constexpr Duration kRetryPeriod = std::chrono::milliseconds(100);

}  // namespace

Listener::Listener(EventLoop& loop, Sink sink)
    : loop_(loop),
      sink_(std::move(sink)),
      retry_timer_(loop, [this] { Accept(); }) {}

boost::leaf::result<void> Listener::Listen(const std::string& address,
                                           bool reuse_port) {
  BOOST_LEAF_ASSIGN(socket_, TcpSocket::Listen(address, reuse_port));
  watch_ = loop_.Watch(socket_.fd(), [this](ReadyEvents) { Accept(); });
  return {};
}

void Listener::Accept() {
  retry_timer_.Clear();
  while (socket_.is_open()) {
    auto accepted = socket_.Accept();
    if (!accepted) {
      break;
    }
    sink_(*std::move(accepted));
  }
  if (!socket_.is_open() || socket_.HasNothingToRead()) {
    return;
  }
  Log(LogLevel::kWarning, "accept_failed", {{"port", port()}});
  retry_timer_.Set(loop_.Now() + kRetryPeriod);
}

void Listener::Close() {
  if (!socket_.is_open()) {
    return;
  }
  retry_timer_.Clear();
  loop_.Unwatch(watch_, socket_.fd());
  socket_.Close();
}

}  // namespace gentianreach::net
