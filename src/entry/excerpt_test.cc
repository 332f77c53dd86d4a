#include "entry/excerpt.h"

#include <string>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

TEST_CASE("an excerpt of an unreadable object is bounded and printable") {
  CHECK(Excerpt(nullptr) == "null");
  CHECK(Excerpt({{"name", "\u00e9\xff"}}) == R"({"name":"\u00e9\ufffd"})");
  CHECK(Excerpt(std::string(5000, 'x')).size() == 200);
}

}  // namespace
}  // namespace gentianreach::entry
