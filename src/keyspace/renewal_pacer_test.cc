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

std::vector<DueRenewal> AllDue(std::size_t ranges) {
  std::vector<DueRenewal> due;
  for (std::size_t i = 0; i < ranges; ++i) {
    due.push_back({kStart, i});
  }
  return due;
}

TEST_CASE("the renewals of few ranges are sent at once") {
  RenewalPacer pacer(kSpread);
  CHECK(pacer.Take(AllDue(4), 4, kStart).size() == 4);
}

TEST_CASE("the ranges that have been due for longest are renewed first") {
  RenewalPacer pacer(kSpread);
  std::vector<DueRenewal> due = AllDue(100);
  due[70].due_at -= milliseconds(2);
  due[30].due_at -= milliseconds(1);
  const auto taken = pacer.Take(due, 100, kStart);
  REQUIRE(taken.size() > 2);
  CHECK(taken[0] == 70);
  CHECK(taken[1] == 30);
  CHECK(taken[2] == 0);
}

TEST_CASE("the renewals of many ranges are spread over the time given") {
  RenewalPacer pacer(kSpread);
  std::vector<DueRenewal> due = AllDue(400);
  TimePoint now = kStart;
  while (!due.empty()) {
    now = std::max(now, pacer.next_at());
    for (const std::size_t it : pacer.Take(due, 400, now)) {
      std::erase_if(due, [it](const auto& other) { return other.range == it; });
    }
  }
  CHECK(now - kStart > kSpread * 9 / 10);
  CHECK(now - kStart <= kSpread);
}

TEST_CASE("a pacer that was not asked for a while does not catch up on it") {
  RenewalPacer pacer(kSpread);
  const std::size_t n = pacer.Take(AllDue(400), 400, kStart).size();
  const TimePoint now = kStart + seconds(5);
  std::size_t taken = 0;
  while (pacer.next_at() <= now) {
    taken += pacer.Take(AllDue(400), 400, now).size();
  }
  CHECK(taken <= 2 * n);
}

}  // namespace
}  // namespace gentianreach::keyspace
