#include "entry/leader_election.h"

#include <chrono>
#include <optional>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(100));

// A store with a single record and conditional writes.
class Store {
 public:
  std::optional<LeaderRecord> record;
  std::uint64_t revision = 0;
  bool down = false;

  // Replaces the record by one that cannot be read.
  void Wipe() {
    record.reset();
    unreadable_ = true;
    ++revision;
  }
  [[nodiscard]] bool unreadable() const { return unreadable_; }

  // Makes the store calls that the election requests. If `answered` is false,
  // the results of writes are lost.
  void Serve(LeaderElection& election, TimePoint now, bool answered = true) {
    while (const auto call = election.Poll(now)) {
      if (down) {
        election.OnReply(ElectionOutcome::kUnavailable, std::nullopt, 0, now);
        return;
      }
      const auto outcome = CarryOut(*call);
      if (!answered && call->kind != ElectionCall::Kind::kRead) {
        election.OnReply(ElectionOutcome::kUnknown, std::nullopt, 0, now);
        return;
      }
      election.OnReply(outcome, record, revision, now);
    }
  }

 private:
  ElectionOutcome CarryOut(const ElectionCall& call) {
    switch (call.kind) {
      case ElectionCall::Kind::kRead:
        if (unreadable_) {
          return ElectionOutcome::kUnreadable;
        }
        return record ? ElectionOutcome::kOk : ElectionOutcome::kAbsent;
      case ElectionCall::Kind::kCreate:
        if (unreadable_) {
          return ElectionOutcome::kUnreadable;
        }
        if (record) {
          return ElectionOutcome::kConflict;
        }
        break;
      case ElectionCall::Kind::kReplace:
        if (call.revision != revision) {
          return unreadable_ ? ElectionOutcome::kUnreadable
                             : ElectionOutcome::kConflict;
        }
        break;
    }
    unreadable_ = false;
    if (record != call.record) {
      record = call.record;
      ++revision;
    }
    return ElectionOutcome::kOk;
  }

  bool unreadable_ = false;
};

LeaderElection Daemon(const std::string& name, std::uint64_t incarnation = 1) {
  return LeaderElection({name, Incarnation(incarnation), name + ":1"}, {});
}

TEST_CASE("the first daemon to create the record leads, the next follows") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  CHECK(a.IsLeader(kStart));
  CHECK_FALSE(b.IsLeader(kStart));
  CHECK(b.record().leader.name == "a");
  // There was no leader before.
  CHECK(a.previous_leader_until() == kStart);
}

TEST_CASE("a leader whose heartbeats arrive is not replaced") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = kStart + i * milliseconds(250);
    b.OnLeaderHeartbeat(a.record(), 0, now);
    store.Serve(a, now);
    store.Serve(b, now);
    CHECK(a.IsLeader(now));
    CHECK_FALSE(b.IsLeader(now));
  }
}

TEST_CASE(
    "a leader without heartbeats is replaced and may act until its lease "
    "ends") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  const TimePoint later = kStart + seconds(2);
  store.Serve(b, later);
  CHECK(b.IsLeader(later));
  CHECK(b.previous_leader_until() > later + seconds(10));
  // The replaced leader's next confirmation by the store fails.
  const TimePoint verified = kStart + seconds(3);
  store.Serve(a, verified);
  CHECK_FALSE(a.IsLeader(verified));
  // Once it follows the new leader, its lease need not be waited for.
  b.OnFollowerMessage("a", b.record().epoch, verified);
  CHECK(b.previous_leader_until() == verified);
}

TEST_CASE("a daemon with a higher rank waits longer before it takes over") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  b.OnLeaderHeartbeat(a.record(), 3, kStart);
  store.Serve(b, kStart + milliseconds(1900));
  CHECK_FALSE(b.IsLeader(kStart + milliseconds(1900)));
  store.Serve(b, kStart + milliseconds(2100));
  CHECK(b.IsLeader(kStart + milliseconds(2100)));
}

TEST_CASE(
    "a restarted leader replaces its earlier incarnation without a wait") {
  Store store;
  LeaderElection before = Daemon("a", 1);
  store.Serve(before, kStart);
  LeaderElection after = Daemon("a", 2);
  store.Serve(after, kStart + seconds(1));
  CHECK(after.IsLeader(kStart + seconds(1)));
  CHECK(after.previous_leader_until() == kStart + seconds(1));
}

