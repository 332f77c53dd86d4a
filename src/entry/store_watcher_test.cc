#include "entry/store_watcher.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "base/gzip.h"
#include "platform/testing/fake_store.h"

namespace gentianreach::entry {
namespace {

using nlohmann::json;
using platform::ObjectKind;
using platform::testing::FakeStore;

// Limit for each wait of a test; much longer than needed.
constexpr Duration kTestTimeout = std::chrono::seconds(30);

// Shortest loss of the store during which entries may expire.
constexpr Duration kShortestExpiry = std::chrono::milliseconds(100);

// A daemon's copy of the server entries.
class Copy {
 public:
  Copy(net::EventLoop& loop, FakeStore& store, WatchSource source)
      : client_(store.address()),
        health_(loop, kShortestExpiry),
        watcher(loop,
                client_,
                health_,
                ObjectKind::kServers,
                platform::Freshness::kCurrent,
                {[this](const auto& objects) {
                   content.clear();
                   Apply(objects);
                 },
                 [this](const auto& objects) { Apply(objects); }}) {
    watcher.SetSource(source, std::chrono::milliseconds(1000));
    health_.on_change = [this](bool lost) {
      losses += lost ? 1 : 0;
      if (!lost) {
        watcher.OnStoreBack();
      }
    };
  }

  // The entries as reported to the daemon.
  std::map<std::string, json> content;
  // How often the store was lost.
  int losses = 0;

 private:
  void Apply(const std::vector<platform::Object>& objects) {
    for (const platform::Object& it : objects) {
      if (it.deleted) {
        content.erase(it.name);
      } else {
        content[it.name] = it.content();
      }
    }
  }

  platform::PlatformClient client_;
  StoreHealth health_;

 public:
  StoreWatcher watcher;
};

class Daemons {
 public:
  Daemons() {
    for (int i = 0; i < 20; ++i) {
      store.Put("servers", "s" + std::to_string(i), {{"n", i}, {"load", 0}});
    }
    leader.watcher.Start(loop.Now());
    WaitFor([this] { return leader.content.size() == 20; });
    CHECK(RelayChanges(leader, follower));
    CHECK(follower.content == leader.content);
  }

  // Relays the changes of one daemon to another. Returns whether they could be
  // applied.
  static bool RelayChanges(Copy& from, Copy& to) {
    return to.watcher.ApplyChanges(
        from.watcher.ChangesSince(to.watcher.relay_since()));
  }
  // Writes an entry and waits until the leader's copy has it.
  void Put(const std::string& name, const json& content) {
    store.Put("servers", name, content);
    WaitFor([&] { return leader.content[name] == content; });
  }
  void WaitFor(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTestTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      loop.RunOnce(true);
    }
  }

  net::EventLoop loop;
  FakeStore store;
  Copy leader{loop, store, WatchSource::kStore};
  Copy follower{loop, store, WatchSource::kLeader};
  Copy third{loop, store, WatchSource::kLeader};
};

TEST_CASE("relayed changes update and remove entries") {
  Daemons daemons;
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  daemons.Put("s3", {{"n", 3}, {"load", 8}});
  daemons.Put("new", {{"n", 99}});
  daemons.store.Remove("servers", "s5");
  daemons.WaitFor([&] { return !daemons.leader.content.contains("s5"); });
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.follower));
  CHECK(daemons.follower.content == daemons.leader.content);
}

TEST_CASE("relayed changes are much smaller than the copy") {
  Daemons daemons;
  const std::size_t whole = daemons.leader.watcher.ChangesSince(0).size();
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  const std::uint64_t since = daemons.follower.watcher.relay_since();
  CHECK(daemons.leader.watcher.ChangesSince(since).size() * 2 < whole);
}

TEST_CASE("a copy that received relayed changes can relay them") {
  Daemons daemons;
  CHECK(Daemons::RelayChanges(daemons.follower, daemons.third));
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.follower));
  CHECK(Daemons::RelayChanges(daemons.follower, daemons.third));
  CHECK(daemons.third.content == daemons.leader.content);
}

