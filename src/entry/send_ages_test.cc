#include "entry/send_ages.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

TEST_CASE("sends are counted by source and by the age of the entries") {
  SendAges ages;
  CHECK(ages.Take().empty());
  ages.Record("leader", milliseconds(20));
  ages.Record("leader", milliseconds(500));
  ages.Record("leader", milliseconds(501));
  ages.Record("store", milliseconds(2501));
  CHECK(ages.Take() == "leader<=500:2,leader<=1000:1,store>2500:1");
  CHECK(ages.Take().empty());
}

}  // namespace
}  // namespace gentianreach::entry
