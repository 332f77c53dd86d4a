#include "entry/relays.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

const TimePoint kNow{std::chrono::seconds(50)};

std::vector<Relay> MakeRelays(const std::string& zone, int n) {
  std::vector<Relay> relays;
  for (int i = 0; i < n; ++i) {
    const std::string name = zone + std::to_string(i);
    relays.push_back({name, name + ":1", ZoneName(zone)});
  }
  return relays;
}

// Returns the name of the relay that is chosen next, or "" if there is none.
std::string Choose(const Relays& relays,
                   const std::vector<std::string>& tried = {},
                   TimePoint now = kNow) {
  const Relay* relay = relays.Choose(ZoneName("a"), tried, now);
  return relay == nullptr ? "" : relay->name;
}

TEST_CASE("half of the selected relays are from the daemon's own zone") {
  std::vector<Relay> candidates = MakeRelays("a", 20);
  const auto others = MakeRelays("b", 200);
  candidates.insert(candidates.end(), others.begin(), others.end());
  int local = 0;
  for (const Relay& it : SelectRelays(candidates, "m", ZoneName("a"), 8)) {
    local += it.zone == ZoneName("a") ? 1 : 0;
  }
  CHECK(local >= 4);
  CHECK(local < 8);
}

TEST_CASE("relays of other zones are selected where the own zone has none") {
  const auto selected = SelectRelays(MakeRelays("b", 3), "m", ZoneName("a"), 8);
  CHECK(selected.size() == 3);
}

TEST_CASE("all relays are selected by about equally many daemons") {
  constexpr int kMembers = 200;
  constexpr std::size_t kEach = 8;
  const std::vector<Relay> candidates = MakeRelays("b", 40);
  std::map<std::string, int> uses;
  for (int i = 0; i < kMembers; ++i) {
    const auto selected =
        SelectRelays(candidates, "m" + std::to_string(i), ZoneName("a"), kEach);
    CHECK(selected.size() == kEach);
    for (const Relay& it : selected) {
      ++uses[it.name];
    }
  }
  for (const Relay& it : candidates) {
    CHECK(uses[it.name] > 15);
    CHECK(uses[it.name] < 70);
  }
}

TEST_CASE("the relay with the fewest requests is chosen") {
  Relays relays;
  relays.Set(MakeRelays("a", 2));
  CHECK(Choose(relays) == "a0");
  relays.OnSent("a0");
  CHECK(Choose(relays) == "a1");
  relays.OnEnd("a0", RelayResult::kAnswered, kNow);
  CHECK(Choose(relays) == "a0");
}

TEST_CASE("a relay of the own zone is preferred unless it has more requests") {
  Relays relays;
  relays.Set({{"b0", "b0:1", ZoneName("b")}, {"a0", "a0:1", ZoneName("a")}});
  CHECK(Choose(relays) == "a0");
  relays.OnSent("a0");
  CHECK(Choose(relays) == "b0");
}

TEST_CASE("relays that failed or were tried are not chosen") {
  Relays relays;
  relays.Set(MakeRelays("a", 3));
  relays.OnSent("a0");
  relays.OnEnd("a0", RelayResult::kUnable, kNow);
  CHECK(Choose(relays, {"a1"}) == "a2");
  CHECK(Choose(relays, {"a1", "a2"}) == "");
  CHECK(Choose(relays, {"a1", "a2"}, kNow + std::chrono::seconds(1)) == "a0");
}

}  // namespace
}  // namespace gentianreach::entry
