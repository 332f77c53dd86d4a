// Evacuations of zones as daemons learn of them from the store and from each
// other.
#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "entry/entry_state.h"
#include "entry/evacuation_objects.h"
#include "entry/store_copies.h"
#include "platform/testing/fake_store.h"
#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Limit for each wait of a test; much longer than needed.
constexpr Duration kTestTimeout = std::chrono::seconds(30);
// The shortest that deployments use are longer, so that this is the harder
// case.
constexpr Duration kDrainTime = milliseconds(2000);
constexpr Duration kEvacuationTime = milliseconds(2000);
constexpr Duration kShortestExpiry = milliseconds(1000);
constexpr Duration kHeartbeatPeriod = milliseconds(50);
const ZoneName kZone("z1");

// What a daemon knows of the store.
class Daemon {
 public:
  Daemon(net::EventLoop& loop,
         const std::string& store,
         const std::string& ip,
         Duration evacuation_time = kEvacuationTime)
      : address(ip + ":7002"),
        state(loop,
              HeaderNames(),
              ZoneName("z0"),
              RetryBounds(),
              DrainBound(kDrainTime),
              ip,
              EntryState::kDefaultBodyBytes,
              evacuation_time),
        client(store, ip),
        copies(loop,
               client,
               kShortestExpiry,
               state.drain_bound.max_entries_age(),
               Sinks(),
               ip) {
    REQUIRE(copies.Start(address));
  }

  // Returns until when an owner of keys in kZone may be sent requests by what
  // the daemon knows now.
  [[nodiscard]] TimePoint SendUntil() const {
    const EntriesStatus entries{.current_at = copies.entries_current_at(),
                                .store_lost = copies.IsStoreLost()};
    return std::min(state.drain_bound.EntriesUntil(entries),
                    state.evacuations.SendUntil(kZone));
  }
  [[nodiscard]] bool MaySend() const { return state.loop.Now() < SendUntil(); }
  [[nodiscard]] std::uint64_t evacuation_calls() const {
    std::uint64_t calls = 0;
    for (const auto& [kind_and_call, n] : client.store_call_counts()) {
      calls +=
          kind_and_call.first == platform::ObjectKind::kEvacuations ? n : 0;
    }
    return calls;
  }

  const std::string address;
  EntryState state;
  EvacuationObjects objects{state};
  platform::PlatformClient client;
  StoreCopies copies;
  // When requests to kZone were last allowed.
  TimePoint last_sent{};

 private:
  StoreCopies::Sinks Sinks() {
    const StoreWatcher::Sink ignore{[](const auto&) {}, [](const auto&) {}};
    StoreCopies::Sinks sinks{ignore, ignore, ignore};
    if (state.evacuations.enabled()) {
      sinks.evacuations = {
          [this](const auto& it) {
            objects.ApplyList(it, copies.evacuations_current_at(), "");
          },
          [this](const auto& it) {
            objects.ApplyEvents(it, copies.evacuations_current_at(), "");
          }};
    }
    return sinks;
  }
};

// Daemons of which the first one leads unless it is lost.
class Fleet {
 public:
  explicit Fleet(Duration leaders_evacuation_time = kEvacuationTime) {
    Add(leaders_evacuation_time);
    Add();
    RunUntil([&] {
      return std::ranges::all_of(daemons,
                                 [](const auto& it) { return it->MaySend(); });
    });
  }

  Daemon& Add(Duration evacuation_time = kEvacuationTime) {
    const auto n = daemons.size() + 1;
    daemons.push_back(std::make_unique<Daemon>(loop, store.address(), Ip(n),
                                               evacuation_time));
    return *daemons.back();
  }
  // Returns the address of the daemon with this number, from 1.
  static std::string Ip(std::size_t number) {
    return standins::LoopbackBlock() + std::to_string(number);
  }
  Daemon& leader() { return *daemons[0]; }
  Daemon& member() { return *daemons[1]; }

  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      if (loop.Now() >= next_heartbeat_) {
        next_heartbeat_ = loop.Now() + kHeartbeatPeriod;
        SendHeartbeats();
      }
      loop.RunOnce(false);
      for (const auto& it : daemons) {
        if (it->MaySend()) {
          it->last_sent = loop.Now();
        }
      }
    }
  }
  void RunFor(Duration time) {
    const TimePoint end = loop.Now() + time;
    RunUntil([&] { return loop.Now() >= end; });
  }

  // Evacuates kZone and runs until that has to be in force. Checks that no
  // daemon with evacuations has sent requests that arrive later.
  void Evacuate() {
    store.Put("evacuations", kZone.value(), nlohmann::json::object());
    const TimePoint in_force = loop.Now() + kEvacuationTime;
    RunUntil([&] { return loop.Now() >= in_force + milliseconds(500); });
    CheckNothingArrivesAfter(in_force);
  }
  void CheckNothingArrivesAfter(TimePoint in_force) {
    for (const auto& it : daemons) {
      if (it->state.evacuations.enabled()) {
        CHECK(it->last_sent + DrainBound::kTransitTime <= in_force);
      }
    }
  }

  platform::testing::FakeStore store;
  net::EventLoop loop;
  std::vector<std::unique_ptr<Daemon>> daemons;
  bool leader_lost = false;

 private:
  void SendHeartbeats() {
    StoreCopyStatus status = leader().copies.CopyStatus();
    status.address = leader().address;
    status.sent_at = loop.Now();
    if (!leader_lost) {
      for (std::size_t i = 1; i < daemons.size(); ++i) {
        leader().copies.OnMembers({daemons[i]->address});
      }
      leader().copies.ChooseSource({.leads = true});
      leader_seen_ = loop.Now();
    }
    for (std::size_t i = 1; i < daemons.size(); ++i) {
      if (!leader_lost) {
        daemons[i]->copies.OnLeaderHeartbeat(status);
      }
      daemons[i]->copies.ChooseSource(
          {.leader_last_seen = leader_seen_,
           .rank = static_cast<std::uint32_t>(i - 1),
           .members = static_cast<std::uint32_t>(daemons.size())});
    }
  }

  TimePoint next_heartbeat_{};
  TimePoint leader_seen_{};
};

