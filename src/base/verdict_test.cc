#include "gentianreach/verdict.h"

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

TEST_CASE("a non-idempotent request may be retried only if it did not run") {
  CHECK(Verdict::NotRun(Reason::kConnectFailed).SafeToRetry(false));
  CHECK_FALSE(Verdict::MayHaveRun(Reason::kSilent).SafeToRetry(false));
  CHECK(Verdict::MayHaveRun(Reason::kSilent).SafeToRetry(true));
  CHECK_FALSE(Verdict::Answered().SafeToRetry(true));
}

TEST_CASE(
    "a request that may have run never has the status of one that did not") {
  for (int i = 0; i <= static_cast<int>(Reason::kEvacuated); ++i) {
    const auto reason = static_cast<Reason>(i);
    const int may = Verdict::MayHaveRun(reason).HttpStatus();
    const int not_run = Verdict::NotRun(reason).HttpStatus();
    CHECK((may == 502 || may == 504));
    CHECK(not_run != 502);
    CHECK(not_run != 504);
    CHECK(ToString(reason) != "unknown");
  }
}

}  // namespace
}  // namespace gentianreach
