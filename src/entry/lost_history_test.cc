#include <chrono>
#include <cstdint>
#include <string>

#include <doctest/doctest.h>

#include "entry/store_copies.h"
#include "platform/testing/fake_store.h"
#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

constexpr Duration kApplyTime = milliseconds(2000);
constexpr Duration kShortestExpiry = milliseconds(1000);
constexpr Duration kHeartbeatPeriod = milliseconds(50);
constexpr std::uint32_t kRank = 100;

StoreCopies::Sinks IgnoreAll() {
  const StoreWatcher::Sink sink{[](const auto&) {}, [](const auto&) {}};
  return {sink, sink, sink};
}

// Guards against sends by a member whose entries count as younger than they
// are: the leader's watches were silent before the history was dropped.
TEST_CASE("a member takes back what the leader's silent watches had proved") {
  const std::string leader_address = standins::LoopbackBlock() + "1:7002";
  platform::testing::FakeStore store;
  platform::PlatformClient leader_client(store.address());
  platform::PlatformClient member_client(store.address());
  net::EventLoop loop;
  StoreCopies leader(loop, leader_client, kShortestExpiry, kApplyTime,
                     IgnoreAll());
  StoreCopies member(loop, member_client, kShortestExpiry, kApplyTime,
                     IgnoreAll());
  REQUIRE(leader.Start(leader_address));
  REQUIRE(member.Start(standins::LoopbackBlock() + "2:7002"));
  TimePoint next_heartbeat{};
  const auto run_for = [&](Duration time) {
    const TimePoint end = loop.Now() + time;
    while (loop.Now() < end) {
      leader.ChooseSource({.leads = true});
      if (loop.Now() >= next_heartbeat) {
        next_heartbeat = loop.Now() + kHeartbeatPeriod;
        StoreCopyStatus status = leader.CopyStatus();
        status.address = leader_address;
        member.OnLeaderHeartbeat(status);
        member.ChooseSource({.leader_last_seen = loop.Now(), .rank = kRank});
      }
      loop.RunOnce(false);
    }
  };
  store.Put("servers", "s1", {{"n", 1}});
  run_for(std::chrono::seconds(3));
  store.set_hide_changes(true);
  const TimePoint changed = loop.Now();
  store.Remove("servers", "s1");
  run_for(std::chrono::seconds(1));
  // The leader learns of the loss, and not yet of the change.
  store.set_list_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  store.DropHistory();
  run_for(milliseconds(200));
  CHECK(leader.servers_current_at() <= changed);
  CHECK(member.servers_current_at() <= changed);
}

}  // namespace
}  // namespace gentianreach::entry
