// Tests of moving keys out of evacuated availability zones.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "keyspace/range_assigner.h"
#include "keyspace/testing/large_service.h"

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServers = 84;
constexpr std::size_t kZones = 4;
constexpr std::uint32_t kRanges = 168;
constexpr std::size_t kRangesPerZone = kRanges / kZones;
// A release is answered when the work on its keys has ended.
constexpr Duration kReleaseTime = milliseconds(300);
constexpr Duration kGrantTime = milliseconds(5);
constexpr Duration kWriteTime = milliseconds(10);
constexpr Duration kMoveTime = milliseconds(2500);
constexpr TimePoint kStart = TimePoint(seconds(1000));
// By then the first grants of the leader have been answered.
constexpr TimePoint kEvacuation = kStart + seconds(3);

// A leader of 84 servers in four zones with two ranges each, in virtual time.
class Leader {
 public:
  Leader() : servers_(testing::ServersOf(kServers)) {
    REQUIRE(assigner_.Begin(testing::EvenTable(kRanges, servers_), Epoch(2),
                            kStart, kStart));
    assigner_.SetServers(servers_, kStart);
    RunUntil(kEvacuation);
  }

  void Evacuate(std::size_t zone, TimePoint move_until) {
    for (std::size_t i = zone; i < kServers; i += kZones) {
      servers_[i].move_until = move_until;
    }
    assigner_.SetServers(servers_, now_);
  }

  void RunUntil(TimePoint end) {
    while (now_ < end) {
      for (const auto& it : assigner_.Poll(load, now_)) {
        Execute(it);
      }
      const TimePoint next_event =
          events_.empty() ? TimePoint::max() : events_.begin()->first;
      const TimePoint next =
          std::min({end, next_event, assigner_.NextDeadline()});
      now_ = std::max(now_, next);
      HandleEvents();
      most_keys_moving = std::max(most_keys_moving, CountKeysMoving());
    }
  }

  [[nodiscard]] std::size_t CountMoving() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        assigner_.table().ranges, [](const auto& it) { return it.moving(); }));
  }
  // Returns the number of keys that no server serves.
  [[nodiscard]] std::uint32_t CountKeysMoving() const {
    std::uint32_t keys = 0;
    for (const OwnedRange& it : assigner_.table().ranges) {
      keys += it.moving() ? it.range.width() : 0;
    }
    return keys;
  }
  // Returns the number of ranges whose owner is in `zone`.
  [[nodiscard]] std::size_t CountOwnedIn(std::size_t zone) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        assigner_.table().ranges, [&](const OwnedRange& it) {
          return std::stoul(it.owner.server.value().substr(1)) % kZones == zone;
        }));
  }
  [[nodiscard]] const OwnershipTable& table() const {
    return assigner_.table();
  }
  [[nodiscard]] TimePoint now() const { return now_; }

  KeyLoad load;
  bool store_refuses = false;
  std::uint32_t most_keys_moving = 0;

 private:
  struct Event {
    std::uint64_t order = 0;  // 0: a write.
    bool written = false;
  };

  void Execute(const AssignerAction& action) {
    if (std::holds_alternative<WriteTable>(action)) {
      events_.emplace(now_ + kWriteTime, Event{.written = !store_refuses});
      return;
    }
    const auto& order = std::get<SendOrder>(action);
    const bool grant = order.kind == SendOrder::Kind::kGrant;
    events_.emplace(now_ + (grant ? kGrantTime : kReleaseTime),
                    Event{.order = order.order});
  }

  void HandleEvents() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const Event event = events_.begin()->second;
      events_.erase(events_.begin());
      if (event.order != 0) {
        assigner_.OnOrderReply(event.order, OrderOutcome::kDone, "", now_);
      } else if (event.written) {
        assigner_.OnWritten(now_);
      } else {
        assigner_.OnWriteFailed(now_ + milliseconds(400));
      }
    }
  }

  RangeAssigner assigner_{AssignerOptions{}};
  std::vector<AssignerServer> servers_;
  TimePoint now_ = kStart;
  std::multimap<TimePoint, Event> events_;
};

