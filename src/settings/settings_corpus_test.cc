// Malformed and unusual texts, including ones on which the parser failed
// before; the example files in docs/examples; and the table of keys in
// docs/SETTINGS.md.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "gentianreach/settings.h"
#include "settings/edit.h"
#include "settings/schema.h"
#include "settings/stored_version.h"

namespace gentianreach::settings {
namespace {

std::string ReadDoc(const std::string& name) {
  const auto root =
      std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
  std::ifstream file(root / "docs" / name, std::ios::binary);
  REQUIRE(file.good());
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST_CASE("the example files in docs pass all checks") {
  for (const char* const it :
       {"examples/muestradulce.ini", "examples/rabljena-barka.ini"}) {
    const LoadResult result = LoadSettings(ReadDoc(it), it);
    for (const SettingsError& error : result.errors) {
      MESSAGE(ToString(error));
    }
    REQUIRE(result.ok());
    CHECK(result.tree->services.size() == 3);
    CHECK(result.tree->routes.size() >= 5);
  }
}

TEST_CASE("docs/SETTINGS.md lists every key with type, default and range") {
  const std::string page = ReadDoc("SETTINGS.md");
  for (const std::string& section : SectionNames()) {
    for (const Key& it : FindSection(section)->Keys()) {
      const std::string type = it.TypeName();
      const std::string row =
          "| `" + std::string(it.name()) + "` | " + type + " | " +
          (it.DefaultText().empty() ? "" : "`" + it.DefaultText() + "`") +
          " | " + it.RangeText() + " |";
      CAPTURE(row);
      CHECK(page.find(row) != std::string::npos);
    }
  }
}

TEST_CASE("malformed texts do not crash the parser") {
  const std::string deep = "[" + std::string(10'000, 'a') + "]\n";
  std::string many_components = "[a";
  for (int i = 0; i < 5000; ++i) {
    many_components += "/a";
  }
  const std::string texts[] = {
      std::string("\0\n[\0]\n\0=\0", 9),
      "[",
      "]",
      "[]",
      "[/]",
      "[a/]",
      "[services//a]\n",
      "=",
      "a=",
      "[services]\n=1\n",
      "[services]\nslots=\n",
      "[services]\nslots=99999999999999999999999\n",
      "[cell]\nlease=18446744073709551615h\n",
      "[cell]\nclock_drift=nan\n",
      "[cell]\nclock_drift=1e999\n",
      "[routes/a]\nservice=a\n[routes/a/b]\n[services/a/b]\n",
      "[places/a]\nincludes=a\n[services/s]\nzones=a\n",
      "\xff\xfe[services]\r\nslots = 3\r\n",
      deep,
      many_components + "]\n",
      std::string(kMaxTextBytes + 1, '\n'),
  };
  for (const std::string& it : texts) {
    const LoadResult result = LoadSettings(it, "corpus");
    CHECK(result.ok() == result.errors.empty());
    static_cast<void>(Compare(it, it));
    static_cast<void>(Merge(it, "", it));
    CHECK_FALSE(Decode(it));
  }
}

TEST_CASE("a text with CRLF line ends is parsed like one with LF") {
  const LoadResult result =
      LoadSettings("[limits]\r\nmax_header = 2KiB\r\n", "");
  REQUIRE(result.ok());
  CHECK(result.tree->limits->max_header == 2048);
}

}  // namespace
}  // namespace gentianreach::settings
