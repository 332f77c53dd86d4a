#include "base/log.h"

#include <chrono>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

TEST_CASE("a value cannot forge a second line or key-value pair") {
  CHECK(FormatFields("request", {{"target", "/a\nlevel=error event=x"}}) ==
        "event=request target=\"/a level=error event=x\"");
  CHECK(FormatFields("request", {{"agent", "say \"hi\""}}) ==
        "event=request agent=\"say \\\"hi\\\"\"");
}

TEST_CASE("a long value does not displace the others") {
  const std::string name = std::string(1'000'000, 'n');
  const std::string line = FormatFields("x", {{"name", name}, {"ms", 12}});
  CHECK(line.size() < 1100);
  CHECK(line.ends_with("n... ms=12"));
  // Characters are not cut.
  std::string accents = "a";
  for (int i = 0; i < 1000; ++i) {
    accents += "\u00e9";
  }
  const std::string cut = FormatFields("x", {{"name", accents}});
  CHECK(cut.find("\u00e9...") != std::string::npos);
}

TEST_CASE("plain values are not quoted") {
  CHECK(FormatFields("renewed", {{"server", "s1"}, {"ms", 12}, {"ok", true}}) ==
        "event=renewed server=s1 ms=12 ok=true");
}

TEST_CASE("a time that has passed is 0 ms away") {
  const TimePoint begin(std::chrono::seconds(1));
  const TimePoint end = begin + std::chrono::microseconds(2900);
  CHECK(MillisecondsBetween(begin, end) == 2);
  CHECK(MillisecondsBetween(end, begin) == 0);
}

TEST_CASE("only the four level names are parsed as levels") {
  CHECK(ParseLogLevel("warning") == LogLevel::kWarning);
  CHECK_FALSE(ParseLogLevel("loud").has_value());
}

}  // namespace
}  // namespace gentianreach
