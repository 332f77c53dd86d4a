#include "placement/hot_keys.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

namespace gentianreach {
namespace {

TEST_CASE("A tracker below capacity counts every key exactly") {
  HotKeyTracker tracker(8);
  for (std::uint64_t i = 1; i <= 8; ++i) {
    for (std::uint64_t n = 0; n < i; ++n) {
      tracker.Count(KeyHash(i));
    }
  }
  const auto keys = tracker.Take(3);
  REQUIRE(keys.size() == 3);
  CHECK(keys[0] == HotKeyCount{KeyHash(8), 8});
  CHECK(keys[1] == HotKeyCount{KeyHash(7), 7});
  CHECK(keys[2] == HotKeyCount{KeyHash(6), 6});
}

TEST_CASE("Counts stay within bounds and every frequent key has a counter") {
  constexpr std::size_t kCapacity = 50;
  constexpr std::uint64_t kRequests = 20000;
  HotKeyTracker tracker(kCapacity);
  std::mt19937_64 random(7);
  std::map<std::uint64_t, std::uint64_t> expected;
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    const std::uint64_t key = random() % (1 + random() % 2000);
    ++expected[key];
    tracker.Count(KeyHash(key));
  }
  CHECK(tracker.size() == kCapacity);
  for (const auto& [key, requests] : expected) {
    const std::uint64_t bound = tracker.UpperBound(KeyHash(key));
    if (requests > kRequests / kCapacity) {
      CHECK(bound >= requests);
    }
    CHECK(bound <= requests + kRequests / kCapacity);
  }
  for (const HotKeyCount& it : tracker.Take(kCapacity)) {
    CHECK(it.requests <= expected[it.hash.value()]);
  }
}

TEST_CASE("Keys that are no longer requested lose their counters to new keys") {
  HotKeyTracker tracker(4);
  for (int i = 0; i < 1000; ++i) {
    tracker.Count(KeyHash(i % 4));
  }
  for (int window = 0; window < 10; ++window) {
    for (int i = 0; i < 40; ++i) {
      tracker.Count(KeyHash(100 + i % 4));
    }
    static_cast<void>(tracker.Take(4));
  }
  for (std::uint64_t i = 0; i < 4; ++i) {
    CHECK(tracker.UpperBound(KeyHash(i)) == 0);
    CHECK(tracker.UpperBound(KeyHash(100 + i)) > 0);
  }
}

TEST_CASE("A tracker without requests removes its counters") {
  HotKeyTracker tracker(16);
  tracker.Count(KeyHash(1));
  tracker.Count(KeyHash(1));
  CHECK(tracker.Take(16).size() == 1);
  CHECK(tracker.Take(16).empty());
  CHECK(tracker.size() == 0);
}

TEST_CASE("Merging adds up the counts of all daemons") {
  const std::vector<std::vector<HotKeyCount>> parts = {
      {{KeyHash(1), 5}, {KeyHash(2), 4}},
      {{KeyHash(2), 3}, {KeyHash(3), 1}},
  };
  const auto merged = MergeHotKeys(parts, 2);
  REQUIRE(merged.size() == 2);
  CHECK(merged[0] == HotKeyCount{KeyHash(2), 7});
  CHECK(merged[1] == HotKeyCount{KeyHash(1), 5});
}

}  // namespace
}  // namespace gentianreach
