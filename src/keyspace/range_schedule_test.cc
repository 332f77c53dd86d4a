#include "keyspace/range_schedule.h"

#include <chrono>
#include <cstddef>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using Ranges = std::vector<std::size_t>;

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(1000));

TEST_CASE("ranges are returned in the order of their deadlines") {
  RangeSchedule schedule;
  schedule.Reset(4);
  schedule.Add(0, kStart + milliseconds(3));
  schedule.Add(1, kStart + milliseconds(1));
  schedule.Add(3, kStart + milliseconds(2));
  CHECK(schedule.next_at() == kStart + milliseconds(1));
  CHECK(schedule.TakeDue(kStart).empty());
  CHECK(schedule.TakeDue(kStart + milliseconds(2)) == Ranges{1, 3});
  CHECK(schedule.TakeDue(kStart + milliseconds(9)) == Ranges{0});
  CHECK(schedule.next_at() == TimePoint::max());
}

TEST_CASE("a range keeps its earliest deadline") {
  RangeSchedule schedule;
  schedule.Reset(1);
  schedule.Add(0, kStart + milliseconds(5));
  schedule.Add(0, kStart + milliseconds(2));
  schedule.Add(0, kStart + milliseconds(7));
  CHECK(schedule.TakeDue(kStart + milliseconds(2)) == Ranges{0});
  CHECK(schedule.next_at() == TimePoint::max());
}

TEST_CASE("a removed range and those over the maximum are not returned") {
  RangeSchedule schedule;
  schedule.Reset(3);
  schedule.AddAll(kStart);
  schedule.Remove(1);
  CHECK(schedule.TakeDue(kStart, 1) == Ranges{0});
  CHECK(schedule.TakeDue(kStart, 1) == Ranges{2});
  CHECK(schedule.TakeDue(kStart, 1).empty());
}

}  // namespace
}  // namespace gentianreach::keyspace
