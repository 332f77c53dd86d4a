// Changes that a copy of the store's objects keeps for other daemons.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "base/gzip.h"
#include "entry/store_watcher.h"
#include "platform/testing/entry_fixture.h"
#include "platform/testing/fake_store.h"
#include "platform/testing/resident_memory.h"
#include "platform/testing/sample_config.h"

namespace gentianreach::entry {
namespace {

using nlohmann::json;
using platform::testing::FakeStore;
using platform::testing::ResidentBytes;
using platform::testing::RunUntil;

// Routes of a large configuration, of which each change takes over 180 KB.
constexpr int kRoutes = 1400;
constexpr std::size_t kMinChangeBytes = 180'000;
// More versions than are kept whatever their size, and more than are kept of a
// large configuration.
constexpr int kVersions = 300;
constexpr int kTooManyVersions = 30;
// The memory of the users' entry VMs, and the kinds of objects that a daemon
// has copies of.
constexpr std::size_t kVmBytes = 260 << 20;
constexpr std::size_t kKinds = 4;
constexpr std::size_t kMaxDecompressedBytes = 64 << 20;

// Returns a configuration in which one route is that of the version alone.
json LargeConfig(int version) {
  json config = platform::testing::SampleConfig(version);
  for (int i = 0; i < kRoutes; ++i) {
    platform::testing::AddReadRoute(config, "/more" + std::to_string(i) + "/");
  }
  platform::testing::AddReadRoute(config,
                                  "/only" + std::to_string(version) + "/");
  return config;
}

platform::Object LargeObject(int version) {
  return {"main",
          static_cast<std::uint64_t>(version),
          false,
          {{"spec", LargeConfig(version)}}};
}

// A daemon's copy of the configuration.
class Copy {
 public:
  Copy(net::EventLoop& loop, FakeStore& store, WatchSource source)
      : client_(store.address()),
        health_(loop, std::chrono::milliseconds(100)),
        watcher(loop,
                client_,
                health_,
                platform::ObjectKind::kConfig,
                platform::Freshness::kCurrent,
                {[this](const auto& objects) { Apply(objects); },
                 [this](const auto& objects) { Apply(objects); }}) {
    watcher.SetSource(source, std::chrono::milliseconds(1000));
  }

  // Returns the configuration as reported to the daemon.
  [[nodiscard]] const json& content() const { return content_; }

 private:
  void Apply(const std::vector<platform::Object>& objects) {
    for (const platform::Object& it : objects) {
      content_ = it.content();
    }
  }

  json content_;
  platform::PlatformClient client_;
  StoreHealth health_;

 public:
  StoreWatcher watcher;
};

// A leader that follows the store, and a daemon that gets changes from it.
class Daemons {
 public:
  Daemons() {
    leader.watcher.Start(loop.Now());
    Put(0, 0);
    REQUIRE(RelayChanges());
  }

  // Relays the leader's changes. Returns whether they could be applied.
  bool RelayChanges() {
    return follower.watcher.ApplyChanges(
        leader.watcher.ChangesSince(follower.watcher.relay_since()));
  }
  // Writes the versions from `first` to `last` of the configuration, and waits
  // until the leader has them.
  void Put(int first, int last) {
    for (int i = first; i <= last; ++i) {
      store.Put("config", "main", LargeConfig(i));
    }
    // Made once, as the store and the daemon run in the same loop.
    const json expected = LargeConfig(last);
    RunUntil(loop, [&] { return leader.content() == expected; });
  }

  net::EventLoop loop;
  FakeStore store;
  Copy leader{loop, store, WatchSource::kStore};
  Copy follower{loop, store, WatchSource::kLeader};
};

// Guards against daemons that are killed for their memory after many changes of
// a large configuration.
TEST_CASE("changes of a large configuration do not fill a daemon's memory") {
  net::EventLoop loop;
  FakeStore store;
  Copy copy(loop, store, WatchSource::kLeader);
  REQUIRE(LargeConfig(2).dump().size() > kMinChangeBytes);
  copy.watcher.Put(LargeObject(2));
  const std::size_t before = ResidentBytes();
  for (int i = 3; i < kVersions; ++i) {
    copy.watcher.Put(LargeObject(i));
  }
  const std::size_t after = ResidentBytes();
  CHECK(after < before + (kVmBytes / kKinds));
  CHECK(copy.content() == LargeConfig(kVersions - 1));
}

TEST_CASE("a whole copy takes the place of changes that are not kept") {
  net::EventLoop loop;
  FakeStore store;
  Copy copy(loop, store, WatchSource::kLeader);
  for (int i = 2; i <= kTooManyVersions; ++i) {
    copy.watcher.Put(LargeObject(i));
  }
  const std::string all =
      Decompress(copy.watcher.ChangesSince(2), kMaxDecompressedBytes)
          .value_or("");
  const json relayed = json::parse(all, nullptr, false);
  REQUIRE_FALSE(relayed.is_discarded());
  CHECK(relayed["whole"] == true);
  CHECK(relayed["objects"].size() == 1);
}

TEST_CASE("a daemon that lacks changes that are not kept gets all objects") {
  Daemons daemons;
  daemons.Put(1, kTooManyVersions);
  CHECK(daemons.RelayChanges());
  CHECK(daemons.follower.content() == LargeConfig(kTooManyVersions));
  CHECK(daemons.follower.watcher.digest() == daemons.leader.watcher.digest());
}

TEST_CASE("the last changes of a large configuration are relayed in order") {
  Daemons daemons;
  daemons.Put(1, kTooManyVersions);
  REQUIRE(daemons.RelayChanges());
  const std::uint64_t since = daemons.follower.watcher.relay_since();
  daemons.Put(kTooManyVersions + 1, kTooManyVersions + 2);
  const std::string text =
      Decompress(daemons.leader.watcher.ChangesSince(since),
                 kMaxDecompressedBytes)
          .value_or("");
  const json relayed = json::parse(text, nullptr, false);
  REQUIRE_FALSE(relayed.is_discarded());
  CHECK(relayed["whole"] == false);
  CHECK(daemons.RelayChanges());
  CHECK(daemons.follower.content() == LargeConfig(kTooManyVersions + 2));
}

TEST_CASE("a copy contains states whose changes it does not keep") {
  Daemons daemons;
  const std::uint64_t first = daemons.leader.watcher.digest();
  daemons.Put(1, kTooManyVersions);
  CHECK(daemons.leader.watcher.Contains(first));
}

}  // namespace
}  // namespace gentianreach::entry
