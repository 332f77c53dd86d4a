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
  ViewRetirement view_retirement;
  view_retirement.SetTiming(800ms, 1200ms, 60s, 0);
  view_retirement.OnRecord(record, "a", kStart);
  // One of five members may be lost. While b, c, d and e run view 1, e can
  // collect four accepted heartbeats, including its own.
  CHECK(view_retirement.RemovedMemberLeaseExpiry(record) > kStart + 60s);
  CHECK_FALSE(view_retirement.AllRetired(record, kStart + 1s));
  view_retirement.OnDaemonView(record, "b", 1, kStart + 5ms);
  CHECK_FALSE(view_retirement.AllRetired(record, kStart + 1s));
  view_retirement.OnDaemonView(record, "b", 2, kStart + 10ms);
  CHECK(view_retirement.AllRetired(record, kStart + 10ms));
  // A permit gained just before lasts 800 ms, and a lease renewed at its end
  // lasts another 1200 ms.
  CHECK(*view_retirement.RemovedMemberLeaseExpiry(record) >= kStart + 2010ms);
  CHECK(*view_retirement.RemovedMemberLeaseExpiry(record) < kStart + 2011ms);
}

TEST_CASE("a view is retired after the hold-over if daemons are unreachable") {
  Record record = MakeRecord();
  record.previous_views.back()->members = {"x", "y", "z"};
  ViewRetirement view_retirement;
  view_retirement.SetTiming(800ms, 1200ms, 60s, 0.01);
  view_retirement.OnRecord(record, "a", kStart);
  CHECK(*view_retirement.RemovedMemberLeaseExpiry(record) >=
        kStart + 60600ms + 2020ms);
  CHECK_FALSE(view_retirement.AllRetired(record, kStart + 60s));
  view_retirement.ConfirmStopped(record, kStart + 1s);
  CHECK(view_retirement.AllRetired(record, kStart + 1s));
  CHECK(*view_retirement.RemovedMemberLeaseExpiry(record) < kStart + 3100ms);
}

}  // namespace
}  // namespace gentianreach::cell
