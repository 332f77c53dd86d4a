// Copies in a fleet of which some daemons are of an earlier version, which
// states no digests of its copies. They are stood in for by watchers of this
// version whose digests are left out.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "base/gzip.h"
#include "daemon/operator_server.h"
#include "entry/datagram_fields.h"
#include "entry/store_copies.h"
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
// Members whose copies may be that old do not read the store themselves while
// their leader is alive.
constexpr Duration kNeverOutdated = 10 * kTestTimeout;
// A daemon with this position in the order of succession asks its peers before
// it reads the store.
constexpr std::uint32_t kRank = 100;

StoreWatcher::Sink Ignore() {
  return {[](const auto&) {}, [](const auto&) {}};
}

// Keeps the content of the last configuration in `config`.
StoreCopies::Sinks RecordConfig(int* config) {
  const auto record = [config](const std::vector<platform::Object>& objects) {
    for (const platform::Object& it : objects) {
      *config = it.content().get<int>();
    }
  };
  return {{record, record}, Ignore(), Ignore()};
}

enum class Digests : std::uint8_t { kStated, kLeftOut };

// A daemon that reads the store and serves its copies.
class CopyServer {
 public:
  CopyServer(net::EventLoop& loop,
             const std::string& store,
             std::string address,
             Digests digests)
      : loop_(loop),
        address_(std::move(address)),
        digests_(digests),
        client_(store),
        config_(loop,
                client_,
                health_,
                platform::ObjectKind::kConfig,
                platform::Freshness::kCurrent,
                Ignore()),
        servers_(loop,
                 client_,
                 health_,
                 platform::ObjectKind::kServers,
                 platform::Freshness::kCurrent,
                 Ignore()),
        ownership_(loop,
                   client_,
                   health_,
                   platform::ObjectKind::kOwnership,
                   platform::Freshness::kCurrent,
                   Ignore()) {
    server_.Handle("GET", "/changes", [this](const auto& request) {
      return HandleChangesRequest(request);
    });
    server_.Handle("GET", "/copies",
                   [this](const auto&) { return HandleStatusRequest(); });
    REQUIRE(server_.Listen(address_));
    health_.on_history_gone = [this] {
      for (StoreWatcher* it : watchers_) {
        it->Relist();
      }
    };
    for (StoreWatcher* it : watchers_) {
      it->Start(loop.Now());
      it->SetSource(WatchSource::kStore, kShortWatchWait);
    }
  }
  CopyServer(const CopyServer&) = delete;
  CopyServer& operator=(const CopyServer&) = delete;

  // Keeps the copies as they are.
  void StopReading() {
    for (StoreWatcher* it : watchers_) {
      it->SetSource(WatchSource::kLeader, kShortWatchWait);
    }
  }

  // What the heartbeats report while this daemon leads.
  [[nodiscard]] StoreCopyStatus Status() const {
    StoreCopyStatus status{.address = address_, .current_at = TimePoint::max()};
    for (const StoreWatcher* it : watchers_) {
      status.current_at = std::min(status.current_at, it->current_at());
      status.changed_at.push_back(it->listed() ? it->changed_at() : 0);
      if (digests_ == Digests::kStated) {
        status.digests.push_back(it->digest());
      }
    }
    return status;
  }
  [[nodiscard]] bool HasCopies() const {
    return Status().current_at != TimePoint{};
  }
  [[nodiscard]] const std::string& address() const { return address_; }
  // Returns how often other daemons have fetched changes from this one.
  [[nodiscard]] std::size_t fetches() const { return fetches_; }

 private:
  OperatorResponse HandleChangesRequest(const OperatorRequest& request) {
    ++fetches_;
    const std::string kind = request.Query("kind");
    const std::uint64_t since = std::stoull(request.Query("since"));
    StoreWatcher& watcher = kind == "config"    ? config_
                            : kind == "servers" ? servers_
                                                : ownership_;
    const std::string& changes = watcher.ChangesSince(since);
    if (digests_ == Digests::kStated) {
      return {200, "application/gzip", changes};
    }
    constexpr std::size_t kMaxBytes = 1 << 20;
    auto json = nlohmann::json::parse(Decompress(changes, kMaxBytes).value());
    REQUIRE(json.erase("digest") == 1);
    return {200, "application/gzip", Compress(json.dump())};
  }

