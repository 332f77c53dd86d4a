#include "policy/picker.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace gentianreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

ServerId Id(int n) {
  return ServerId("s" + std::to_string(n));
}

void AddServers(Picker& picker, int n) {
  for (int i = 0; i < n; ++i)
    picker.Add(Id(i), /*cold=*/false, kStart);
}

void RunOne(Picker& picker,
            const ServerId& server,
            AttemptEnd end,
            Duration latency,
            TimePoint now) {
  picker.OnSent(server);
  picker.OnEnd(server, end, latency, now);
}

// Returns how often each server is chosen in 1,000 picks.
std::map<ServerId, int> CountPicks(Picker& picker, TimePoint now) {
  std::map<ServerId, int> picks;
  for (int n = 0; n < 1'000; ++n)
    ++picks[*picker.Pick({}, now)];
  return picks;
}

void Fail(Picker& picker, const ServerId& server, TimePoint now) {
  for (int n = 0; n < 5; ++n)
    RunOne(picker, server, AttemptEnd::kFailed, milliseconds(1), now);
}

TEST_CASE("a server with more own outstanding requests is chosen less") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  picker.OnSent(Id(0));
  CHECK(*picker.Pick({}, kStart) == Id(1));
}

TEST_CASE("a fresh report of load by others counts, an old one does not") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  picker.OnReport(Id(0), {.slots = 3, .in_flight = 3, .queued = 6}, kStart);
  CHECK(CountPicks(picker, kStart)[Id(0)] == 0);
  CHECK(CountPicks(picker, kStart + seconds(3))[Id(0)] > 300);
}

TEST_CASE("a report that the own latency contradicts is ignored") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  for (int n = 0; n < 20; ++n) {
    for (int i = 0; i < 2; ++i)
      RunOne(picker, Id(i), AttemptEnd::kAnswered, milliseconds(10), kStart);
  }
  // Says that nothing is answered within 300 ms, though 10 ms are seen.
  picker.OnReport(Id(0),
                  {.slots = 1,
                   .in_flight = 1,
                   .queued = 30,
                   .service_time = milliseconds(10)},
                  kStart);
  CHECK(CountPicks(picker, kStart)[Id(0)] > 300);
}

TEST_CASE("a cold server's share grows to the full one") {
  Picker picker({}, 1);
  AddServers(picker, 3);
  picker.Add(Id(3), /*cold=*/true, kStart);
  const int cold = CountPicks(picker, kStart)[Id(3)];
  const int warm = CountPicks(picker, kStart + seconds(10))[Id(3)];
  CHECK(cold > 0);
  CHECK(cold < 75);
  CHECK(warm > 150);
}

TEST_CASE("a leaving server gets no new work") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  picker.SetLeaving(Id(0), true);
  CHECK(CountPicks(picker, kStart)[Id(0)] == 0);
  picker.SetLeaving(Id(1), true);
  CHECK_FALSE(picker.Pick({}, kStart));
}

TEST_CASE("a failing server is put aside, each time for longer") {
  Picker picker({}, 1);
  AddServers(picker, 5);
  Fail(picker, Id(0), kStart);
  const auto first = picker.EjectedUntil(Id(0), kStart);
  REQUIRE(first);
  CHECK(CountPicks(picker, kStart)[Id(0)] == 0);
  Fail(picker, Id(0), *first);
  const auto second = picker.EjectedUntil(Id(0), *first);
  REQUIRE(second);
  CHECK(*second - *first > (*first - kStart) * 3 / 2);
}

TEST_CASE("a server much slower than the others is put aside") {
  Picker picker({}, 1);
  AddServers(picker, 5);
  for (int n = 0; n < 20; ++n) {
    for (int i = 0; i < 5; ++i) {
      RunOne(picker, Id(i), AttemptEnd::kAnswered,
             milliseconds(i == 0 ? 100 : 10), kStart);
    }
  }
  CHECK(picker.Ejected(kStart) == std::vector<ServerId>{Id(0)});
}

TEST_CASE("a service that is slow as a whole keeps all its servers") {
  Picker picker({}, 1);
  AddServers(picker, 5);
  for (int n = 0; n < 60; ++n) {
    for (int i = 0; i < 5; ++i)
      RunOne(picker, Id(i), AttemptEnd::kAnswered,
             milliseconds(n < 20 ? 10 : 1'000), kStart);
  }
  CHECK(picker.Ejected(kStart).empty());
}

TEST_CASE("failures everywhere put aside no more than the cap") {
  Picker picker({.eject_share = 0.25}, 1);
  AddServers(picker, 8);
  for (int i = 0; i < 8; ++i)
    Fail(picker, Id(i), kStart);
  CHECK(picker.Ejected(kStart).size() == 2);
}

TEST_CASE("the last server is never put aside") {
  Picker picker({.eject_share = 0.5}, 1);
  AddServers(picker, 2);
  picker.SetLeaving(Id(1), true);
  Fail(picker, Id(0), kStart);
  CHECK(picker.Ejected(kStart).empty());
}

TEST_CASE("a server put aside serves where all others are leaving") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  Fail(picker, Id(0), kStart);
  REQUIRE(picker.Ejected(kStart).size() == 1);
  picker.SetLeaving(Id(1), true);
  CHECK(picker.Pick({}, kStart) == Id(0));
}

TEST_CASE("a retry goes to a server not tried yet") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  const std::vector<ServerId> tried{Id(0)};
  for (int n = 0; n < 100; ++n)
    CHECK(picker.Pick(tried, kStart) == Id(1));
}

}  // namespace
}  // namespace gentianreach
