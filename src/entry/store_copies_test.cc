#include "entry/store_copies.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "daemon/operator_server.h"
#include "entry/balancing/drain_bound.h"
#include "http/status.h"
#include "platform/testing/fake_store.h"
#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Limit for each wait of a test; much longer than needed.
constexpr Duration kTestTimeout = std::chrono::seconds(30);
// Time within which a change has to take effect at every daemon.
constexpr Duration kApplyTime = milliseconds(2000);
// Shortest loss of the store during which entries may expire.
constexpr Duration kShortestExpiry = milliseconds(1000);
// How often the leader's heartbeats arrive.
constexpr Duration kHeartbeatPeriod = milliseconds(50);
const std::string kLeader = "127.0.0.1:1";
// Longer than a watch of a leader waits.
constexpr Duration kLongerThanWatch = milliseconds(700);
// Time for which the calls of a daemon are counted.
constexpr std::chrono::seconds kObservedTime{3};

// A daemon's copies, and the leader's heartbeats that it receives.
class Member {
 public:
  explicit Member(const std::string& address)
      : copies_(loop,
                client_,
                kShortestExpiry,
                kApplyTime,
                {.config = Recorder(),
                 .servers = Ignore(),
                 .ownership = Ignore()}) {
    copies_.ChooseSource({.leads = true});
    REQUIRE(copies_.Start(address));
    WaitFor([this] { return copies_.current_at() != TimePoint{}; });
  }

  // Runs until `done` returns true, while heartbeats arrive from a leader that
  // reports no changes and whose copies are complete up to `current_at()`.
  void FollowUntil(const std::function<bool()>& done,
                   const std::function<TimePoint()>& current_at) {
    const auto changed_at = copies_.CopyStatus().changed_at;
    TimePoint next_heartbeat{};
    WaitFor([&] {
      if (loop.Now() >= next_heartbeat) {
        next_heartbeat = loop.Now() + kHeartbeatPeriod;
        copies_.OnLeaderHeartbeat({.address = kLeader,
                                   .store_lost = leader_lost_store,
                                   .may_lack_entries = leader_may_lack_entries,
                                   .changed_at = changed_at,
                                   .current_at = current_at()});
        copies_.ChooseSource({.leader_last_seen = loop.Now(), .rank = rank});
      }
      return done();
    });
  }

  // Runs as the leader until `done` returns true.
  void LeadUntil(const std::function<bool()>& done) {
    WaitFor([&] {
      copies_.ChooseSource({.leads = true});
      return done();
    });
  }
  // Handles a heartbeat of a leader at `address` that reports changes up to
  // `revision`, which its copies contain up to `current_at`, and waits until
  // the changes are fetched.
  void FetchFrom(const std::string& address,
                 std::uint64_t revision,
                 TimePoint current_at) {
    copies_.ChooseSource({.leader_last_seen = loop.Now()});
    copies_.OnLeaderHeartbeat({.address = address,
                               .changed_at = {revision, revision, revision},
                               .current_at = current_at});
    const TimePoint end = loop.Now() + kLongerThanWatch;
    WaitFor([&] { return loop.Now() >= end; });
  }
  [[nodiscard]] TimePoint current_at() const { return copies_.current_at(); }

  // Leaves `count` idle connections to the store.
  void OpenConnections(int count) {
    int open = count;
    for (int i = 0; i < count; ++i) {
      client_.Read(platform::ObjectKind::kLeadership, "entry",
                   loop.Now() + kTestTimeout, [&](const auto&) { --open; });
    }
    WaitFor([&] { return open == 0; });
  }

  [[nodiscard]] bool may_lack_entries() const {
    return copies_.CopyStatus().may_lack_entries;
  }
  [[nodiscard]] bool holds_removals_back() const {
    return copies_.MayLackEntries();
  }
  [[nodiscard]] bool has_lost_store() const {
    return copies_.CopyStatus().store_lost;
  }
  [[nodiscard]] bool MayReplaceLeader() const {
    return copies_.HasLeaderLostStore(kLeader);
  }