  OperatorResponse HandleStatusRequest() {
    const StoreCopyStatus status = Status();
    nlohmann::json json{{"age_ms", AgeOf(status.current_at, loop_.Now())},
                        {"changed_at", status.changed_at},
                        {"may_lack_entries", false},
                        {"store_lost", false}};
    if (digests_ == Digests::kStated) {
      json["digests"] = status.digests;
    }
    return {200, "application/json", json.dump()};
  }

  net::EventLoop& loop_;
  const std::string address_;
  const Digests digests_;
  platform::PlatformClient client_;
  StoreHealth health_{loop_, kShortestExpiry};
  StoreWatcher config_;
  StoreWatcher servers_;
  StoreWatcher ownership_;
  const std::array<StoreWatcher*, 3> watchers_{&config_, &servers_,
                                               &ownership_};
  OperatorServer server_;
  std::size_t fetches_ = 0;
};

// A member of this version, and the heartbeats that it receives.
class Member {
 public:
  Member(net::EventLoop& loop, const std::string& store)
      : loop_(loop),
        client_(store),
        copies_(loop,
                client_,
                kShortestExpiry,
                kNeverOutdated,
                RecordConfig(&config)) {}

  // `ip` is the last number of the address.
  void Start(const std::string& ip) {
    REQUIRE(copies_.Start(standins::LoopbackBlock() + ip + ":7002"));
  }
  void OnHeartbeat(const StoreCopyStatus& status) {
    last_heartbeat_ = loop_.Now();
    copies_.OnLeaderHeartbeat(status);
  }
  void ChooseSource() {
    copies_.ChooseSource({.leader_last_seen = last_heartbeat_, .rank = kRank});
  }
  [[nodiscard]] TimePoint current_at() const { return copies_.current_at(); }
  [[nodiscard]] std::uint64_t store_calls() const {
    return client_.store_calls();
  }

  int config = 0;

 private:
  net::EventLoop& loop_;
  platform::PlatformClient client_;
  StoreCopies copies_;
  TimePoint last_heartbeat_{};
};

// A leader, a mirror and a member, which has the copy that is in the store.
class Fleet {
 public:
  // Version of the configuration when the test begins.
  static constexpr int kFirstVersion = 20;

  Fleet(Digests of_leader, Digests of_mirror)
      : leader(loop,
               store.address(),
               standins::LoopbackBlock() + "1:7002",
               of_leader),
        mirror(loop,
               store.address(),
               standins::LoopbackBlock() + "2:7002",
               of_mirror) {
    for (int version = 1; version <= kFirstVersion; ++version) {
      store.Put("config", "main", version);
    }
    RunUntil([&] { return leader.HasCopies() && mirror.HasCopies(); });
    // The member lists the store and follows the leader from then on.
    member.Start("3");
    started_ = true;
    RunUntil([&] {
      return member.config == kFirstVersion &&
             member.current_at() != TimePoint{};
    });
  }

  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      if (started_ && loop.Now() >= next_heartbeat_) {
        next_heartbeat_ = loop.Now() + kHeartbeatPeriod;
        StoreCopyStatus status = leader.Status();
        status.mirror = uses_mirror ? mirror.address() : "";
        member.OnHeartbeat(status);
      }
      member.ChooseSource();
      loop.RunOnce(false);
      latest = std::max(latest, member.config);
      went_back = went_back || member.config < latest;
    }
  }

  // Puts a configuration into the store, and checks that the member has it in
  // time and states no later time before that.
  void CheckChange(int version) {
    const TimePoint changed = loop.Now();
    store.Put("config", "main", version);
    bool premature = false;
    RunUntil([&] {
      premature = premature ||
                  (member.config != version && member.current_at() > changed);
      return (member.config == version && member.current_at() > changed) ||
             loop.Now() > changed + kApplyTime;
    });
    CHECK(member.config == version);
    CHECK(member.current_at() > changed);
    CHECK_FALSE(premature);
  }

  platform::testing::FakeStore store;
  net::EventLoop loop;
  CopyServer leader;
  CopyServer mirror;
  Member member{loop, store.address()};
  bool uses_mirror = false;
  // The latest version that was in force at the member, and whether an earlier
  // one was in force after it.
  int latest = 0;
  bool went_back = false;

 private:
  bool started_ = false;
  TimePoint next_heartbeat_{};
};

