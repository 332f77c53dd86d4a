#include "policy/limiter.h"

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

// A limiter that is kept full of requests of one latency.
class FullLimiter {
 public:
  explicit FullLimiter(ReactiveLimiterOptions options) : limiter_(options) {}

  void Run(int rounds, Duration latency) {
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
  void DrainAll() {
    while (limiter_.in_flight() > 0)
      limiter_.OnEnd(AttemptEnd::kCancelled, milliseconds(1), now_);
  }
  ReactiveLimiter& limiter() { return limiter_; }
  TimePoint now() const { return now_; }

 private:
  ReactiveLimiter limiter_;
  TimePoint now_{std::chrono::hours(1)};
};

TEST_CASE("the window grows while it is full, up to the connections' share") {
  FullLimiter full({.connections = 65, .daemons = 12});
  CHECK(full.limiter().Window() == 1);
  full.Run(1'000, milliseconds(10));
  CHECK(full.limiter().Window() == doctest::Approx(65.0 / 12));
  CHECK(full.limiter().in_flight() <= 5);
}

TEST_CASE("a shed shrinks the window and pauses the daemon") {
  FullLimiter full({});
  full.Run(200, milliseconds(10));
  const double before = full.limiter().Window();
  full.Shed();
  CHECK(full.limiter().Window() < before);
  full.DrainAll();
  CHECK_FALSE(full.limiter().MaySend(full.now()));
  const auto next = full.limiter().NextSend(full.now());
  REQUIRE(next);
  CHECK(*next > full.now());
  CHECK(full.limiter().MaySend(*next));
}

TEST_CASE("a standing queue at a server that never sheds shrinks the window") {
  FullLimiter full({});
  full.Run(1'000, milliseconds(10));
  const double before = full.limiter().Window();
  full.Run(100, milliseconds(100));
  CHECK(full.limiter().Window() < before / 2);
}

TEST_CASE("sheds never take the last request from a daemon") {
  FullLimiter full({});
  full.Run(10, milliseconds(10));
  for (int n = 0; n < 100; ++n) {
    full.Shed();
    full.DrainAll();
    full.Run(1, milliseconds(10));
  }
  CHECK(full.limiter().Window() >= 1);
}

}  // namespace
}  // namespace gentianreach
