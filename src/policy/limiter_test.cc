#include "policy/limiter.h"

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

// A limiter whose window is kept full of requests of the same latency.
class SaturatedLimiter {
 public:
  explicit SaturatedLimiter(ReactiveLimiterOptions options)
      : limiter_(options) {}

  void AnswerRequests(int rounds, Duration latency) {
    for (int n = 0; n < rounds; ++n) {
      now_ = limiter_.NextSend(now_).value_or(now_);
      while (limiter_.MaySend(now_))
        limiter_.OnSent(now_);
      now_ += latency;
      limiter_.OnEnd(AttemptEnd::kAnswered, latency, now_);
    }
  }
  void Shed() {
    while (limiter_.in_flight() == 0)
      limiter_.OnSent(now_);
    limiter_.OnEnd(AttemptEnd::kShed, milliseconds(1), now_);
  }
  void CancelAll() {
    while (limiter_.in_flight() > 0)
      limiter_.OnEnd(AttemptEnd::kCancelled, milliseconds(1), now_);
  }
  ReactiveLimiter& limiter() { return limiter_; }
  TimePoint now() const { return now_; }

 private:
  ReactiveLimiter limiter_;
  TimePoint now_{std::chrono::hours(1)};
};

TEST_CASE("a full window grows up to the daemon's share of the connections") {
  SaturatedLimiter saturated({.connections = 65, .daemons = 12});
  CHECK(saturated.limiter().Window() == 1);
  saturated.AnswerRequests(1'000, milliseconds(10));
  CHECK(saturated.limiter().Window() == doctest::Approx(65.0 / 12));
  CHECK(saturated.limiter().in_flight() <= 5);
}

TEST_CASE("a shed request shrinks the window and pauses sending") {
  SaturatedLimiter saturated({});
  saturated.AnswerRequests(200, milliseconds(10));
  const double before = saturated.limiter().Window();
  saturated.Shed();
  CHECK(saturated.limiter().Window() < before);
  saturated.CancelAll();
  CHECK_FALSE(saturated.limiter().MaySend(saturated.now()));
  const auto next = saturated.limiter().NextSend(saturated.now());
  REQUIRE(next);
  CHECK(*next > saturated.now());
  CHECK(saturated.limiter().MaySend(*next));
}

TEST_CASE("high latency at a server that never sheds shrinks the window") {
  SaturatedLimiter saturated({});
  saturated.AnswerRequests(1'000, milliseconds(10));
  const double before = saturated.limiter().Window();
  saturated.AnswerRequests(100, milliseconds(100));
  CHECK(saturated.limiter().Window() < before / 2);
}

TEST_CASE("repeated sheds never shrink the window below one") {
  SaturatedLimiter saturated({});
  saturated.AnswerRequests(10, milliseconds(10));
  for (int n = 0; n < 100; ++n) {
    saturated.Shed();
    saturated.CancelAll();
    saturated.AnswerRequests(1, milliseconds(10));
  }
  CHECK(saturated.limiter().Window() >= 1);
}

}  // namespace
}  // namespace gentianreach
