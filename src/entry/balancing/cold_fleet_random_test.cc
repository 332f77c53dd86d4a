// The load on a cold server, which all daemons of a fleet cause together: more
// than it takes, from the moment at which they learn that it is cold, and after
// a pause.
#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "entry/balancing/server_limits.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

const ServerId kServer("s1");
const TimePoint kStart = TimePoint(seconds(100));
constexpr std::uint32_t kDaemons = 68;
constexpr double kRate = 7.3;
// What may arrive within any second.
constexpr double kAllowed = kRate * 1.5 + 8;
constexpr Duration kLearningTime = milliseconds(500);
// How long a daemon does not know the number of daemons after its start.
constexpr Duration kUnknownTime = seconds(1);
constexpr unsigned kSeeds = 60;

struct Scenario {
  double demand = 200;  // Requests per second at the server.
  Duration cold_time = seconds(3);
  // Nothing is wanted before this time.
  Duration pause{};
  std::uint32_t uninformed = 0;  // Daemons that do not know the number.
  Duration restart_period = seconds(1000);
  std::uint32_t joining = 0;  // Daemons that start within the first 2 s.
};

struct Daemon {
  ServerLimits limits;
  TimePoint learns_at;
  bool knows_server = false;
  TimePoint counts_at = TimePoint::max();  // When it learns the number.
};

struct Outcome {
  std::size_t most_in_second = 0;
  std::size_t sent = 0;
};

class Fleet {
 public:
  Fleet(const Scenario& scenario, unsigned seed)
      : scenario_(scenario), generator_(seed) {
    for (std::uint32_t i = 0; i < kDaemons + scenario.joining; ++i) {
      const bool joins = i >= kDaemons;
      daemons_.push_back({ServerLimits(generator_()),
                          kStart + Random(joins ? seconds(2) : kLearningTime)});
      if (joins) {
        daemons_[i].counts_at = daemons_[i].learns_at + kUnknownTime;
      } else if (i >= scenario.uninformed) {
        daemons_[i].limits.SetMembers(kDaemons, kDaemons, kStart);
        daemons_[i].counts_at = kStart + kUnknownTime + seconds(2);
      }
    }
  }

  Outcome Run() {
    const TimePoint end = kStart + scenario_.cold_time;
    TimePoint now = kStart + scenario_.pause;
    TimePoint next_restart = kStart + scenario_.restart_period;
    std::exponential_distribution<double> interval(scenario_.demand);
    while (now < end) {
      Daemon& it = daemons_[generator_() % daemons_.size()];
      Update(it, now, end);
      if (it.knows_server && it.limits.NextSend(kServer, now) <= now) {
        it.limits.OnSent(kServer, now);
        Count(now);
      }
      if (now >= next_restart) {
        next_restart += scenario_.restart_period;
        it = {ServerLimits(generator_()), now, false, now + kUnknownTime};
      }
      now +=
          std::chrono::duration_cast<Duration>(Seconds(interval(generator_)));
    }
    return outcome_;
  }

 private:
  Duration Random(Duration below) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, below.count())(generator_));
  }
  // Lets a daemon learn what it knows by `now`.
  void Update(Daemon& it, TimePoint now, TimePoint end) const {
    if (!it.knows_server && now >= it.learns_at) {
      it.knows_server = true;
      it.limits.SetWarmup(kServer, kRate, end, it.learns_at);
    }
    if (now >= it.counts_at) {
      it.limits.SetMembers(kDaemons + scenario_.joining,
                           kDaemons + scenario_.joining, it.counts_at);
      it.counts_at = TimePoint::max();
    }
  }
  void Count(TimePoint now) {
    ++outcome_.sent;
    recent_.push_back(now);
    while (recent_.front() <= now - seconds(1)) {
      recent_.pop_front();
    }
    outcome_.most_in_second = std::max(outcome_.most_in_second, recent_.size());
  }

  const Scenario scenario_;
  std::mt19937 generator_;
  std::vector<Daemon> daemons_;
  std::deque<TimePoint> recent_;
  Outcome outcome_;
};

// Checks the bound with each seed. Returns the share of the rate that was used.
double CheckBound(const Scenario& scenario) {
  double sent = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Fleet(scenario, seed).Run();
    CAPTURE(seed);
    CAPTURE(scenario.demand);
    CAPTURE(scenario.cold_time.count());
    CHECK(static_cast<double>(outcome.most_in_second) <= kAllowed);
    sent += static_cast<double>(outcome.sent);
  }
  const Seconds wanted = scenario.cold_time - scenario.pause;
  return sent / kSeeds / kRate / wanted.count();
}

TEST_CASE("all daemons together do not overload a cold server") {
  for (const Duration cold_time : {seconds(3), seconds(20)}) {
    for (const double demand : {16.0, 50.0, 100.0, 200.0}) {
      const double used =
          CheckBound({.demand = demand, .cold_time = cold_time});
      MESSAGE("demand " << demand << ", cold for " << Seconds(cold_time).count()
                        << " s: used " << used);
      CHECK(used > (demand < 200 ? 0.04 : 0.4));
    }
  }
}

TEST_CASE("a surge after a pause does not overload a cold server") {
  for (const Duration cold_time : {seconds(3), seconds(20)}) {
    for (const Duration surge : {milliseconds(500), milliseconds(1500)}) {
      CheckBound({.cold_time = cold_time, .pause = cold_time - surge});
    }
  }
}

TEST_CASE("daemons that join, restart or do not know the number do no harm") {
  for (const Duration cold_time : {seconds(3), seconds(20)}) {
    CheckBound({.cold_time = cold_time, .uninformed = 20});
    CheckBound({.cold_time = cold_time, .uninformed = kDaemons});
    CheckBound({.cold_time = cold_time, .restart_period = milliseconds(250)});
    CheckBound({.cold_time = cold_time, .joining = 30});
    CheckBound({.cold_time = cold_time,
                .pause = cold_time - milliseconds(1500),
                .restart_period = milliseconds(250),
                .joining = 30});
  }
}

}  // namespace
}  // namespace gentianreach::entry
