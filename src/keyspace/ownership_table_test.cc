#include "keyspace/ownership_table.h"

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

Owner OwnerOf(const char* id, std::uint64_t token) {
  return {ServerId(id), Incarnation(3), Token(token)};
}

OwnershipTable MakeTable() {
  OwnershipTable table;
  table.epoch = Epoch(4);
  table.next_token = Token(9);
  table.ranges = {{{0, 99}, OwnerOf("a", 1), {}},
                  {{100, 199}, OwnerOf("b", 8), {OwnerOf("a", 1)}},
                  {{200, kKeyCount - 1}, OwnerOf("a", 1), {}}};
  return table;
}

TEST_CASE("decoding an encoded table returns the same table") {
  CHECK(DecodeTable(EncodeTable(MakeTable())) == MakeTable());
}

TEST_CASE("content with a gap or an invalid owner or key is not decoded") {
  OwnershipTable gap = MakeTable();
  gap.ranges.pop_back();
  CHECK_FALSE(DecodeTable(EncodeTable(gap)).has_value());
  CHECK_FALSE(DecodeTable(nlohmann::json("text")).has_value());
  // An owner of the wrong type, and a range whose name is not a key.
  auto content = EncodeTable(MakeTable());
  content["ranges"]["00000"][1] = 17;
  CHECK_FALSE(DecodeTable(content).has_value());
  content = EncodeTable(MakeTable());
  content["ranges"]["x"] = content["ranges"]["00000"];
  CHECK_FALSE(DecodeTable(content).has_value());
}

TEST_CASE("Find returns the range of its first and last key") {
  const OwnershipTable table = MakeTable();
  CHECK(table.Find(0).owner.server == ServerId("a"));
  CHECK(table.Find(100).owner.server == ServerId("b"));
  CHECK(table.Find(199).moving());
  CHECK(table.Find(kKeyCount - 1).range.first == 200);
}

TEST_CASE(
    "adjacent ranges with the same owner are merged unless they are moving") {
  OwnershipTable table = MakeTable();
  table.MergeAdjacentRanges();
  CHECK(table.ranges.size() == 3);
  table.ranges[1] = {{100, 199}, OwnerOf("a", 1), {}};
  table.MergeAdjacentRanges();
  REQUIRE(table.ranges.size() == 1);
  CHECK(table.ranges[0].range == KeyRange{0, kKeyCount - 1});
}

}  // namespace
}  // namespace gentianreach::keyspace
