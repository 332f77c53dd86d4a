#include "settings/edit.h"

#include <doctest/doctest.h>

namespace gentianreach::settings {
namespace {

constexpr std::string_view kBase =
    "# boats\n"
    "[services/boats]\n"
    "slots = 3\n"
    "; keep\n"
    "[routes/a]\n"
    "service = boats\n"
    "[limits]\n"
    "max_header = 16KiB";

TEST_CASE("SetValue keeps comments and the order of branches") {
  CHECK(SetValue("[a]\n# why\nk = 1\nl = 2\n", "a/k", "5") ==
        "[a]\n# why\nk = 5\nl = 2\n");
  CHECK(SetValue("[a]\nk = 1\n[b]\n", "a/l", "2") ==
        "[a]\nk = 1\nl = 2\n[b]\n");
  CHECK(SetValue("[a]\nk = 1", "a/l", "2") == "[a]\nk = 1\nl = 2\n");
  CHECK(SetValue("[a]", "b/c/k", "2") == "[a]\n[b/c]\nk = 2\n");
}

TEST_CASE("Compare reports changed keys and added and removed branches") {
  const auto list = Compare("[a]\nk = 1\nl = 2\n[b]\n", "[a]\nk = 3\n[c]\n");
  REQUIRE(list.size() == 4);
  CHECK(list[0] == Difference{"a/k", "1", "3"});
  CHECK(list[1] == Difference{"[c]", std::nullopt, ""});
  CHECK(list[2] == Difference{"a/l", "2", std::nullopt});
  CHECK(list[3] == Difference{"[b]", "", std::nullopt});
}

TEST_CASE("changes to different branches are merged") {
  const std::string theirs = SetValue(kBase, "services/boats/slots", "4");
  std::string mine = SetValue(kBase, "limits/max_header", "32KiB");
  mine = SetValue(mine, "routes/b/service", "boats");
  const MergeResult merge = Merge(kBase, theirs, mine);
  REQUIRE(merge.text);
  std::string both = SetValue(theirs, "limits/max_header", "32KiB");
  both = SetValue(both, "routes/b/service", "boats");
  CHECK(*merge.text == both);
}

TEST_CASE("a merged new branch follows the branch that it followed in mine") {
  const std::string mine =
      "[routes/a]\n[routes/new]\nservice = x\n[routes/c]\n";
  const std::string base = "[routes/a]\n[routes/c]\n";
  const std::string theirs = "[routes/a]\n[routes/c]\nservice = y\n";
  CHECK(Merge(base, theirs, mine).text ==
        "[routes/a]\n[routes/new]\nservice = x\n[routes/c]\nservice = y\n");
}

TEST_CASE("a branch removed in mine is removed by the merge") {
  const std::string theirs = SetValue(kBase, "limits/max_header", "32KiB");
  const std::string mine =
      "# boats\n[services/boats]\nslots = 3\n; keep\n"
      "[limits]\nmax_header = 16KiB\n";
  CHECK(Merge(kBase, theirs, mine).text ==
        "# boats\n[services/boats]\nslots = 3\n; keep\n"
        "[limits]\nmax_header = 32KiB\n");
}

TEST_CASE("different changes to the same branch conflict") {
  const std::string theirs = SetValue(kBase, "services/boats/slots", "4");
  const std::string mine = SetValue(kBase, "services/boats/connections", "9");
  const MergeResult merge = Merge(kBase, theirs, mine);
  CHECK_FALSE(merge.text);
  CHECK(merge.conflicts == std::vector<std::string>{"services/boats"});
  CHECK(Merge(kBase, theirs, theirs).text == theirs + "\n");
}

TEST_CASE("a changed order of branches conflicts") {
  const MergeResult merge =
      Merge("[routes/a]\n[routes/b]\n", "[routes/a]\n[routes/b]\nservice = x\n",
            "[routes/b]\n[routes/a]\n");
  CHECK_FALSE(merge.text);
  CHECK(merge.conflicts.size() == 1);
}

}  // namespace
}  // namespace gentianreach::settings
