#include "entry/member_count.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

TEST_CASE("a large number is assumed until the first report") {
  MemberCount count;
  CHECK(count.value() > 50);
  count.Set(1, kStart);
  CHECK(count.value() == 1);
}

TEST_CASE("a larger number takes effect immediately") {
  MemberCount count;
  count.Set(12, kStart);
  CHECK(count.value() == 12);
  count.Set(60, kStart);
  CHECK(count.value() == 60);
  count.Set(63, kStart + seconds(1));
  CHECK(count.value() == 63);
}

TEST_CASE("a smaller number takes effect only after it has lasted") {
  MemberCount count;
  count.Set(60, kStart);
  count.Set(13, kStart + seconds(1));
  count.Set(13, kStart + seconds(9));
  CHECK(count.value() == 60);
  // The larger number is reported again, so the smaller one did not last.
  count.Set(60, kStart + seconds(9));
  count.Set(13, kStart + seconds(12));
  CHECK(count.value() == 60);
  count.Set(13, kStart + seconds(19));
  CHECK(count.value() == 13);
}

}  // namespace
}  // namespace gentianreach::entry
