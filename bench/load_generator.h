// Generates HTTP load over persistent connections and measures the responses.
#ifndef BENCH_LOAD_GENERATOR_H_
#define BENCH_LOAD_GENERATOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

#include "gentianreach/time.h"
#include "http/message_parser.h"
#include "net/event_loop.h"
#include "net/tcp_socket.h"

namespace gentianreach::bench {

struct LoadOptions {
  std::string address;  // "IP:port"
  std::string request;  // The bytes of one request.
  std::size_t connections = 32;
  // Requests per second, sent on schedule regardless of responses (open loop).
  // 0: each connection sends a request when it has its response (closed loop).
  double rate = 0;
  Duration run_time = std::chrono::seconds(3);
};

// Histogram of latencies, with bins of about 1 % relative width.
class LatencyHistogram {
 public:
  void Add(Duration latency) {
    histogram_(std::chrono::duration<double, std::micro>(latency).count());
    ++count_;
  }
  // Returns the latency that `share` of the requests do not exceed.
  [[nodiscard]] Duration Percentile(double share) const {
    const auto wanted = static_cast<double>(count_) * share;
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed(histogram_)) {
      seen += bin.get();
      if (seen >= wanted) {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::micro>(bin.bin().upper()));
      }
    }
    return Duration::max();
  }
  [[nodiscard]] std::uint64_t count() const { return count_; }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  static constexpr unsigned kBins = 1600;
  static constexpr double kLowest = 1;
  static constexpr double kHighest = 6e7;

  decltype(boost::histogram::make_histogram(Axis())) histogram_ =
      boost::histogram::make_histogram(Axis(kBins, kLowest, kHighest));
  std::uint64_t count_ = 0;
};

struct LoadResult {
  LatencyHistogram latency;  // From the time at which a request was due.
  std::map<std::string, std::uint64_t> verdicts;  // "none": no header.
  std::uint64_t broken = 0;  // Connections lost with a pending request.
  Duration elapsed{};

  [[nodiscard]] double PerSecond() const {
    return static_cast<double>(latency.count()) /
           std::chrono::duration<double>(elapsed).count();
  }
};

class LoadGenerator {
 public:
  LoadGenerator(net::EventLoop& loop, LoadOptions options)
      : loop_(loop), options_(std::move(options)) {}
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Runs for the configured time and returns the measurements.
  LoadResult Run() {
    for (std::size_t i = 0; i < options_.connections; ++i) {
      Open();
    }
    const TimePoint start = loop_.Now();
    const TimePoint end = start + options_.run_time;
    if (options_.rate > 0) {
      next_due_ = start;
      Tick(end);
    }
    bool over = false;
    loop_.AddTimer(end, [&] { over = true; });
    // An open loop polls without blocking: the millisecond resolution of timers
    // would add to the latencies.
    while (!over) {
      loop_.RunOnce(options_.rate == 0);
    }
    result_.elapsed = loop_.Now() - start;
    for (const auto& it : connections_) {
      Drop(*it);
    }
    return std::move(result_);
  }

 private:
  struct Connection {
    net::TcpSocket socket;
    net::EventLoop::WatchId watch = 0;
    bool ready = false;
    bool busy = false;
    TimePoint due;
    std::optional<http::ResponseParser> parser;
    http::MessageHead head;
    std::string body;
    std::string pending;
  };
  static constexpr Duration kTickInterval = std::chrono::microseconds(200);
  static constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

  void Open() {
    auto socket = net::TcpSocket::Connect(options_.address);
    if (!socket) {
      return;
    }
    auto connection = std::make_shared<Connection>();
    connection->socket = std::move(*socket);
    connection->watch = loop_.Watch(
        connection->socket.fd(), [this, connection](net::ReadyEvents events) {
          OnReady(*connection, events);
        });
    connections_.push_back(connection);
  }

  void OnReady(Connection& it, net::ReadyEvents events) {
    if (!it.ready && events.writable) {
      it.ready = true;
      OnIdle(it);
    }
    if (events.readable || events.hung_up) {
      Read(it);
    }
  }

  void Read(Connection& it) {
    while (it.socket.is_open()) {
      const auto space = loop_.scratch();
      const auto result = it.socket.Receive(space);
      if (result.status == net::IoStatus::kWouldBlock) {
        return;
      }
      if (result.status != net::IoStatus::kOk) {
        result_.broken += it.busy ? 1 : 0;
        Drop(it);
        Open();
        return;
      }
      it.pending.append(space.data(), result.bytes);
      Parse(it);
      if (result.bytes < space.size()) {
        return;
      }
    }
  }

  void Parse(Connection& it) {
    while (it.busy && !it.pending.empty()) {
      const auto result = it.parser->Parse(it.pending, it.head, it.body);
      it.pending.erase(0, result.consumed);
      if (it.parser->done()) {
        OnResponse(it);
      } else if (result.status != http::ParseStatus::kHead) {
        return;
      }
    }
  }

  void OnResponse(Connection& it) {
    const auto verdict = it.head.Get("gentianreach-verdict");
    ++result_.verdicts[verdict ? std::string(*verdict) : "none"];
    result_.latency.Add(loop_.Now() - it.due);
    it.busy = false;
    OnIdle(it);
  }

  // Sends the next request on an idle connection, or marks it as idle.
  void OnIdle(Connection& it) {
    if (options_.rate == 0) {
      Send(it, loop_.Now());
      return;
    }
    if (overdue_.empty()) {
      idle_connections_.push_back(&it);
      return;
    }
    const TimePoint due = overdue_.front();
    overdue_.pop_front();
    Send(it, due);
  }

  void Send(Connection& it, TimePoint due) {
    it.busy = true;
    it.due = due;
    it.head.Clear();
    it.body.clear();
    it.parser.emplace(kMaxHeaderBytes);
    it.socket.Send(options_.request);
  }

  // Sends the requests that are due.
  void Tick(TimePoint end) {
    const TimePoint now = loop_.Now();
    const auto step = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / options_.rate));
    for (; next_due_ <= now; next_due_ += step) {
      overdue_.push_back(next_due_);
    }
    while (!overdue_.empty() && !idle_connections_.empty()) {
      Connection* it = idle_connections_.back();
      idle_connections_.pop_back();
      const TimePoint due = overdue_.front();
      overdue_.pop_front();
      if (it->socket.is_open()) {
        Send(*it, due);
      }
    }
    if (now < end) {
      loop_.AddTimer(now + kTickInterval, [this, end] { Tick(end); });
    }
  }

  void Drop(Connection& it) {
    if (!it.socket.is_open()) {
      return;
    }
    loop_.Unwatch(it.watch, it.socket.fd());
    it.socket.Close();
  }

  net::EventLoop& loop_;
  LoadOptions options_;
  LoadResult result_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<Connection*> idle_connections_;
  std::deque<TimePoint> overdue_;
  TimePoint next_due_;
};

}  // namespace gentianreach::bench

#endif  // BENCH_LOAD_GENERATOR_H_
