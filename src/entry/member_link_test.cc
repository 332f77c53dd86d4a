#include "entry/member_link.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <boost/leaf/handle_errors.hpp>

#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

// How long a test waits for what has to happen; far more than it takes.
constexpr Duration kPatience = std::chrono::seconds(30);
// More than the members that a heartbeat names.
constexpr std::size_t kManyMembers = 20;

// Returns an address that no other daemon has.
std::string NewAddress() {
  static int last_host = 0;
  return standins::LoopbackBlock() + std::to_string(++last_host) + ":7002";
}

// A daemon without store and callers.
class Daemon {
 public:
  Daemon(net::EventLoop& loop, const std::string& name)
      : loop_(loop),
        self{name, Incarnation(1), NewAddress()},
        election(self, {}),
        state_(loop, {}, ZoneName("z"), {}),
        link(loop, self, 1, {}, election, state_) {
    REQUIRE(link.Open());
  }

  // Has the store say that `record` holds.
  void Read(const LeaderRecord& record) {
    REQUIRE(election.Poll(loop_.Now()));
    election.OnReply(ElectionOutcome::kOk, record, record.epoch.value(),
                     loop_.Now());
  }
  // Has the store elect this daemon.
  void TakeLead(std::uint64_t epoch) {
    election.OnNewerEpochSeen(loop_.Now());
    Read({Epoch(epoch), self});
    CHECK(election.IsLeader(loop_.Now()));
  }
  // Has the store elect this daemon in the place of the leader that it knows.
  void Replace() {
    const LeaderRecord before = election.record();
    election.OnLeaderUnfit(loop_.Now());
    Read(before);
    const auto call = election.Poll(loop_.Now());
    REQUIRE(call);
    REQUIRE(call->kind == ElectionCall::Kind::kReplace);
    election.OnReply(ElectionOutcome::kOk, call->record,
                     call->record.epoch.value(), loop_.Now());
    CHECK(election.IsLeader(loop_.Now()));
  }
  [[nodiscard]] bool Follows(const Daemon& other) const {
    return election.record().leader == other.self;
  }

 private:
  net::EventLoop& loop_;

 public:
  const Member self;
  LeaderElection election;

 private:
  EntryState state_;

 public:
  MemberLink link;
};

// A leader with many members that all have been heard.
class Fleet {
 public:
  Fleet() {
    for (std::size_t i = 0; i < kManyMembers; ++i) {
      daemons.push_back(
          std::make_unique<Daemon>(loop, "d" + std::to_string(i)));
    }
    daemons[0]->TakeLead(1);
    for (std::size_t i = 1; i < kManyMembers; ++i) {
      daemons[i]->Read(daemons[0]->election.record());
    }
    WaitFor([this] {
      for (const auto& it : daemons) {
        if (it->link.members() != kManyMembers) {
          return false;
        }
      }
      return true;
    });
  }

  void WaitFor(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kPatience;
    while (!done()) {
      if (loop.Now() >= end) {
        for (const auto& it : daemons) {
          MESSAGE(it->self.name << " at " << it->self.address << " follows "
                                << it->election.record().leader.name << " of "
                                << it->link.members() << " members");
        }
      }
      REQUIRE(loop.Now() < end);
      loop.RunOnce(true);
    }
  }

  net::EventLoop loop;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

TEST_CASE("all members follow a new leader that the old one did not yield to") {
  Fleet fleet;
  // The old leader cannot reach the store and does not know that it was
  // replaced; the new one knows few of its members.
  Daemon& next = *fleet.daemons[5];
  next.TakeLead(2);
  next.link.SendLeaderHeartbeats();
  fleet.WaitFor([&] {
    for (const auto& it : fleet.daemons) {
      if (!it->Follows(next)) {
        return false;
      }
    }
    return true;
  });
  CHECK_FALSE(fleet.daemons[0]->election.IsLeader(fleet.loop.Now()));
}

TEST_CASE("a leader that was replaced at once learns of it") {
  Fleet fleet;
  // Two daemons see that the leader has lost the store. The second one knows of
  // the first from the store only, and no heartbeat has named it.
  Daemon& first = *fleet.daemons[5];
  Daemon& second = *fleet.daemons[6];
  first.Replace();
  second.election.OnNewerEpochSeen(fleet.loop.Now());
  second.Read(first.election.record());
  second.Replace();
  second.link.SendLeaderHeartbeats();
  fleet.WaitFor([&] {
    for (const auto& it : fleet.daemons) {
      if (!it->Follows(second)) {
        return false;
      }
    }
    return true;
  });
}

TEST_CASE("a new leader counts on the members that the old one knew") {
  Fleet fleet;
  Daemon& next = *fleet.daemons[5];
  next.TakeLead(2);
  next.link.SendLeaderHeartbeats();
  fleet.WaitFor([&] { return fleet.daemons[0]->Follows(next); });
  for (const auto& it : fleet.daemons) {
    CHECK(it->link.members() == kManyMembers);
  }
}

}  // namespace
}  // namespace gentianreach::entry