TEST_CASE("a copy requests all objects after a patch that does not apply") {
  Daemons daemons;
  // `third` has a revision of the entry that the leader does not know, between
  // the two that it does.
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.third));
  const std::uint64_t between = daemons.third.watcher.relay_since() + 1;
  daemons.store.Put("servers", "unrelated", {{"n", 0}});
  daemons.third.watcher.Put({"s3", between, false, {{"spec", {{"n", 0}}}}});
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  CHECK_FALSE(Daemons::RelayChanges(daemons.leader, daemons.third));
  CHECK(daemons.third.watcher.relay_since() == 0);
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.third));
  CHECK(daemons.third.content["s3"] == daemons.leader.content["s3"]);
}

TEST_CASE("a state that a copy has already is no reason for a whole copy") {
  Daemons daemons;
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.third));
  // `third` reads the store by itself; the leader's patches are of the state
  // before that.
  daemons.third.watcher.SetSource(WatchSource::kStore,
                                  std::chrono::milliseconds(1000));
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  daemons.Put("s3", {{"n", 3}, {"load", 8}});
  daemons.Put("new", {{"n", 99}});
  daemons.store.Remove("servers", "s5");
  daemons.WaitFor([&] {
    return daemons.leader.content == daemons.third.content &&
           !daemons.leader.content.contains("s5");
  });
  daemons.third.watcher.SetSource(WatchSource::kLeader,
                                  std::chrono::milliseconds(1000));
  const std::string changes = daemons.leader.watcher.ChangesSince(
      daemons.follower.watcher.relay_since());
  CHECK(daemons.third.watcher.ApplyChanges(changes));
  CHECK(daemons.third.watcher.relay_since() != 0);
  CHECK(daemons.third.content == daemons.leader.content);
  CHECK(daemons.third.content["s3"]["load"] == 8);
  CHECK_FALSE(daemons.third.content.contains("s5"));
}

TEST_CASE("what a new leader has listed applies to members ahead of it") {
  Daemons daemons;
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.third));
  // `third` has the first change, the next leader does not.
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.third));
  daemons.Put("s3", {{"n", 3}, {"load", 8}});
  daemons.follower.watcher.SetSource(WatchSource::kStore,
                                     std::chrono::milliseconds(1000));
  daemons.WaitFor(
      [&] { return daemons.follower.content == daemons.leader.content; });
  CHECK(Daemons::RelayChanges(daemons.follower, daemons.third));
  CHECK(daemons.third.content == daemons.leader.content);
}

TEST_CASE("a copy that switches to the store reads changes that watches miss") {
  Daemons daemons;
  daemons.store.set_hide_changes(true);
  const json content = {{"n", 3}, {"load", 7}};
  daemons.store.Put("servers", "s3", content);
  daemons.follower.watcher.SetSource(WatchSource::kStore,
                                     std::chrono::milliseconds(1000));
  daemons.WaitFor([&] { return daemons.follower.content["s3"] == content; });
}

TEST_CASE("a late removal does not undo a newer entry") {
  Daemons daemons;
  daemons.follower.watcher.Put({"s3", 1000, false, {{"spec", {{"n", 3}}}}});
  daemons.store.Remove("servers", "s3");
  daemons.WaitFor([&] { return !daemons.leader.content.contains("s3"); });
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.follower));
  CHECK(daemons.follower.content.contains("s3"));
}

TEST_CASE("a list that relayed changes have overtaken does not undo them") {
  Daemons daemons;
  Daemons newer;
  newer.Put("s3", {{"n", 3}, {"load", 7}});
  const std::size_t calls = daemons.store.calls();
  daemons.third.watcher.Start(daemons.loop.Now());
  daemons.WaitFor([&] { return daemons.store.calls() > calls; });
  REQUIRE_FALSE(daemons.third.watcher.listed());
  CHECK(Daemons::RelayChanges(newer.leader, daemons.third));
  // The reply to the list has arrived once a later change has.
  daemons.Put("s3", {{"n", 3}, {"load", 9}});
  CHECK(daemons.third.content["s3"]["load"] == 7);
}

TEST_CASE("a copy that lost its history takes the objects of another daemon") {
  Daemons daemons;
  daemons.follower.watcher.SetSource(WatchSource::kStore,
                                     std::chrono::milliseconds(1000));
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  daemons.follower.watcher.Relist();
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.follower));
  CHECK(daemons.follower.content == daemons.leader.content);
}

