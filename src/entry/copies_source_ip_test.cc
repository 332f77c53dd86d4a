#include <chrono>
#include <string>

#include <doctest/doctest.h>
#include <boost/leaf/handle_errors.hpp>

#include "entry/store_copies.h"
#include "net/tcp_socket.h"
#include "platform/testing/fake_store.h"
#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTestTimeout = std::chrono::seconds(30);
constexpr Duration kApplyTime = milliseconds(2000);
constexpr Duration kShortestExpiry = milliseconds(1000);

StoreCopies::Sinks IgnoreAll() {
  const StoreWatcher::Sink sink{[](const auto&) {}, [](const auto&) {}};
  return {sink, sink, sink};
}

TEST_CASE("changes are fetched from other daemons from the source IP") {
  const std::string source_ip = standins::LoopbackBlock() + "7";
  auto listener = net::TcpSocket::Listen("127.0.0.1:0", false);
  REQUIRE(listener);
  net::EventLoop loop;
  platform::testing::FakeStore store;
  platform::PlatformClient client(store.address());
  StoreCopies copies(loop, client, kShortestExpiry, kApplyTime, IgnoreAll(),
                     source_ip);
  REQUIRE(copies.Start(standins::LoopbackBlock() + "8:7002"));
  const std::string leader = "127.0.0.1:" + std::to_string(listener->port());
  const TimePoint end = loop.Now() + kTestTimeout;
  std::string peer;
  while (peer.empty()) {
    REQUIRE(loop.Now() < end);
    copies.ChooseSource({.leader_last_seen = loop.Now(), .rank = 100});
    copies.OnLeaderHeartbeat({.address = leader,
                              .changed_at = {1'000, 1'000, 1'000},
                              .current_at = loop.Now()});
    loop.RunOnce(false);
    if (auto accepted = listener->Accept()) {
      peer = accepted->PeerAddress();
    }
  }
  CHECK(peer == source_ip);
}

}  // namespace
}  // namespace gentianreach::entry
