#include "entry/balancing/zone_evacuations.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTime = milliseconds(5000);
const TimePoint kNow = TimePoint(std::chrono::seconds(50));
const ZoneName kZone("z1");

// Guards against requests that reach a zone after the evacuation time: the
// store may have acknowledged it at any time after the copy was complete.
TEST_CASE("the evacuation time counts from the copy before") {
  ZoneEvacuations evacuations(kTime);
  CHECK(evacuations.SendUntil(kZone) == TimePoint::max());
  CHECK(evacuations.MoveUntil(kZone) == TimePoint::max());
  CHECK(evacuations.Put(kZone, kNow));
  CHECK(evacuations.IsEvacuated(kZone));
  // 300 ms are left for a request on its way.
  CHECK(evacuations.SendUntil(kZone) == kNow + milliseconds(4700));
  CHECK(evacuations.MoveUntil(kZone) == kNow + milliseconds(2500));
  CHECK_FALSE(evacuations.IsEvacuated(ZoneName("z2")));
}

// Guards against a change of the object that extends the time.
TEST_CASE("an evacuation that is stated again keeps its earlier time") {
  ZoneEvacuations evacuations(kTime);
  evacuations.Put(kZone, kNow);
  CHECK_FALSE(evacuations.Put(kZone, kNow + milliseconds(900)));
  CHECK(evacuations.SendUntil(kZone) == kNow + milliseconds(4700));
  CHECK_FALSE(evacuations.Put(kZone, kNow - milliseconds(100)));
  CHECK(evacuations.SendUntil(kZone) == kNow + milliseconds(4600));
}

// Guards against a daemon that starts during an evacuation and takes it for a
// new one.
TEST_CASE("an evacuation of unknown age leaves no time") {
  ZoneEvacuations evacuations(kTime);
  evacuations.Put(kZone, TimePoint{});
  CHECK(evacuations.SendUntil(kZone) == TimePoint{});
  CHECK(evacuations.MoveUntil(kZone) == TimePoint{});
}

// Guards against a zone that stays out of use, and against a second evacuation
// that begins with the time of the first.
TEST_CASE("an evacuation ends when it is removed and may begin again") {
  ZoneEvacuations evacuations(kTime);
  CHECK(evacuations.ended_at(kZone) == TimePoint{});
  CHECK_FALSE(evacuations.Remove(kZone, kNow));
  CHECK(evacuations.ended_at(kZone) == TimePoint{});
  evacuations.Put(kZone, kNow);
  const auto changes = evacuations.changes();
  CHECK(evacuations.Remove(kZone, kNow + milliseconds(100)));
  CHECK(evacuations.changes() > changes);
  CHECK_FALSE(evacuations.IsEvacuated(kZone));
  CHECK(evacuations.SendUntil(kZone) == TimePoint::max());
  CHECK(evacuations.ended_at(kZone) == kNow + milliseconds(100));
  CHECK(evacuations.Put(kZone, kNow + milliseconds(900)));
  CHECK(evacuations.SendUntil(kZone) == kNow + milliseconds(5600));
}

// Guards against servers without a zone that stop with an evacuation without a
// name.
TEST_CASE("a server without a zone is never evacuated") {
  ZoneEvacuations evacuations(kTime);
  CHECK_FALSE(evacuations.Put(ZoneName(), kNow));
  CHECK_FALSE(evacuations.IsEvacuated(ZoneName()));
  CHECK(evacuations.Zones().empty());
}

// Guards against a negative time that reaches back before the evacuation.
TEST_CASE("an evacuation time below the transit time leaves no time") {
  ZoneEvacuations evacuations(milliseconds(100));
  evacuations.Put(kZone, kNow);
  CHECK(evacuations.SendUntil(kZone) == kNow);
}

}  // namespace
}  // namespace gentianreach::entry
