#include "ctl/explain_lines.h"

#include <sstream>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach::ctl {
namespace {

bool ContainsText(const std::vector<std::string>& lines,
                  const std::string& text) {
  for (const std::string& it : lines) {
    if (it.find(text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

TEST_CASE(
    "quoted values are parsed and the prefix of a log collector is skipped") {
  const auto line = ParseLogLine(
      R"(d1 | time=2026-01-01T00:00:00 level=info event=order error="a \"b\" c" ms=3)");
  REQUIRE(line.has_value());
  CHECK(line->at("event") == "order");
  CHECK(line->at("error") == R"(a "b" c)");
  CHECK(line->at("ms") == "3");
  CHECK_FALSE(ParseLogLine("no pairs here").has_value());
  CHECK_FALSE(ParseLogLine("level=info ms=3").has_value());
}

TEST_CASE(
    "the explanation has only context about the request's servers and key") {
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
  const auto explanation = ExplainRequest(in, "r1");
  REQUIRE(explanation.has_value());
  CHECK(explanation->lines.size() == 2);
  CHECK(ContainsText(explanation->context, "version=7"));
  CHECK(ContainsText(explanation->context, "event=server_removed server=s1"));
  CHECK(ContainsText(explanation->context, "keys=0-99"));
  CHECK_FALSE(ContainsText(explanation->context, "keys=100-199"));
  CHECK_FALSE(ContainsText(explanation->context, "s9"));
  CHECK_FALSE(ContainsText(explanation->context, "revision=99"));
  CHECK(explanation->summary.find("502") != std::string::npos);
  CHECK(explanation->summary.find("attempt_failed") != std::string::npos);
}

TEST_CASE("a request without log lines has no explanation") {
  std::istringstream in("time=1 event=config_in_force version=7\n");
  CHECK_FALSE(ExplainRequest(in, "r1").has_value());
}

}  // namespace
}  // namespace gentianreach::ctl
