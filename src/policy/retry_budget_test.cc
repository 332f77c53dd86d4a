#include "policy/retry_budget.h"

#include <doctest/doctest.h>

#include <random>

namespace gentianreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("retries never exceed the share of requests plus the floor") {
  std::mt19937_64 random(7);
  RetryBudget budget({}, kStart);
  TimePoint now = kStart;
  for (int n = 0; n < 100'000; ++n) {
    now += milliseconds(random() % 10);
    budget.OnRequest(now);
    while (random() % 3 != 0 && budget.TryRetry(now))
      continue;
    const double elapsed = std::chrono::duration<double>(now - kStart).count();
    const double bound =
        0.1 * static_cast<double>(budget.requests()) + 3 + elapsed / 10;
    REQUIRE(static_cast<double>(budget.retries()) <= bound + 1e-6);
  }
  CHECK(budget.retries() > 9'000);
}

TEST_CASE("a service without requests may use the floor") {
  RetryBudget budget({}, kStart);
  for (int n = 0; n < 3; ++n)
    CHECK(budget.TryRetry(kStart));
  CHECK_FALSE(budget.TryRetry(kStart));
  CHECK_FALSE(budget.TryRetry(kStart + seconds(9)));
  CHECK(budget.TryRetry(kStart + seconds(10)));
}

TEST_CASE("a period without retries accumulates no more than the limit") {
  RetryBudget budget({}, kStart);
  for (int n = 0; n < 10'000; ++n)
    budget.OnRequest(kStart);
  int retries = 0;
  for (int n = 0; n < 100; ++n) {
    if (budget.TryRetry(kStart + std::chrono::hours(1)))
      ++retries;
  }
  CHECK(retries == 20);
}

TEST_CASE("a share of zero allows no retry") {
  RetryBudget budget({.share = 0}, kStart);
  budget.OnRequest(kStart);
  CHECK_FALSE(budget.TryRetry(kStart));
}

TEST_CASE("a lower limit drops retries accumulated beyond it") {
  RetryBudget budget({.share = 0.5, .floor = 2, .limit = 100}, TimePoint{});
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest(TimePoint{});
  }
  budget.SetBounds(1, 3);
  int retries = 0;
  while (budget.TryRetry(TimePoint{})) {
    ++retries;
  }
  CHECK(retries == 3);
}

}  // namespace
}  // namespace gentianreach