// Guards against two leaders: daemons follow the later epoch.
TEST_CASE("a record that the store has lost is created with a later epoch") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  b.OnLeaderHeartbeat(a.record(), 0, kStart);
  store.record.reset();
  ++store.revision;
  const TimePoint later = kStart + seconds(2);
  store.Serve(b, later);
  CHECK(b.IsLeader(later));
  CHECK(b.record().epoch > a.record().epoch);
  CHECK(b.previous_leader_until() > later + seconds(10));
}

TEST_CASE("a record that was put back is replaced with a later epoch") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  LeaderElection c = Daemon("c");
  store.Serve(a, kStart);
  const auto first = store.record;
  store.Serve(b, kStart);
  const TimePoint later = kStart + seconds(2);
  store.Serve(b, later);
  REQUIRE(b.IsLeader(later));
  store.Serve(c, later);
  store.record = first;
  ++store.revision;
  TimePoint end = later;
  while (!c.IsLeader(end)) {
    end += milliseconds(100);
    REQUIRE(end < later + seconds(10));
    store.Serve(c, end);
  }
  CHECK(c.record().epoch > b.record().epoch);
  CHECK(c.previous_leader_until() > end + seconds(10));
}

TEST_CASE("a leader acts without the store until its lease expires") {
  Store store;
  LeaderElection a = Daemon("a");
  store.Serve(a, kStart);
  store.down = true;
  TimePoint now = kStart;
  for (; now < kStart + seconds(11); now += milliseconds(100)) {
    store.Serve(a, now);
    CHECK(a.IsLeader(now));
  }
  CHECK_FALSE(a.IsLeader(kStart + seconds(13)));
  store.down = false;
  store.Serve(a, kStart + seconds(20));
  CHECK(a.IsLeader(kStart + seconds(20)));
}

TEST_CASE(
    "a takeover whose response was lost is detected by reading the record") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  const TimePoint later = kStart + seconds(2);
  store.Serve(b, later, false);
  CHECK_FALSE(b.IsLeader(later));
  const TimePoint found = later + seconds(1);
  store.Serve(b, found);
  CHECK(b.IsLeader(found));
  CHECK(b.previous_leader_until() > found + seconds(10));
}

TEST_CASE("a leader that resigns is replaced immediately") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  a.Resign();
  store.Serve(a, kStart);
  CHECK(a.resigned());
  CHECK_FALSE(a.IsLeader(kStart));
  b.OnLeaderResigned(kStart);
  store.Serve(b, kStart);
  CHECK(b.IsLeader(kStart));
  CHECK(b.previous_leader_until() == kStart);
}

TEST_CASE(
    "a leader that lost the store is replaced by a daemon that can reach it") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  b.OnLeaderHeartbeat(a.record(), 2, kStart);
  b.OnLeaderUnfit(kStart);
  store.Serve(b, kStart);
  CHECK(b.IsLeader(kStart));
  CHECK(b.previous_leader_until() > kStart + seconds(10));
}

TEST_CASE(
    "a report that the leader lost the store does not apply to its successor") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  LeaderElection c = Daemon("c");
  for (LeaderElection* it : {&a, &b, &c}) {
    store.Serve(*it, kStart);
  }
  for (LeaderElection* it : {&b, &c}) {
    it->OnLeaderHeartbeat(a.record(), 1, kStart);
    it->OnLeaderUnfit(kStart);
  }
  store.Serve(b, kStart);
  REQUIRE(b.IsLeader(kStart));
  // `c` finds that the leader has been replaced and reads the record again.
  store.Serve(c, kStart);
  c.OnNewerEpochSeen(kStart);
  store.Serve(c, kStart);
  CHECK_FALSE(c.IsLeader(kStart));
  CHECK(c.record().leader.name == "b");
}

TEST_CASE(
    "a daemon that starts while the store is down follows a leader hint") {
  Store store;
  store.down = true;
  LeaderElection a = Daemon("a");
  store.Serve(a, kStart);
  CHECK_FALSE(a.knows_leader());
  const LeaderRecord hint{Epoch(7), {"b", Incarnation(1), "b:1"}};
  a.OnHint(hint, kStart);
  CHECK(a.record() == hint);
  // A hint with an earlier epoch or the same epoch is ignored.
  a.OnHint({Epoch(6), {"c", Incarnation(1), "c:1"}}, kStart);
  a.OnHint({Epoch(7), {"c", Incarnation(1), "c:1"}}, kStart);
  CHECK(a.record() == hint);
  // A hint with a later epoch proves that the leader was replaced.
  const LeaderRecord later{Epoch(9), {"c", Incarnation(1), "c:1"}};
  a.OnHint(later, kStart);
  CHECK(a.record() == later);
  // A hint that names an earlier incarnation of this daemon is ignored.
  LeaderElection b = Daemon("b", 2);
  b.OnHint(hint, kStart);
  CHECK_FALSE(b.knows_leader());
}

