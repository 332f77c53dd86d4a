#include "entry/copy_source.h"

#include <chrono>
#include <cstdint>
#include <functional>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(1000));
constexpr milliseconds kPeriod{750};
// Age at which copies are of no use.
constexpr milliseconds kApplyTime{3000};
constexpr std::uint32_t kFleet = 295;

// Returns the number of `members` for which `reads` returns true.
std::uint32_t Count(std::uint32_t members,
                    const std::function<bool(std::uint32_t rank)>& reads) {
  std::uint32_t n = 0;
  for (std::uint32_t rank = 0; rank < members; ++rank) {
    n += reads(rank) ? 1 : 0;
  }
  return n;
}

// Returns the source that a daemon uses at `now`, polled every 100 ms since
// kStart, when the last heartbeat arrived. Its copies are complete up to
// `current_at(t)` at any time `t`.
CopySource SourceAfterSilence(
    std::uint32_t rank,
    TimePoint now,
    const std::function<TimePoint(TimePoint)>& current_at) {
  CopySourceChooser chooser(kApplyTime);
  CopySource source = CopySource::kLeader;
  for (TimePoint t = kStart; t <= now; t += milliseconds(100)) {
    source = chooser.Choose(
        {.leader_last_seen = kStart, .rank = rank, .heartbeat_period = kPeriod},
        kStart, current_at(t), t);
  }
  return source;
}

TEST_CASE("a daemon that knows no leader reads the store") {
  CopySourceChooser chooser(kApplyTime);
  CHECK(chooser.Choose({}, kStart, TimePoint{}, kStart) == CopySource::kStore);
}

TEST_CASE("few daemons read the store while the leader is silent") {
  const TimePoint now = kStart + seconds(10);
  const auto reads = [&](std::uint32_t rank) {
    // The peers that read the store have current copies.
    return SourceAfterSilence(rank, now, [](TimePoint t) { return t; }) ==
           CopySource::kStore;
  };
  CHECK(Count(1, reads) == 1);
  CHECK(Count(12, reads) == 12);
  CHECK(Count(63, reads) == CopySourceChooser::kReaders);
  CHECK(Count(kFleet, reads) == CopySourceChooser::kReaders);
  CHECK(Count(1000, reads) == CopySourceChooser::kReaders);
}

TEST_CASE("a daemon whose peers have nothing current reads the store in time") {
  const auto never = [](TimePoint) { return kStart; };
  for (const std::uint32_t rank : {0U, 12U, 294U}) {
    // The rest of the time is for the call itself.
    CHECK(SourceAfterSilence(rank, kStart + kApplyTime - milliseconds(400),
                             never) == CopySource::kStore);
  }
}

TEST_CASE("few daemons probe the store at once when the leader has lost it") {
  const auto probes = [](std::uint32_t rank, Duration after) {
    CopySourceChooser chooser(kApplyTime);
    chooser.OnLeaderHeartbeat(true, kStart);
    const TimePoint now = kStart + after;
    chooser.Choose({.leader_last_seen = now, .rank = rank}, kStart, now, now);
    return chooser.probes_store();
  };
  CHECK(Count(kFleet, [&](auto it) { return probes(it, seconds(0)); }) == 1);
  CHECK(Count(kFleet, [&](auto it) { return probes(it, milliseconds(250)); }) ==
        2);
  CHECK(Count(kFleet, [&](auto it) { return probes(it, seconds(2)); }) == 12);
  // If none of them reaches it, the others look as well.
  CHECK(Count(kFleet, [&](auto it) { return probes(it, seconds(15)); }) ==
        kFleet);
}

TEST_CASE("a daemon follows the leader again once its heartbeats are back") {
  CopySourceChooser chooser(kApplyTime);
  const TimePoint late = kStart + seconds(5);
  CHECK(chooser.Choose({.leader_last_seen = kStart}, kStart, late, late) ==
        CopySource::kStore);
  CHECK(chooser.Choose({.leader_last_seen = late}, kStart, late, late) ==
        CopySource::kLeader);
}

