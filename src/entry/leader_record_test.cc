#include "entry/leader_record.h"

#include <chrono>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace gentianreach::entry {
namespace {

TEST_CASE("a leader record with earlier leaders is read as it was written") {
  const LeaderRecord record{
      Epoch(7),
      {"c", Incarnation(3), "c:1"},
      {{"a", Incarnation(1), "a:1"}, {"b", Incarnation(2), "b:1"}}};
  CHECK(DecodeLeader(EncodeLeader(record)) == record);
}

TEST_CASE("a record of a version without earlier leaders may lack some") {
  const auto record = DecodeLeader(nlohmann::json::parse(
      R"({"name":"a","life":1,"address":"a:1","epoch":7})"));
  REQUIRE(record);
  CHECK(record->epoch == Epoch(7));
  CHECK(record->leader == Member{"a", Incarnation(1), "a:1"});
  CHECK(record->earlier_leaders == std::vector<Member>{Member{}});
  CHECK(DecodeLeader(EncodeLeader(*record)) == record);
}

TEST_CASE("a record with an unreadable earlier leader is refused") {
  CHECK_FALSE(DecodeLeader({{"epoch", 7},
                            {"name", "a"},
                            {"life", 1},
                            {"address", "a:1"},
                            {"earlier", {{{"name", "b"}}}}}));
}

TEST_CASE("a leader record has the requests that the leader refuses") {
  const LeaderRecord record{Epoch(7), {"c", Incarnation(3), "c:1"}};
  const TimePoint now(std::chrono::seconds(500));
  const Fingerprint fingerprint{0xfedcba9876543210};
  const auto content = EncodeLeader(
      record, {{fingerprint, now - std::chrono::seconds(20)}}, now);
  CHECK(DecodeLeader(content) == record);
  const TimePoint later = now + std::chrono::seconds(100);
  const auto refused = DecodeRefused(content, later);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].fingerprint == fingerprint);
  // Its age counts from when it was written, which was before it was read.
  CHECK(refused[0].lost_at < later - std::chrono::seconds(20));
  CHECK(refused[0].lost_at > later - std::chrono::seconds(30));
}

TEST_CASE("a leader record without refused requests is as it was before") {
  const LeaderRecord record{Epoch(7), {"c", Incarnation(3), "c:1"}};
  CHECK_FALSE(EncodeLeader(record).contains("refused"));
  CHECK(DecodeRefused(EncodeLeader(record), {}).empty());
}

TEST_CASE("refused requests that cannot be decoded are left out") {
  using nlohmann::json;
  CHECK(DecodeRefused(nullptr, {}).empty());
  CHECK(DecodeRefused({{"refused", 7}}, {}).empty());
  CHECK(DecodeRefused({{"refused", {{{"fingerprint", 7}}}}}, {}).empty());
  const json damaged = {{{"fingerprint", "xyz"}, {"age_ms", 5}},
                        {{"fingerprint", "1f"}, {"age_ms", 5}},
                        {{"fingerprint", "20"}}};
  const auto refused = DecodeRefused({{"refused", damaged}}, {});
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].fingerprint == Fingerprint{0x1f});
}

}  // namespace
}  // namespace gentianreach::entry
