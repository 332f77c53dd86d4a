#include "base/gzip.h"

#include <string>

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

constexpr std::size_t kMaxBytes = 1 << 20;

std::string Text() {
  std::string text;
  for (int i = 0; i < 5000; ++i) {
    text += "server " + std::to_string(i) + "\n";
  }
  return text;
}

TEST_CASE(
    "a compressed text can be restored, and repetition makes it smaller") {
  const std::string text = Text();
  const std::string data = Compress(text);
  CHECK(data.size() * 3 < text.size());
  CHECK(Decompress(data, kMaxBytes) == text);
  CHECK(Decompress(Compress(""), kMaxBytes) == "");
}

TEST_CASE("decompression fails for corrupt, truncated or too long data") {
  const std::string data = Compress(Text());
  CHECK_FALSE(Decompress("not compressed", kMaxBytes).has_value());
  CHECK_FALSE(
      Decompress(data.substr(0, data.size() / 2), kMaxBytes).has_value());
  std::string damaged = data;
  damaged[damaged.size() / 2] ^= 0x55;
  CHECK_FALSE(Decompress(damaged, kMaxBytes).has_value());
  CHECK_FALSE(Decompress(data, 1000).has_value());
}

}  // namespace
}  // namespace gentianreach
