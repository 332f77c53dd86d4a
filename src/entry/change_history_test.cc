// Changes that a copy of the store's objects keeps for other daemons.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <functional>
#include <string>

#include <doctest/doctest.h>

#include "base/gzip.h"
#include "entry/store_watcher.h"
#include "platform/testing/fake_store.h"

namespace gentianreach::entry {
namespace {

using nlohmann::json;
using platform::testing::FakeStore;

// Limit for each wait of a test; much longer than needed.
constexpr Duration kTestTimeout = std::chrono::seconds(30);
// Routes of a large configuration, which takes about 300 KB as JSON.
constexpr int kRoutes = 1400;
// Versions that come in quick succession.
constexpr std::uint64_t kVersions = 300;
// The memory of the users' entry VMs, and the kinds of objects that a daemon
// has copies of.
constexpr std::size_t kVmBytes = 260 << 20;
constexpr std::size_t kKinds = 4;
constexpr std::size_t kMaxDecompressedBytes = 64 << 20;

std::size_t ResidentBytes() {
  constexpr std::size_t kPageBytes = 4096;
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  in >> total >> resident;
  return resident * kPageBytes;
}

json LargeConfig(std::uint64_t version) {
  json rules = json::array();
  for (int i = 0; i < kRoutes; ++i) {
    rules.push_back(
        {{"match", {{"pathPrefix", "/more" + std::to_string(i) + "/"}}},
         {"action",
          {{"service", "orders"},
           {"kind", "safe"},
           {"timeoutMs", 1000 + version},
           {"maxAttempts", 2},
           {"targetLatencyMs", 400},
           {"priority", 1}}}});
  }
  return {{"configVersion", "r" + std::to_string(version)},
          {"listeners",
           {{{"hostname", "shop.example"}, {"rules", std::move(rules)}}}}};
}

platform::Object LargeObject(std::uint64_t revision) {
  return {"main", revision, false, {{"spec", LargeConfig(revision)}}};
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

  // Returns the version of the configuration as reported to the daemon.
  [[nodiscard]] std::string version() const {
    return content_.value("configVersion", "");
  }

 private:
  void Apply(const std::vector<platform::Object>& objects) {
    for (const platform::Object& it : objects) {
      content_ = it.content();
    }
  }

  json content_ = json::object();
  platform::PlatformClient client_;
  StoreHealth health_;

 public:
  StoreWatcher watcher;
};

// A leader that follows the store, and a daemon that gets changes from it.
class Daemons {
 public:
  Daemons() {
    store.Put("config", "main", LargeConfig(0));
    leader.watcher.Start(loop.Now());
    WaitFor([this] { return leader.version() == "r0"; });
    REQUIRE(RelayChanges());
  }

  // Relays the leader's changes. Returns whether they could be applied.
  bool RelayChanges() {
    return follower.watcher.ApplyChanges(
        leader.watcher.ChangesSince(follower.watcher.relay_since()));
  }
  // Writes a version of the configuration and waits until the leader has it.
  void Put(std::uint64_t version) {
    store.Put("config", "main", LargeConfig(version));
    WaitFor([&] { return leader.version() == "r" + std::to_string(version); });
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
};

// Guards against daemons that are killed for their memory after many changes of
// a large configuration.
TEST_CASE("changes of a large configuration do not fill a daemon's memory") {
  net::EventLoop loop;
  FakeStore store;
  Copy copy(loop, store, WatchSource::kLeader);
  copy.watcher.Put(LargeObject(2));
  const std::size_t before = ResidentBytes();
  for (std::uint64_t i = 3; i < kVersions; ++i) {
    copy.watcher.Put(LargeObject(i));
  }
  const std::size_t after = ResidentBytes();
  CHECK(after < before + (kVmBytes / kKinds));
  CHECK(copy.version() == "r" + std::to_string(kVersions - 1));
}

TEST_CASE("changes that take more memory than they may are small to relay") {
  net::EventLoop loop;
  FakeStore store;
  Copy copy(loop, store, WatchSource::kLeader);
  copy.watcher.Put(LargeObject(2));
  for (std::uint64_t i = 3; i < kVersions; ++i) {
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
  for (std::uint64_t i = 1; i <= 30; ++i) {
    daemons.Put(i);
  }
  CHECK(daemons.RelayChanges());
  CHECK(daemons.follower.version() == "r30");
  CHECK(daemons.follower.watcher.digest() == daemons.leader.watcher.digest());
}

TEST_CASE("the last changes of a large configuration are relayed in order") {
  Daemons daemons;
  for (std::uint64_t i = 1; i <= 30; ++i) {
    daemons.Put(i);
  }
  REQUIRE(daemons.RelayChanges());
  const std::uint64_t since = daemons.follower.watcher.relay_since();
  daemons.Put(31);
  daemons.Put(32);
  const std::string text =
      Decompress(daemons.leader.watcher.ChangesSince(since),
                 kMaxDecompressedBytes)
          .value_or("");
  const json relayed = json::parse(text, nullptr, false);
  REQUIRE_FALSE(relayed.is_discarded());
  CHECK(relayed["whole"] == false);
  CHECK(daemons.RelayChanges());
  CHECK(daemons.follower.version() == "r32");
}

TEST_CASE("a copy contains states whose changes it does not keep") {
  Daemons daemons;
  const std::uint64_t first = daemons.leader.watcher.digest();
  for (std::uint64_t i = 1; i <= 30; ++i) {
    daemons.Put(i);
  }
  CHECK(daemons.leader.watcher.Contains(first));
}

}  // namespace
}  // namespace gentianreach::entry
