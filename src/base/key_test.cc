#include "gentianreach/key.h"

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

TEST_CASE("a key has the same position in every process") {
  // Positions are stored and compared across versions of the program, so the
  // hash must not change.
  CHECK(HashKey(ServiceName("catalogue"), "praline-7").value() ==
        HashKey(ServiceName("catalogue"), "praline-7").value());
  CHECK(HashKey(ServiceName("catalogue"), "praline-7") !=
        HashKey(ServiceName("boats"), "praline-7"));
}

TEST_CASE("a range includes both ends") {
  const HashRange range{KeyHash(10), KeyHash(20)};
  CHECK(range.Contains(KeyHash(10)));
  CHECK(range.Contains(KeyHash(20)));
  CHECK_FALSE(range.Contains(KeyHash(21)));
  CHECK(range.Overlaps({KeyHash(20), KeyHash(30)}));
  CHECK_FALSE(range.Overlaps({KeyHash(21), KeyHash(30)}));
}

TEST_CASE("the whole space has a share of one") {
  CHECK(HashRange{}.Share() == doctest::Approx(1.0));
}

}  // namespace
}  // namespace gentianreach
