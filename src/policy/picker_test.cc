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

void RunAttempt(Picker& picker,
                const ServerId& server,
                AttemptEnd end,
                Duration latency,
                TimePoint now) {
  picker.OnSent(server);
  picker.OnEnd(server, end, latency, now);
}

// Returns how often each server is picked in 1,000 calls.
std::map<ServerId, int> CountPicks(Picker& picker, TimePoint now) {
  std::map<ServerId, int> picks;
  for (int n = 0; n < 1'000; ++n)
    ++picks[*picker.Pick({}, now)];
  return picks;
}

void FailFiveAttempts(Picker& picker, const ServerId& server, TimePoint now) {
  for (int n = 0; n < 5; ++n)
    RunAttempt(picker, server, AttemptEnd::kFailed, milliseconds(1), now);
}

TEST_CASE("a server with more outstanding requests is picked less often") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  picker.OnSent(Id(0));
  CHECK(*picker.Pick({}, kStart) == Id(1));
}

TEST_CASE("a fresh load report affects the choice, an old one does not") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  picker.OnReport(Id(0), {.slots = 3, .in_flight = 3, .queued = 6}, kStart);
  CHECK(CountPicks(picker, kStart)[Id(0)] == 0);
  CHECK(CountPicks(picker, kStart + seconds(3))[Id(0)] > 300);
}

TEST_CASE("a load report that contradicts the measured latency is ignored") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  for (int n = 0; n < 20; ++n) {
    for (int i = 0; i < 2; ++i)
      RunAttempt(picker, Id(i), AttemptEnd::kAnswered, milliseconds(10),
                 kStart);
  }
  // The report implies a latency of 300 ms, but 10 ms are measured.
  picker.OnReport(Id(0),
                  {.slots = 1,
                   .in_flight = 1,
                   .queued = 30,
                   .service_time = milliseconds(10)},
                  kStart);
  CHECK(CountPicks(picker, kStart)[Id(0)] > 300);
}

TEST_CASE("a cold server's share of requests grows to its full share") {
  Picker picker({}, 1);
  AddServers(picker, 3);
  picker.Add(Id(3), /*cold=*/true, kStart);
  const int cold = CountPicks(picker, kStart)[Id(3)];
  const int warm = CountPicks(picker, kStart + seconds(10))[Id(3)];
  CHECK(cold > 0);
  CHECK(cold < 75);
  CHECK(warm > 150);
}

TEST_CASE("a leaving server gets no new requests") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  picker.SetLeaving(Id(0), true);
  CHECK(CountPicks(picker, kStart)[Id(0)] == 0);
  picker.SetLeaving(Id(1), true);
  CHECK_FALSE(picker.Pick({}, kStart));
}

TEST_CASE("a failing server is ejected, each time for longer") {
  Picker picker({}, 1);
  AddServers(picker, 5);
  FailFiveAttempts(picker, Id(0), kStart);
  const auto first = picker.EjectedUntil(Id(0), kStart);
  REQUIRE(first);
  CHECK(CountPicks(picker, kStart)[Id(0)] == 0);
  FailFiveAttempts(picker, Id(0), *first);
  const auto second = picker.EjectedUntil(Id(0), *first);
  REQUIRE(second);
  CHECK(*second - *first > (*first - kStart) * 3 / 2);
}

TEST_CASE("a server much slower than the others is ejected") {
  Picker picker({}, 1);
  AddServers(picker, 5);
  for (int n = 0; n < 20; ++n) {
    for (int i = 0; i < 5; ++i) {
      RunAttempt(picker, Id(i), AttemptEnd::kAnswered,
                 milliseconds(i == 0 ? 100 : 10), kStart);
    }
  }
  CHECK(picker.Ejected(kStart) == std::vector<ServerId>{Id(0)});
}

TEST_CASE("no server is ejected when the whole service is slow") {
  Picker picker({}, 1);
  AddServers(picker, 5);
  for (int n = 0; n < 60; ++n) {
    for (int i = 0; i < 5; ++i)
      RunAttempt(picker, Id(i), AttemptEnd::kAnswered,
                 milliseconds(n < 20 ? 10 : 1'000), kStart);
  }
  CHECK(picker.Ejected(kStart).empty());
}

TEST_CASE("failures of all servers eject no more than eject_share") {
  Picker picker({.eject_share = 0.25}, 1);
  AddServers(picker, 8);
  for (int i = 0; i < 8; ++i)
    FailFiveAttempts(picker, Id(i), kStart);
  CHECK(picker.Ejected(kStart).size() == 2);
}

TEST_CASE("the last server that is not leaving is never ejected") {
  Picker picker({.eject_share = 0.5}, 1);
  AddServers(picker, 2);
  picker.SetLeaving(Id(1), true);
  FailFiveAttempts(picker, Id(0), kStart);
  CHECK(picker.Ejected(kStart).empty());
}

TEST_CASE("an ejected server is picked if all others are leaving") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  FailFiveAttempts(picker, Id(0), kStart);
  REQUIRE(picker.Ejected(kStart).size() == 1);
  picker.SetLeaving(Id(1), true);
  CHECK(picker.Pick({}, kStart) == Id(0));
}

TEST_CASE("a retry goes to a server that has not been tried") {
  Picker picker({}, 1);
  AddServers(picker, 2);
  const std::vector<ServerId> tried{Id(0)};
  for (int n = 0; n < 100; ++n)
    CHECK(picker.Pick(tried, kStart) == Id(1));
}

}  // namespace
}  // namespace gentianreach
