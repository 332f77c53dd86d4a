#include "keyspace/renewal_pacer.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kSpread{750};
constexpr TimePoint kStart = TimePoint(seconds(1000));

// Returns a pacer for `ranges` ranges, all due at kStart.
RenewalPacer AllDue(std::size_t ranges) {
  RenewalPacer pacer(kSpread);
  pacer.Reset(ranges);
  for (std::size_t i = 0; i < ranges; ++i) {
    pacer.Add(i, kStart);
  }
  return pacer;
}

TEST_CASE("the renewals of few ranges are sent at once") {
  CHECK(AllDue(4).Take(kStart).size() == 4);
}

TEST_CASE("the ranges that have been due for longest are renewed first") {
  RenewalPacer pacer = AllDue(100);
  pacer.Add(70, kStart - milliseconds(2));
  pacer.Add(30, kStart - milliseconds(1));
  const auto taken = pacer.Take(kStart);
  REQUIRE(taken.size() > 2);
  CHECK(taken[0] == 70);
  CHECK(taken[1] == 30);
  CHECK(taken[2] == 0);
}

TEST_CASE("the renewals of many ranges are spread over the time given") {
  constexpr std::size_t kRanges = 400;
  RenewalPacer pacer = AllDue(kRanges);
  TimePoint now = kStart;
  std::size_t taken = 0;
  while (taken < kRanges) {
    now = std::max(now, pacer.next_at());
    taken += pacer.Take(now).size();
  }
  CHECK(now - kStart > kSpread * 9 / 10);
  CHECK(now - kStart <= kSpread);
  CHECK(pacer.next_at() == TimePoint::max());
}

TEST_CASE("a pacer that was not asked for a while does not catch up on it") {
  RenewalPacer pacer = AllDue(400);
  const std::size_t n = pacer.Take(kStart).size();
  const TimePoint now = kStart + seconds(5);
  std::size_t taken = 0;
  while (pacer.next_at() <= now) {
    taken += pacer.Take(now).size();
  }
  CHECK(taken <= 2 * n);
}

TEST_CASE("a renewal that no longer waits is not returned") {
  RenewalPacer pacer = AllDue(2);
  pacer.Remove(0);
  CHECK(pacer.Take(kStart) == std::vector<std::size_t>{1});
}

}  // namespace
}  // namespace gentianreach::keyspace
