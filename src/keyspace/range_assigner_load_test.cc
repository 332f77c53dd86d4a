// Tests of the range assigner with a leader that has little processor time.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "keyspace/range_assigner.h"
#include "keyspace/testing/large_service.h"

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServers = 100;
constexpr std::size_t kRanges = 400;
// Processor time for sending an order, and for handling its reply.
constexpr Duration kSendTime = milliseconds(1);
constexpr Duration kReplyTime = milliseconds(1);
// Time from sending an order until its reply can be read.
constexpr Duration kRoundTrip = milliseconds(2);
constexpr TimePoint kStart = TimePoint(seconds(1000));

// A leader that has taken over a large table. It does one thing after the
// other, and all servers answer at once.
class BusyLeader {
 public:
  BusyLeader() {
    std::vector<AssignerServer> servers = testing::ServersOf(kServers);
    OwnershipTable table = testing::EvenTable(kRanges, servers);
    for (const OwnedRange& it : table.ranges) {
      renewed_at_[it.range.first] = kStart;
    }
    REQUIRE(assigner_.Begin(std::move(table), Epoch(2), kStart, kStart));
    assigner_.SetServers(std::move(servers), kStart);
  }

  void RunUntil(TimePoint end) {
    while (now_ < end) {
      for (const auto& it : assigner_.Poll(load_, now_)) {
        Execute(it);
      }
      if (!replies_.empty() && replies_.front().readable_at <= now_) {
        HandleReply();
        continue;
      }
      const TimePoint readable_at =
          replies_.empty() ? TimePoint::max() : replies_.front().readable_at;
      now_ = std::max(now_, std::min(readable_at, assigner_.NextDeadline()));
    }
  }

  [[nodiscard]] std::size_t timeouts() const { return timeouts_; }
  // Returns the longest time without a successful grant of a range.
  [[nodiscard]] Duration longest_gap() const {
    Duration longest = longest_gap_;
    for (const auto& [first_key, at] : renewed_at_) {
      longest = std::max(longest, now_ - at);
    }
    return longest;
  }

 private:
  struct Reply {
    SendOrder order;
    TimePoint readable_at;
  };

  void Execute(const AssignerAction& action) {
    if (std::holds_alternative<WriteTable>(action)) {
      assigner_.OnWritten(now_);
      return;
    }
    now_ += kSendTime;
    replies_.push_back({std::get<SendOrder>(action), now_ + kRoundTrip});
  }

  void HandleReply() {
    const Reply reply = replies_.front();
    replies_.pop_front();
    now_ += kReplyTime;
    if (now_ > reply.order.deadline) {
      ++timeouts_;
      assigner_.OnOrderReply(reply.order.order, OrderOutcome::kUnknown, "",
                             now_);
      return;
    }
    TimePoint& renewed_at = renewed_at_[reply.order.range.first];
    longest_gap_ = std::max(longest_gap_, now_ - renewed_at);
    renewed_at = now_;
    assigner_.OnOrderReply(reply.order.order, OrderOutcome::kDone, "", now_);
  }

  RangeAssigner assigner_{AssignerOptions{}};
  KeyLoad load_;
  TimePoint now_ = kStart;
  std::deque<Reply> replies_;
  std::size_t timeouts_ = 0;
  // By the first key of the range.
  std::map<std::uint32_t, TimePoint> renewed_at_;
  Duration longest_gap_{};
};

TEST_CASE("renewals of many ranges do not time out at a busy leader") {
  BusyLeader leader;
  leader.RunUntil(kStart + seconds(30));
  CHECK(leader.timeouts() == 0);
  CHECK(leader.longest_gap() < AssignerOptions{}.lease);
}

}  // namespace
}  // namespace gentianreach::keyspace