  platform::testing::FakeStore store;
  net::EventLoop loop;
  int config = 0;
  // Position in the order of succession, and what the leader reports.
  std::uint32_t rank = 0;
  bool leader_lost_store = false;
  bool leader_may_lack_entries = false;

 private:
  StoreWatcher::Sink Recorder() {
    const auto record = [this](const std::vector<platform::Object>& objects) {
      for (const platform::Object& it : objects) {
        config = it.content().get<int>();
      }
    };
    return {record, record};
  }
  static StoreWatcher::Sink Ignore() {
    return {[](const auto&) {}, [](const auto&) {}};
  }
  void WaitFor(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      loop.RunOnce(false);
    }
  }

  platform::PlatformClient client_{store.address()};
  StoreCopies copies_;
};

TEST_CASE("a member of a leader that falls behind learns of changes in time") {
  Member member(standins::LoopbackBlock() + "1:7002");
  const TimePoint followed_until = member.loop.Now() + kLongerThanWatch;
  member.FollowUntil([&] { return member.loop.Now() >= followed_until; },
                     [&] { return member.loop.Now(); });
  member.store.Put("config", "main", 1);
  const TimePoint changed = member.loop.Now();
  member.FollowUntil(
      [&] {
        return member.config == 1 || member.loop.Now() > changed + kApplyTime;
      },
      [&] { return changed; });
  CHECK(member.config == 1);
}

TEST_CASE("a member whose connections went silent learns of changes in time") {
  Member member(standins::LoopbackBlock() + "3:7002");
  const TimePoint followed_until = member.loop.Now() + kLongerThanWatch;
  member.FollowUntil([&] { return member.loop.Now() >= followed_until; },
                     [&] { return member.loop.Now(); });
  member.store.SilenceConnections();
  member.store.Put("config", "main", 1);
  const TimePoint changed = member.loop.Now();
  member.FollowUntil(
      [&] {
        return member.config == 1 || member.loop.Now() > changed + kApplyTime;
      },
      [&] { return changed; });
  CHECK(member.config == 1);
}

TEST_CASE(
    "changes of a process that replaced the leader prove no later state") {
  const std::string address = standins::LoopbackBlock() + "7:7002";
  Member replacement(address);
  Member member(standins::LoopbackBlock() + "6:7002");
  // The leader reported a change that the copies of its successor lack.
  constexpr std::uint64_t kLaterRevision = 1000;
  const TimePoint reported = member.loop.Now() + kTestTimeout;
  member.FetchFrom(address, kLaterRevision, reported);
  CHECK(member.current_at() < reported);
}

TEST_CASE("a leader whose connections went silent learns of changes in time") {
  Member member(standins::LoopbackBlock() + "4:7002");
  member.store.SilenceConnections();
  member.store.Put("config", "main", 1);
  const TimePoint changed = member.loop.Now();
  member.LeadUntil([&] {
    return member.config == 1 || member.loop.Now() > changed + kApplyTime;
  });
  CHECK(member.config == 1);
}

TEST_CASE("a leader with many silent connections learns of changes in time") {
  Member member(standins::LoopbackBlock() + "5:7002");
  member.OpenConnections(6);
  member.store.SilenceConnections();
  member.store.Put("config", "main", 1);
  const TimePoint changed = member.loop.Now();
  member.LeadUntil([&] {
    return member.config == 1 || member.loop.Now() > changed + kApplyTime;
  });
  CHECK(member.config == 1);
}

TEST_CASE(
    "a leader that lost the store is replaced in the order of succession") {
  Member member(standins::LoopbackBlock() + "2:7002");
  const TimePoint behind_since = member.loop.Now();
  const auto behind = [&] { return behind_since; };
  // The leader falls behind, so that the member reads the store itself.
  member.FollowUntil(
      [&] { return member.loop.Now() >= behind_since + kApplyTime; }, behind);
  member.rank = 3;
  member.leader_lost_store = true;
  const TimePoint lost = member.loop.Now();
  member.FollowUntil([&] { return member.MayReplaceLeader(); }, behind);
  // Three daemons come first, 250 ms after each other.
  CHECK(member.loop.Now() >= lost + milliseconds(750));
}

