#include "keyspace/ownership_table.h"

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

Owner OwnerOf(const char* id, std::uint64_t token) {
  return {ServerId(id), Incarnation(3), Token(token)};
}

OwnershipTable Sample() {
  OwnershipTable table;
  table.epoch = Epoch(4);
  table.next_token = Token(9);
  table.ranges = {{{0, 99}, OwnerOf("a", 1), {}},
                  {{100, 199}, OwnerOf("b", 8), {OwnerOf("a", 1)}},
                  {{200, kKeyCount - 1}, OwnerOf("a", 1), {}}};
  return table;
}

TEST_CASE("a table is read as it was written") {
  CHECK(DecodeTable(EncodeTable(Sample())) == Sample());
}

TEST_CASE("a table with a gap, or another thing, is not read") {
  OwnershipTable gap = Sample();
  gap.ranges.pop_back();
  CHECK_FALSE(DecodeTable(EncodeTable(gap)).has_value());
  CHECK_FALSE(DecodeTable(nlohmann::json("text")).has_value());
  // An owner that is none, and a range whose name is no key.
  auto content = EncodeTable(Sample());
  content["ranges"]["00000"][1] = 17;
  CHECK_FALSE(DecodeTable(content).has_value());
  content = EncodeTable(Sample());
  content["ranges"]["x"] = content["ranges"]["00000"];
  CHECK_FALSE(DecodeTable(content).has_value());
}

TEST_CASE("the range of a key is found at its ends") {
  const OwnershipTable table = Sample();
  CHECK(table.Find(0).owner.server == ServerId("a"));
  CHECK(table.Find(100).owner.server == ServerId("b"));
  CHECK(table.Find(199).moving());
  CHECK(table.Find(kKeyCount - 1).range.first == 200);
}

TEST_CASE("neighbours of one owner are joined unless they move") {
  OwnershipTable table = Sample();
  table.JoinNeighbours();
  CHECK(table.ranges.size() == 3);
  table.ranges[1] = {{100, 199}, OwnerOf("a", 1), {}};
  table.JoinNeighbours();
  REQUIRE(table.ranges.size() == 1);
  CHECK(table.ranges[0].range == KeyRange{0, kKeyCount - 1});
}

}  // namespace
}  // namespace gentianreach::keyspace