TEST_CASE("a copy follows a store whose revision counter has gone back") {
  Daemons daemons;
  for (const bool await_revisions : {false, true}) {
    CAPTURE(await_revisions);
    daemons.store.set_await_revisions(await_revisions);
    daemons.store.SetRevision(3);
    daemons.Put("s3", {{"n", 3}, {"load", 7}});
    CHECK(daemons.leader.watcher.revision() < 20);
    daemons.Put("s3", {{"n", 3}, {"load", 8}});
    // Beyond the revisions of the next store.
    for (int load = 0; load < 30; ++load) {
      daemons.Put("s4", {{"n", 4}, {"load", load}});
    }
  }
}

TEST_CASE("a copy that was replaced by one of a lower revision follows it") {
  Daemons daemons;
  daemons.store.SetRevision(3);
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  StoreWatcher& leader = daemons.leader.watcher;
  StoreWatcher& follower = daemons.follower.watcher;
  REQUIRE(leader.digest() != follower.digest());
  CHECK_FALSE(follower.ApplyChanges(leader.ChangesSince(0)));
  CHECK_FALSE(
      follower.ReplaceCopy(leader.ChangesSince(0), leader.digest() + 1));
  CHECK(follower.ReplaceCopy(leader.ChangesSince(0), leader.digest()));
  CHECK(follower.digest() == leader.digest());
  CHECK(daemons.follower.content == daemons.leader.content);
  daemons.Put("s3", {{"n", 3}, {"load", 8}});
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.follower));
  CHECK(daemons.follower.content == daemons.leader.content);
}

TEST_CASE("an object of a lower revision is compared with the store's") {
  Daemons daemons;
  daemons.store.SetRevision(3);
  const json content = {{"n", 3}, {"load", 7}};
  daemons.store.Put("servers", "s3", content);
  daemons.follower.watcher.Put({"s3", 4, false, {{"spec", content}}});
  daemons.WaitFor([&] { return daemons.follower.content["s3"] == content; });
}

TEST_CASE("changes of a store that has taken the place of another are read") {
  Daemons daemons;
  daemons.store.SilenceConnections();
  daemons.store.SetRevision(3);
  const json content = {{"n", 3}, {"load", 7}};
  daemons.store.Put("servers", "s3", content);
  for (int load = 0; load < 30; ++load) {
    daemons.store.Put("servers", "s4", {{"n", 4}, {"load", load}});
  }
  REQUIRE(daemons.store.revision() > daemons.leader.watcher.revision());
  // The lists are refused at first.
  daemons.store.set_list_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  daemons.WaitFor([&] { return daemons.leader.content["s4"]["load"] == 29; });
  daemons.store.set_list_failure(0);
  daemons.WaitFor([&] { return daemons.leader.content["s3"] == content; });
}

TEST_CASE("a copy is watched while lists fail") {
  Daemons daemons;
  daemons.store.set_list_failure(SOUP_STATUS_SERVICE_UNAVAILABLE);
  daemons.leader.watcher.RequireList();
  const TimePoint end = daemons.loop.Now() + std::chrono::seconds(3);
  for (int load = 1; daemons.loop.Now() < end; ++load) {
    daemons.Put("s4", {{"n", 4}, {"load", load}});
  }
  // The delay of the lists doubles from 400 ms on.
  CHECK(daemons.leader.losses <= 4);
  daemons.store.set_list_failure(0);
  daemons.Put("s4", {{"n", 4}, {"load", 0}});
}

TEST_CASE("a required list that a change has overtaken is repeated") {
  Daemons daemons;
  const std::size_t calls = daemons.store.calls();
  daemons.follower.watcher.RequireList();
  daemons.WaitFor([&] { return daemons.store.calls() > calls; });
  daemons.follower.watcher.Put({"own", 1000, false, {{"spec", {{"n", 0}}}}});
  REQUIRE(daemons.follower.content.contains("own"));
  daemons.WaitFor([&] { return !daemons.follower.content.contains("own"); });
}

