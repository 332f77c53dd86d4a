#include "entry/leader_record.h"

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

TEST_CASE("a leader record with earlier leaders is read as it was written") {
  const LeaderRecord record{
      Epoch(7),
      {"c", Incarnation(3), "c:1"},
      {{"a", Incarnation(1), "a:1"}, {"b", Incarnation(2), "b:1"}}};
  CHECK(DecodeLeader(EncodeLeader(record)) == record);
}

TEST_CASE("a record of a version without earlier leaders lists none") {
  const auto record = DecodeLeader(
      {{"epoch", 7}, {"name", "a"}, {"life", 1}, {"address", "a:1"}});
  REQUIRE(record);
  CHECK(record->leader.name == "a");
  CHECK(record->earlier_leaders.empty());
}

TEST_CASE("a record with an unreadable earlier leader is refused") {
  CHECK_FALSE(DecodeLeader({{"epoch", 7},
                            {"name", "a"},
                            {"life", 1},
                            {"address", "a:1"},
                            {"earlier", {{{"name", "b"}}}}}));
}

}  // namespace
}  // namespace gentianreach::entry
