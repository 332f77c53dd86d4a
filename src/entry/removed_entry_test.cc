#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "entry/store_copies.h"
#include "platform/testing/fake_store.h"
#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Limit for each wait of a test; much longer than needed.
constexpr Duration kTestTimeout = std::chrono::seconds(30);
constexpr Duration kApplyTime = milliseconds(2000);
constexpr Duration kShortestExpiry = milliseconds(1000);
constexpr Duration kHeartbeatPeriod = milliseconds(50);
constexpr std::uint32_t kRank = 100;

// Guards against requests to servers that are gone: without the entry the copy
// has the digest of before it was added, which members took for an earlier
// state of the leader's copy.
TEST_CASE("a member learns in time that an entry that was added is gone") {
  const std::string leader_address = standins::LoopbackBlock() + "1:7002";
  platform::testing::FakeStore store;
  platform::PlatformClient leader_client(store.address());
  platform::PlatformClient member_client(store.address());
  net::EventLoop loop;
  std::set<std::string> entries;
  const auto apply = [&](const std::vector<platform::Object>& objects) {
    for (const platform::Object& it : objects) {
      if (it.deleted) {
        entries.erase(it.name);
      } else {
        entries.insert(it.name);
      }
    }
  };
  const StoreWatcher::Sink ignore{[](const auto&) {}, [](const auto&) {}};
  const StoreWatcher::Sink record{[&](const auto& objects) {
                                    entries.clear();
                                    apply(objects);
                                  },
                                  apply};
  StoreCopies leader(loop, leader_client, kShortestExpiry, kApplyTime,
                     {ignore, ignore, ignore});
  StoreCopies member(loop, member_client, kShortestExpiry, kApplyTime,
                     {ignore, record, ignore});
  REQUIRE(leader.Start(leader_address));
  REQUIRE(member.Start(standins::LoopbackBlock() + "2:7002"));
  TimePoint next_heartbeat{};
  const auto run_until = [&](const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
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
  run_until([&] { return entries.contains("s1"); });
  store.Put("servers", "s2", {{"n", 2}});
  run_until([&] { return entries.contains("s2"); });
  const TimePoint removed = loop.Now();
  store.Remove("servers", "s2");
  bool premature = false;
  run_until([&] {
    const bool gone = !entries.contains("s2");
    premature = premature || (!gone && member.servers_current_at() > removed);
    return gone || loop.Now() > removed + kApplyTime;
  });
  CHECK_FALSE(entries.contains("s2"));
  CHECK_FALSE(premature);
}

}  // namespace
}  // namespace gentianreach::entry
