// Tests of the distribution of settings under single faults.
#include <doctest/doctest.h>

#include "settings/relay_sim.h"
#include "settings/text_delta.h"

namespace gentianreach::settings {
namespace {

using std::chrono::seconds;

constexpr std::size_t kDaemons = 12;
// Time within which an accepted version must be active on every daemon once all
// faults have ended.
constexpr Duration kConvergenceTime = seconds(17);

// A cell on whose daemons version 2 is active.
class ConvergedSim : public RelaySim {
 public:
  ConvergedSim() : RelaySim(kDaemons, 1) {
    Accept();
    Accept();
    RunFor(kConvergenceTime);
    REQUIRE(AllCurrent());
  }
};

TEST_CASE("an accepted version becomes active on every daemon") {
  for (const std::size_t daemons : {1, 2, 3, 12, 48}) {
    CAPTURE(daemons);
    RelaySim sim(daemons, 7);
    sim.Accept();
    sim.RunFor(kConvergenceTime);
    CHECK(sim.AllCurrent());
    sim.Accept();
    sim.RunFor(kConvergenceTime);
    CHECK(sim.AllCurrent());
  }
}

TEST_CASE("another member takes over from a paused watcher") {
  ConvergedSim sim;
  for (auto& it : sim.daemons()) {
    if (it.relay->watching()) {
      it.paused_until = sim.now() + seconds(60);
    }
  }
  sim.Accept();
  sim.RunFor(kConvergenceTime);
  std::size_t current = 0;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    current += sim.ActiveVersion(i) == 3 ? 1 : 0;
  }
  CHECK(current == kDaemons - 1);
  sim.RunFor(seconds(60));
  CHECK(sim.AllCurrent());
}

TEST_CASE("a watcher that cannot reach the store hands over the role") {
  ConvergedSim sim;
  for (auto& it : sim.daemons()) {
    it.reaches_store = !it.relay->watching();
  }
  sim.Accept();
  sim.RunFor(kConvergenceTime);
  CHECK(sim.AllCurrent());
}

TEST_CASE(
    "a replaced VM gets its settings from other members in a store outage") {
  ConvergedSim sim;
  sim.set_store_down(true);
  sim.Restart(3);
  sim.RunFor(kConvergenceTime);
  CHECK(sim.ActiveVersion(3) == 2);
  sim.RunFor(kConvergenceTime);
  CHECK(sim.daemons()[3].relay->SyncStatusAt(sim.now()) ==
        SyncStatus::kStoreSilent);
}

TEST_CASE(
    "a replaced VM that reaches only a member that is behind stays inactive") {
  ConvergedSim sim;
  // Version 3 is active on daemon 3 but does not reach daemon 5.
  sim.daemons()[5].group = 1;
  sim.daemons()[5].reaches_store = false;
  sim.Accept();
  sim.RunFor(kConvergenceTime);
  REQUIRE(sim.ActiveVersion(3) == 3);
  REQUIRE(sim.ActiveVersion(5) == 2);
  sim.set_store_down(true);
  sim.daemons()[3].group = 1;
  sim.Restart(3);
  sim.RunFor(seconds(120));
  CHECK(sim.ActiveVersion(3) == 0);
  CHECK(sim.daemons()[3].relay->SyncStatusAt(sim.now()) == SyncStatus::kNone);
  // Recovers once the other members are reachable again, even without the
  // store.
  sim.daemons()[3].group = 0;
  sim.daemons()[5].group = 0;
  sim.RunFor(kConvergenceTime);
  CHECK(sim.AllCurrent());
}

TEST_CASE("responses of replaced VMs do not count towards each other's sync") {
  ConvergedSim sim;
  sim.daemons()[0].group = 1;
  sim.daemons()[0].reaches_store = false;
  sim.Accept();
  sim.RunFor(kConvergenceTime);
  REQUIRE(sim.ActiveVersion(1) == 3);
  // Seven daemons on which version 3 was active restart and reach only each
  // other and daemon 0, which is behind.
  sim.set_store_down(true);
  for (std::size_t i = 1; i <= 7; ++i) {
    sim.daemons()[i].group = 1;
    sim.Restart(i);
  }
  sim.RunFor(seconds(120));
  CHECK(sim.ActiveVersion(1) == 0);
  CHECK(sim.daemons()[1].relay->held()->number == 2);
}

TEST_CASE("a cell replaced as a whole in a store outage waits for the store") {
  ConvergedSim sim;
  sim.set_store_down(true);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    sim.Restart(i);
  }
  sim.RunFor(seconds(60));
  CHECK(sim.ActiveVersion(0) == 0);
  sim.set_store_down(false);
  sim.RunFor(kConvergenceTime);
  CHECK(sim.AllCurrent());
}

TEST_CASE(
    "a daemon that is cut off reports it and serves only idempotent requests") {
  ConvergedSim sim;
  sim.daemons()[4].group = 1;
  sim.daemons()[4].reaches_store = false;
  sim.RunFor(seconds(60));
  const SyncStatus sync_status =
      sim.daemons()[4].relay->SyncStatusAt(sim.now());
  CHECK(sync_status == SyncStatus::kCutOff);
  CHECK(MayServe(sync_status, true));
  CHECK_FALSE(MayServe(sync_status, false));
  CHECK(sim.ActiveVersion(4) == 2);
}

TEST_CASE("a slow store and lost messages only delay a new version") {
  ConvergedSim sim;
  sim.set_store_delay(seconds(1));
  sim.set_loss(5);
  sim.Accept();
  sim.RunFor(kConvergenceTime);
  CHECK(sim.AllCurrent());
}

TEST_CASE("a version that fails validation is rejected") {
  SettingsRelay relay(DaemonId("a"), 1, TimePoint{});
  relay.SetMembers({DaemonId("a")}, {});
  stored::SettingsVersionT version;
  version.number = 1;
  version.text = "[limits]\nfrom_the_future = 1\n";
  version.digest = DigestOf(version.text);
  relay.Tick(TimePoint{});
  REQUIRE(relay.PollStore(TimePoint{}));
  relay.OnStoreReply({store::Status::kOk, ObjectVersion(1), Encode(version)},
                     TimePoint{});
  CHECK(relay.active_version() == nullptr);
  CHECK(relay.counters().rejected == 1);
  CHECK(relay.rejection().size() == 1);
}

TEST_CASE("MakeDelta describes a change as one replaced span") {
  const TextDelta delta = MakeDelta("slots = 3\nx", "slots = 45\nx");
  CHECK(delta.offset == 8);
  CHECK(delta.removed == 1);
  CHECK(delta.inserted == "45");
  CHECK(ApplyDelta("slots = 3\nx", delta) == "slots = 45\nx");
  CHECK(ApplyDelta("aa", MakeDelta("aa", "aaa")) == "aaa");
  CHECK_FALSE(ApplyDelta("short", delta));
}

}  // namespace
}  // namespace gentianreach::settings
