#include "policy/progress_watch.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace gentianreach {
namespace {

using Kind = ProgressActionKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

bool HasAction(const std::vector<ProgressAction>& actions,
               Kind kind,
               std::uint64_t connection = 0) {
  return std::any_of(actions.begin(), actions.end(), [&](const auto& it) {
    return it.kind == kind && it.connection == connection;
  });
}

TimePoint After(std::int64_t ms) {
  return kStart + milliseconds(ms);
}

TEST_CASE("a silent connection is dead one second after its last progress") {
  ProgressWatch watch({});
  watch.OnOpened(1, kStart);
  watch.OnBusy(1, kStart);
  CHECK(watch.NextDeadline() == After(500));
  CHECK(HasAction(watch.Poll(After(500)), Kind::kProbeServer));
  watch.OnServerAnswered(After(502));
  CHECK(watch.Poll(After(502)).empty());
  CHECK(watch.NextDeadline() == After(1'000));
  CHECK(HasAction(watch.Poll(After(1'000)), Kind::kDead, 1));
}

TEST_CASE("progress of another connection makes a probe unnecessary") {
  ProgressWatch watch({});
  watch.OnOpened(1, kStart);
  watch.OnOpened(2, kStart);
  watch.OnBusy(1, kStart);
  watch.OnProgress(2, After(600));
  CHECK_FALSE(HasAction(watch.Poll(After(600)), Kind::kProbeServer));
  CHECK(HasAction(watch.Poll(After(1'000)), Kind::kDead, 1));
}

TEST_CASE("no connection is declared dead while the whole server is silent") {
  ProgressWatch watch({});
  for (std::uint64_t id = 1; id <= 3; ++id) {
    watch.OnOpened(id, kStart);
    watch.OnBusy(id, kStart);
  }
  watch.OnProgress(3, After(1));
  for (int ms = 2; ms < 20'000; ms += 50) {
    const auto actions = watch.Poll(After(ms));
    CHECK(std::none_of(actions.begin(), actions.end(),
                       [](const auto& it) { return it.kind == Kind::kDead; }));
  }
}

TEST_CASE(
    "a request that the server's machine acknowledges is slow, not dead") {
  ProgressWatch watch({});
  watch.OnOpened(1, kStart);
  watch.OnBusy(1, kStart);
  for (int ms = 100; ms < 10'000; ms += 100) {
    watch.OnAcknowledged(1, After(ms));
    watch.OnServerAnswered(After(ms));
    REQUIRE(watch.Poll(After(ms)).empty());
  }
  // The machine stops acknowledging.
  watch.OnUnacknowledged(1, After(10'000));
  watch.OnServerAnswered(After(11'000));
  CHECK(HasAction(watch.Poll(After(11'000)), Kind::kDead, 1));
}

TEST_CASE("a server with a high usual latency gets a longer timeout") {
  ProgressWatch watch({});
  watch.OnOpened(1, kStart);
  for (int n = 0; n < 100; ++n) {
    watch.OnBusy(1, kStart);
    watch.OnIdle(1, milliseconds(800), kStart);
  }
  watch.OnBusy(1, kStart);
  watch.OnServerAnswered(After(1'500));
  CHECK(watch.Poll(After(1'500)).empty());
  watch.OnServerAnswered(After(4'000));
  CHECK(HasAction(watch.Poll(After(4'000)), Kind::kDead, 1));
}

TEST_CASE("a dead connection causes those idle for longer to be verified") {
  ProgressWatch watch({});
  for (std::uint64_t id = 1; id <= 10; ++id)
    watch.OnOpened(id, kStart);
  watch.OnOpened(11, After(900));
  watch.OnBusy(1, After(1));
  watch.OnServerAnswered(After(990));
  const auto actions = watch.Poll(After(1'001));
  REQUIRE(HasAction(actions, Kind::kDead, 1));
  for (std::uint64_t id = 2; id <= 10; ++id) {
    CHECK(HasAction(actions, Kind::kVerify, id));
    CHECK_FALSE(watch.IsUsable(id));
  }
  CHECK_FALSE(HasAction(actions, Kind::kVerify, 11));
  CHECK(watch.IsUsable(11));
  watch.OnVerified(2, true, After(1'003));
  CHECK(watch.IsUsable(2));
  const auto late = watch.Poll(After(1'251));
  for (std::uint64_t id = 3; id <= 10; ++id)
    CHECK(HasAction(late, Kind::kDead, id));
  CHECK_FALSE(HasAction(late, Kind::kDead, 2));
  CHECK(watch.IsUsable(2));
}

TEST_CASE("a connection that makes progress needs no probe") {
  ProgressWatch watch({});
  watch.OnOpened(1, kStart);
  watch.OnBusy(1, kStart);
  for (int ms = 400; ms < 5'000; ms += 400) {
    watch.OnProgress(1, After(ms));
    CHECK(watch.Poll(After(ms + 1)).empty());
  }
}

}  // namespace
}  // namespace gentianreach
