#include "entry/crash_watch.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

const TimePoint kNow = TimePoint(std::chrono::seconds(50));
constexpr Fingerprint kCrashingRequest{17};

TEST_CASE("a request is refused after three losses over all daemons") {
  CrashWatch watch;
  watch.OnLost(kCrashingRequest, kNow);
  watch.OnRemoteLoss(kCrashingRequest, kNow);
  CHECK_FALSE(watch.IsRefused(kCrashingRequest, kNow));
  watch.OnRemoteLoss(kCrashingRequest, kNow);
  CHECK(watch.IsRefused(kCrashingRequest, kNow));
  CHECK_FALSE(watch.IsRefused(Fingerprint{18}, kNow));
}

TEST_CASE("a response resets the loss count") {
  CrashWatch watch;
  for (int i = 0; i < 5; ++i) {
    watch.OnLost(kCrashingRequest, kNow);
  }
  watch.OnAnswered(kCrashingRequest);
  CHECK_FALSE(watch.IsRefused(kCrashingRequest, kNow));
}

TEST_CASE("losses expire") {
  CrashWatch watch;
  for (int i = 0; i < 3; ++i) {
    watch.OnLost(kCrashingRequest, kNow);
  }
  CHECK_FALSE(
      watch.IsRefused(kCrashingRequest, kNow + std::chrono::minutes(3)));
}

TEST_CASE("TakeLocalLosses returns only this daemon's losses, and each once") {
  CrashWatch watch;
  watch.OnLost(kCrashingRequest, kNow);
  watch.OnRemoteLoss(Fingerprint{18}, kNow);
  CHECK(watch.TakeLocalLosses().size() == 1);
  CHECK(watch.TakeLocalLosses().empty());
}

}  // namespace
}  // namespace gentianreach::entry
