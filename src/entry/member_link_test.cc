#include "entry/member_link.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <boost/leaf/handle_errors.hpp>

#include "net/udp_socket.h"
#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

// Limit for each wait of a test; much longer than needed.
constexpr Duration kTestTimeout = std::chrono::seconds(30);
// Time after which a server that leaves gets no more requests.
constexpr std::chrono::seconds kDrainTime{2};
// More than the number of members that a heartbeat names.
constexpr std::size_t kManyMembers = 20;

// Returns an address that no other daemon uses.
std::string NewAddress() {
  static int last_host = 0;
  return standins::LoopbackBlock() + std::to_string(++last_host) + ":7002";
}

// A daemon without a store and without callers. The tests supply the results of
// its store calls.
class Daemon {
 public:
  // Other daemons are told `self.address`; it listens at `listens_at`, or there
  // if that is empty.
  Daemon(net::EventLoop& loop,
         const std::string& name,
         const std::string& listens_at = {})
      : loop_(loop),
        self{name, Incarnation(1), NewAddress()},
        election(self, {}),
        state_(loop, {}, ZoneName("z"), {}, DrainBound(kDrainTime)),
        link(loop, self, 1, name + ":1", {}, election, state_) {
    REQUIRE(link.Open(listens_at.empty() ? self.address : listens_at));
  }

  // Makes this daemon lose its path to the servers.
  void LoseServers() {
    const ServerId server("s");
    const ServerReachability::Servers servers{{server, {}}};
    state_.reachability.OnFailure(server, loop_.Now());
    for (const ServerId& it :
         state_.reachability.TakeProbes(servers, loop_.Now())) {
      state_.reachability.OnProbeEnd(it, false, loop_.Now());
    }
    REQUIRE(state_.reachability.lost());
    state_.relays.Reset();
    link.AnnounceServerPath();
  }
  [[nodiscard]] const Relays& relays() const { return state_.relays; }
  [[nodiscard]] CrashWatch& crashes() { return state_.crashes; }

