#include "entry/crash_watch.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

const TimePoint kNow = TimePoint(std::chrono::seconds(50));
constexpr Fingerprint kKiller{17};

TEST_CASE("a request is refused after three losses, wherever they happened") {
  CrashWatch watch;
  watch.OnLost(kKiller, kNow);
  watch.OnLostElsewhere(kKiller, kNow);
  CHECK_FALSE(watch.IsRefused(kKiller, kNow));
  watch.OnLostElsewhere(kKiller, kNow);
  CHECK(watch.IsRefused(kKiller, kNow));
  CHECK_FALSE(watch.IsRefused(Fingerprint{18}, kNow));
}

TEST_CASE("an answer clears the request") {
  CrashWatch watch;
  for (int i = 0; i < 5; ++i) {
    watch.OnLost(kKiller, kNow);
  }
  watch.OnAnswered(kKiller);
  CHECK_FALSE(watch.IsRefused(kKiller, kNow));
}

TEST_CASE("losses are forgotten") {
  CrashWatch watch;
  for (int i = 0; i < 3; ++i) {
    watch.OnLost(kKiller, kNow);
  }
  CHECK_FALSE(watch.IsRefused(kKiller, kNow + std::chrono::minutes(3)));
}

TEST_CASE("only this daemon's own losses are passed on, once") {
  CrashWatch watch;
  watch.OnLost(kKiller, kNow);
  watch.OnLostElsewhere(Fingerprint{18}, kNow);
  CHECK(watch.TakeLosses().size() == 1);
  CHECK(watch.TakeLosses().empty());
}

}  // namespace
}  // namespace gentianreach::entry
