#include "entry/store_copies.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "platform/testing/fake_store.h"
#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Limit for each wait of a test; much longer than needed.
constexpr Duration kTestTimeout = std::chrono::seconds(30);
// Time within which a change has to take effect at every daemon.
constexpr Duration kApplyTime = milliseconds(2000);
// How often the leader's heartbeats arrive.
constexpr Duration kHeartbeatPeriod = milliseconds(50);
// Longer than a watch of a leader waits.
constexpr Duration kLongerThanWatch = milliseconds(700);

// A daemon's copies, and the leader's heartbeats that it receives.
class Member {
 public:
  explicit Member(const std::string& address)
      : copies_(loop,
                client_,
                {.config = Recorder(),
                 .servers = Ignore(),
                 .ownership = Ignore()}) {
    copies_.ChooseSource({.leads = true});
    REQUIRE(copies_.Start(address));
    WaitFor([this] { return copies_.current_at() != TimePoint{}; });
  }

  // Runs until `done` returns true, while heartbeats arrive from a leader that
  // reports no changes and whose copies are complete up to `current_at()`.
  void FollowUntil(const std::function<bool()>& done,
                   const std::function<TimePoint()>& current_at) {
    const auto changed_at = copies_.CopyStatus().changed_at;
    TimePoint next_heartbeat{};
    WaitFor([&] {
      if (loop.Now() >= next_heartbeat) {
        next_heartbeat = loop.Now() + kHeartbeatPeriod;
        copies_.OnLeaderHeartbeat(
            {.changed_at = changed_at, .current_at = current_at()});
        copies_.ChooseSource({.leader_last_seen = loop.Now()});
      }
      return done();
    });
  }

  platform::testing::FakeStore store;
  net::EventLoop loop;
  int config = 0;

 private:
  StoreWatcher::Sink Recorder() {
    const auto record = [this](const std::vector<platform::Object>& objects) {
      for (const platform::Object& it : objects) {
        config = it.content().get<int>();
      }
    };
    return {record, record};
  }
  static StoreWatcher::Sink Ignore() {
    return {[](const auto&) {}, [](const auto&) {}};
  }
  void WaitFor(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      loop.RunOnce(false);
    }
  }

  platform::PlatformClient client_{store.address()};
  StoreCopies copies_;
};

TEST_CASE("a member of a leader that falls behind learns of changes in time") {
  Member member(standins::LoopbackBlock() + "1:7002");
  const TimePoint followed_until = member.loop.Now() + kLongerThanWatch;
  member.FollowUntil([&] { return member.loop.Now() >= followed_until; },
                     [&] { return member.loop.Now(); });
  member.store.Put("config", "main", 1);
  const TimePoint changed = member.loop.Now();
  member.FollowUntil(
      [&] {
        return member.config == 1 || member.loop.Now() > changed + kApplyTime;
      },
      [&] { return changed; });
  CHECK(member.config == 1);
}

}  // namespace
}  // namespace gentianreach::entry
