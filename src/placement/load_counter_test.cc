#include "placement/load_counter.h"

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

TEST_CASE("A report contains the requests of its window by range and hot key") {
  const ServiceName service("boats");
  LoadCounter counter(TimePoint{});
  const HashRange lower{KeyHash(0), KeyHash(99)};
  const HashRange upper{KeyHash(100), KeyHash(199)};
  for (int i = 0; i < 30; ++i) {
    counter.Count(service, lower, KeyHash(5));
  }
  counter.Count(service, upper, KeyHash(150));
  const auto report = counter.Take(TimePoint{std::chrono::seconds(2)});
  CHECK(report.window_ms == 2000);
  std::uint64_t requests = 0;
  for (const auto& it : report.ranges) {
    CHECK(it->service == "boats");
    CHECK(it->requests == (it->first == 0 ? 30 : 1));
    CHECK(it->last == it->first + 99);
    requests += it->requests;
  }
  CHECK(requests == 31);
  REQUIRE(report.hot_keys.size() == 1);
  CHECK(report.hot_keys[0]->hash == 5);
  CHECK(report.hot_keys[0]->requests == 30);
}

TEST_CASE(
    "A report omits keys requested once, and the next window begins empty") {
  const ServiceName service("boats");
  LoadCounter counter(TimePoint{});
  for (std::uint64_t i = 0; i < 1000; ++i) {
    counter.Count(service, HashRange{}, KeyHash(i));
  }
  CHECK(counter.Take(TimePoint{std::chrono::seconds(1)}).hot_keys.empty());
  const auto next = counter.Take(TimePoint{std::chrono::seconds(2)});
  CHECK(next.ranges.empty());
  CHECK(next.hot_keys.empty());
}

}  // namespace
}  // namespace gentianreach
