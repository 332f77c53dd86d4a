#include "net/tcp_socket.h"

#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <doctest/doctest.h>

namespace gentianreach::net {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTestTimeout{10'000};
constexpr milliseconds kPause{1};

// Repeats `step` until it returns a value.
template <typename Step>
auto Await(Step step) {
  const auto give_up = Clock::now() + kTestTimeout;
  auto result = step();
  while (!result) {
    REQUIRE(Clock::now() < give_up);
    std::this_thread::sleep_for(kPause);
    result = step();
  }
  return *std::move(result);
}

TcpSocket ListenOnLoopback() {
  auto listener = TcpSocket::Listen("127.0.0.1:0", false);
  REQUIRE(listener);
  return std::move(*listener);
}

std::string AddressOf(const TcpSocket& listener) {
  return "127.0.0.1:" + std::to_string(listener.port());
}

struct Pair {
  TcpSocket client;
  TcpSocket server;
};

Pair ConnectPair() {
  TcpSocket listener = ListenOnLoopback();
  auto client = TcpSocket::Connect(AddressOf(listener));
  REQUIRE(client);
  TcpSocket server = Await([&] { return listener.Accept(); });
  REQUIRE(client->FinishConnect() == ConnectStatus::kConnected);
  return {std::move(*client), std::move(server)};
}

// Sends until the kernel accepts no more for some time. Returns the number of
// bytes that it has accepted.
std::size_t Fill(TcpSocket& socket) {
  constexpr milliseconds kBlockedTime{50};
  const std::string data(64 * 1024, 'x');
  std::size_t sent = 0;
  auto blocked_at = Clock::now() + kBlockedTime;
  while (Clock::now() < blocked_at) {
    const IoResult result = socket.Send(data);
    if (result.status == IoStatus::kOk) {
      sent += result.bytes;
      blocked_at = Clock::now() + kBlockedTime;
    }
  }
  return sent;
}

struct Drained {
  std::size_t bytes = 0;
  IoStatus end = IoStatus::kOk;
};

Drained Drain(TcpSocket& socket) {
  Drained drained;
  drained.end = Await([&]() -> std::optional<IoStatus> {
    std::array<char, 64 * 1024> space{};
    IoResult result = socket.Receive(space);
    for (; result.status == IoStatus::kOk; result = socket.Receive(space)) {
      drained.bytes += result.bytes;
    }
    return result.status == IoStatus::kWouldBlock
               ? std::nullopt
               : std::optional(result.status);
  });
  return drained;
}

// A process that connects to `address` and writes until its kernel accepts no
// more.
class Writer {
 public:
  Writer(const std::string& address, bool reset_when_process_ends) {
    std::array<int, 2> report{};
    REQUIRE(pipe(report.data()) == 0);
    pid_ = fork();
    REQUIRE(pid_ >= 0);
    if (pid_ == 0) {
      Write(address, reset_when_process_ends, report[1]);
    }
    close(report[1]);
    const ssize_t n = read(report[0], &written_, sizeof(written_));
    close(report[0]);
    CHECK(n == sizeof(written_));
  }
  ~Writer() { Kill(); }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  [[nodiscard]] std::size_t written() const { return written_; }

  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(std::exchange(pid_, 0), nullptr, 0);
    }
  }

 private:
  [[noreturn]] static void Write(const std::string& address,
                                 bool reset_when_process_ends,
                                 int report) {
    alarm(std::chrono::seconds(20).count());
    auto socket = TcpSocket::Connect(address);
    if (!socket) {
      _exit(1);
    }
    if (reset_when_process_ends) {
      socket->ResetWhenProcessEnds();
    }
    const std::size_t sent = Fill(*socket);
    if (write(report, &sent, sizeof(sent)) != sizeof(sent)) {
      _exit(1);
    }
    while (true) {
      pause();
    }
  }

  pid_t pid_ = 0;
  std::size_t written_ = 0;
};

TEST_CASE("the kernel sends on what a killed process has written") {
  TcpSocket listener = ListenOnLoopback();
  Writer writer(AddressOf(listener), false);
  TcpSocket server = Await([&] { return listener.Accept(); });
  writer.Kill();
  const Drained drained = Drain(server);
  CHECK(drained.end == IoStatus::kClosed);
  CHECK(drained.bytes == writer.written());
}

TEST_CASE("the kernel drops what a killed process has written if told so") {
  TcpSocket listener = ListenOnLoopback();
  Writer writer(AddressOf(listener), true);
  TcpSocket server = Await([&] { return listener.Accept(); });
  writer.Kill();
  const Drained drained = Drain(server);
  CHECK(drained.end == IoStatus::kFailed);
  CHECK(drained.bytes < writer.written());
}

TEST_CASE("a socket that is reset with its process reads the peer's end") {
  Pair pair = ConnectPair();
  pair.client.ResetWhenProcessEnds();
  REQUIRE(pair.client.Send("order").status == IoStatus::kOk);
  std::array<char, 16> space{};
  Await([&]() -> std::optional<bool> {
    const IoResult result = pair.server.Receive(space);
    return result.status == IoStatus::kOk ? std::optional(true) : std::nullopt;
  });
  REQUIRE(pair.server.Send("response").status == IoStatus::kOk);
  pair.server.Close();
  const Drained drained = Drain(pair.client);
  CHECK(drained.end == IoStatus::kClosed);
  CHECK(drained.bytes == std::string("response").size());
}

TEST_CASE("closing is orderly if all is acknowledged, and else a reset") {
  for (const bool fill : {false, true}) {
    CAPTURE(fill);
    Pair pair = ConnectPair();
    pair.client.ResetWhenProcessEnds();
    const std::size_t sent = fill ? Fill(pair.client) : 0;
    pair.client.Close();
    const Drained drained = Drain(pair.server);
    CHECK(drained.end == (fill ? IoStatus::kFailed : IoStatus::kClosed));
    CHECK(drained.bytes + (fill ? 1 : 0) <= sent);
  }
}

TEST_CASE("an aborted socket is reset though all is acknowledged") {
  Pair pair = ConnectPair();
  pair.client.ResetWhenProcessEnds();
  pair.client.Abort();
  CHECK(Drain(pair.server).end == IoStatus::kFailed);
}

TEST_CASE(
    "a connection fails when its data stays unacknowledged for too long") {
  constexpr milliseconds kLimit{300};
  Pair pair = ConnectPair();
  pair.client.LimitUnacknowledged(kLimit);
  const auto begin = Clock::now();
  Fill(pair.client);
  CHECK(Drain(pair.client).end == IoStatus::kFailed);
  CHECK(Clock::now() - begin >= kLimit);
}

}  // namespace
}  // namespace gentianreach::net
