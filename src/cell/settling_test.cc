#include "cell/settling.h"

#include <doctest/doctest.h>

namespace gentianreach::cell {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{std::chrono::hours(1)};

// Returns a record in view 2, in which e is no longer a member, after view 1
// with members a to e.
Record MakeRecord() {
  Record record;
  record.view = 2;
  for (const char* const it : {"a", "b", "c", "d"}) {
    record.members.push_back(std::make_unique<stored::MemberT>());
    record.members.back()->daemon = it;
  }
  record.previous_views.push_back(std::make_unique<stored::ViewT>());
  record.previous_views.back()->version = 1;
  record.previous_views.back()->members = {"a", "b", "c", "d", "e"};
  return record;
}

TEST_CASE("an older view is retired when more than f members have left it") {
  const Record record = MakeRecord();
  Settling settling;
  settling.SetTiming(800ms, 1200ms, 60s, 0);
  settling.OnRecord(record, "a", kStart);
  // One of five members may be lost. While b, c, d and e run view 1, e can
  // collect four accepted heartbeats, including its own.
  CHECK(settling.RemovedMemberLeaseExpiry(record) > kStart + 60s);
  CHECK_FALSE(settling.Settled(record, kStart + 1s));
  settling.OnDaemonView(record, "b", 1, kStart + 5ms);
  CHECK_FALSE(settling.Settled(record, kStart + 1s));
  settling.OnDaemonView(record, "b", 2, kStart + 10ms);
  CHECK(settling.Settled(record, kStart + 10ms));
  // A permit gained just before lasts 800 ms, and a lease renewed at its end
  // lasts another 1200 ms.
  CHECK(*settling.RemovedMemberLeaseExpiry(record) >= kStart + 2010ms);
  CHECK(*settling.RemovedMemberLeaseExpiry(record) < kStart + 2011ms);
}

TEST_CASE("a view is retired after the hold-over if daemons are unreachable") {
  Record record = MakeRecord();
  record.previous_views.back()->members = {"x", "y", "z"};
  Settling settling;
  settling.SetTiming(800ms, 1200ms, 60s, 0.01);
  settling.OnRecord(record, "a", kStart);
  CHECK(*settling.RemovedMemberLeaseExpiry(record) >=
        kStart + 60600ms + 2020ms);
  CHECK_FALSE(settling.Settled(record, kStart + 60s));
  settling.ConfirmGone(record, kStart + 1s);
  CHECK(settling.Settled(record, kStart + 1s));
  CHECK(*settling.RemovedMemberLeaseExpiry(record) < kStart + 3100ms);
}

}  // namespace
}  // namespace gentianreach::cell