TEST_CASE("readers turn to the store before others ask them for its copies") {
  // Returns whether a daemon still follows its leader by copies of this age.
  const auto follows = [](std::uint32_t rank, std::uint32_t members,
                          Duration age) {
    CopySourceChooser chooser(kApplyTime);
    const TimePoint now = kStart + age;
    return chooser.Choose({.leader_last_seen = now,
                           .rank = rank,
                           .heartbeat_period = kPeriod,
                           .members = members},
                          kStart, kStart, now) == CopySource::kLeader;
  };
  for (const std::uint32_t rank : {0U, 11U}) {
    CHECK(follows(rank, kFleet, milliseconds(1900)));
    CHECK_FALSE(follows(rank, kFleet, milliseconds(1950)));
    // Where nobody asks them they wait for the leader like the others.
    CHECK(follows(rank, 12, milliseconds(2200)));
  }
  CHECK(follows(12, kFleet, milliseconds(2200)));
  CHECK_FALSE(follows(12, kFleet, milliseconds(2250)));
}

TEST_CASE("members of a fleet of any size have copies of a leader on time") {
  // The oldest copies of a leader that is on time.
  constexpr milliseconds kLeaderCopyAge{1000};
  for (const std::uint32_t members : {1U, 12U, 63U, 295U, 1000U, 13000U}) {
    for (const int limit_ms : {1700, 2200, 2700, 10000}) {
      const milliseconds max_age(limit_ms);
      const milliseconds period = HeartbeatPeriod(members, max_age);
      CHECK(period >= milliseconds(250));
      CHECK(period <= milliseconds(750));
      CHECK(kLeaderCopyAge + period < max_age);
    }
  }
  CHECK(HeartbeatPeriod(12, milliseconds(2700)) == milliseconds(250));
  CHECK(HeartbeatPeriod(kFleet, milliseconds(2700)) == milliseconds(750));
  CHECK(HeartbeatPeriod(kFleet, milliseconds(1700)) == milliseconds(500));
}

TEST_CASE("a daemon knows by its own failed call that the store is lost") {
  const CopySourceChooser chooser(kApplyTime);
  const TimePoint now = kStart + seconds(5);
  CHECK_FALSE(chooser.IsStoreLost({.current_at = kStart}, now));
  CHECK(chooser.IsStoreLost(
      {.current_at = kStart, .call_failed_at = kStart + seconds(1)}, now));
  // The copies have been renewed since.
  CHECK_FALSE(chooser.IsStoreLost({.current_at = kStart + seconds(2),
                                   .call_failed_at = kStart + seconds(1)},
                                  now));
}

TEST_CASE("a failed call does not count while the store answers others") {
  const CopySourceChooser chooser(kApplyTime);
  const auto is_lost = [&](Duration since_answer) {
    const TimePoint answered_at = kStart + seconds(20);
    return chooser.IsStoreLost({.current_at = kStart,
                                .call_failed_at = kStart + seconds(1),
                                .answered_at = answered_at},
                               answered_at + since_answer);
  };
  CHECK_FALSE(is_lost(seconds(0)));
  CHECK_FALSE(is_lost(milliseconds(1249)));
  CHECK(is_lost(milliseconds(1250)));
}

// Guards against sends without a bound by a daemon that has asked nobody yet.
TEST_CASE("the store does not count as lost before peers could say otherwise") {
  constexpr Duration kPeerTimeout = milliseconds(300);
  CopySourceChooser chooser(milliseconds(1700));
  const StoreContact contact{.current_at = kStart,
                             .call_failed_at = kStart + seconds(1),
                             .answered_at = kStart};
  TimePoint asked_at{};
  bool lost_before_answer = false;
  for (TimePoint now = kStart + seconds(1); now < kStart + seconds(2);
       now += milliseconds(10)) {
    chooser.Choose({.leader_last_seen = kStart - seconds(9)}, kStart, kStart,
                   now);
    if (asked_at == TimePoint{} && chooser.AsksPeers()) {
      asked_at = now;
    }
    if (asked_at == TimePoint{} || now < asked_at + kPeerTimeout) {
      lost_before_answer =
          lost_before_answer || chooser.IsStoreLost(contact, now);
    }
  }
  CHECK(asked_at != TimePoint{});
  CHECK_FALSE(lost_before_answer);
}