TEST_CASE("a copy contains the states that it had before its last changes") {
  Daemons daemons;
  const std::uint64_t before = daemons.leader.watcher.digest();
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  CHECK(daemons.leader.watcher.Contains(before));
  CHECK(daemons.leader.watcher.Contains(daemons.leader.watcher.digest()));
  CHECK_FALSE(
      daemons.follower.watcher.Contains(daemons.leader.watcher.digest()));
  daemons.store.SetRevision(3);
  daemons.Put("s3", {{"n", 3}, {"load", 8}});
  CHECK_FALSE(daemons.leader.watcher.Contains(before));
}

TEST_CASE("a number of another type is a change") {
  Daemons daemons;
  daemons.Put("s3", {{"n", 3}, {"load", 0.0}});
  static_cast<void>(Daemons::RelayChanges(daemons.leader, daemons.follower));
  static_cast<void>(Daemons::RelayChanges(daemons.leader, daemons.follower));
  CHECK(daemons.follower.watcher.digest() == daemons.leader.watcher.digest());
}

TEST_CASE("copies with the same objects have the same digest") {
  Daemons daemons;
  StoreWatcher& leader = daemons.leader.watcher;
  StoreWatcher& follower = daemons.follower.watcher;
  CHECK(follower.digest() == leader.digest());
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  CHECK(follower.digest() != leader.digest());
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.follower));
  CHECK(follower.digest() == leader.digest());
  daemons.store.Remove("servers", "s5");
  daemons.WaitFor([&] { return !daemons.leader.content.contains("s5"); });
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.follower));
  CHECK(follower.digest() == leader.digest());
}

TEST_CASE(
    "a copy that differs after the relayed changes requests all objects") {
  Daemons daemons;
  // `third` has another content of the same revision.
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.third));
  StoreWatcher& third = daemons.third.watcher;
  const std::uint64_t before = third.relay_since();
  third.Put({"s3", before, false, {{"spec", {{"n", 3}, {"load", 9}}}}});
  daemons.store.Put("servers", "s4", {{"n", 4}, {"load", 7}});
  daemons.WaitFor([&] { return daemons.leader.content["s4"]["load"] == 7; });
  CHECK_FALSE(Daemons::RelayChanges(daemons.leader, daemons.third));
  CHECK(third.relay_since() == 0);
  CHECK(Daemons::RelayChanges(daemons.leader, daemons.third));
  CHECK(third.digest() == daemons.leader.watcher.digest());
}

// Runs the loop for `duration`.
void RunFor(net::EventLoop& loop, Duration duration) {
  const TimePoint end = loop.Now() + duration;
  while (loop.Now() < end) {
    loop.RunOnce(false);
  }
}

TEST_CASE("a short loss of the store lets no entry of a live server expire") {
  net::EventLoop loop;
  StoreHealth health(loop, kShortestExpiry);
  health.OnResponse();
  health.OnFailure();
  CHECK(health.lost());
  CHECK_FALSE(health.MayLackEntries());
  health.OnResponse();
  CHECK_FALSE(health.MayLackEntries());
}

TEST_CASE("entries may be missing during and after a long loss of the store") {
  net::EventLoop loop;
  StoreHealth health(loop, kShortestExpiry);
  health.OnResponse();
  health.OnFailure();
  RunFor(loop, kShortestExpiry);
  CHECK(health.MayLackEntries());
  health.OnResponse();
  CHECK(health.MayLackEntries());
  // A loss before the servers have registered again extends that time.
  health.OnFailure();
  CHECK(health.MayLackEntries());
}

// Guards against requests to servers that have left: their removals are
// deferred while entries may be missing.
TEST_CASE("a loss that another daemon has seen end leaves no entry in doubt") {
  net::EventLoop loop;
  StoreHealth health(loop, kShortestExpiry);
  health.OnResponse();
  health.OnFailure();
  RunFor(loop, kShortestExpiry * 2);
  REQUIRE(health.MayLackEntries());
  health.OnAnswerToOther(loop.Now());
  CHECK_FALSE(health.MayLackEntries());
  health.OnResponse();
  CHECK_FALSE(health.MayLackEntries());
}

