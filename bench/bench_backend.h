// A backend server for benchmarks that responds to every request immediately.
#ifndef BENCH_BENCH_BACKEND_H_
#define BENCH_BENCH_BACKEND_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http/message_parser.h"
#include "net/event_loop.h"
#include "net/tcp_socket.h"

namespace gentianreach::bench {

class BenchBackend {
 public:
  BenchBackend(net::EventLoop& loop, std::size_t body_bytes)
      : loop_(loop),
        response_(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
            "Content-Length: " +
            std::to_string(body_bytes) + "\r\n\r\n" +
            std::string(body_bytes, 'x')) {
    listener_ = std::move(*net::TcpSocket::Listen("127.0.0.1:0", false));
    loop_.Watch(listener_.fd(), [this](net::ReadyEvents) { Accept(); });
  }
  BenchBackend(const BenchBackend&) = delete;
  BenchBackend& operator=(const BenchBackend&) = delete;

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

 private:
  struct Session {
    net::TcpSocket socket;
    net::EventLoop::WatchId watch = 0;
    std::optional<http::RequestParser> parser;
    http::MessageHead head;
    std::string body;
    std::string pending;
  };
  static constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

  void Accept() {
    while (auto socket = listener_.Accept()) {
      auto it = std::make_shared<Session>();
      it->socket = std::move(*socket);
      it->parser.emplace(kMaxHeaderBytes);
      it->watch = loop_.Watch(it->socket.fd(),
                              [this, it](net::ReadyEvents) { Read(*it); });
    }
  }

  void Read(Session& it) {
    const auto space = loop_.scratch();
    const auto result = it.socket.Receive(space);
    if (result.status == net::IoStatus::kWouldBlock) {
      return;
    }
    if (result.status != net::IoStatus::kOk) {
      loop_.Unwatch(it.watch, it.socket.fd());
      return;
    }
    it.pending.append(space.data(), result.bytes);
    while (!it.pending.empty()) {
      const auto parsed = it.parser->Parse(it.pending, it.head, it.body);
      it.pending.erase(0, parsed.consumed);
      if (it.parser->done()) {
        it.socket.Send(response_);
        it.head.Clear();
        it.body.clear();
        it.parser.emplace(kMaxHeaderBytes);
      } else if (parsed.status != http::ParseStatus::kHead) {
        return;
      }
    }
  }

  net::EventLoop& loop_;
  const std::string response_;
  net::TcpSocket listener_;
};

}  // namespace gentianreach::bench

#endif  // BENCH_BENCH_BACKEND_H_
