#include "audit/audit_log.h"

#include <doctest/doctest.h>

#include "store/fake_store.h"

namespace gentianreach::audit {
namespace {

using store::FakeStore;

Entry MakeEntry(std::string actor, std::string service, std::int64_t time_ms) {
  Entry entry;
  entry.actor = std::move(actor);
  entry.kind = "settings";
  entry.service = std::move(service);
  entry.time_ms = time_ms;
  return entry;
}

void Flush(AuditAppender* appender, FakeStore* store) {
  while (appender->pending() > 0) {
    const auto call = appender->Poll(appender->RetryAt());
    REQUIRE(call);
    appender->OnReply(store->Make(*call), appender->RetryAt());
  }
}

std::vector<Segment> ReadAll(FakeStore* store) {
  std::vector<Segment> segments;
  for (std::uint64_t i = 0; store->Contains(SegmentName(i)); ++i) {
    segments.push_back(*Decode(store->Bytes(SegmentName(i))));
  }
  return segments;
}

// Writes a trail of three segments to the store.
void WriteThreeSegments(FakeStore* store) {
  AuditAppender appender("w");
  for (std::size_t i = 0; i < 2 * kMaxEntries + 5; ++i) {
    appender.Add(MakeEntry("ana", "boats", 1000));
  }
  Flush(&appender, store);
}

TEST_CASE("entries are written in batches to segments of bounded size") {
  FakeStore store;
  WriteThreeSegments(&store);
  const auto segments = ReadAll(&store);
  REQUIRE(segments.size() == 3);
  CHECK(segments[0].entries.size() == kMaxEntries);
  CHECK(segments[2].entries.size() == 5);
  CHECK(segments[2].entries.back()->number == 2 * kMaxEntries + 5);
  CHECK(Verify(segments).empty());
  CHECK(store.calls() < 12);
}

TEST_CASE("segments of long entries do not exceed kMaxSegmentBytes") {
  FakeStore store;
  AuditAppender appender("w");
  for (int i = 0; i < 40; ++i) {
    Entry entry = MakeEntry("ana", "boats", 1);
    entry.from = std::string(1 << 20, 'x');
    entry.to = entry.from;
    appender.Add(std::move(entry));
  }
  Flush(&appender, &store);
  const auto segments = ReadAll(&store);
  CHECK(segments.size() > 1);
  for (const Segment& it : segments) {
    CHECK(Encode(it).size() <= kMaxSegmentBytes);
  }
  CHECK(Verify(segments).empty());
}

TEST_CASE("Verify reports altered, removed and missing entries") {
  FakeStore store;
  WriteThreeSegments(&store);
  auto altered = ReadAll(&store);
  altered[0].entries[3]->actor = "eve";
  REQUIRE(Verify(altered).size() == 1);
  CHECK(Verify(altered)[0].entry == 4);
  auto removed = ReadAll(&store);
  removed[1].entries.erase(removed[1].entries.begin() + 7);
  CHECK_FALSE(Verify(removed).empty());
  auto truncated = ReadAll(&store);
  truncated[1].entries.pop_back();
  CHECK_FALSE(Verify(truncated).empty());
  auto missing = ReadAll(&store);
  missing.erase(missing.begin() + 1);
  CHECK_FALSE(Verify(missing).empty());
  auto pruned = ReadAll(&store);
  pruned.erase(pruned.begin());
  CHECK(Verify(pruned).empty());
}

TEST_CASE("entries are selected by time, service, key and actor") {
  const Entry entry = MakeEntry("ana", "boats", 5000);
  Filter filter;
  CHECK(Matches(filter, entry));
  filter.since = WallTime(std::chrono::seconds(6));
  CHECK_FALSE(Matches(filter, entry));
  filter.since = WallTime(std::chrono::seconds(5));
  filter.actor = "ana";
  filter.service = "boats";
  CHECK(Matches(filter, entry));
  filter.key = "42";
  CHECK_FALSE(Matches(filter, entry));
}

}  // namespace
}  // namespace gentianreach::audit