TEST_CASE("answers that others got all the time leave no entry in doubt") {
  net::EventLoop loop;
  StoreHealth health(loop, kShortestExpiry);
  health.OnResponse();
  const TimePoint before_loss = loop.Now();
  const TimePoint long_before = before_loss - std::chrono::minutes(1);
  health.OnFailure();
  RunFor(loop, kShortestExpiry * 2);
  health.OnResponse();
  REQUIRE(health.MayLackEntries());
  health.OnAnswersKnown(loop.Now(), loop.Now());
  CHECK(health.MayLackEntries());
  health.OnAnswersKnown(long_before, before_loss);
  CHECK(health.MayLackEntries());
  health.OnAnswersKnown(long_before, loop.Now());
  CHECK_FALSE(health.MayLackEntries());
}

TEST_CASE("entries may be missing if the store has never answered") {
  net::EventLoop loop;
  StoreHealth health(loop, kShortestExpiry);
  health.OnFailure();
  CHECK(health.MayLackEntries());
}

TEST_CASE("changes that the version before relays are applied") {
  FakeStore store;
  net::EventLoop loop;
  Copy follower(loop, store, WatchSource::kLeader);
  REQUIRE(follower.watcher.ApplyChanges(Compress(
      R"({"listed":true,"objects":[{"deleted":false,"name":"s1","object":)"
      R"({"metadata":{"name":"s1","rev":40},"spec":{"load":1,"n":1}},)"
      R"("revision":40}],"revision":41,"whole":true})")));
  CHECK(follower.content["s1"]["load"] == 1);
  CHECK(follower.watcher.relay_since() == 41);
  REQUIRE(follower.watcher.ApplyChanges(Compress(
      R"({"listed":true,"objects":[{"deleted":false,"from":40,"name":"s1",)"
      R"("patch":{"metadata":{"rev":42},"spec":{"load":2}},"revision":42}],)"
      R"("revision":43,"whole":false})")));
  CHECK(follower.content["s1"] == json{{"load", 2}, {"n", 1}});
  CHECK(follower.watcher.relay_since() == 43);
}

TEST_CASE("a relayed change of another form does not hide those before it") {
  FakeStore store;
  net::EventLoop loop;
  Copy follower(loop, store, WatchSource::kLeader);
  REQUIRE(follower.watcher.ApplyChanges(
      Compress(R"({"listed":true,"objects":[],"revision":41,"whole":true})")));
  CHECK_FALSE(follower.watcher.ApplyChanges(Compress(
      R"({"listed":true,"objects":[{"deleted":false,"name":"s1","object":)"
      R"({"metadata":{"name":"s1","rev":42},"spec":{"n":1}},"revision":42},)"
      R"({"deleted":false,"name":7,"revision":43}],)"
      R"("revision":43,"whole":false})")));
  CHECK(follower.content["s1"] == json{{"n", 1}});
  CHECK(follower.watcher.relay_since() == 0);
}

TEST_CASE("damaged changes are not applied") {
  Daemons daemons;
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  std::string data = daemons.leader.watcher.ChangesSince(
      daemons.follower.watcher.relay_since());
  data.resize(data.size() / 2);
  CHECK_FALSE(daemons.follower.watcher.ApplyChanges(data));
  CHECK(daemons.follower.content["s3"]["load"] == 0);
}

TEST_CASE("what watches had proved before a lost history is not confirmed") {
  Daemons daemons;
  StoreWatcher& watcher = daemons.follower.watcher;
  const TimePoint lost = daemons.loop.Now();
  const TimePoint listed = lost - std::chrono::seconds(5);
  const TimePoint watched = lost - std::chrono::seconds(1);
  watcher.ConfirmCurrent(watched, listed);
  CHECK(watcher.current_at() == watched);
  watcher.VoidWatches(lost);
  CHECK(watcher.current_at() == listed);
  // A statement that was on its way when the loss became known.
  watcher.ConfirmCurrent(watched, listed);
  CHECK(watcher.current_at() == listed);
  const TimePoint listed_again = lost - std::chrono::milliseconds(10);
  watcher.ConfirmCurrent(watched, listed_again);
  CHECK(watcher.current_at() == listed_again);
  const TimePoint watched_again = lost + std::chrono::milliseconds(10);
  watcher.ConfirmCurrent(watched_again, listed_again);
  CHECK(watcher.current_at() == watched_again);
}

}  // namespace
}  // namespace gentianreach::entry
