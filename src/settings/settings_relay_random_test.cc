// Random faults on random daemons. The simulation asserts at every step that
// no daemon's version falls, over all its lives, and that a version is in force
// as a whole; this test adds that all daemons are equal in the end.
#include <doctest/doctest.h>

#include <random>

#include "settings/relay_sim.h"

namespace gentianreach::settings {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSteps = 60;
constexpr Duration kBound = seconds(17);

class FaultRun {
 public:
  FaultRun(std::size_t daemons, unsigned seed)
      : random_(seed), sim_(daemons, seed) {}

  void Run() {
    sim_.Accept();
    sim_.RunFor(kBound);
    for (int step = 0; step < kSteps; ++step) {
      CrashReport();
      sim_.RunFor(milliseconds(Pick(4000)));
    }
    Heal();
    sim_.RunFor(kBound);
    CHECK(sim_.AllCurrent());
  }

  [[nodiscard]] std::uint64_t accepted() const { return sim_.accepted(); }

 private:
  int Pick(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }
  RelaySim::Daemon& Any() { return sim_.daemons()[PickDaemon()]; }
  std::size_t PickDaemon() {
    return static_cast<std::size_t>(
        Pick(static_cast<int>(sim_.daemons().size())));
  }

  void CrashReport() {
    switch (Pick(9)) {
      case 0:
      case 1:
        // An outage accepts nothing.
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
        Any().paused_until = sim_.now() + milliseconds(Pick(15000));
        return;
      case 5:
        Any().group = Pick(2);
        return;
      case 6:
        Any().reaches_store = Pick(2) == 0;
        return;
      case 7:
        sim_.set_loss(Pick(2) * 4);
        return;
      default:
        RestartMany();
    }
  }

  void RestartMany() {
    const bool all = Pick(4) == 0;
    for (std::size_t i = 0; i < sim_.daemons().size(); ++i) {
      if (all || Pick(3) == 0) {
        sim_.Restart(i);
      }
    }
  }

  // Ends every fault; pauses run out by themselves.
  void Heal() {
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

TEST_CASE("settings outlive random faults on one cell") {
  std::uint64_t accepted = 0;
  for (unsigned seed = 1; seed <= 120; ++seed) {
    CAPTURE(seed);
    FaultRun run(2 + seed % 11, seed);
    run.Run();
    accepted += run.accepted();
  }
  CHECK(accepted > 120);
}

TEST_CASE("settings outlive random faults on several cells") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    FaultRun(40, seed).Run();
  }
}

}  // namespace
}  // namespace gentianreach::settings
