#include "ctl/explain_lines.h"

#include <sstream>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach::ctl {
namespace {

bool Has(const std::vector<std::string>& lines, const std::string& text) {
  for (const std::string& it : lines) {
    if (it.find(text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

TEST_CASE("a line is read with quoted values and what collectors add before") {
  const auto line = ParseLogLine(
      R"(d1 | time=2026-01-01T00:00:00 level=info event=order error="a \"b\" c" ms=3)");
  REQUIRE(line.has_value());
  CHECK(line->at("event") == "order");
  CHECK(line->at("error") == R"(a "b" c)");
  CHECK(line->at("ms") == "3");
  CHECK_FALSE(ParseLogLine("no pairs here").has_value());
  CHECK_FALSE(ParseLogLine("level=info ms=3").has_value());
}

TEST_CASE("a request's lines come with what was believed of its servers") {
  std::istringstream in(R"(time=1 event=config_in_force version=7
time=2 event=server server=s1 service=boats draining=false
time=2 event=server server=s9 service=notes draining=false
time=3 event=server_removed server=s1
time=4 event=order kind=grant service=boats server=s2 keys=0-99 token=5 outcome=unknown
time=4 event=order kind=grant service=boats server=s3 keys=100-199 token=6 outcome=done
time=5 event=attempt_failed request=r1 server=s1 result=broken may_have_run=true
time=5 event=attempt_failed request=r2 server=s9 result=broken
time=6 event=request request=r1 service=boats key=50 server=s1 may_have_run=true status=502 outcome=connection-lost
time=7 event=server_removed server=s1 revision=99
)");
  const auto story = ExplainRequest(in, "r1");
  REQUIRE(story.has_value());
  CHECK(story->lines.size() == 2);
  CHECK(Has(story->context, "version=7"));
  CHECK(Has(story->context, "event=server_removed server=s1"));
  CHECK(Has(story->context, "keys=0-99"));
  CHECK_FALSE(Has(story->context, "keys=100-199"));
  CHECK_FALSE(Has(story->context, "s9"));
  CHECK_FALSE(Has(story->context, "revision=99"));
  CHECK(story->summary.find("502") != std::string::npos);
  CHECK(story->summary.find("attempt_failed") != std::string::npos);
}

TEST_CASE("a request that no line names is not explained") {
  std::istringstream in("time=1 event=config_in_force version=7\n");
  CHECK_FALSE(ExplainRequest(in, "r1").has_value());
}

}  // namespace
}  // namespace gentianreach::ctl