// Guards against moving all keys of a zone at once: nobody serves a key while
// it moves, although its owner may serve it until its time is over.
TEST_CASE("an evacuated zone's keys move in time and a few at a time") {
  Leader leader;
  leader.Evacuate(1, kEvacuation + kMoveTime);
  leader.RunUntil(kEvacuation + kMoveTime + kReleaseTime);
  CHECK(leader.CountOwnedIn(1) == 0);
  CHECK(leader.most_keys_moving <= kKeyCount / kZones / 3);
  leader.RunUntil(leader.now() + seconds(1));
  CHECK(leader.CountMoving() == 0);
}

// Guards against a deadline that finds the busiest keys still in the zone.
TEST_CASE("the most loaded ranges of an evacuated zone move first") {
  Leader leader;
  std::vector<std::uint32_t> busy;
  for (const OwnedRange& it : leader.table().ranges) {
    if (it.owner.server == ServerId("s1") ||
        it.owner.server == ServerId("s5")) {
      busy.push_back(it.range.first);
    }
  }
  REQUIRE(busy.size() == 4);
  for (const std::uint32_t it : busy) {
    for (int n = 0; n < 20; ++n) {
      leader.load.Add(it);
    }
  }
  leader.Evacuate(1, kEvacuation + kMoveTime);
  leader.RunUntil(kEvacuation + milliseconds(100));
  for (const std::uint32_t it : busy) {
    CHECK(leader.table().Find(it).moving());
  }
}

TEST_CASE("keys that have not moved stay when an evacuation is taken back") {
  Leader leader;
  leader.Evacuate(1, kEvacuation + kMoveTime);
  leader.RunUntil(kEvacuation + milliseconds(1000));
  const std::size_t left = leader.CountOwnedIn(1);
  REQUIRE(left > 0);
  REQUIRE(left < kRangesPerZone);
  leader.Evacuate(1, TimePoint::max());
  leader.RunUntil(kEvacuation + seconds(4));
  CHECK(leader.CountOwnedIn(1) >= left);
  CHECK(leader.CountMoving() == 0);
}

TEST_CASE("two zones are evacuated by their own times") {
  Leader leader;
  leader.Evacuate(1, kEvacuation + kMoveTime);
  leader.Evacuate(2, kEvacuation + 2 * kMoveTime);
  leader.RunUntil(kEvacuation + kMoveTime + kReleaseTime);
  CHECK(leader.CountOwnedIn(1) == 0);
  CHECK(leader.CountOwnedIn(2) > 0);
  leader.RunUntil(kEvacuation + 2 * kMoveTime + kReleaseTime);
  CHECK(leader.CountOwnedIn(2) == 0);
}

TEST_CASE("an evacuation that is old already moves all keys at once") {
  Leader leader;
  leader.Evacuate(1, kEvacuation);
  leader.RunUntil(kEvacuation + milliseconds(500));
  CHECK(leader.CountOwnedIn(1) == 0);
}

TEST_CASE("keys of an evacuated zone move once the store takes writes again") {
  Leader leader;
  leader.store_refuses = true;
  leader.Evacuate(1, kEvacuation + kMoveTime);
  leader.RunUntil(kEvacuation + seconds(4));
  CHECK(leader.CountOwnedIn(1) == kRangesPerZone);
  CHECK(leader.CountMoving() == 0);
  leader.store_refuses = false;
  leader.RunUntil(leader.now() + seconds(1));
  CHECK(leader.CountOwnedIn(1) == 0);
}

// Guards against keys that are taken from the only servers there are.
TEST_CASE("no key moves if all zones are evacuated") {
  Leader leader;
  for (std::size_t i = 0; i < kZones; ++i) {
    leader.Evacuate(i, kEvacuation + kMoveTime);
  }
  leader.RunUntil(kEvacuation + seconds(4));
  CHECK(leader.CountMoving() == 0);
  CHECK(leader.most_keys_moving == 0);
}

}  // namespace
}  // namespace gentianreach::keyspace
