// Injects random faults into random daemons. The simulation checks at every
// step that a daemon's active version is an accepted one, complete, and never
// decreases, also across restarts. This test adds that all daemons converge to
// the newest version after the last fault.
#include <doctest/doctest.h>

#include <random>

#include "settings/relay_sim.h"

namespace gentianreach::settings {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSteps = 60;
constexpr Duration kConvergenceTime = seconds(17);

class FaultRun {
 public:
  FaultRun(std::size_t daemons, unsigned seed)
      : random_(seed), sim_(daemons, seed) {}

  void Run() {
    sim_.Accept();
    sim_.RunFor(kConvergenceTime);
    for (int step = 0; step < kSteps; ++step) {
      InjectFault();
      sim_.RunFor(milliseconds(PickBelow(4000)));
    }
    EndFaults();
    sim_.RunFor(kConvergenceTime);
    CHECK(sim_.AllCurrent());
  }

  [[nodiscard]] std::uint64_t accepted() const { return sim_.accepted(); }

 private:
  int PickBelow(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }
  RelaySim::Daemon& PickAnyDaemon() { return sim_.daemons()[PickDaemon()]; }
  std::size_t PickDaemon() {
    return static_cast<std::size_t>(
        PickBelow(static_cast<int>(sim_.daemons().size())));
  }

  void InjectFault() {
    switch (PickBelow(9)) {
      case 0:
      case 1:
        // No version can be accepted while the store is down.
        if (!down_) {
          sim_.Accept();
        }
        return;
      case 2:
        down_ = !down_;
        sim_.set_store_down(down_);
        return;
      case 3:
        sim_.Restart(PickDaemon());
        return;
      case 4:
        PickAnyDaemon().paused_until =
            sim_.now() + milliseconds(PickBelow(15000));
        return;
      case 5:
        PickAnyDaemon().group = PickBelow(2);
        return;
      case 6:
        PickAnyDaemon().reaches_store = PickBelow(2) == 0;
        return;
      case 7:
        sim_.set_loss(PickBelow(2) * 4);
        return;
      default:
        RestartMany();
    }
  }

  void RestartMany() {
    const bool all = PickBelow(4) == 0;
    for (std::size_t i = 0; i < sim_.daemons().size(); ++i) {
      if (all || PickBelow(3) == 0) {
        sim_.Restart(i);
      }
    }
  }

  // Ends all faults and waits until the last paused daemon resumes.
  void EndFaults() {
    sim_.set_store_down(false);
    sim_.set_loss(0);
    TimePoint last = sim_.now();
    for (RelaySim::Daemon& it : sim_.daemons()) {
      it.group = 0;
      it.reaches_store = true;
      last = std::max(last, it.paused_until);
    }
    sim_.RunFor(last - sim_.now());
  }

  std::mt19937 random_;
  RelaySim sim_;
  bool down_ = false;
};

TEST_CASE("one cell converges after random faults") {
  std::uint64_t accepted = 0;
  for (unsigned seed = 1; seed <= 120; ++seed) {
    CAPTURE(seed);
    FaultRun run(2 + seed % 11, seed);
    run.Run();
    accepted += run.accepted();
  }
  CHECK(accepted > 120);
}

TEST_CASE("several cells converge after random faults") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    FaultRun(40, seed).Run();
  }
}

}  // namespace
}  // namespace gentianreach::settings
