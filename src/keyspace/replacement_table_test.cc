#include "keyspace/replacement_table.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "keyspace/range_assigner.h"

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));
constexpr std::uint64_t kRevision = 77;
constexpr Token kLowestToken(kRevision* kMaxTokensPerTable);

OwnershipTable SampleTable() {
  OwnershipTable table;
  table.epoch = Epoch(3);
  table.next_token = Token(500);
  table.ranges.push_back(
      {{0, 999}, {ServerId("a"), Incarnation(1), Token(10)}, {}});
  table.ranges.push_back({{1000, kKeyCount - 1},
                          {ServerId("b"), Incarnation(1), Token(14)},
                          {{ServerId("c"), Incarnation(1), Token(4)}}});
  return table;
}

// An assigner whose calls succeed immediately. Records the grants.
class Leader {
 public:
  struct Grant {
    TimePoint at;
    SendOrder order;
  };

  RangeAssigner assigner{AssignerOptions{}};

  Leader() {
    std::vector<AssignerServer> servers;
    for (const char* it : {"a", "b"}) {
      servers.push_back({ServerId(it), Incarnation(1), std::string(it) + ":1"});
    }
    assigner.SetServers(servers, kStart);
  }

  // Runs the assigner from `begin` until `end`.
  void Run(TimePoint begin, TimePoint end) {
    for (TimePoint now = begin; now < end; now += milliseconds(10)) {
      for (const auto& it : assigner.Poll(load_, now)) {
        if (std::holds_alternative<WriteTable>(it)) {
          assigner.OnWritten(now);
          ++writes_;
          continue;
        }
        const auto& order = std::get<SendOrder>(it);
        if (order.kind == SendOrder::Kind::kGrant) {
          grants_.push_back({now, order});
        }
        assigner.OnOrderReply(order.order, OrderOutcome::kDone, "", now);
      }
    }
  }

  // Returns when `key` was first granted, and to whom.
  [[nodiscard]] std::optional<Grant> FirstGrant(std::uint32_t key) const {
    const auto it = std::ranges::find_if(grants_, [&](const Grant& grant) {
      return grant.order.range.Contains(key);
    });
    return it == grants_.end() ? std::nullopt : std::optional(*it);
  }
  [[nodiscard]] std::size_t writes() const { return writes_; }

 private:
  KeyLoad load_;
  std::vector<Grant> grants_;
  std::size_t writes_ = 0;
};

constexpr Duration kLease = AssignerOptions{}.lease;

// The store's revision counter may have gone back since tables were written.
TEST_CASE("the tokens of a replacement are above all that were seen") {
  const OwnershipTable copy = SampleTable();
  const Token seen(kLowestToken.value() * 5);
  for (const OwnershipTable* it :
       {&copy, static_cast<const OwnershipTable*>(nullptr)}) {
    const OwnershipTable table =
        ReplacementTable(it, kRevision, seen, Epoch(9));
    for (const OwnedRange& range : table.ranges) {
      CHECK(range.owner.token > seen);
    }
  }
}

TEST_CASE("a replacement keeps the owners of the copy with higher tokens") {
  const OwnershipTable copy = SampleTable();
  const OwnershipTable table =
      ReplacementTable(&copy, kRevision, Token(), Epoch(9));
  CHECK(table.epoch == Epoch(9));
  REQUIRE(table.ranges.size() == 2);
  for (std::size_t i = 0; i < 2; ++i) {
    const OwnedRange& range = table.ranges[i];
    CHECK(range.range.first == copy.ranges[i].range.first);
    CHECK(range.owner.server == copy.ranges[i].owner.server);
    CHECK(range.owner.token > kLowestToken);
    CHECK(range.owner.token < table.next_token);
    CHECK(range.earlier == std::vector<Owner>{Owner{}});
  }
  CHECK(DecodeTable(EncodeTable(table)) == table);
}

TEST_CASE(
    "keys are granted after the leases that a lost table may have given") {
  const OwnershipTable copy = SampleTable();
  for (const OwnershipTable* it :
       {&copy, static_cast<const OwnershipTable*>(nullptr)}) {
    Leader leader;
    leader.assigner.BeginWithoutTable(it, kRevision, Token(), Epoch(9), kStart,
                                      kStart);
    leader.Run(kStart, kStart + seconds(10));
    for (const std::uint32_t key : {0U, 999U, 1000U, 40000U, 65535U}) {
      const auto grant = leader.FirstGrant(key);
      REQUIRE(grant);
      // The last order of this leader may have been sent at kStart, and its
      // lease be measured by a slow clock.
      CHECK(grant->at > kStart + kLease * 102 / 100 + milliseconds(400));
      CHECK(grant->at < kStart + kLease + seconds(3));
      CHECK(grant->order.token > kLowestToken);
    }
  }
}

TEST_CASE(
    "leaders that may act are waited for before lost owners are cleared") {
  const OwnershipTable copy = SampleTable();
  Leader leader;
  const TimePoint until = kStart + seconds(12);
  leader.assigner.BeginWithoutTable(&copy, kRevision, Token(), Epoch(9), until,
                                    kStart);
  leader.Run(kStart, until + seconds(10));
  const auto grant = leader.FirstGrant(0);
  REQUIRE(grant);
  CHECK(grant->at > until + kLease * 102 / 100 + milliseconds(400));
  CHECK(grant->order.server == ServerId("a"));
}

TEST_CASE("the successor of a leader without a table waits for lost owners") {
  const OwnershipTable copy = SampleTable();
  Leader leader;
  leader.assigner.BeginWithoutTable(&copy, kRevision, Token(), Epoch(9), kStart,
                                    kStart);
  leader.Run(kStart, kStart + seconds(1));
  Leader next;
  const TimePoint later = kStart + seconds(1);
  REQUIRE(
      next.assigner.Begin(leader.assigner.table(), Epoch(10), later, later));
  next.Run(later, later + seconds(10));
  const auto grant = next.FirstGrant(0);
  REQUIRE(grant);
  CHECK(grant->at > later + kLease * 102 / 100 + milliseconds(400));
}

TEST_CASE("a leader writes its table again without a wait") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(SampleTable(), Epoch(9), kStart, kStart));
  CHECK_FALSE(leader.assigner.WriteAgain(kStart));
  leader.Run(kStart, kStart + seconds(8));
  const OwnershipTable before = leader.assigner.table();
  const std::size_t writes = leader.writes();
  const TimePoint wiped = kStart + seconds(8);
  REQUIRE(leader.assigner.WriteAgain(wiped));
  leader.Run(wiped, wiped + milliseconds(100));
  CHECK(leader.writes() > writes);
  CHECK(leader.assigner.table().next_token > before.next_token);
  for (std::size_t i = 0; i < before.ranges.size(); ++i) {
    CHECK(leader.assigner.table().ranges[i] == before.ranges[i]);
  }
}

}  // namespace
}  // namespace gentianreach::keyspace