TEST_CASE("a failed call does not count while the leader has the store") {
  CopySourceChooser chooser(kApplyTime);
  const TimePoint now = kStart + seconds(5);
  const auto is_lost = [&] {
    return chooser.IsStoreLost(
        {.current_at = kStart, .call_failed_at = kStart + seconds(1)}, now);
  };
  chooser.OnLeaderHeartbeat(false, now);
  chooser.Choose({.leader_last_seen = now}, kStart, kStart, now);
  CHECK_FALSE(is_lost());
  chooser.OnLeaderHeartbeat(true, now);
  CHECK(is_lost());
  // The leader is silent.
  chooser.OnLeaderHeartbeat(false, now);
  chooser.Choose({.leader_last_seen = kStart}, kStart, kStart, now);
  CHECK(is_lost());
}

// Guards against sends without a bound by a daemon that the store refuses, as
// its leader.
TEST_CASE("the leader's word and an own failed call do not prove a loss") {
  CopySourceChooser chooser(kApplyTime);
  chooser.OnMembers({"leader", "a", "b"}, kStart);
  for (const Duration after : {seconds(0), seconds(1), seconds(5)}) {
    const TimePoint now = kStart + after;
    chooser.OnLeaderHeartbeat(true, now);
    chooser.OnReport("leader", true, now);
    chooser.Choose({.leader_last_seen = now}, kStart, kStart, now);
    CHECK_FALSE(chooser.IsStoreLost(
        {.current_at = kStart - seconds(9), .call_failed_at = kStart}, now));
  }
}

TEST_CASE("the store is lost once most daemons report so") {
  CopySourceChooser chooser(kApplyTime);
  const TimePoint now = kStart + seconds(10);
  const auto is_lost = [&](TimePoint at) {
    chooser.Choose({.leader_last_seen = at}, kStart, kStart, at);
    return chooser.IsStoreLost({.current_at = kStart, .call_failed_at = now},
                               at);
  };
  chooser.OnLeaderHeartbeat(true, now);
  chooser.OnMembers({"leader", "a", "b", "c"}, now);
  chooser.OnReport("leader", true, now);
  CHECK_FALSE(is_lost(now));
  chooser.OnReport("a", true, now);
  CHECK(is_lost(now));
  CHECK(is_lost(now + milliseconds(1999)));
  CHECK_FALSE(is_lost(now + milliseconds(2000)));
  chooser.OnReport("a", false, now);
  CHECK_FALSE(is_lost(now));
  chooser.OnReport("b", true, now);
  CHECK(is_lost(now));
  chooser.OnLeaderHeartbeat(false, now);
  CHECK_FALSE(is_lost(now));
}

TEST_CASE("what a daemon states of most others counts for some seconds") {
  CopySourceChooser chooser(kApplyTime);
  chooser.OnMembers({"a", "b", "c"}, kStart);
  const TimePoint now = kStart + seconds(10);
  const auto is_lost = [&](TimePoint answered_at, TimePoint at) {
    chooser.Choose({.leader_last_seen = kStart, .rank = 100}, kStart, kStart,
                   at);
    return chooser.IsStoreLost(
        {.current_at = kStart, .answered_at = answered_at}, at);
  };
  CHECK_FALSE(is_lost(kStart, now));
  chooser.OnMajorityStated(now);
  CHECK(is_lost(kStart, now));
  CHECK(is_lost(kStart, now + milliseconds(1499)));
  CHECK_FALSE(is_lost(kStart, now + milliseconds(1500)));
  // An answer to any daemon is stronger.
  CHECK_FALSE(is_lost(now - seconds(1), now));
  // A reader gets the reports itself.
  chooser.Choose({.leader_last_seen = kStart, .rank = 11}, kStart, kStart, now);
  CHECK_FALSE(chooser.IsStoreLost({.current_at = kStart}, now));
}

}  // namespace
}  // namespace gentianreach::entry