TEST_CASE(
    "a heartbeat with a later epoch is followed without reading the store") {
  LeaderElection a = Daemon("a");
  Store store;
  store.Serve(a, kStart);
  const LeaderRecord later{Epoch(7), {"b", Incarnation(1), "b:1"}};
  a.OnLeaderHeartbeat(later, 0, kStart);
  CHECK_FALSE(a.IsLeader(kStart));
  CHECK(a.record() == later);
  a.OnLeaderHeartbeat({Epoch(2), {"c", Incarnation(1), "c:1"}}, 0, kStart);
  CHECK(a.record() == later);
}

// `a` leads and is replaced by `b` at kStart + 2 s, which it does not notice,
// so that it may act until kLeaseEndOfA.
constexpr Duration kLeaderLease = ElectionOptions{}.leader_lease;
const TimePoint kReplacementOfA = kStart + seconds(2);
const TimePoint kLeaseEndOfA = kReplacementOfA + kLeaderLease;

struct UnawareLeader {
  UnawareLeader() {
    store.Serve(a, kStart);
    store.Serve(b, kStart);
    store.Serve(b, kReplacementOfA);
    REQUIRE(b.IsLeader(kReplacementOfA));
  }

  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
};

TEST_CASE("the successor of a leader that resigns waits for earlier leaders") {
  UnawareLeader chain;
  const TimePoint later = kReplacementOfA + seconds(1);
  chain.b.Resign();
  chain.store.Serve(chain.b, later);
  LeaderElection c = Daemon("c");
  chain.store.Serve(c, later);
  REQUIRE(c.IsLeader(later));
  CHECK(c.previous_leader_until() >= kLeaseEndOfA);
}

TEST_CASE("a restarted leader waits for leaders before its earlier term") {
  UnawareLeader chain;
  const TimePoint later = kReplacementOfA + seconds(1);
  LeaderElection b = Daemon("b", 2);
  chain.store.Serve(b, later);
  REQUIRE(b.IsLeader(later));
  CHECK(b.previous_leader_until() >= kLeaseEndOfA);
}

TEST_CASE("a restart of the replaced leader does not end the wait for others") {
  UnawareLeader chain;
  LeaderElection c = Daemon("c");
  chain.store.Serve(c, kReplacementOfA);
  const TimePoint later = kReplacementOfA + seconds(2);
  chain.store.Serve(c, later);
  REQUIRE(c.IsLeader(later));
  c.OnFollowerMessage("b", c.record().epoch, later);
  CHECK(c.previous_leader_until() >= kLeaseEndOfA);
  // Neither does a message of `a` from the term before.
  c.OnFollowerMessage("a", Epoch(2), later);
  CHECK(c.previous_leader_until() >= kLeaseEndOfA);
  c.OnFollowerMessage("a", c.record().epoch, later);
  CHECK(c.previous_leader_until() == later);
}

TEST_CASE("earlier leaders are listed until their lease has been waited for") {
  UnawareLeader chain;
  chain.store.Serve(chain.b, kLeaseEndOfA - seconds(1));
  REQUIRE(chain.store.record);
  CHECK(chain.store.record->earlier_leaders.size() == 1);
  chain.store.Serve(chain.b, kLeaseEndOfA + seconds(3));
  CHECK(chain.b.IsLeader(kLeaseEndOfA + seconds(3)));
  CHECK(chain.store.record->earlier_leaders.empty());
  CHECK(chain.b.replaced_leaders().empty());
}

TEST_CASE("a daemon that knows its leader from heartbeats can replace it") {
  UnawareLeader chain;
  LeaderElection c = Daemon("c");
  c.OnLeaderHeartbeat({Epoch(2), {"b", Incarnation(1), "b:1"}}, 0,
                      kReplacementOfA);
  const TimePoint later = kReplacementOfA + seconds(1);
  chain.store.Serve(c, later);
  REQUIRE(c.IsLeader(later));
  CHECK(c.replaced_leaders().size() == 2);
}

// Writes the record as a version that drops the list of earlier leaders does.
void DropEarlierLeaders(Store& store) {
  REQUIRE(store.record);
  store.record->earlier_leaders = {Member{}};
  ++store.revision;
}