// Guards against requests to servers that have left: a new leader deferred
// their removals because of a loss that had long been over.
TEST_CASE("a new leader does not doubt entries for a loss that has ended") {
  Member member(standins::LoopbackBlock() + "9:7002");
  member.store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  member.LeadUntil([&] { return member.has_lost_store(); });
  member.store.set_failure(0);
  // The store answers another leader for much longer than entries last.
  const TimePoint followed_until = member.loop.Now() + 3 * kShortestExpiry;
  member.FollowUntil([&] { return member.loop.Now() >= followed_until; },
                     [&] { return member.loop.Now(); });
  CHECK_FALSE(member.may_lack_entries());
  member.LeadUntil([&] { return !member.has_lost_store(); });
  CHECK_FALSE(member.may_lack_entries());
}

TEST_CASE("a leader makes few calls while nothing changes") {
  Member leader(standins::LoopbackBlock() + "8:7002");
  const std::size_t before = leader.store.calls();
  const TimePoint end = leader.loop.Now() + kObservedTime;
  leader.LeadUntil([&] { return leader.loop.Now() >= end; });
  // Two kinds of objects are watched, each with two watches a second.
  CHECK(leader.store.calls() - before <=
        4 * (kObservedTime / std::chrono::seconds(1)) + 2);
}

// Ignores all changes.
StoreCopies::Sinks IgnoreAll() {
  const StoreWatcher::Sink sink{[](const auto&) {}, [](const auto&) {}};
  return {sink, sink, sink};
}

// Keeps the content of the last configuration in `config`.
StoreCopies::Sinks RecordConfig(int* config) {
  StoreCopies::Sinks sinks = IgnoreAll();
  const auto record = [config](const std::vector<platform::Object>& objects) {
    for (const platform::Object& it : objects) {
      *config = it.content().get<int>();
    }
  };
  sinks.config = {record, record};
  return sinks;
}

// A leader and a member that follows it.
class LeaderAndMember {
 public:
  LeaderAndMember(const std::string& leader_address,
                  const std::string& member_address)
      : leader_address_(leader_address),
        leader_(loop, leader_client_, kShortestExpiry, kApplyTime, IgnoreAll()),
        member_(loop,
                member_client_,
                kShortestExpiry,
                kApplyTime,
                RecordConfig(&config)) {
    REQUIRE(leader_.Start(leader_address));
    REQUIRE(member_.Start(member_address));
  }

  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      leader_.ChooseSource({.leads = true});
      if (loop.Now() >= next_heartbeat_) {
        next_heartbeat_ = loop.Now() + kHeartbeatPeriod;
        StoreCopyStatus status = leader_.CopyStatus();
        status.address = leader_address_;
        status.mirror = mirror;
        member_.OnLeaderHeartbeat(status);
        member_.ChooseSource({.leader_last_seen = loop.Now(), .rank = 100});
      }
      loop.RunOnce(false);
    }
  }

  platform::testing::FakeStore store;
  net::EventLoop loop;
  int config = 0;
  // From which the member fetches changes; empty: from the leader.
  std::string mirror;

 private:
  const std::string leader_address_;
  platform::PlatformClient leader_client_{store.address()};
  platform::PlatformClient member_client_{store.address()};
  StoreCopies leader_;
  StoreCopies member_;
  TimePoint next_heartbeat_{};
};

// Guards against members that call their copies current for as long as the
// store's counter is below the revision that they have.
TEST_CASE("changes are in force in time after the store's counter went back") {
  LeaderAndMember fleet(standins::LoopbackBlock() + "14:7002",
                        standins::LoopbackBlock() + "15:7002");
  for (int version = 1; version <= 20; ++version) {
    fleet.store.Put("config", "main", version);
  }
  fleet.RunUntil([&] { return fleet.config == 20; });
  for (int version = 21; version <= 24; ++version) {
    fleet.store.SetRevision(3);
    const TimePoint changed = fleet.loop.Now();
    fleet.store.Put("config", "main", version);
    fleet.RunUntil([&] {
      return fleet.config == version || fleet.loop.Now() > changed + kApplyTime;
    });
    CHECK(fleet.config == version);
  }
}

