// Servers that discovery no longer lists when a leader takes over.
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "keyspace/range_assigner.h"

namespace gentianreach::keyspace {
namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));

AssignerServer Server(const std::string& id, std::uint64_t incarnation = 1) {
  return {ServerId(id), Incarnation(incarnation), id + ":1", false, 1};
}

// An assigner in the term after a move from "a" to "b", whose writes succeed
// immediately. Discovery lists "b" alone.
class Leader {
 public:
  explicit Leader(const std::vector<Owner>& earlier) {
    OwnershipTable table;
    table.epoch = Epoch(1);
    table.next_token = Token(21);
    table.ranges.push_back({{0, kKeyCount - 1},
                            {ServerId("b"), Incarnation(1), Token(20)},
                            earlier});
    REQUIRE(assigner.Begin(table, Epoch(2), kStart, kStart));
    assigner.SetServers({Server("b")}, kStart);
  }

  // Returns the releases that are due at `now`, after any writes.
  std::vector<SendOrder> Releases(TimePoint now) {
    std::vector<SendOrder> orders;
    for (bool again = true; again;) {
      again = false;
      for (const auto& it : assigner.Poll(load, now)) {
        if (std::holds_alternative<WriteTable>(it)) {
          assigner.OnWritten(now);
          again = true;
        } else if (std::get<SendOrder>(it).kind == SendOrder::Kind::kRelease) {
          orders.push_back(std::get<SendOrder>(it));
        }
      }
    }
    return orders;
  }

  RangeAssigner assigner{AssignerOptions{}};
  KeyLoad load;
};

// Guards against two holders: a former leader's order reaches a server that it
// left unfenced.
TEST_CASE("a leader fences a server that was listed before its term") {
  Leader leader({});
  leader.assigner.OnUnlisted(Server("a"), kStart - seconds(10), kStart);
  const auto releases = leader.Releases(kStart);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].server == ServerId("a"));
  CHECK(releases[0].address == "a:1");
  CHECK(releases[0].fencing);
  CHECK(releases[0].range.first == 0);
  CHECK(releases[0].range.last == kKeyCount - 1);
  CHECK(releases[0].token > Token(20));
  CHECK(leader.assigner.FenceAddresses().contains("a:1"));
}

TEST_CASE("an earlier owner that was listed before the term is released") {
  Leader leader({{ServerId("a"), Incarnation(1), Token(10)}});
  leader.assigner.OnUnlisted(Server("a"), kStart - seconds(10), kStart);
  bool released = false;
  for (const SendOrder& it : leader.Releases(kStart)) {
    released = released || (it.server == ServerId("a") && !it.fencing);
  }
  CHECK(released);
}

TEST_CASE("the fence of an unlisted server is given up in time") {
  const auto wait = AssignerOptions{}.max_fence_wait;
  Leader leader({});
  leader.assigner.OnUnlisted(Server("a"), kStart - wait, kStart);
  CHECK(leader.Releases(kStart).empty());
  leader.assigner.OnUnlisted(Server("a"), kStart, kStart);
  const auto releases = leader.Releases(kStart);
  REQUIRE(releases.size() == 1);
  leader.assigner.OnOrderReply(releases[0].order, OrderOutcome::kNotConnected,
                               "", kStart + AssignerOptions{}.order_timeout);
  CHECK(leader.Releases(kStart + wait).empty());
  CHECK(leader.assigner.FenceAddresses().empty());
}

TEST_CASE("an unlisted server that has ended or is listed is not fenced") {
  Leader leader({});
  leader.assigner.OnUnlisted(Server("b"), kStart, kStart);
  CHECK(leader.Releases(kStart).empty());
  leader.assigner.OnUnlisted(Server("a"), kStart, kStart);
  leader.assigner.OnAddressInUse("a:1", ServerId("c"), Incarnation(2));
  CHECK(leader.Releases(kStart).empty());
  leader.assigner.OnUnlisted(Server("a"), kStart, kStart);
  CHECK(leader.Releases(kStart).empty());
}

}  // namespace
}  // namespace gentianreach::keyspace
