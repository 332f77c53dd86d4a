#include "entry/balancing/server_limits.h"

#include <chrono>
#include <deque>
#include <random>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerId kServer("s1");
const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kWindow = seconds(4);

// The daemons of a fleet, to which requests for one server come at random.
class Fleet {
 public:
  Fleet(std::uint32_t size, double limit) {
    for (std::uint32_t i = 0; i < size; ++i) {
      daemons_.emplace_back(i + 1);
      daemons_.back().SetMembers(size, size, now_);
      daemons_.back().Set(kServer, limit, now_);
    }
  }

  // Lets `per_second` requests a second come for `time`.
  void Run(double per_second, Duration time) {
    std::exponential_distribution<double> pause(per_second);
    std::uniform_int_distribution<std::size_t> daemon(0, daemons_.size() - 1);
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(pause(generator_)));
      ++asked_;
      ServerLimits& it = daemons_[daemon(generator_)];
      if (it.NextSend(kServer, now_) > now_) {
        continue;
      }
      it.OnSent(kServer, now_);
      ++sent_;
      recent_.push_back(now_);
      while (recent_.front() <= now_ - kWindow) {
        recent_.pop_front();
      }
      most_in_window_ = std::max(most_in_window_, recent_.size());
    }
  }

  [[nodiscard]] std::size_t most_in_window() const { return most_in_window_; }
  [[nodiscard]] double sent_share() const {
    return static_cast<double>(sent_) / static_cast<double>(asked_);
  }
  [[nodiscard]] std::size_t sent() const { return sent_; }

 private:
  TimePoint now_ = kStart;
  std::minstd_rand generator_{7};
  std::vector<ServerLimits> daemons_;
  std::deque<TimePoint> recent_;
  std::size_t most_in_window_ = 0;
  std::size_t asked_ = 0;
  std::size_t sent_ = 0;
};