TEST_CASE("a store that keeps no history gets few calls and serves changes") {
  Member leader(standins::LoopbackBlock() + "16:7002");
  leader.store.set_keep_no_history(true);
  const TimePoint begin = leader.loop.Now() + std::chrono::seconds(2);
  leader.LeadUntil([&] { return leader.loop.Now() >= begin; });
  const std::size_t before = leader.store.calls();
  const TimePoint end = begin + kObservedTime;
  TimePoint current_at = leader.current_at();
  Duration oldest{};
  leader.LeadUntil([&] {
    current_at = leader.current_at();
    oldest = std::max(oldest, leader.loop.Now() - current_at);
    return leader.loop.Now() >= end;
  });
  // Lists and watches of two kinds of objects, no more often than the watches
  // of a store that keeps a history.
  CHECK(leader.store.calls() - before <=
        6 * (kObservedTime / std::chrono::seconds(1)));
  CHECK(oldest < kApplyTime);
  leader.store.Put("config", "main", 1);
  const TimePoint changed = leader.loop.Now();
  leader.LeadUntil([&] {
    return leader.config == 1 || leader.loop.Now() > changed + kApplyTime;
  });
  CHECK(leader.config == 1);
}

// An address that accepts connections and never answers, as a daemon does whose
// connections have gone silent.
class SilentPeer {
 public:
  explicit SilentPeer(const std::string& ip)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)), address_(ip + ":7002") {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(7002);
    REQUIRE(inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1);
    REQUIRE(bind(fd_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(fd_, SOMAXCONN) == 0);
  }
  SilentPeer(const SilentPeer&) = delete;
  SilentPeer& operator=(const SilentPeer&) = delete;
  ~SilentPeer() { close(fd_); }

  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  int fd_;
  std::string address_;
};

TEST_CASE("a change is in force in time although the mirror is silent") {
  const std::string leader_address = standins::LoopbackBlock() + "11:7002";
  LeaderAndMember fleet(leader_address, standins::LoopbackBlock() + "12:7002");
  const SilentPeer mirror(standins::LoopbackBlock() + "13");
  fleet.mirror = mirror.address();
  for (int version = 1; version <= 3; ++version) {
    fleet.store.Put("config", "main", version);
    const TimePoint changed = fleet.loop.Now();
    fleet.RunUntil([&] {
      return fleet.config == version || fleet.loop.Now() > changed + kApplyTime;
    });
    CHECK(fleet.config == version);
  }
}

// Two daemons of a large fleet whose leader is silent.
class LeaderlessPair {
 public:
  // The other daemon than the reader has `rank`, and may have a store that does
  // not serve the reader.
  explicit LeaderlessPair(std::uint32_t rank = 100,
                          const platform::testing::FakeStore* other = nullptr)
      : rank_(rank),
        other_client_(other == nullptr ? store.address() : other->address()),
        reader_(loop, reader_client_, kShortestExpiry, kApplyTime, IgnoreAll()),
        other_(loop,
               other_client_,
               kShortestExpiry,
               kApplyTime,
               RecordConfig(&config)) {
    const std::string reader_address = standins::LoopbackBlock() + "9:7002";
    REQUIRE(reader_.Start(reader_address));
    REQUIRE(other_.Start(standins::LoopbackBlock() + "10:7002"));
    RunUntil([&] {
      return reader_.current_at() != TimePoint{} &&
             other_.CopyStatus().changed_at.size() == 3;
    });
    other_.OnLeaderHeartbeat({.address = kLeader,
                              .changed_at = {0, 0, 0},
                              .current_at = loop.Now(),
                              .peers = {reader_address}});
    last_heartbeat_ = loop.Now();
    other_.ChooseSource({.leader_last_seen = last_heartbeat_, .rank = rank_});
  }

