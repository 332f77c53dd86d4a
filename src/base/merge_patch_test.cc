#include "base/merge_patch.h"

#include <vector>

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

using nlohmann::json;

TEST_CASE("applying the patch to the first value gives the second") {
  const std::vector<json> without_null = {
      json::object(),
      {{"a", 1}},
      {{"a", 2}, {"b", {1, 2, 3}}},
      {{"a", {{"x", 1}, {"y", {{"z", true}}}}}, {"b", {1, 2}}},
      {{"a", {{"y", {{"z", false}}}}}},
      {{"a", {{"y", 5}}}},
  };
  std::vector<json> values = without_null;
  values.push_back({{"a", {{"y", nullptr}}}});
  values.push_back({{"b", nullptr}, {"a", 1}});
  for (const json& from : values) {
    for (const json& to : without_null) {
      const auto patch = MakeMergePatch(from, to);
      REQUIRE(patch.has_value());
      json patched = from;
      patched.merge_patch(*patch);
      CHECK(patched == to);
    }
  }
}

TEST_CASE("a patch contains only changed members") {
  json from;
  for (int i = 0; i < 100; ++i) {
    from["r" + std::to_string(i)] = {i, "server"};
  }
  json to = from;
  to["r7"] = {7, "other"};
  to.erase("r8");
  CHECK(MakeMergePatch(from, to) ==
        json{{"r7", {7, "other"}}, {"r8", nullptr}});
}

TEST_CASE("no patch exists that sets a member to null") {
  CHECK_FALSE(MakeMergePatch({{"a", 1}}, {{"a", nullptr}}).has_value());
  CHECK_FALSE(
      MakeMergePatch({{"a", 1}}, {{"a", {{"b", nullptr}}}}).has_value());
  // An existing null member that does not change is allowed.
  CHECK(MakeMergePatch({{"a", nullptr}}, {{"a", nullptr}, {"b", 1}}) ==
        json{{"b", 1}});
}

}  // namespace
}  // namespace gentianreach