// Checks changes that reach the member through the leader or the mirror alone.
void CheckChangesWithoutStore(Fleet& fleet) {
  const std::uint64_t calls = fleet.member.store_calls();
  const std::size_t of_leader = fleet.leader.fetches();
  const std::size_t of_mirror = fleet.mirror.fetches();
  constexpr std::size_t kChanges = 4;
  for (std::size_t i = 1; i <= kChanges; ++i) {
    fleet.CheckChange(Fleet::kFirstVersion + static_cast<int>(i));
  }
  CHECK(fleet.member.store_calls() == calls);
  const CopyServer& used = fleet.uses_mirror ? fleet.mirror : fleet.leader;
  CHECK(used.fetches() - (fleet.uses_mirror ? of_mirror : of_leader) >=
        kChanges);
}

TEST_CASE("a member gets changes in time from a leader without digests") {
  Fleet fleet(Digests::kLeftOut, Digests::kLeftOut);
  CheckChangesWithoutStore(fleet);
}

TEST_CASE(
    "a member gets changes in time of a leader without digests through a "
    "mirror without digests") {
  Fleet fleet(Digests::kLeftOut, Digests::kLeftOut);
  fleet.uses_mirror = true;
  CheckChangesWithoutStore(fleet);
}

TEST_CASE(
    "a member gets changes in time of a leader without digests through a "
    "mirror that states them") {
  Fleet fleet(Digests::kLeftOut, Digests::kStated);
  fleet.uses_mirror = true;
  CheckChangesWithoutStore(fleet);
}

TEST_CASE(
    "a member gets changes in time of a leader that states digests through a "
    "mirror without them") {
  Fleet fleet(Digests::kStated, Digests::kLeftOut);
  fleet.uses_mirror = true;
  CheckChangesWithoutStore(fleet);
}

// Checks that the member takes the leader's copy although the mirror, which it
// asks first, has the one of before the store's counter went back.
void CheckMirrorOfBefore(Digests of_mirror) {
  Fleet fleet(Digests::kStated, of_mirror);
  fleet.uses_mirror = true;
  fleet.mirror.StopReading();
  const std::uint64_t calls = fleet.member.store_calls();
  const std::size_t fetches = fleet.mirror.fetches();
  fleet.store.SetRevision(3);
  fleet.CheckChange(Fleet::kFirstVersion + 1);
  CHECK(fleet.mirror.fetches() > fetches);
  // Also while the mirror is avoided, and by changes alone.
  fleet.CheckChange(Fleet::kFirstVersion + 2);
  CHECK(fleet.member.store_calls() == calls);
}

TEST_CASE(
    "a member takes the leader's copy in time although its mirror has the one "
    "of before the store's counter went back") {
  CheckMirrorOfBefore(Digests::kStated);
}

TEST_CASE(
    "a member takes the leader's copy in time although its mirror, without "
    "digests, has the one of before the store's counter went back") {
  CheckMirrorOfBefore(Digests::kLeftOut);
}