  // The reader, which reads the store, has the lowest rank.
  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      reader_.ChooseSource({.leads = reader_leads_,
                            .leader_last_seen = last_heartbeat_,
                            .members = 100});
      if (last_heartbeat_ != TimePoint{}) {
        other_.ChooseSource(
            {.leader_last_seen = last_heartbeat_, .rank = rank_});
      }
      loop.RunOnce(false);
    }
  }
  void RunFor(Duration time) {
    const TimePoint end = loop.Now() + time;
    RunUntil([&] { return loop.Now() >= end; });
  }
  // Returns whether the other daemon sends by entries that are too old.
  [[nodiscard]] bool is_drain_bound_lifted() const {
    return DrainBound(kApplyTime)
        .IsLifted({.current_at = other_.servers_current_at(),
                   .store_lost = other_.IsStoreLost()},
                  loop.Now());
  }
  [[nodiscard]] bool may_other_lack_entries() const {
    return other_.MayLackEntries();
  }
  [[nodiscard]] bool has_reader_lost_store() const {
    return reader_.IsStoreLost();
  }
  void set_reader_leads(bool leads) { reader_leads_ = leads; }
  [[nodiscard]] std::uint64_t calls_of_other() const {
    return other_client_.store_calls();
  }

  platform::testing::FakeStore store;
  net::EventLoop loop;
  int config = 0;

 private:
  const std::uint32_t rank_;
  bool reader_leads_ = true;
  platform::PlatformClient reader_client_{store.address()};
  platform::PlatformClient other_client_;
  StoreCopies reader_;
  StoreCopies other_;
  TimePoint last_heartbeat_{};
};

TEST_CASE("without a leader a daemon of a large fleet asks its peers") {
  LeaderlessPair pair;
  // The leader is silent for long enough that its members do without it.
  pair.RunFor(std::chrono::seconds(3));
  const std::uint64_t before = pair.calls_of_other();
  pair.store.Put("config", "main", 7);
  const TimePoint changed = pair.loop.Now();
  pair.RunUntil([&] {
    return pair.config == 7 || pair.loop.Now() > changed + kApplyTime;
  });
  CHECK(pair.config == 7);
  pair.RunFor(kObservedTime);
  CHECK(pair.calls_of_other() == before);
}

// Guards against requests to servers that have left: a daemon that the store
// refused took it for lost, and its entries for the newest ones.
TEST_CASE("a reader that the store refuses alone gets changes from its peers") {
  platform::testing::FakeStore refusing_store;
  LeaderlessPair pair(0, &refusing_store);
  refusing_store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  pair.RunFor(std::chrono::seconds(3));
  for (int version = 1; version <= 3; ++version) {
    pair.store.Put("config", "main", version);
    const TimePoint changed = pair.loop.Now();
    bool lifted = false;
    pair.RunUntil([&] {
      lifted = lifted || pair.is_drain_bound_lifted();
      return pair.config == version || pair.loop.Now() > changed + kApplyTime;
    });
    CHECK(pair.config == version);
    CHECK_FALSE(lifted);
  }
}

// Guards against an end of all service: a call that was answered without a copy
// made the copies count as incomplete for as long as the store was away.
TEST_CASE("a store that was lost while it was listed counts as lost") {
  LeaderlessPair pair;
  pair.RunFor(std::chrono::seconds(1));
  pair.store.set_list_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  pair.store.set_keep_no_history(true);
  pair.store.DropHistory();
  pair.RunFor(std::chrono::seconds(3));
  pair.store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  pair.RunFor(std::chrono::seconds(10));
  CHECK(pair.has_reader_lost_store());
}

// Guards against the same by a reader that tells when the store answered it,
// but as the age of its entries that of its oldest copies.
TEST_CASE("a store that is lost without a leader counts as lost") {
  LeaderlessPair pair;
  pair.set_reader_leads(false);
  pair.RunFor(std::chrono::seconds(5));
  pair.store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  pair.RunFor(std::chrono::seconds(10));
  CHECK(pair.has_reader_lost_store());
  CHECK(pair.is_drain_bound_lifted());
}