TEST_CASE("the successor of an older version waits for leaders it dropped") {
  UnawareLeader chain;
  DropEarlierLeaders(chain.store);
  LeaderElection c = Daemon("c");
  chain.store.Serve(c, kReplacementOfA);
  const TimePoint later = kReplacementOfA + seconds(2);
  chain.store.Serve(c, later);
  REQUIRE(c.IsLeader(later));
  c.OnFollowerMessage("b", c.record().epoch, later);
  CHECK(c.previous_leader_until() >= kLeaseEndOfA);
  // So does the successor of that successor.
  c.Resign();
  chain.store.Serve(c, later);
  LeaderElection d = Daemon("d");
  chain.store.Serve(d, later);
  REQUIRE(d.IsLeader(later));
  CHECK(d.previous_leader_until() >= kLeaseEndOfA);
}

TEST_CASE("leaders before a term that has lasted for a lease are forgotten") {
  UnawareLeader chain;
  DropEarlierLeaders(chain.store);
  LeaderElection c = Daemon("c");
  chain.store.Serve(c, kReplacementOfA);
  c.OnLeaderHeartbeat(*chain.store.record, 0, kLeaseEndOfA - seconds(1));
  const TimePoint later = kLeaseEndOfA + seconds(1);
  chain.store.Serve(c, later);
  REQUIRE(c.IsLeader(later));
  c.OnFollowerMessage("b", c.record().epoch, later);
  CHECK(c.previous_leader_until() == later);
}

TEST_CASE("a daemon does not wait for earlier terms of its own") {
  UnawareLeader chain;
  const TimePoint later = kReplacementOfA + seconds(1);
  chain.b.Resign();
  chain.store.Serve(chain.b, later);
  chain.store.Serve(chain.a, later);
  REQUIRE(chain.a.IsLeader(later));
  CHECK(chain.a.previous_leader_until() == later);
}

TEST_CASE("a later epoch in the store puts the term in doubt until a check") {
  Store store;
  LeaderElection a = Daemon("a");
  store.Serve(a, kStart);
  a.OnStoredEpoch(Epoch(1), kStart);
  CHECK_FALSE(a.term_in_doubt());
  a.OnStoredEpoch(Epoch(2), kStart);
  CHECK(a.term_in_doubt());
  store.down = true;
  store.Serve(a, kStart);
  CHECK(a.term_in_doubt());
  store.down = false;
  store.Serve(a, kStart + seconds(2));
  CHECK_FALSE(a.term_in_doubt());
  CHECK(a.IsLeader(kStart + seconds(2)));
}

TEST_CASE(
    "a record that is older than the tables is replaced by a later term") {
  Store store;
  LeaderElection a = Daemon("a");
  store.Serve(a, kStart);
  REQUIRE(a.IsLeader(kStart));
  a.OnStoredEpoch(Epoch(7), kStart);
  store.Serve(a, kStart);
  store.Serve(a, kStart);
  CHECK(a.IsLeader(kStart));
  CHECK(a.record().epoch > Epoch(7));
  CHECK_FALSE(a.term_in_doubt());
  // Whoever wrote the tables may still act.
  CHECK(a.previous_leader_until() == kStart + kLeaderLease);
}

TEST_CASE("a check that was sent before a later epoch was found is repeated") {
  Store store;
  LeaderElection a = Daemon("a");
  store.Serve(a, kStart);
  a.OnNewerEpochSeen(kStart);
  const auto call = a.Poll(kStart);
  REQUIRE(call.has_value());
  a.OnStoredEpoch(Epoch(2), kStart);
  a.OnReply(ElectionOutcome::kOk, call->record, store.revision, kStart);
  CHECK(a.term_in_doubt());
  store.Serve(a, kStart);
  CHECK_FALSE(a.term_in_doubt());
}

TEST_CASE("a late confirmation does not end following a later leader") {
  Store store;
  LeaderElection a = Daemon("a");
  store.Serve(a, kStart);
  const TimePoint sent = kStart + seconds(3);
  REQUIRE(a.Poll(sent));
  const LeaderRecord later{Epoch(2), {"b", Incarnation(1), "b:1"}};
  const TimePoint heard = sent + milliseconds(300);
  a.OnLeaderHeartbeat(later, 0, heard);
  a.OnReply(ElectionOutcome::kOk, store.record, store.revision,
            heard + milliseconds(100));
  CHECK_FALSE(a.IsLeader(heard + milliseconds(100)));
  CHECK(a.record() == later);
}