// Checks that later changes do not bring the mirror's copy back.
void CheckMirrorNotFollowed(Digests of_mirror) {
  Fleet fleet(Digests::kStated, of_mirror);
  fleet.uses_mirror = true;
  fleet.mirror.StopReading();
  fleet.store.SetRevision(3);
  fleet.CheckChange(Fleet::kFirstVersion + 1);
  // A mirror that has failed is avoided for less than that.
  const TimePoint used_again = fleet.loop.Now() + std::chrono::seconds(4);
  fleet.RunUntil([&] { return fleet.loop.Now() >= used_again; });
  const std::size_t fetches = fleet.mirror.fetches();
  fleet.CheckChange(Fleet::kFirstVersion + 2);
  CHECK(fleet.mirror.fetches() > fetches);
  CHECK_FALSE(fleet.went_back);
}

TEST_CASE(
    "a copy of before the store's counter went back is not taken from a mirror "
    "again") {
  CheckMirrorNotFollowed(Digests::kStated);
}

TEST_CASE(
    "a copy of before the store's counter went back is not taken from a mirror "
    "without digests again") {
  CheckMirrorNotFollowed(Digests::kLeftOut);
}

// Checks the same if the mirror kept all changes of before that follow the
// member's revision.
void CheckKeptChangesNotFollowed(Digests of_mirror) {
  Fleet fleet(Digests::kStated, of_mirror);
  fleet.uses_mirror = true;
  const std::uint64_t kept_from = fleet.leader.Status().changed_at[0];
  for (int i = 1; i <= 4; ++i) {
    fleet.CheckChange(Fleet::kFirstVersion + i);
  }
  fleet.mirror.StopReading();
  fleet.store.SetRevision(kept_from + 1);
  fleet.CheckChange(Fleet::kFirstVersion + 5);
  // A mirror that has failed is avoided for less than that.
  const TimePoint used_again = fleet.loop.Now() + std::chrono::seconds(4);
  fleet.RunUntil([&] { return fleet.loop.Now() >= used_again; });
  const std::size_t fetches = fleet.mirror.fetches();
  fleet.CheckChange(Fleet::kFirstVersion + 6);
  CHECK(fleet.mirror.fetches() > fetches);
  CHECK_FALSE(fleet.went_back);
}

// Guards against entries that have been replaced and come back with the changes
// of a mirror that follows an earlier history.
TEST_CASE(
    "kept changes of before the store's counter went back are not taken from "
    "a mirror") {
  CheckKeptChangesNotFollowed(Digests::kStated);
}

TEST_CASE(
    "kept changes of before the store's counter went back are not taken from "
    "a mirror without digests") {
  CheckKeptChangesNotFollowed(Digests::kLeftOut);
}

TEST_CASE("changes of a peer without digests are used") {
  platform::testing::FakeStore store;
  net::EventLoop loop;
  CopyServer peer(loop, store.address(), standins::LoopbackBlock() + "1:7002",
                  Digests::kLeftOut);
  Member member(loop, store.address());
  member.Start("3");
  const auto run_until = [&](const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      member.ChooseSource();
      loop.RunOnce(false);
    }
  };
  // The only heartbeat; the member does without its leader soon after.
  member.OnHeartbeat({.address = "127.0.0.1:1",
                      .changed_at = {0, 0, 0},
                      .current_at = loop.Now(),
                      .peers = {peer.address()}});
  const TimePoint without_leader = loop.Now() + std::chrono::seconds(3);
  run_until([&] { return peer.HasCopies() && loop.Now() >= without_leader; });
  const std::uint64_t calls = member.store_calls();
  constexpr int kChanges = 3;
  for (int version = 1; version <= kChanges; ++version) {
    const TimePoint changed = loop.Now();
    store.Put("config", "main", version);
    run_until([&] {
      return (member.config == version && member.current_at() > changed) ||
             loop.Now() > changed + kApplyTime;
    });
    CHECK(member.config == version);
    CHECK(member.current_at() > changed);
  }
  CHECK(member.store_calls() == calls);
  CHECK(peer.fetches() >= kChanges);
}

}  // namespace
}  // namespace gentianreach::entry