// A daemon that serves no copies and whose calls of the store fail.
class DaemonWithoutStore {
 public:
  explicit DaemonWithoutStore(const std::string& address) {
    server_.Handle("GET", "/copies", [this](const auto&) {
      ++questions_;
      return OperatorResponse{SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "application/json", R"({"store_lost":true})"};
    });
    REQUIRE(server_.Listen(address));
  }

  [[nodiscard]] std::size_t questions() const { return questions_; }

 private:
  OperatorServer server_;
  std::size_t questions_ = 0;
};

// Guards against a load on the readers that grows with the fleet for as long as
// the store is lost.
TEST_CASE("peers are asked seldom while the store is lost without a leader") {
  constexpr std::size_t kPeersPerQuestion = 2;
  constexpr std::chrono::seconds kTimeBetweenQuestions{1};
  net::EventLoop loop;
  platform::testing::FakeStore store;
  const std::string first_address = standins::LoopbackBlock() + "20:7002";
  const std::string second_address = standins::LoopbackBlock() + "21:7002";
  const DaemonWithoutStore first_peer(first_address);
  const DaemonWithoutStore second_peer(second_address);
  platform::PlatformClient client(store.address());
  StoreCopies copies(loop, client, kShortestExpiry, kApplyTime, IgnoreAll());
  REQUIRE(copies.Start(standins::LoopbackBlock() + "9:7002"));
  const TimePoint begin = loop.Now();
  const auto run_until = [&](TimePoint end) {
    while (loop.Now() < end) {
      copies.ChooseSource(
          {.leader_last_seen = begin, .rank = 100, .members = 295});
      loop.RunOnce(false);
    }
  };
  run_until(begin + std::chrono::seconds(1));
  copies.OnLeaderHeartbeat({.address = kLeader,
                            .changed_at = {0, 0, 0},
                            .current_at = loop.Now(),
                            .peers = {first_address, second_address}});
  store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  run_until(begin + std::chrono::seconds(6));
  const std::size_t before = first_peer.questions() + second_peer.questions();
  constexpr std::chrono::seconds kObserved{10};
  run_until(loop.Now() + kObserved);
  CHECK(copies.IsStoreLost());
  CHECK(first_peer.questions() + second_peer.questions() - before <=
        kPeersPerQuestion * (kObserved / kTimeBetweenQuestions + 1));
}

// Guards against requests to servers whose entries are gone: they are kept
// while entries of live servers may be missing.
TEST_CASE("a reader that the store refuses alone lacks no entries") {
  platform::testing::FakeStore refusing_store;
  LeaderlessPair pair(0, &refusing_store);
  pair.RunFor(std::chrono::seconds(3));
  refusing_store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  bool lacked = false;
  const TimePoint end = pair.loop.Now() + std::chrono::seconds(6);
  pair.RunUntil([&] {
    lacked = lacked || pair.may_other_lack_entries();
    return pair.loop.Now() > end;
  });
  refusing_store.set_failure(0);
  pair.RunFor(std::chrono::seconds(1));
  CHECK_FALSE(lacked);
  CHECK_FALSE(pair.may_other_lack_entries());
}

// Guards against requests by outdated copies: a daemon that the store refused,
// and that heard of no other, took the store for lost.
TEST_CASE("a daemon that is refused and hears of no other keeps its bounds") {
  platform::testing::FakeStore store;
  platform::PlatformClient client(store.address());
  net::EventLoop loop;
  StoreCopies copies(loop, client, kShortestExpiry, kApplyTime, IgnoreAll());
  REQUIRE(copies.Start(standins::LoopbackBlock() + "22:7002"));
  for (const int status :
       {http::status::kUnavailable, http::status::kTooManyRequests}) {
    CAPTURE(status);
    store.set_failure(0);
    bool lost = false;
    const auto run_for = [&](Duration time) {
      const TimePoint end = loop.Now() + time;
      while (loop.Now() < end) {
        copies.OnMembers({kLeader});
        copies.ChooseSource({.leads = true});
        loop.RunOnce(false);
        lost = lost || copies.IsStoreLost() || copies.IsStoreLostForConfig();
      }
    };
    run_for(std::chrono::seconds(2));
    store.set_failure(status);
    run_for(std::chrono::seconds(5));
    CHECK(copies.CopyStatus().store_lost);
    CHECK_FALSE(lost);
  }
}

