// libFuzzer target: no text may crash the parser, and a text that passes the
// checks must still pass them after a merge with itself and after an edit.
// Build with
//   clang++ -std=c++20 -fsanitize=fuzzer,address ...
// (docs/design/settings.md).

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gentianreach/check.h"
#include "gentianreach/settings.h"
#include "settings/edit.h"
#include "settings/stored_version.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace gentianreach::settings;  // NOLINT
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  static_cast<void>(Decode(text));
  const LoadResult loaded = LoadSettings(text, "fuzz");
  GENTIANREACH_CHECK(loaded.ok() == loaded.errors.empty());
  if (!loaded.ok()) {
    return 0;
  }
  GENTIANREACH_CHECK(Compare(text, text).empty());
  const MergeResult merge = Merge(text, text, text);
  GENTIANREACH_CHECK(merge.text && LoadSettings(*merge.text, "fuzz").ok());
  const std::string edited = SetValue(text, "limits/max_header", "32KiB");
  GENTIANREACH_CHECK(LoadSettings(edited, "fuzz").ok());
  return 0;
}
