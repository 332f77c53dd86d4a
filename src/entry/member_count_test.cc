#include "entry/member_count.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

TEST_CASE("many are assumed until the number is known") {
  MemberCount count;
  CHECK(count.value() > 50);
  count.Set(1, kStart);
  CHECK(count.value() == 1);
}

TEST_CASE("a rise counts at once") {
  MemberCount count;
  count.Set(12, kStart);
  CHECK(count.value() == 12);
  count.Set(60, kStart);
  CHECK(count.value() == 60);
  count.Set(63, kStart + seconds(1));
  CHECK(count.value() == 63);
}

TEST_CASE("a fall counts only when it has lasted") {
  MemberCount count;
  count.Set(60, kStart);
  count.Set(13, kStart + seconds(1));
  count.Set(13, kStart + seconds(9));
  CHECK(count.value() == 60);
  // The members are back: the fall did not last.
  count.Set(60, kStart + seconds(9));
  count.Set(13, kStart + seconds(12));
  CHECK(count.value() == 60);
  count.Set(13, kStart + seconds(19));
  CHECK(count.value() == 13);
}

}  // namespace
}  // namespace gentianreach::entry