TEST_CASE("a daemon without others goes on while the store refuses it") {
  platform::testing::FakeStore store;
  platform::PlatformClient client(store.address());
  net::EventLoop loop;
  StoreCopies copies(loop, client, kShortestExpiry, kApplyTime, IgnoreAll());
  REQUIRE(copies.Start(standins::LoopbackBlock() + "23:7002"));
  const auto run_for = [&](Duration time) {
    const TimePoint end = loop.Now() + time;
    while (loop.Now() < end) {
      copies.ChooseSource({.leads = true});
      loop.RunOnce(false);
    }
  };
  run_for(std::chrono::seconds(2));
  store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  run_for(std::chrono::seconds(3));
  CHECK(copies.IsStoreLost());
  CHECK(copies.IsStoreLostForConfig());
  // The store is there, and may serve others at any time.
  store.set_failure(http::status::kTooManyRequests);
  run_for(std::chrono::seconds(2));
  CHECK_FALSE(copies.IsStoreLost());
}

TEST_CASE("a store that refuses all daemons counts as lost") {
  LeaderlessPair pair(0);
  pair.RunFor(std::chrono::seconds(1));
  pair.store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  pair.RunFor(kApplyTime);
  CHECK(pair.is_drain_bound_lifted());
}

// Guards against requests to servers that have left: a leader that the store
// had refused alone held their removals back at all members.
TEST_CASE("a leader that the store refused alone doubts no entries") {
  // Copies that are older than entries last are not outdated yet.
  constexpr Duration kLongApplyTime = 3 * kShortestExpiry;
  const std::string reader_address = standins::LoopbackBlock() + "17:7002";
  platform::testing::FakeStore store;
  platform::testing::FakeStore refusing_store;
  platform::PlatformClient reader_client(store.address());
  platform::PlatformClient leader_client(refusing_store.address());
  net::EventLoop loop;
  StoreCopies reader(loop, reader_client, kShortestExpiry, kApplyTime,
                     IgnoreAll());
  StoreCopies leader(loop, leader_client, kShortestExpiry, kLongApplyTime,
                     IgnoreAll());
  REQUIRE(reader.Start(reader_address));
  REQUIRE(leader.Start(standins::LoopbackBlock() + "18:7002"));
  leader.OnMembers({reader_address});
  bool doubts = false;
  const auto run_for = [&](Duration time) {
    const TimePoint end = loop.Now() + time;
    while (loop.Now() < end) {
      reader.ChooseSource({.leads = true});
      leader.ChooseSource({.leads = true});
      loop.RunOnce(false);
      doubts = leader.MayLackEntries();
    }
  };
  run_for(std::chrono::seconds(3));
  REQUIRE_FALSE(doubts);
  refusing_store.set_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  // The watch in flight may be answered.
  run_for(kShortestExpiry + kShortWatchWait + milliseconds(200));
  CHECK(leader.CopyStatus().store_lost);
  CHECK_FALSE(doubts);
  refusing_store.set_failure(0);
  run_for(std::chrono::seconds(1));
  CHECK_FALSE(leader.CopyStatus().store_lost);
  CHECK_FALSE(doubts);
}

TEST_CASE("a member does not take over a doubt that its own calls rule out") {
  Member member(standins::LoopbackBlock() + "19:7002");
  const TimePoint read_until = member.loop.Now() + std::chrono::seconds(3);
  member.LeadUntil([&] { return member.loop.Now() >= read_until; });
  member.leader_may_lack_entries = true;
  const TimePoint followed_until = member.loop.Now() + kShortestExpiry * 2;
  bool doubts = false;
  member.FollowUntil(
      [&] {
        doubts = doubts || member.holds_removals_back();
        return member.loop.Now() >= followed_until;
      },
      [&] { return member.loop.Now(); });
  CHECK_FALSE(doubts);
}

}  // namespace
}  // namespace gentianreach::entry
