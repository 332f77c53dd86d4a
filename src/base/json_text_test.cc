#include "base/json_text.h"

#include <string>

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

using nlohmann::json;

std::string Nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') +
         std::string(static_cast<std::size_t>(depth), ']');
}

TEST_CASE("text that is not JSON in UTF-8 is not parsed") {
  CHECK(ParseJson(R"({"a":[1,"\u00e4"]})") == json{{"a", {1, "\u00e4"}}});
  for (const std::string& it :
       {std::string(), std::string("{"), std::string("1e400"),
        std::string(R"("\ud83d")"), std::string("\"\xe2\x82\""),
        std::string("\"\xed\xa0\xbd\""), std::string("\"a\0\"", 4),
        std::string("[1] [2]")}) {
    CAPTURE(it);
    CHECK_FALSE(ParseJson(it).has_value());
  }
}

TEST_CASE("text is written of values with bytes that are not UTF-8") {
  CHECK(ToJsonText({{"a", {1, "\u00e4"}}}) == "{\"a\":[1,\"\u00e4\"]}");
  for (const std::string& it :
       {std::string("5c0\xc5") + "a7", std::string("\xe2\x82"),
        std::string("\xed\xa0\xbd"), std::string("a\0b", 3)}) {
    CAPTURE(it);
    CHECK(ParseJson(ToJsonText({{it, it}})).has_value());
  }
}

TEST_CASE("values that are nested too deeply are not parsed") {
  CHECK(ParseJson(Nested(64)).has_value());
  CHECK_FALSE(ParseJson(Nested(65)).has_value());
  CHECK_FALSE(ParseJson(Nested(1'000'000)).has_value());
  // Brackets in strings are not nested values.
  CHECK(ParseJson('"' + Nested(1000) + '"').has_value());
}

TEST_CASE("objects and arrays are split into the texts of their values") {
  const auto members =
      SplitJson(" {\"a\" : [1, {\"b\": 2}] , \"c\\\"\": \"},]\\\"\" } ");
  REQUIRE(members.has_value());
  REQUIRE(members->size() == 2);
  CHECK((*members)[0].name == "a");
  CHECK((*members)[0].value == "[1, {\"b\": 2}]");
  CHECK((*members)[1].name == "c\"");
  CHECK((*members)[1].value == "\"},]\\\"\"");
  const auto elements = SplitJson("[\"\\ud83d\",{},[1,2],1e400]");
  REQUIRE(elements.has_value());
  REQUIRE(elements->size() == 4);
  CHECK((*elements)[0].value == "\"\\ud83d\"");
  CHECK((*elements)[3].value == "1e400");
  CHECK(SplitJson("[]")->empty());
  CHECK(SplitJson("{}")->empty());
}

TEST_CASE("members whose name cannot be parsed are left out") {
  const auto members = SplitJson("{\"\\ud83d\":1,2:3,4,\"a\":5}");
  REQUIRE(members.has_value());
  REQUIRE(members->size() == 1);
  CHECK((*members)[0].name == "a");
}

TEST_CASE("text whose brackets or quotes do not match is not split") {
  for (const char* it : {"", "1", "\"a\"", "{", "[", "[}", "{\"a\":[}", "{\"a",
                         "{\"a\\", "[1]]", "[1] 2", "]", "{\"a\":\"b\\\"}"}) {
    CAPTURE(it);
    CHECK_FALSE(SplitJson(it).has_value());
  }
}

TEST_CASE("a member is found by its name") {
  CHECK(JsonMember(R"({"a":1,"b":{"a":2}})", "b") == R"({"a":2})");
  CHECK(JsonMember(R"({"a":1,"\u0061":2})", "a") == "2");
  CHECK(JsonMember(R"({"a":1})", "b").empty());
  CHECK(JsonMember("", "b").empty());
}

}  // namespace
}  // namespace gentianreach
