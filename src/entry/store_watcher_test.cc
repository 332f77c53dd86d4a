#include "entry/store_watcher.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "platform/testing/fake_store.h"

namespace gentianreach::entry {
namespace {

using nlohmann::json;
using platform::ObjectKind;
using platform::testing::FakeStore;

// How long a test waits for what has to happen; far more than it takes.
constexpr Duration kPatience = std::chrono::seconds(30);

// A daemon's copy of the servers' entries.
class Copy {
 public:
  Copy(net::EventLoop& loop, FakeStore& store, WatchSource source)
      : client_(store.address()),
        health_(loop),
        watcher(loop,
                client_,
                health_,
                ObjectKind::kServers,
                platform::Freshness::kCurrent,
                {[this](const auto& objects) {
                   content.clear();
                   Take(objects);
                 },
                 [this](const auto& objects) { Take(objects); }}) {
    watcher.SetSource(source, std::chrono::milliseconds(1000));
  }

  // What the daemon was told.
  std::map<std::string, json> content;

 private:
  void Take(const std::vector<platform::Object>& objects) {
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
    CHECK(Pass(leader, follower));
    CHECK(follower.content == leader.content);
  }

  // Passes what has changed from one daemon to another. Returns whether it
  // could be used.
  static bool Pass(Copy& from, Copy& to) {
    return to.watcher.Adopt(
        from.watcher.ChangesSince(to.watcher.relay_since()));
  }
  // Writes an entry and waits until the leader knows it.
  void Put(const std::string& name, const json& content) {
    store.Put("servers", name, content);
    WaitFor([&] { return leader.content[name] == content; });
  }
  void WaitFor(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kPatience;
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

TEST_CASE("a copy follows changes and removals of another one") {
  Daemons daemons;
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  daemons.Put("s3", {{"n", 3}, {"load", 8}});
  daemons.Put("new", {{"n", 99}});
  daemons.store.Remove("servers", "s5");
  daemons.WaitFor([&] { return !daemons.leader.content.contains("s5"); });
  CHECK(Daemons::Pass(daemons.leader, daemons.follower));
  CHECK(daemons.follower.content == daemons.leader.content);
}

TEST_CASE("what has changed is much smaller than the copy") {
  Daemons daemons;
  const std::size_t whole = daemons.leader.watcher.ChangesSince(0).size();
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  const std::uint64_t since = daemons.follower.watcher.relay_since();
  CHECK(daemons.leader.watcher.ChangesSince(since).size() * 2 < whole);
}

TEST_CASE("a copy that followed another one passes changes on as well") {
  Daemons daemons;
  CHECK(Daemons::Pass(daemons.follower, daemons.third));
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  CHECK(Daemons::Pass(daemons.leader, daemons.follower));
  CHECK(Daemons::Pass(daemons.follower, daemons.third));
  CHECK(daemons.third.content == daemons.leader.content);
}

TEST_CASE("a copy that a change does not fit asks for everything") {
  Daemons daemons;
  // The third knows the entry as another leader read it.
  CHECK(Daemons::Pass(daemons.leader, daemons.third));
  platform::Object other{"s3", 1000, false, {{"spec", {{"n", 0}}}}};
  daemons.third.watcher.Put(other);
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  CHECK_FALSE(Daemons::Pass(daemons.leader, daemons.third));
  CHECK(daemons.third.watcher.relay_since() == 0);
  CHECK(Daemons::Pass(daemons.leader, daemons.third));
  CHECK(daemons.third.content["s3"] == daemons.leader.content["s3"]);
}

TEST_CASE("a copy that turns to the store reads what watches do not tell") {
  Daemons daemons;
  daemons.store.set_hide_changes(true);
  const json content = {{"n", 3}, {"load", 7}};
  daemons.store.Put("servers", "s3", content);
  daemons.follower.watcher.SetSource(WatchSource::kStore,
                                     std::chrono::milliseconds(1000));
  daemons.WaitFor([&] { return daemons.follower.content["s3"] == content; });
}

TEST_CASE("damaged changes are not taken in") {
  Daemons daemons;
  daemons.Put("s3", {{"n", 3}, {"load", 7}});
  std::string data = daemons.leader.watcher.ChangesSince(
      daemons.follower.watcher.relay_since());
  data.resize(data.size() / 2);
  CHECK_FALSE(daemons.follower.watcher.Adopt(data));
  CHECK(daemons.follower.content["s3"]["load"] == 0);
}

}  // namespace
}  // namespace gentianreach::entry
