#include "entry/crash_watch.h"

#include <chrono>
#include <cstddef>
#include <utility>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

const TimePoint kNow = TimePoint(std::chrono::seconds(50));
constexpr Fingerprint kCrashingRequest{17};
// Longer than losses are remembered.
constexpr Duration kLongTime = std::chrono::minutes(3);

// Returns a watch that has counted enough losses of `fingerprint` at `now`.
CrashWatch Refusing(Fingerprint fingerprint, TimePoint now) {
  CrashWatch watch;
  for (int i = 0; i < 3; ++i) {
    watch.OnRemoteLoss(fingerprint, now);
  }
  return watch;
}

// Passes on what `from` refuses, as daemons do in their messages.
void Tell(const CrashWatch& from, CrashWatch& to, TimePoint now) {
  to.OnRemoteRefusals(from.RefusedUnknownTo(to.RefusalDigest(now), now), now);
}

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

TEST_CASE("one more loss refuses a request again whose refusal has ended") {
  CrashWatch first = Refusing(kCrashingRequest, kNow);
  CrashWatch second;
  Tell(first, second, kNow);
  const TimePoint later = kNow + kLongTime;
  for (CrashWatch* it : {&first, &second}) {
    CHECK_FALSE(it->IsRefused(kCrashingRequest, later));
    it->OnLost(kCrashingRequest, later);
    CHECK(it->IsRefused(kCrashingRequest, later));
  }
}

TEST_CASE("a daemon that has counted no losses refuses what others refuse") {
  const CrashWatch first = Refusing(kCrashingRequest, kNow);
  CrashWatch second;
  CHECK(second.OnRemoteRefusals(first.Refused(kNow), kNow) == 1);
  CHECK(second.IsRefused(kCrashingRequest, kNow));
  CHECK_FALSE(second.IsRefused(Fingerprint{18}, kNow));
  CHECK(second.OnRemoteRefusals(first.Refused(kNow), kNow) == 0);
  // It does not report the losses as its own.
  CHECK(second.TakeLocalLosses().empty());
}

TEST_CASE("a refusal ends at the same time at all daemons") {
  const CrashWatch first = Refusing(kCrashingRequest, kNow);
  CrashWatch second;
  const TimePoint later = kNow + std::chrono::seconds(60);
  Tell(first, second, later);
  CHECK(second.IsRefused(kCrashingRequest, later));
  CHECK_FALSE(second.IsRefused(kCrashingRequest, kNow + kLongTime));
  CrashWatch third;
  Tell(second, third, kNow + kLongTime);
  CHECK_FALSE(third.IsRefused(kCrashingRequest, kNow + kLongTime));
}

TEST_CASE("daemons whose messages are late do not refuse a request for ever") {
  CrashWatch first = Refusing(kCrashingRequest, kNow);
  CrashWatch second;
  const Duration delay = std::chrono::milliseconds(200);
  TimePoint now = kNow;
  for (; now < kNow + kLongTime; now += delay) {
    // The age of the loss is that at the sender.
    auto refused = first.RefusedUnknownTo(second.RefusalDigest(now), now);
    for (RefusedRequest& it : refused) {
      it.lost_at += delay;
    }
    second.OnRemoteRefusals(refused, now + delay);
    std::swap(first, second);
  }
  CHECK_FALSE(first.IsRefused(kCrashingRequest, now));
  CHECK_FALSE(second.IsRefused(kCrashingRequest, now));
}

TEST_CASE("a refusal that a response has ended is not taken from others") {
  const CrashWatch first = Refusing(kCrashingRequest, kNow);
  CrashWatch second = Refusing(kCrashingRequest, kNow);
  second.OnAnswered(kCrashingRequest);
  Tell(first, second, kNow);
  CHECK_FALSE(second.IsRefused(kCrashingRequest, kNow));
  CHECK(second.Refused(kNow).empty());
  // Later losses count again.
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(second.IsRefused(kCrashingRequest, kNow));
    second.OnLost(kCrashingRequest, kNow);
  }
  CHECK(second.IsRefused(kCrashingRequest, kNow));
}

TEST_CASE("daemons that refuse the same have nothing to tell each other") {
  CrashWatch first = Refusing(kCrashingRequest, kNow);
  CrashWatch second;
  CHECK(second.RefusalDigest(kNow) == 0);
  CHECK(first.RefusedUnknownTo(second.RefusalDigest(kNow), kNow).size() == 1);
  Tell(first, second, kNow);
  CHECK(first.RefusedUnknownTo(second.RefusalDigest(kNow), kNow).empty());
  // Nor do they once one of them has had a response.
  first.OnAnswered(kCrashingRequest);
  CHECK(second.RefusedUnknownTo(first.RefusalDigest(kNow), kNow).empty());
}

TEST_CASE("of many refused requests the latest are passed on") {
  CrashWatch watch;
  constexpr std::size_t kMany = 2 * CrashWatch::kMaxSharedRefusals;
  for (std::size_t i = 0; i < kMany; ++i) {
    for (int loss = 0; loss < 3; ++loss) {
      watch.OnLost(Fingerprint{i}, kNow + std::chrono::milliseconds(i));
    }
  }
  const auto refused = watch.Refused(kNow + std::chrono::seconds(1));
  REQUIRE(refused.size() == CrashWatch::kMaxSharedRefusals);
  CHECK(refused.front().fingerprint == Fingerprint{kMany - 1});
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
