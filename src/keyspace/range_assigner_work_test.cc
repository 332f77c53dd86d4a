// Tests of how much work the range assigner does for each event in a fleet of
// hundreds of servers. They count ranges and tables, not time.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "keyspace/range_assigner.h"
#include "keyspace/testing/large_service.h"

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServers = 350;
// Two ranges for each server.
constexpr std::size_t kRanges = 2 * kServers;
constexpr TimePoint kStart = TimePoint(seconds(1000));
constexpr Duration kRoundTrip = milliseconds(4);

// A leader whose servers answer every order. It is polled as the daemon does
// it: at its deadlines and after each reply.
class SteadyLeader {
 public:
  SteadyLeader() {
    std::vector<AssignerServer> servers = testing::ServersOf(kServers);
    REQUIRE(assigner.Begin(testing::EvenTable(kRanges, servers), Epoch(2),
                           kStart, kStart));
    assigner.SetServers(std::move(servers), kStart);
  }

  void RunUntil(TimePoint end) {
    while (now < end) {
      if (!replies_.empty() && replies_.front().at <= now) {
        const std::uint64_t order = replies_.front().order;
        replies_.pop_front();
        ++replies;
        assigner.OnOrderReply(order, OrderOutcome::kDone, "", now);
      }
      for (const auto& it : assigner.Poll(load_, now)) {
        if (const auto* order = std::get_if<SendOrder>(&it)) {
          replies_.push_back({now + kRoundTrip, order->order});
          continue;
        }
        assigner.OnWritten(now);
      }
      now = std::max(now, std::min(assigner.NextDeadline(),
                                   replies_.empty() ? TimePoint::max()
                                                    : replies_.front().at));
    }
  }

  RangeAssigner assigner{AssignerOptions{}};
  TimePoint now = kStart;
  std::size_t replies = 0;

 private:
  struct Reply {
    TimePoint at;
    std::uint64_t order = 0;
  };

  KeyLoad load_;
  std::deque<Reply> replies_;
};

TEST_CASE("a reply costs work for its range only") {
  SteadyLeader leader;
  leader.RunUntil(kStart + seconds(10));
  const AssignerWork before = leader.assigner.work();
  const std::size_t replies_before = leader.replies;
  leader.RunUntil(kStart + seconds(20));
  const std::size_t replies = leader.replies - replies_before;
  REQUIRE(replies > 5 * kRanges);
  const AssignerWork& work = leader.assigner.work();
  // Each renewal is due once and has one reply.
  CHECK(work.ranges_polled - before.ranges_polled <= 3 * replies);
}

TEST_CASE("replies that change nothing cause no planning of tables") {
  SteadyLeader leader;
  leader.RunUntil(kStart + seconds(10));
  const std::uint64_t before = leader.assigner.work().tables_planned;
  leader.RunUntil(kStart + seconds(20));
  const auto rounds = static_cast<std::uint64_t>(
      seconds(10) / AssignerOptions{}.balance_period);
  CHECK(leader.assigner.work().tables_planned - before <= rounds + 1);
}

TEST_CASE("a refreshed capacity costs no work for the ranges") {
  SteadyLeader leader;
  leader.RunUntil(kStart + seconds(10));
  const std::uint64_t before = leader.assigner.work().ranges_polled;
  const std::size_t replies_before = leader.replies;
  for (int i = 0; i < 100; ++i) {
    leader.assigner.SetServers(testing::ServersOf(kServers, 1 + i), leader.now);
    leader.RunUntil(leader.now + milliseconds(1));
  }
  CHECK(leader.assigner.work().ranges_polled - before <=
        3 * (leader.replies - replies_before) + kRanges / 10);
}

}  // namespace
}  // namespace gentianreach::keyspace
