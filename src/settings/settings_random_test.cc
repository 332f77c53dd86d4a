// Tests inheritance on random texts: a text gives the same tree as its
// flattened form, in which every branch sets all its inherited keys itself.
#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string>

#include "gentianreach/settings.h"
#include "settings/document.h"
#include "settings/schema.h"

namespace gentianreach::settings {
namespace {

class TreeWriter {
 public:
  explicit TreeWriter(unsigned seed) : random_(seed) {}

  // Returns a settings text with random branches of up to four path components.
  std::string Write() {
    std::string text = "[services]\n" + Keys("services");
    text += "[services/a]\n" + Keys("services");
    text += "[routes]\nservice = a\n" + Keys("routes");
    for (const char* const path : {"x", "x/p", "x/q", "x/q/r", "x/q/s", "y"}) {
      if (Pick(4) == 0) {
        continue;
      }
      text += "[routes/" + std::string(path) + "]\n" + Keys("routes");
      // Distinct prefixes, so that no route covers another one.
      text += "path_prefix = /" + std::to_string(++prefixes_) + "/\n";
    }
    return text;
  }

 private:
  int Pick(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

  std::string Keys(std::string_view section) {
    std::string text;
    for (const Key& it : FindSection(section)->Keys()) {
      if (Pick(3) != 0) {
        continue;
      }
      if (it.name() == "slots") {
        text += "slots = " + std::to_string(1 + Pick(100)) + "\n";
      }
      if (it.name() == "warm_up" || it.name() == "max_deadline") {
        text += std::string(it.name()) + " = " + std::to_string(30 + Pick(60)) +
                "s\n";
      }
      if (it.name() == "idempotent" || it.name() == "checks_giver") {
        text += std::string(it.name()) + (Pick(2) ? " = true\n" : " = false\n");
      }
      if (it.name() == "max_body") {
        text += "max_body = " + std::to_string(Pick(64)) + "KiB\n";
      }
      if (it.name() == "host") {
        text += "host = h" + std::to_string(Pick(3)) + "\n";
      }
    }
    return text;
  }

  std::mt19937 random_;
  int prefixes_ = 0;
};

std::string Flatten(std::string_view text) {
  std::vector<SettingsError> errors;
  const Document doc = Document::Parse(text, "", &errors);
  std::string flat;
  for (const Branch& it : doc.branches()) {
    if (doc.HasChildren(it.path)) {
      continue;
    }
    flat += "[" + it.path + "]\n";
    for (const Key& key : FindSection(RootOf(it.path))->Keys()) {
      if (const auto found = doc.Lookup(it.path, key.name())) {
        flat += std::string(key.name()) + " = " + found->entry->value + "\n";
      }
    }
  }
  return flat;
}

std::string Packed(const TreeT& tree) {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(Tree::Pack(fbb, &tree));
  return {reinterpret_cast<const char*>(fbb.GetBufferPointer()), fbb.GetSize()};
}

TEST_CASE("a nested text gives the same tree as its flattened form") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    const std::string text = TreeWriter(seed).Write();
    CAPTURE(text);
    const LoadResult nested = LoadSettings(text, "nested");
    const LoadResult flat = LoadSettings(Flatten(text), "flat");
    REQUIRE(nested.ok());
    REQUIRE(flat.ok());
    CHECK(Packed(*nested.tree) == Packed(*flat.tree));
  }
}

}  // namespace
}  // namespace gentianreach::settings