// Guards against daemons that learn of an evacuation or of its end too late or
// not at all.
TEST_CASE("an evacuation is in force in time and is taken back") {
  Fleet fleet;
  fleet.Evacuate();
  for (const auto& it : fleet.daemons) {
    CHECK(it->state.evacuations.IsEvacuated(kZone));
    // The copies are current, so that other zones get requests.
    CHECK(it->copies.entries_current_at() > fleet.loop.Now() - kDrainTime);
  }
  fleet.store.Remove("evacuations", kZone.value());
  const TimePoint removed = fleet.loop.Now();
  fleet.RunUntil([&] {
    return std::ranges::all_of(fleet.daemons,
                               [](const auto& it) { return it->MaySend(); });
  });
  CHECK(fleet.loop.Now() < removed + kDrainTime);
  CHECK(fleet.member().state.evacuations.ended_at(kZone) >= removed);
}

// Guards against members that stay with the copy of a leader that is gone.
TEST_CASE("an evacuation is in force in time although the leader is lost") {
  Fleet fleet;
  fleet.leader_lost = true;
  fleet.Evacuate();
  CHECK(fleet.member().state.evacuations.IsEvacuated(kZone));
}

// Guards against a fleet that follows a leader that the store refuses.
TEST_CASE("an evacuation is in force in time although the store refuses one") {
  Fleet fleet;
  std::string refused;
  SUBCASE("the leader") {
    refused = Fleet::Ip(1);
  }
  SUBCASE("a member") {
    refused = Fleet::Ip(2);
  }
  fleet.store.SetClientFailure(refused, 503);
  fleet.Evacuate();
  CHECK(fleet.member().state.evacuations.IsEvacuated(kZone));
}

// Guards against owners that go on getting requests because the store, which
// has acknowledged the evacuation, answers no longer.
TEST_CASE("an evacuation stays in force while the store is lost") {
  Fleet fleet;
  fleet.store.Put("evacuations", kZone.value(), nlohmann::json::object());
  const TimePoint in_force = fleet.loop.Now() + kEvacuationTime;
  fleet.RunUntil([&] {
    return std::ranges::all_of(fleet.daemons, [](const auto& it) {
      return it->state.evacuations.IsEvacuated(kZone);
    });
  });
  fleet.store.set_failure(503);
  // Copies that are too old decide again once the store counts as lost.
  fleet.RunUntil([&] { return fleet.leader().copies.IsStoreLost(); });
  fleet.RunUntil(
      [&] { return fleet.loop.Now() >= in_force + milliseconds(500); });
  fleet.CheckNothingArrivesAfter(in_force);
}

// Guards against a daemon that sends by server entries alone before it has the
// evacuations, and against one that takes an old evacuation for a new one.
TEST_CASE("a daemon that starts during an evacuation sends nothing there") {
  Fleet fleet;
  fleet.Evacuate();
  SUBCASE("with the store") {}
  SUBCASE("with the leader alone") {
    fleet.store.SetClientFailure(Fleet::Ip(3), 503);
  }
  const Daemon& started = fleet.Add();
  fleet.RunUntil([&] {
    return started.copies.entries_current_at() != TimePoint{} &&
           started.state.evacuations.IsEvacuated(kZone);
  });
  fleet.RunFor(milliseconds(500));
  CHECK(started.last_sent == TimePoint{});
  CHECK(started.state.evacuations.MoveUntil(kZone) == TimePoint{});
}

// Guards against copies that count as current although the leader, of an
// earlier version or without the setting, says nothing of evacuations.
TEST_CASE("a leader that states no evacuations does not keep them current") {
  Fleet fleet(Duration(0));
  REQUIRE(fleet.leader().copies.CopyStatus().changed_at.size() == 3);
  fleet.Evacuate();
  CHECK(fleet.member().state.evacuations.IsEvacuated(kZone));
  CHECK(fleet.member().copies.entries_current_at() >
        fleet.loop.Now() - kDrainTime);
}

// Guards against members without the setting, such as those of earlier
// versions, that cannot use the copies of a leader with one more kind.
TEST_CASE("a member that reads no evacuations follows a leader that does") {
  Fleet fleet;
  Daemon& member = fleet.Add(Duration(0));
  REQUIRE(fleet.leader().copies.CopyStatus().changed_at.size() == 4);
  fleet.store.Put("evacuations", kZone.value(), nlohmann::json::object());
  fleet.RunFor(kEvacuationTime);
  CHECK_FALSE(member.state.evacuations.IsEvacuated(kZone));
  CHECK(member.MaySend());
  CHECK(member.copies.source() == CopySource::kLeader);
  // It has asked neither the store nor the leader for them.
  CHECK(member.evacuation_calls() == 0);
  CHECK(member.copies.relay_failures() == 0);
  CHECK(fleet.leader().evacuation_calls() > 0);
}

}  // namespace
}  // namespace gentianreach::entry
