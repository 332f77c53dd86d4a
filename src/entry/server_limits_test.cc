#include "entry/server_limits.h"

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

const ServerId kServer("s1");

TEST_CASE("ParseLimit accepts exactly one decimal number") {
  CHECK(ParseLimit("21.5") == 21.5);
  CHECK(ParseLimit("3") == 3);
  CHECK(ParseLimit("0") == 0);
  for (const char* it : {"", "-1", "-0", "nan", "inf", "3/s", " 3", "3,5"}) {
    CHECK_MESSAGE(!ParseLimit(it), it);
  }
}

TEST_CASE("Set and Clear tell whether the limit has changed") {
  ServerLimits limits;
  CHECK(limits.Set(kServer, 3));
  CHECK_FALSE(limits.Set(kServer, 3));
  CHECK(limits.Set(kServer, 4));
  CHECK(limits.size() == 1);
  CHECK(limits.Clear(kServer));
  CHECK_FALSE(limits.Clear(kServer));
  CHECK(limits.size() == 0);
}

}  // namespace
}  // namespace gentianreach::entry