// Returns the most requests that servers accept within kWindow.
std::size_t Allowed(double limit) {
  return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

TEST_CASE("ParseLimit accepts exactly one decimal number") {
  CHECK(ParseLimit("21.5") == 21.5);
  CHECK(ParseLimit("3") == 3);
  CHECK(ParseLimit("0") == 0);
  for (const char* it : {"", "-1", "-0", "nan", "inf", "3/s", " 3", "3,5"}) {
    CHECK_MESSAGE(!ParseLimit(it), it);
  }
}

TEST_CASE("Set and Clear tell whether the limit has changed") {
  ServerLimits limits(1);
  CHECK(limits.Set(kServer, 3, kStart));
  CHECK_FALSE(limits.Set(kServer, 3, kStart));
  CHECK(limits.Set(kServer, 4, kStart));
  CHECK(limits.size() == 1);
  CHECK(limits.Clear(kServer));
  CHECK_FALSE(limits.Clear(kServer));
  CHECK(limits.size() == 0);
}

TEST_CASE("a server without a limit gets all requests") {
  ServerLimits limits(1);
  limits.SetMembers(12, 12, kStart);
  for (int i = 0; i < 1000; ++i) {
    CHECK(limits.NextSend(kServer, kStart) <= kStart);
    limits.OnSent(kServer, kStart);
  }
}

TEST_CASE("all daemons together keep the limit under any load") {
  for (const std::uint32_t size : {1, 3, 8, 12, 75}) {
    for (const double limit : {0.0, 0.7, 1.8, 3.0, 17.2, 21.5, 200.0}) {
      Fleet fleet(size, limit);
      fleet.Run(20 * limit + 20, seconds(30));
      CAPTURE(size);
      CAPTURE(limit);
      CHECK(fleet.most_in_window() <= Allowed(limit));
    }
  }
}

TEST_CASE("a surge after a pause keeps the limit") {
  for (const std::uint32_t size : {3, 8, 12}) {
    for (const double limit : {3.5, 17.2, 21.5, 200.0}) {
      Fleet fleet(size, limit);
      fleet.Run(0.01, seconds(60));
      fleet.Run(20 * limit + 20, seconds(8));
      CAPTURE(size);
      CAPTURE(limit);
      CHECK(fleet.most_in_window() <= Allowed(limit));
    }
  }
}

TEST_CASE("a limit is used up under load and hardly felt below it") {
  Fleet loaded(12, 21.5);
  loaded.Run(200, seconds(30));
  CHECK(loaded.sent() > 600);
  Fleet calm(12, 21.5);
  calm.Run(5, seconds(60));
  CHECK(calm.sent_share() > 0.8);
}

TEST_CASE("a change of the number of daemons changes the part of each") {
  ServerLimits limits(1);
  limits.Set(kServer, 10, kStart);
  limits.OnSent(kServer, kStart);
  limits.OnSent(kServer, kStart);
  const Duration alone = limits.NextSend(kServer, kStart) - kStart;
  limits.SetMembers(2, 2, kStart);
  const Duration shared = limits.NextSend(kServer, kStart) - kStart;
  CHECK(shared > alone);
  CHECK(shared <= 2 * alone + milliseconds(1));
}

TEST_CASE("a rest lasts until its end, whatever limit the server names") {
  ServerLimits limits(1);
  limits.SetRest(kServer, kStart + seconds(3));
  CHECK(limits.NextSend(kServer, kStart) == kStart + seconds(3));
  limits.Set(kServer, 1000, kStart);
  CHECK(limits.NextSend(kServer, kStart) == kStart + seconds(3));
  limits.Clear(kServer);
  CHECK(limits.NextSend(kServer, kStart) == kStart + seconds(3));
  CHECK(limits.CountResting(kStart) == 1);
  CHECK(limits.NextSend(kServer, kStart + seconds(3)) == kStart + seconds(3));
  CHECK(limits.CountResting(kStart + seconds(3)) == 0);
}

TEST_CASE("a shorter rest does not end a longer one") {
  ServerLimits limits(1);
  limits.SetRest(kServer, kStart + seconds(3));
  limits.SetRest(kServer, kStart + seconds(1));
  CHECK(limits.NextSend(kServer, kStart) == kStart + seconds(3));
}

TEST_CASE("a refusal of a cold server ends with the next token or when warm") {
  ServerLimits limits(1);
  limits.SetMembers(2, 2, kStart);
  CHECK(limits.SetWarmup(kServer, 4, kStart + seconds(60), kStart));
  CHECK(limits.WarmupRate(kServer, kStart) == 4);
  const TimePoint next = limits.NextSend(kServer, kStart);
  CHECK(next > kStart);
  CHECK(limits.NextSend(kServer, next) == next);
  limits.OnSent(kServer, next);
  // This daemon gets 0.7 * 4 / 2 = 1.4 tokens per second.
  const TimePoint second = limits.NextSend(kServer, next);
  CHECK(second > next + milliseconds(710));
  CHECK(second < next + milliseconds(720));
  const TimePoint warm = next + milliseconds(100);
  CHECK_FALSE(limits.SetWarmup(kServer, 4, warm, next));
  CHECK(limits.NextSend(kServer, next) == warm);
  CHECK(limits.NextSend(kServer, warm) == warm);
  CHECK(limits.CountCold(next) == 1);
  CHECK(limits.CountCold(warm) == 0);
}

TEST_CASE("without a warm-up rate, a cold server gets all requests") {
  ServerLimits limits(1);
  CHECK_FALSE(limits.SetWarmup(kServer, 0, kStart + seconds(3), kStart));
  CHECK(limits.NextSend(kServer, kStart) == kStart);
  limits.SetWarmup(kServer, 4, kStart + seconds(3), kStart);
  limits.SetWarmup(kServer, 0, kStart + seconds(3), kStart);
  CHECK(limits.NextSend(kServer, kStart) == kStart);
}

TEST_CASE("a server that has started again has no rest") {
  ServerLimits limits(1);
  limits.SetRest(kServer, kStart + seconds(3));
  limits.Forget(kServer);
  CHECK(limits.NextSend(kServer, kStart) == kStart);
}

}  // namespace
}  // namespace gentianreach::entry
