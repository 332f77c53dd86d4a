#include "net/listener.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <optional>

#include <doctest/doctest.h>

namespace gentianreach::net {
namespace {

using std::chrono::milliseconds;

// Leaves the process without a free descriptor until it is destroyed.
class NoDescriptors {
 public:
  NoDescriptors() {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
    const int lowest_free = open("/", O_PATH | O_CLOEXEC);
    REQUIRE(lowest_free >= 0);
    close(lowest_free);
    const rlimit none{static_cast<rlim_t>(lowest_free), before_.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

 private:
  rlimit before_{};
};

void RunFor(EventLoop& loop, Duration time) {
  const TimePoint end = loop.Now() + time;
  DeadlineTimer timer(loop, [] {});
  timer.Set(end);
  loop.RunUntil([&] { return loop.Now() >= end; });
}

TEST_CASE(
    "a connection that waited without a free descriptor is accepted later") {
  EventLoop loop;
  std::optional<TcpSocket> accepted;
  Listener listener(loop,
                    [&](TcpSocket socket) { accepted = std::move(socket); });
  REQUIRE(listener.Listen("127.0.0.1:0", false));
  auto client =
      TcpSocket::Connect("127.0.0.1:" + std::to_string(listener.port()));
  REQUIRE(client);
  {
    const NoDescriptors none;
    RunFor(loop, milliseconds(150));
    CHECK_FALSE(accepted.has_value());
  }
  // No further connection tells the loop that one waits.
  RunFor(loop, milliseconds(300));
  CHECK(accepted.has_value());
}

}  // namespace
}  // namespace gentianreach::net