  // Answers the pending store call with `record`.
  void ReplyWithRecord(const LeaderRecord& record) {
    REQUIRE(election.Poll(loop_.Now()));
    election.OnReply(ElectionOutcome::kOk, record, record.epoch.value(),
                     loop_.Now());
  }
  // Makes this daemon the leader in the store.
  void TakeLead(std::uint64_t epoch) {
    election.OnNewerEpochSeen(loop_.Now());
    ReplyWithRecord({Epoch(epoch), self});
    CHECK(election.IsLeader(loop_.Now()));
  }
  // Makes this daemon replace the leader that it knows, as after an outage of
  // the store at the leader.
  void TakeOverFromLeader() {
    const LeaderRecord previous = election.record();
    election.OnLeaderUnfit(loop_.Now());
    ReplyWithRecord(previous);
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

// A leader with many members that have all sent a Hello.
class Fleet {
 public:
  Fleet() {
    for (std::size_t i = 0; i < kManyMembers; ++i) {
      daemons.push_back(
          std::make_unique<Daemon>(loop, "d" + std::to_string(i)));
    }
    daemons[0]->TakeLead(1);
    for (std::size_t i = 1; i < kManyMembers; ++i) {
      daemons[i]->ReplyWithRecord(daemons[0]->election.record());
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
    const TimePoint end = loop.Now() + kTestTimeout;
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

TEST_CASE("a leader that led before tells a replaced leader its present line") {
  net::EventLoop loop;
  Daemon first(loop, "a");
  Daemon second(loop, "b");
  Daemon member(loop, "c");
  const auto run_until = [&](const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      loop.RunOnce(true);
    }
  };
  first.TakeLead(1);
  second.ReplyWithRecord(first.election.record());
  member.ReplyWithRecord(first.election.record());
  run_until([&] { return first.link.members() == 3; });
  second.TakeOverFromLeader();
  run_until([&] { return first.Follows(second) && member.Follows(second); });
  std::optional<StoreCopyStatus> told;
  second.link.on_leader_heartbeat = [&](const StoreCopyStatus& it) {
    told = it;
  };
  first.TakeOverFromLeader();
  run_until([&] { return told.has_value() && second.Follows(first); });
  // The leader has replaced the members that it knew in its first term.
  for (const std::string& it : told->peers) {
    CHECK((it == member.self.address || it == first.self.address));
  }
}

TEST_CASE("members that joined later are told which copies their mirror has") {
  net::EventLoop loop;
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (std::size_t i = 0; i < kManyMembers; ++i) {
    daemons.push_back(std::make_unique<Daemon>(loop, "d" + std::to_string(i)));
  }
  Daemon& leader = *daemons[0];
  const std::vector<std::uint64_t> changed_at{7, 8, 9};
  leader.TakeLead(1);
  leader.link.SetStoreCopyStatus({.changed_at = changed_at});
  leader.link.SendLeaderHeartbeats();
  // The copies do not change after that.
  std::set<std::string> told;
  bool has_mirror = false;
  for (std::size_t i = 1; i < kManyMembers; ++i) {
    Daemon& member = *daemons[i];
    member.ReplyWithRecord(leader.election.record());
    member.link.on_leader_heartbeat = [&](const StoreCopyStatus& it) {
      if (it.changed_at == changed_at && it.current_at != TimePoint{}) {
        told.insert(member.self.name);
        has_mirror = has_mirror || !it.mirror.empty();
      }
    };
  }
  const TimePoint end = loop.Now() + kTestTimeout;
  while (told.size() + 1 < kManyMembers || !has_mirror) {
    REQUIRE(loop.Now() < end);
    leader.link.SetStoreCopyStatus(
        {.changed_at = changed_at, .current_at = loop.Now()});
    loop.RunOnce(true);
  }
}

// Datagrams of the version before Hellos and heartbeats named a time, in
// hexadecimal: the Hello of member "m" in term 1, and a heartbeat of leader
// "old" in term 9.
constexpr std::string_view kOlderHello =
    "0c00000008000c000700080008000000000000011c000000180028000400180008002000"
    "0c000000000000001000140018000000540000003c000000cdcc4c3e2c00000014000000"
    "050000000000000001000000000000000e0000003132372e302e302e313a373030330000"
    "010000007a0000000e0000003132372e302e302e313a373030320000010000006d000000";
constexpr std::string_view kOlderHeartbeat =
    "100000000000000008000e000700080008000000000000022400000000001e0030000400"
    "1c00240008000c00100000000000000000001400000018001e0000006000000001000000"
    "440000000c0000001c000000960000000300000000000000090000000000000000000000"
    "03000000280000000000000029000000000000002a00000000000000000000000e000000"
    "3132372e302e302e313a373030320000030000006f6c6400";

// The heartbeat of the version before heartbeats told of lost histories.
constexpr std::string_view kHeartbeatWithDigests =
    "0c00000008000c00070008000800000000000002300000002c004000040024002c000800"
    "0c0010000000000000000000140000001800000000000000000034001c0020002c000000"
    "a000000001000000840000000c0000005c00000096000000400000002000000003000000"
    "000000000900000000000000010000000000000000000000030000003200000000000000"
    "330000000000000034000000000000000e0000003132372e302e302e313a373030330000"
    "03000000280000000000000029000000000000002a00000000000000000000000e000000"
    "3132372e302e302e313a373030320000030000006f6c6400";

// Sends the datagram `hexadecimal` to `daemon`.
void SendDatagram(net::EventLoop& loop,
                  const Daemon& daemon,
                  std::string_view hexadecimal) {
  std::vector<std::uint8_t> bytes(hexadecimal.size() / 2);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::string_view digits = hexadecimal.substr(2 * i, 2);
    std::from_chars(digits.begin(), digits.end(), bytes[i], 16);
  }
  net::UdpSocket socket(loop);
  REQUIRE(socket.Open("127.0.0.1:0", [](auto) {}));
  socket.Send(daemon.self.address, bytes);
}

TEST_CASE("a member gets heartbeats at the address that it advertises") {
  net::EventLoop loop;
  Daemon leader(loop, "a");
  Daemon member(loop, "b", NewAddress());
  bool received = false;
  net::UdpSocket advertised(loop);
  REQUIRE(advertised.Open(member.self.address,
                          [&](auto /*data*/) { received = true; }));
  leader.TakeLead(1);
  member.ReplyWithRecord(leader.election.record());
  const TimePoint end = loop.Now() + kTestTimeout;
  while (!received || leader.link.members() != 2) {
    REQUIRE(loop.Now() < end);
    loop.RunOnce(true);
  }
  CHECK(member.link.leader_last_seen() == TimePoint{});
}

TEST_CASE("a leader counts members of the version before") {
  net::EventLoop loop;
  Daemon leader(loop, "a");
  leader.TakeLead(1);
  const TimePoint end = loop.Now() + kTestTimeout;
  while (leader.link.members() != 2) {
    SendDatagram(loop, leader, kOlderHello);
    REQUIRE(loop.Now() < end);
    loop.RunOnce(true);
  }
}

TEST_CASE("a leader uses no members of its earlier term") {
  net::EventLoop loop;
  Daemon leader(loop, "a");
  const auto send_until = [&](std::string_view datagram,
                              const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      SendDatagram(loop, leader, datagram);
      REQUIRE(loop.Now() < end);
      loop.RunOnce(true);
    }
  };
  leader.TakeLead(1);
  send_until(kOlderHello, [&] { return leader.link.members() == 2; });
  send_until(kOlderHeartbeat,
             [&] { return leader.election.record().epoch == Epoch(9); });
  // It tells the leader that it replaces before any member has sent a Hello.
  leader.TakeOverFromLeader();
  const TimePoint end = loop.Now() + 3 * leader.link.heartbeat_period();
  while (loop.Now() < end) {
    loop.RunOnce(true);
  }
  CHECK(leader.election.replaced_leaders().size() == 1);
}

TEST_CASE("a member follows a leader of the version before and its copies") {
  net::EventLoop loop;
  Daemon member(loop, "a");
  std::optional<StoreCopyStatus> received;
  member.link.on_leader_heartbeat = [&](const StoreCopyStatus& it) {
    received = it;
  };
  const TimePoint start = loop.Now();
  while (!received) {
    SendDatagram(loop, member, kOlderHeartbeat);
    REQUIRE(loop.Now() < start + kTestTimeout);
    loop.RunOnce(true);
  }
  CHECK(member.election.record().leader ==
        Member{"old", Incarnation(3), "127.0.0.1:7002"});
  CHECK(member.election.record().epoch == Epoch(9));
  CHECK(member.link.members() == 12);
  CHECK(member.link.rank() == 1);
  CHECK(received->changed_at == std::vector<std::uint64_t>{40, 41, 42});
  CHECK(received->mirror.empty());
  CHECK(received->digests.empty());
  const Duration age = std::chrono::milliseconds(150);
  CHECK(received->current_at >= start - age);
  CHECK(received->current_at <= loop.Now() - age);
}

TEST_CASE("a member follows a leader that does not tell of lost histories") {
  net::EventLoop loop;
  Daemon member(loop, "a");
  std::optional<StoreCopyStatus> received;
  member.link.on_leader_heartbeat = [&](const StoreCopyStatus& it) {
    received = it;
  };
  const TimePoint end = loop.Now() + kTestTimeout;
  while (!received) {
    SendDatagram(loop, member, kHeartbeatWithDigests);
    REQUIRE(loop.Now() < end);
    loop.RunOnce(true);
  }
  CHECK(received->changed_at == std::vector<std::uint64_t>{40, 41, 42});
  CHECK(received->digests == std::vector<std::uint64_t>{50, 51, 52});
  CHECK(received->mirror == "127.0.0.1:7003");
  CHECK(received->current_at != TimePoint{});
  CHECK(received->listed_at == TimePoint{});
  CHECK(received->watches_void_until == TimePoint{});
}

// Earlier versions read the fields that they know by their positions.
TEST_CASE("a heartbeat has the fields of the version before at their places") {
  const wire::LeaderHeartbeatT none;
  CHECK(none.listed_age_ms == none.copy_age_ms);
  CHECK(none.watches_void_age_ms == none.copy_age_ms);
  wire::LeaderHeartbeatT heartbeat;
  heartbeat.name = "old";
  heartbeat.incarnation = 3;
  heartbeat.epoch = 9;
  heartbeat.rank = 1;
  heartbeat.address = "127.0.0.1:7002";
  heartbeat.members = 12;
  heartbeat.changed_at = {40, 41, 42};
  heartbeat.copy_age_ms = 150;
  heartbeat.digests = {50, 51, 52};
  heartbeat.hello_sent_ms = 1;
  heartbeat.mirror = "127.0.0.1:7003";
  wire::BodyUnion body;
  body.Set(std::move(heartbeat));
  flatbuffers::FlatBufferBuilder builder;
  const auto packed = body.Pack(builder);
  builder.Finish(wire::CreateDatagram(builder, body.type, packed));
  std::string text;
  for (const std::uint8_t it :
       std::span(builder.GetBufferPointer(), builder.GetSize())) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    text += {kDigits[it >> 4U], kDigits[it & 15U]};
  }
  CHECK(text == kHeartbeatWithDigests);
  constexpr auto kLastBefore = wire::LeaderHeartbeat::VT_DIGESTS;
  CHECK(kLastBefore == 42);
  CHECK(wire::LeaderHeartbeat::VT_LISTED_AGE_MS > kLastBefore);
  CHECK(wire::LeaderHeartbeat::VT_WATCHES_VOID_AGE_MS > kLastBefore);
}

TEST_CASE("heartbeats tell of a lost history at once, also behind mirrors") {
  Fleet fleet;
  Daemon& leader = *fleet.daemons[0];
  const TimePoint current_at = fleet.loop.Now();
  const TimePoint listed_at = current_at - std::chrono::seconds(60);
  std::set<std::string> told;
  bool has_mirror = false;
  for (std::size_t i = 1; i < kManyMembers; ++i) {
    Daemon& member = *fleet.daemons[i];
    member.link.on_leader_heartbeat = [&](const StoreCopyStatus& it) {
      if (it.watches_void_until >= current_at) {
        CHECK(it.listed_at <= listed_at);
        told.insert(member.self.name);
        has_mirror = has_mirror || !it.mirror.empty();
      }
    };
  }
  leader.link.SetStoreCopyStatus(
      {.changed_at = {7, 8, 9}, .current_at = current_at});
  leader.link.SendLeaderHeartbeats();
  leader.link.SetStoreCopyStatus({.changed_at = {7, 8, 10},
                                  .current_at = listed_at,
                                  .listed_at = listed_at,
                                  .watches_void_until = current_at});
  leader.link.SendLeaderHeartbeats();
  fleet.WaitFor([&] { return told.size() + 1 == kManyMembers && has_mirror; });
}

// Guards against requests to servers that have left: a delayed heartbeat made
// copies look younger than they were.
TEST_CASE("the age of copies includes the time of a heartbeat on its way") {
  Fleet fleet;
  std::vector<StoreCopyStatus> received;
  fleet.daemons[1]->link.on_leader_heartbeat = [&](const StoreCopyStatus& it) {
    received.push_back(it);
  };
  const TimePoint current_at = fleet.loop.Now();
  fleet.daemons[0]->link.SetStoreCopyStatus({.current_at = current_at});
  fleet.daemons[0]->link.SendLeaderHeartbeats();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fleet.WaitFor([&] { return !received.empty(); });
  CHECK(received.front().current_at <= current_at);
  CHECK(received.front().current_at > TimePoint{});
}

// Guards against an old configuration at a daemon that was paused while the
// leader changed: its copies counted as current until its first Hello.
TEST_CASE("a late first heartbeat of a new leader makes copies no younger") {
  Fleet fleet;
  Daemon& next = *fleet.daemons[5];
  std::vector<StoreCopyStatus> received;
  fleet.daemons[1]->link.on_leader_heartbeat = [&](const StoreCopyStatus& it) {
    if (it.address == next.self.address) {
      received.push_back(it);
    }
  };
  next.TakeLead(2);
  const TimePoint current_at = fleet.loop.Now();
  next.link.SetStoreCopyStatus({.digests = {1, 2, 3},
                                .current_at = current_at,
                                .listed_at = current_at});
  next.link.SendLeaderHeartbeats();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fleet.WaitFor([&] { return !received.empty(); });
  CHECK(received.front().current_at <= current_at);
  CHECK(received.front().listed_at <= current_at);
  // A Hello answers it at once, and the next heartbeat states a time.
  const TimePoint answered = fleet.loop.Now();
  fleet.WaitFor([&] { return received.back().current_at != TimePoint{}; });
  CHECK(fleet.loop.Now() < answered + next.link.heartbeat_period() / 2);
}

TEST_CASE(
    "all members follow a new leader that the old leader did not hear of") {
  Fleet fleet;
  // The old leader cannot reach the store and does not know that it has been
  // replaced; the new leader knows only some of the members.
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

TEST_CASE("a leader that is replaced before its first heartbeat learns of it") {
  Fleet fleet;
  // Two daemons see that the leader has lost the store and replace it one after
  // the other. The second knows only from the store that the first was leader.
  Daemon& first = *fleet.daemons[5];
  Daemon& second = *fleet.daemons[6];
  first.TakeOverFromLeader();
  second.election.OnNewerEpochSeen(fleet.loop.Now());
  second.ReplyWithRecord(first.election.record());
  second.TakeOverFromLeader();
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

TEST_CASE("a new leader tells all earlier leaders that they were replaced") {
  net::EventLoop loop;
  Daemon first(loop, "first");
  Daemon second(loop, "second");
  Daemon third(loop, "third");
  first.TakeLead(1);
  second.TakeLead(2);
  third.ReplyWithRecord({Epoch(2), second.self, {first.self}});
  third.TakeOverFromLeader();
  const TimePoint end = loop.Now() + kTestTimeout;
  while (!first.Follows(third) || !second.Follows(third)) {
    REQUIRE(loop.Now() < end);
    loop.RunOnce(true);
  }
}

TEST_CASE("a daemon that has lost its servers learns which daemons forward") {
  Fleet fleet;
  Daemon& cut = *fleet.daemons[3];
  cut.LoseServers();
  fleet.WaitFor([&] { return cut.relays().known(); });
  CHECK(cut.relays().size() == 8);
  fleet.WaitFor([&] { return fleet.daemons[4]->link.cut_members() == 1; });
  CHECK_FALSE(fleet.daemons[4]->relays().known());
}

TEST_CASE("a leader that has lost its servers names relays and is replaced") {
  Fleet fleet;
  Daemon& leader = *fleet.daemons[0];
  leader.LoseServers();
  CHECK(leader.relays().size() == 8);
  // The first in the order of succession asks the store first.
  Daemon* next = nullptr;
  fleet.WaitFor([&] {
    for (const auto& it : fleet.daemons) {
      if (it.get() != &leader && it->election.Poll(fleet.loop.Now())) {
        next = it.get();
        return true;
      }
    }
    return false;
  });
  // Until then the leader keeps leading.
  CHECK(leader.election.IsLeader(fleet.loop.Now()));
  CHECK(next->Follows(leader));
}

TEST_CASE("no daemon replaces the leader if all have lost their servers") {
  Fleet fleet;
  for (const auto& it : fleet.daemons) {
    it->LoseServers();
  }
  fleet.WaitFor(
      [&] { return fleet.daemons[0]->link.cut_members() == kManyMembers; });
  const TimePoint end = fleet.loop.Now() + std::chrono::milliseconds(600);
  fleet.WaitFor([&] { return fleet.loop.Now() >= end; });
  for (const auto& it : fleet.daemons) {
    if (it != fleet.daemons[0]) {
      CHECK_FALSE(it->election.Poll(fleet.loop.Now()));
    }
  }
  fleet.WaitFor([&] {
    return fleet.daemons[7]->relays().known() &&
           fleet.daemons[7]->relays().size() == 0;
  });
}

TEST_CASE("all daemons learn what one refuses, also from members") {
  Fleet fleet;
  const Fingerprint request{17};
  // As if no datagram with its losses had arrived.
  fleet.daemons[5]->crashes().OnRemoteRefusals({{request, fleet.loop.Now()}},
                                               fleet.loop.Now());
  fleet.WaitFor([&] {
    return std::ranges::all_of(fleet.daemons, [&](const auto& it) {
      return it->crashes().IsRefused(request, fleet.loop.Now());
    });
  });
}

TEST_CASE("a new leader starts with the member count of the old leader") {
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