TEST_CASE("an unreadable record is replaced, with a wait for any leader") {
  UnawareLeader chain;
  const LeaderRecord lost = *chain.store.record;
  chain.store.Wipe();
  LeaderElection c = Daemon("c");
  c.OnLeaderHeartbeat(lost, 0, kReplacementOfA);
  const TimePoint later = kReplacementOfA + seconds(1);
  chain.store.Serve(c, later);
  REQUIRE(c.IsLeader(later));
  CHECK(c.record().epoch > lost.epoch);
  // The daemons that are heard of are not all that may act.
  c.OnFollowerMessage("a", c.record().epoch, later);
  c.OnFollowerMessage("b", c.record().epoch, later);
  CHECK(c.previous_leader_until() == later + kLeaderLease);
  // So does the successor.
  c.Resign();
  chain.store.Serve(c, later);
  LeaderElection d = Daemon("d");
  chain.store.Serve(d, later);
  REQUIRE(d.IsLeader(later));
  CHECK(d.previous_leader_until() == later + kLeaderLease);
}

TEST_CASE("a leader whose record became unreadable begins a new term") {
  UnawareLeader chain;
  const Epoch lost = chain.store.record->epoch;
  chain.store.Wipe();
  // `a` does not know of the term of `b`, whose record is lost.
  const TimePoint later = kReplacementOfA + seconds(1);
  REQUIRE(chain.a.IsLeader(later));
  chain.store.Serve(chain.a, later);
  CHECK(chain.a.IsLeader(later));
  CHECK(chain.a.record().epoch > lost);
  CHECK(chain.a.previous_leader_until() == later + kLeaderLease);
  const TimePoint verified = later + seconds(3);
  chain.store.Serve(chain.b, verified);
  CHECK_FALSE(chain.b.IsLeader(verified));
  CHECK(chain.b.record() == *chain.store.record);
}

TEST_CASE("a leader whose record stays unreadable acts until its lease ends") {
  Store store;
  LeaderElection a = Daemon("a");
  store.Serve(a, kStart);
  int calls = 0;
  for (TimePoint now = kStart; now <= kStart + kLeaderLease;
       now += milliseconds(100)) {
    CHECK(a.IsLeader(now) == (now < kStart + kLeaderLease));
    while (a.Poll(now)) {
      ++calls;
      a.OnReply(ElectionOutcome::kUnreadable, std::nullopt, calls + 1, now);
    }
  }
  CHECK(calls < 12);
}

TEST_CASE("an unreadable record is left to a leader that is heard of") {
  Store store;
  LeaderElection a = Daemon("a");
  store.Serve(a, kStart);
  store.Wipe();
  LeaderElection b = Daemon("b");
  store.Serve(b, kStart);
  const TimePoint hinted = kStart + milliseconds(500);
  b.OnHint(a.record(), hinted);
  TimePoint now = hinted;
  for (; now < kStart + seconds(3); now += milliseconds(250)) {
    b.OnLeaderHeartbeat(a.record(), 0, now);
    store.Serve(b, now);
    store.Serve(a, now);
  }
  CHECK(a.IsLeader(now));
  CHECK_FALSE(store.unreadable());
  CHECK(b.record().IsSameTerm(a.record()));
}

TEST_CASE("an unreadable record is replaced if no leader is heard of") {
  Store store;
  {
    LeaderElection a = Daemon("a");
    store.Serve(a, kStart);
  }
  store.Wipe();
  LeaderElection b = Daemon("b");
  LeaderElection c = Daemon("c");
  for (TimePoint now = kStart; now <= kStart + seconds(1);
       now += milliseconds(100)) {
    store.Serve(b, now);
    store.Serve(c, now);
  }
  const TimePoint later = kStart + seconds(1);
  CHECK(b.IsLeader(later));
  CHECK_FALSE(c.IsLeader(later));
  CHECK(c.record().leader.name == "b");
}

TEST_CASE("a leader with an unreadable record can resign") {
  Store store;
  LeaderElection a = Daemon("a");
  LeaderElection b = Daemon("b");
  store.Serve(a, kStart);
  store.Serve(b, kStart);
  store.Wipe();
  a.Resign();
  store.Serve(a, kStart);
  CHECK(a.resigned());
  b.OnLeaderResigned(kStart);
  const TimePoint later = kStart + seconds(1);
  store.Serve(b, kStart);
  store.Serve(b, later);
  CHECK(b.IsLeader(later));
  CHECK(b.previous_leader_until() == later + kLeaderLease);
}

}  // namespace
}  // namespace gentianreach::entry
