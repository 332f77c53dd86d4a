#include "keyspace/range_assigner.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));

AssignerServer Server(const std::string& id, bool draining = false) {
  return {ServerId(id), Incarnation(1), id + ":1", draining, 1};
}

AssignerServer ServerAt(const std::string& id,
                        std::uint64_t incarnation,
                        const std::string& address) {
  return {ServerId(id), Incarnation(incarnation), address, false, 1};
}

Owner OwnerOf(const std::string& id, std::uint64_t token) {
  return {ServerId(id), Incarnation(1), Token(token)};
}

// Returns a table in which `owner` has all keys.
OwnershipTable TableWithOwner(const Owner& owner) {
  OwnershipTable table;
  table.epoch = Epoch(1);
  table.next_token = Token(owner.token.value() + 1);
  table.ranges.push_back({{0, kKeyCount - 1}, owner, {}});
  return table;
}

// An assigner whose writes succeed immediately.
class Leader {
 public:
  RangeAssigner assigner{AssignerOptions{}};
  KeyLoad load;

  // Returns the orders that are due at `now`, after any writes.
  std::vector<SendOrder> Orders(TimePoint now) {
    std::vector<SendOrder> orders;
    for (bool again = true; again;) {
      again = false;
      for (const auto& it : assigner.Poll(load, now)) {
        if (std::holds_alternative<WriteTable>(it)) {
          assigner.OnWritten(now);
          again = true;
        } else {
          orders.push_back(std::get<SendOrder>(it));
        }
      }
    }
    return orders;
  }
};

const SendOrder* Find(const std::vector<SendOrder>& orders,
                      SendOrder::Kind kind,
                      const std::string& server) {
  const auto it =
      std::find_if(orders.begin(), orders.end(), [&](const SendOrder& order) {
        return order.kind == kind && order.server == ServerId(server);
      });
  return it == orders.end() ? nullptr : &*it;
}

std::vector<ClearedOwner> ClearedBy(const std::string& server,
                                    Clearance clearance) {
  return {{ServerId(server), clearance}};
}

TEST_CASE("a table written by a later leader is not taken over") {
  Leader leader;
  OwnershipTable table = TableWithOwner(OwnerOf("a", 10));
  table.epoch = Epoch(3);
  CHECK_FALSE(leader.assigner.Begin(table, Epoch(2), kStart, kStart));
  leader.assigner.SetServers({Server("a")}, kStart);
  CHECK(leader.assigner.Poll(leader.load, kStart).empty());
}

TEST_CASE("the table is written before the first order of a new leader") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(2),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a")}, kStart);
  const auto actions = leader.assigner.Poll(leader.load, kStart);
  REQUIRE(actions.size() == 1);
  const auto* write = std::get_if<WriteTable>(&actions[0]);
  REQUIRE(write != nullptr);
  CHECK(write->table.epoch == Epoch(2));
  leader.assigner.OnWritten(kStart);
  const auto orders = leader.Orders(kStart);
  CHECK(Find(orders, SendOrder::Kind::kGrant, "a") != nullptr);
}

TEST_CASE("a new leader gives all owners new tokens") {
  OwnershipTable table = TableWithOwner(OwnerOf("a", 10));
  table.ranges[0].range.last = 99;
  table.ranges.push_back({{100, 199}, OwnerOf("b", 6), {}});
  table.ranges.push_back({{200, kKeyCount - 1}, OwnerOf("a", 10), {}});
  Leader leader;
  REQUIRE(leader.assigner.Begin(table, Epoch(2), kStart, kStart));
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  leader.Orders(kStart);
  const auto& ranges = leader.assigner.table().ranges;
  REQUIRE(ranges.size() == 3);
  for (const OwnedRange& it : ranges) {
    CHECK(it.owner.token > Token(10));
  }
  // Parts of a range that was split can be merged again.
  CHECK(ranges[0].owner == ranges[2].owner);
  CHECK(ranges[0].owner.token != ranges[1].owner.token);
}

TEST_CASE("the handover of a draining server is passed to the next owner") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  TimePoint now = kStart;
  const auto grants = leader.Orders(now);
  REQUIRE(grants.size() == 1);
  leader.assigner.OnOrderReply(grants[0].order, OrderOutcome::kDone, "", now);
  // By then, no order that a previous leader may have sent is in force.
  now += seconds(10);
  leader.assigner.SetServers({Server("a", true), Server("b")}, now);
  for (const auto& it : leader.Orders(now)) {
    if (it.kind == SendOrder::Kind::kGrant) {
      leader.assigner.OnOrderReply(it.order, OrderOutcome::kDone, "", now);
    }
  }
  const auto releases = leader.Orders(now);
  const SendOrder* release = Find(releases, SendOrder::Kind::kRelease, "a");
  REQUIRE(release != nullptr);
  CHECK(Find(releases, SendOrder::Kind::kGrant, "b") == nullptr);
  leader.assigner.OnOrderReply(release->order, OrderOutcome::kDone, "warm",
                               now);
  const auto next = leader.Orders(now);
  const SendOrder* grant = Find(next, SendOrder::Kind::kGrant, "b");
  REQUIRE(grant != nullptr);
  CHECK(grant->handover == "warm");
  CHECK(grant->token > release->token);
  CHECK(grant->cleared == ClearedBy("a", Clearance::kReleased));
}

TEST_CASE(
    "a move begun by a previous leader waits for this leader's older orders") {
  Leader leader;
  OwnershipTable table = TableWithOwner(OwnerOf("b", 20));
  table.ranges[0].earlier.push_back(OwnerOf("a", 10));
  // The previous leader ended long ago, but this one may have sent orders until
  // it reread the table.
  const TimePoint long_ago = kStart - seconds(60);
  REQUIRE(leader.assigner.Begin(table, Epoch(2), long_ago, kStart));
  leader.assigner.OnPreviousLeadersEnded(long_ago);
  leader.assigner.SetServers({Server("b")}, kStart);
  // 6 s lease, 4% clock drift, 400 ms until the order is given up and 150 ms
  // transit time: 6.79 s.
  CHECK(leader.Orders(kStart + milliseconds(6780)).empty());
  const auto orders = leader.Orders(kStart + milliseconds(6800));
  const SendOrder* grant = Find(orders, SendOrder::Kind::kGrant, "b");
  REQUIRE(grant != nullptr);
  CHECK(grant->cleared == ClearedBy("a", Clearance::kLeaseOver));
}

// Returns whether `b` gets keys at `now` from a leader whose releases of `a`
// are not answered.
bool GrantsToB(Leader& leader, TimePoint now) {
  return Find(leader.Orders(now), SendOrder::Kind::kGrant, "b") != nullptr;
}

// A leader that has granted all keys to `a` at kStart, and that no previous
// leader's orders hold up.
Leader LeaderWithGrantToA() {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(2),
                                kStart - seconds(20), kStart - seconds(10)));
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  const auto grants = leader.Orders(kStart);
  REQUIRE(grants.size() == 1);
  leader.assigner.OnOrderReply(grants[0].order, OrderOutcome::kDone, "",
                               kStart);
  return leader;
}

TEST_CASE("an order that was not sent does not extend the lease") {
  for (const auto outcome :
       {OrderOutcome::kNotConnected, OrderOutcome::kTokenOutdated}) {
    CAPTURE(static_cast<int>(outcome));
    Leader leader = LeaderWithGrantToA();
    const TimePoint renewed = kStart + seconds(2);
    const auto renewals = leader.Orders(renewed);
    REQUIRE(renewals.size() == 1);
    leader.assigner.OnOrderReply(renewals[0].order, outcome, "",
                                 renewed + milliseconds(400));
    leader.assigner.SetServers({Server("b")}, renewed + milliseconds(400));
    CHECK_FALSE(GrantsToB(leader, kStart + milliseconds(6230)));
    CHECK(GrantsToB(leader, kStart + milliseconds(6250)));
  }
}

TEST_CASE("an owner whose token is outdated gets another") {
  Leader leader = LeaderWithGrantToA();
  const Token before = leader.assigner.table().ranges[0].owner.token;
  const TimePoint now = kStart + seconds(2);
  const auto renewals = leader.Orders(now);
  REQUIRE(renewals.size() == 1);
  leader.assigner.OnOrderReply(renewals[0].order, OrderOutcome::kTokenOutdated,
                               "", now);
  const auto grants = leader.Orders(now + milliseconds(1));
  const SendOrder* grant = Find(grants, SendOrder::Kind::kGrant, "a");
  REQUIRE(grant != nullptr);
  CHECK(grant->token > before);
}

TEST_CASE("an outdated token does not lose the handover of the keys") {
  Leader leader = LeaderWithGrantToA();
  const TimePoint now = kStart + seconds(1);
  leader.assigner.SetServers({Server("a", true), Server("b")}, now);
  const auto releases = leader.Orders(now);
  const SendOrder* release = Find(releases, SendOrder::Kind::kRelease, "a");
  REQUIRE(release != nullptr);
  leader.assigner.OnOrderReply(release->order, OrderOutcome::kDone, "warm",
                               now);
  const auto grants = leader.Orders(now);
  const SendOrder* grant = Find(grants, SendOrder::Kind::kGrant, "b");
  REQUIRE(grant != nullptr);
  leader.assigner.OnOrderReply(grant->order, OrderOutcome::kTokenOutdated, "",
                               now);
  const auto again = leader.Orders(now + milliseconds(1));
  const SendOrder* next = Find(again, SendOrder::Kind::kGrant, "b");
  REQUIRE(next != nullptr);
  CHECK(next->token > grant->token);
  CHECK(next->handover == "warm");
}

TEST_CASE("a lease counts from the reply to its grant") {
  Leader leader = LeaderWithGrantToA();
  leader.assigner.SetServers({Server("b")}, kStart);
  // 6 s lease and 4% clock drift.
  CHECK_FALSE(GrantsToB(leader, kStart + milliseconds(6230)));
  CHECK(GrantsToB(leader, kStart + milliseconds(6250)));
}

TEST_CASE("an unanswered renewal may arrive as late as it is given up") {
  const TimePoint sent = kStart + seconds(2);
  // At the deadline, early because of a reset, and late by a busy leader.
  for (const auto given_up_after :
       {milliseconds(400), milliseconds(50), milliseconds(900)}) {
    CAPTURE(given_up_after.count());
    const TimePoint given_up = sent + given_up_after;
    const auto grants_to_b = [&](TimePoint now) {
      Leader leader = LeaderWithGrantToA();
      const auto renewals = leader.Orders(sent);
      REQUIRE(renewals.size() == 1);
      leader.assigner.OnOrderReply(renewals[0].order, OrderOutcome::kUnknown,
                                   "", given_up);
      leader.assigner.SetServers({Server("b")}, given_up);
      return GrantsToB(leader, now);
    };
    // 6 s lease, 4% clock drift and 150 ms transit time.
    CHECK_FALSE(grants_to_b(given_up + milliseconds(6380)));
    CHECK(grants_to_b(given_up + milliseconds(6400)));
  }
}

TEST_CASE("a renewal in flight counts although an earlier one was answered") {
  Leader leader = LeaderWithGrantToA();
  const TimePoint sent = kStart + seconds(2);
  REQUIRE(leader.Orders(sent).size() == 1);
  leader.assigner.SetServers({Server("b")}, sent);
  CHECK_FALSE(GrantsToB(leader, sent + milliseconds(6780)));
  CHECK(GrantsToB(leader, sent + milliseconds(6800)));
}

TEST_CASE("keys move immediately when another server has the owner's address") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  const auto grants = leader.Orders(kStart);
  REQUIRE(grants.size() == 1);
  leader.assigner.OnOrderReply(grants[0].order, OrderOutcome::kOtherServer, "",
                               kStart);
  const auto orders = leader.Orders(kStart);
  CHECK(Find(orders, SendOrder::Kind::kGrant, "a") == nullptr);
  const SendOrder* grant = Find(orders, SendOrder::Kind::kGrant, "b");
  REQUIRE(grant != nullptr);
  CHECK(grant->cleared == ClearedBy("a", Clearance::kEnded));
}

TEST_CASE(
    "keys move immediately when discovery lists a newer server at the "
    "address") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  const auto grants = leader.Orders(kStart);
  REQUIRE(grants.size() == 1);
  leader.assigner.OnOrderReply(grants[0].order, OrderOutcome::kDone, "",
                               kStart);
  // A server with an incarnation that is not higher proves nothing, and neither
  // does another incarnation with the owner's id: orders to the owner could
  // reach it.
  leader.assigner.OnAddressInUse("a:1", ServerId("c"), Incarnation(1));
  leader.assigner.OnAddressInUse("a:1", ServerId("a"), Incarnation(2));
  CHECK(leader.Orders(kStart).empty());
  leader.assigner.OnAddressInUse("a:1", ServerId("c"), Incarnation(2));
  const auto orders = leader.Orders(kStart);
  CHECK(Find(orders, SendOrder::Kind::kGrant, "a") == nullptr);
  CHECK(Find(orders, SendOrder::Kind::kGrant, "b") != nullptr);
}

// Guards against two holders: an order of the previous leader may arrive at any
// time, also when its lease has long been over.
TEST_CASE("an owner of a previous leader refuses its orders once released") {
  Leader leader;
  const Token before(10);
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", before.value())),
                                Epoch(2), kStart, kStart));
  leader.assigner.SetServers({Server("a", true), Server("b")}, kStart);
  const auto renewals = leader.Orders(kStart);
  REQUIRE(renewals.size() == 1);
  leader.assigner.OnOrderReply(renewals[0].order, OrderOutcome::kTokenOutdated,
                               "", kStart);
  const TimePoint now = kStart + seconds(1);
  const auto releases = leader.Orders(now);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].kind == SendOrder::Kind::kRelease);
  CHECK(releases[0].token > before);
  CHECK(releases[0].token > renewals[0].token);
  leader.assigner.OnOrderReply(releases[0].order, OrderOutcome::kDone, "", now);
  const auto grants = leader.Orders(now);
  const SendOrder* grant = Find(grants, SendOrder::Kind::kGrant, "b");
  REQUIRE(grant != nullptr);
  CHECK(grant->token > releases[0].token);
}

// Guards against two holders: an order of a killed leader arrived after a
// partition had healed.
TEST_CASE("a server whose leases ran out is fenced once it is connected") {
  Leader leader = LeaderWithGrantToA();
  leader.assigner.SetServers({Server("b")}, kStart);
  TimePoint now = kStart + seconds(7);
  const auto grants = leader.Orders(now);
  const SendOrder* grant = Find(grants, SendOrder::Kind::kGrant, "b");
  REQUIRE(grant != nullptr);
  leader.assigner.OnOrderReply(grant->order, OrderOutcome::kDone, "", now);
  // "a" is cut off.
  const SendOrder* fence = Find(grants, SendOrder::Kind::kRelease, "a");
  REQUIRE(fence != nullptr);
  leader.assigner.OnOrderReply(fence->order, OrderOutcome::kNotConnected, "",
                               now);
  CHECK(Find(leader.Orders(now), SendOrder::Kind::kRelease, "a") == nullptr);
  CHECK(leader.assigner.FenceAddresses().contains("a:1"));
  now += AssignerOptions{}.order_timeout;
  // Guards against a fence that was lost: a connection that has survived the
  // partition is not reported.
  SUBCASE("without a report") {}
  SUBCASE("with a report") {
    leader.assigner.OnConnected("a:1");
  }
  const auto orders = leader.Orders(now);
  fence = Find(orders, SendOrder::Kind::kRelease, "a");
  REQUIRE(fence != nullptr);
  CHECK(fence->fencing);
  CHECK(fence->range == KeyRange{0, kKeyCount - 1});
  CHECK(fence->token >= grant->token);
  leader.assigner.OnOrderReply(fence->order, OrderOutcome::kDone, "", now);
  CHECK(leader.assigner.FenceAddresses().empty());
}

TEST_CASE("a fence leaves the keys that the server owns or may hold") {
  OwnershipTable table = TableWithOwner(OwnerOf("a", 10));
  table.ranges[0].range.last = 99;
  table.ranges.push_back({{100, 199}, OwnerOf("b", 6), {}});
  table.ranges.push_back({{200, 299}, OwnerOf("b", 7), {OwnerOf("a", 5)}});
  table.ranges.push_back({{300, kKeyCount - 1}, OwnerOf("b", 8), {}});
  Leader leader;
  REQUIRE(leader.assigner.Begin(table, Epoch(2), kStart, kStart));
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  leader.Orders(kStart);
  leader.assigner.OnConnected("a:1");
  std::vector<KeyRange> fenced;
  for (const SendOrder& it : leader.Orders(kStart)) {
    if (it.fencing) {
      CHECK(it.server == ServerId("a"));
      fenced.push_back(it.range);
    }
  }
  CHECK(fenced == std::vector<KeyRange>{{100, 199}, {300, kKeyCount - 1}});
}

// Guards against two holders: a lost grant of a former leader arrived while the
// keys were to move back to the server.
TEST_CASE("a fence includes keys that the server is about to get") {
  Leader leader = LeaderWithGrantToA();
  leader.assigner.SetServers({Server("a", true), Server("b")}, kStart);
  const auto releases = leader.Orders(kStart);
  REQUIRE(Find(releases, SendOrder::Kind::kRelease, "a") != nullptr);
  leader.assigner.OnConnected("b:1");
  const auto fences = leader.Orders(kStart);
  const SendOrder* fence = Find(fences, SendOrder::Kind::kRelease, "b");
  REQUIRE(fence != nullptr);
  CHECK(fence->range == KeyRange{0, kKeyCount - 1});
  leader.assigner.OnOrderReply(fence->order, OrderOutcome::kDone, "", kStart);
  leader.assigner.OnOrderReply(releases[0].order, OrderOutcome::kDone, "",
                               kStart);
  const auto grants = leader.Orders(kStart);
  const SendOrder* grant = Find(grants, SendOrder::Kind::kGrant, "b");
  REQUIRE(grant != nullptr);
  CHECK(grant->token > fence->token);
}

// A lost table: nobody knows which server holds the keys.
TEST_CASE("a fence leaves the keys of an owner without a name") {
  Leader leader;
  leader.assigner.BeginWithoutTable(nullptr, 5, Token(), Epoch(2), kStart,
                                    kStart);
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  leader.assigner.OnConnected("a:1");
  CHECK(leader.Orders(kStart).empty());
  const TimePoint now = kStart + seconds(8);
  const auto orders = leader.Orders(now);
  CHECK(Find(orders, SendOrder::Kind::kRelease, "a") != nullptr);
  CHECK(Find(orders, SendOrder::Kind::kRelease, "b") != nullptr);
}

// A fence that arrives after a grant would take the keys away again.
TEST_CASE("a move to a server waits while the server is fenced") {
  Leader leader = LeaderWithGrantToA();
  leader.assigner.OnConnected("b:1");
  const auto fences = leader.Orders(kStart);
  const SendOrder* fence = Find(fences, SendOrder::Kind::kRelease, "b");
  REQUIRE(fence != nullptr);
  leader.assigner.SetServers({Server("a", true), Server("b")}, kStart);
  const auto releases = leader.Orders(kStart);
  const SendOrder* release = Find(releases, SendOrder::Kind::kRelease, "a");
  REQUIRE(release != nullptr);
  leader.assigner.OnOrderReply(release->order, OrderOutcome::kDone, "", kStart);
  CHECK(Find(leader.Orders(kStart), SendOrder::Kind::kGrant, "b") == nullptr);
  leader.assigner.OnOrderReply(fence->order, OrderOutcome::kDone, "", kStart);
  CHECK(Find(leader.Orders(kStart), SendOrder::Kind::kGrant, "b") != nullptr);
}

// Guards against a grant with an outdated token: the server may restart under
// its address just before an order without a reply arrives.
TEST_CASE("a release waits until lost orders have arrived") {
  const AssignerOptions options;
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  const auto grants = leader.Orders(kStart);
  REQUIRE(grants.size() == 1);
  leader.assigner.SetServers({Server("a", true), Server("b")}, kStart);
  // Writes the table with the move.
  CHECK(leader.Orders(kStart + milliseconds(100)).empty());
  std::uint64_t lost = grants[0].order;
  TimePoint now = kStart;
  // The grant and the first release have no reply.
  for (int i = 0; i < 2; ++i) {
    now += options.order_timeout;
    leader.assigner.OnOrderReply(lost, OrderOutcome::kUnknown, "", now);
    CHECK(leader.Orders(now).empty());
    CHECK(leader.Orders(now + options.max_transit_time - milliseconds(1))
              .empty());
    now += options.max_transit_time;
    const auto releases = leader.Orders(now);
    REQUIRE(releases.size() == 1);
    CHECK(releases[0].kind == SendOrder::Kind::kRelease);
    CHECK(releases[0].token > grants[0].token);
    lost = releases[0].order;
  }
  leader.assigner.OnOrderReply(lost, OrderOutcome::kDone, "", now);
  CHECK(Find(leader.Orders(now), SendOrder::Kind::kGrant, "b") != nullptr);
}

// Guards against two holders: a grant of the previous leader may have reached
// the restarted server.
TEST_CASE(
    "a restart does not end the lease of an owner whose address is unknown") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(2),
                                kStart, kStart));
  leader.assigner.SetServers({ServerAt("a", 2, "a:1"), Server("b")}, kStart);
  // 6 s lease, 4% clock drift, 400 ms until the order is given up and 150 ms
  // transit time: 6.79 s.
  CHECK(leader.Orders(kStart + milliseconds(6780)).empty());
  const auto orders = leader.Orders(kStart + milliseconds(6800));
  CHECK(Find(orders, SendOrder::Kind::kGrant, "a") != nullptr);
  CHECK(Find(orders, SendOrder::Kind::kGrant, "b") != nullptr);
}

// Guards against two holders: the late report of an earlier start may replace
// the entry of an owner that runs.
TEST_CASE(
    "an earlier incarnation in discovery does not end the owner's lease") {
  Leader leader;
  Owner owner = OwnerOf("a", 10);
  owner.incarnation = Incarnation(2);
  REQUIRE(
      leader.assigner.Begin(TableWithOwner(owner), Epoch(1), kStart, kStart));
  leader.assigner.SetServers({ServerAt("a", 2, "a:2"), Server("b")}, kStart);
  const auto grants = leader.Orders(kStart);
  REQUIRE(grants.size() == 1);
  leader.assigner.OnOrderReply(grants[0].order, OrderOutcome::kDone, "",
                               kStart);
  const TimePoint now = kStart + seconds(1);
  leader.assigner.SetServers({ServerAt("a", 1, "a:1"), Server("b")}, now);
  const auto orders = leader.Orders(now);
  CHECK(Find(orders, SendOrder::Kind::kGrant, "b") == nullptr);
  CHECK(Find(orders, SendOrder::Kind::kGrant, "a") == nullptr);
  const SendOrder* release = Find(orders, SendOrder::Kind::kRelease, "a");
  REQUIRE(release != nullptr);
  CHECK(release->address == "a:2");
}

TEST_CASE("keys move immediately when a server restarts at another address") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a")}, kStart);
  const auto grants = leader.Orders(kStart);
  REQUIRE(grants.size() == 1);
  leader.assigner.OnOrderReply(grants[0].order, OrderOutcome::kDone, "",
                               kStart);
  leader.assigner.SetServers({ServerAt("a", 2, "a:2")}, kStart);
  const auto orders = leader.Orders(kStart);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].kind == SendOrder::Kind::kGrant);
  CHECK(orders[0].address == "a:2");
}

TEST_CASE("keys that were to return to a server wait for its old lease") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a")}, kStart);
  const auto grants = leader.Orders(kStart);
  REQUIRE(grants.size() == 1);
  leader.assigner.OnOrderReply(grants[0].order, OrderOutcome::kDone, "",
                               kStart);
  // The keys are to move to "b", back to "a" and to "c". Nobody answers the
  // releases of the keys that "a" holds.
  TimePoint now = kStart + seconds(1);
  leader.assigner.SetServers({Server("a", true), Server("b")}, now);
  CHECK(Find(leader.Orders(now), SendOrder::Kind::kGrant, "b") == nullptr);
  now += milliseconds(100);
  leader.assigner.SetServers({Server("a"), Server("b", true)}, now);
  CHECK(Find(leader.Orders(now), SendOrder::Kind::kGrant, "a") == nullptr);
  now += milliseconds(100);
  leader.assigner.SetServers(
      {Server("a", true), Server("b", true), Server("c")}, now);
  CHECK(Find(leader.Orders(now), SendOrder::Kind::kGrant, "c") == nullptr);
  now = kStart + AssignerOptions{}.lease * 2;
  CHECK(Find(leader.Orders(now), SendOrder::Kind::kGrant, "c") != nullptr);
}

TEST_CASE("an order whose connection is reset is not retried immediately") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a")}, kStart);
  TimePoint now = kStart;
  std::size_t sent = 0;
  // 1 s in steps of 1 ms.
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(1);
    for (const SendOrder& it : leader.Orders(now)) {
      ++sent;
      leader.assigner.OnOrderReply(it.order, OrderOutcome::kUnknown, "", now);
    }
  }
  const auto timeout = AssignerOptions{}.order_timeout;
  CHECK(sent >= 1);
  CHECK(sent <= 1 + seconds(1) / timeout);
}

TEST_CASE("an owner that may have restarted gets a new token") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a")}, kStart);
  TimePoint now = kStart;
  const auto first = leader.Orders(now);
  REQUIRE(first.size() == 1);
  leader.assigner.OnOrderReply(first[0].order, OrderOutcome::kDone, "", now);
  now += seconds(2);
  const auto renewals = leader.Orders(now);
  REQUIRE(renewals.size() == 1);
  leader.assigner.OnOrderReply(renewals[0].order,
                               OrderOutcome::kConnectionRefused, "", now);
  now += seconds(1);
  const auto again = leader.Orders(now);
  REQUIRE(again.size() == 1);
  CHECK(again[0].token > Token(10));
}

// Guards against clearing an owner too early: if the owner got a new token in
// the write that moves its keys, grants with the old token may still be in
// force.
TEST_CASE("a move waits for grants with a token that the same write replaced") {
  Leader leader;
  REQUIRE(leader.assigner.Begin(TableWithOwner(OwnerOf("a", 10)), Epoch(1),
                                kStart, kStart));
  leader.assigner.SetServers({Server("a"), Server("b")}, kStart);
  TimePoint now = kStart + seconds(20);
  const auto first = leader.Orders(now);
  REQUIRE(first.size() == 1);
  leader.assigner.OnOrderReply(first[0].order, OrderOutcome::kDone, "", now);
  for (int i = 0; i < 3; ++i) {
    now += seconds(2);
    const auto renewals = leader.Orders(now);
    REQUIRE(renewals.size() == 1);
    if (i == 2) {
      // The token changes and the keys move in the same write.
      leader.assigner.SetServers({Server("a", true), Server("b")}, now);
    }
    leader.assigner.OnOrderReply(renewals[0].order, OrderOutcome::kUnknown, "",
                                 now);
  }
  const auto orders = leader.Orders(now);
  CHECK(Find(orders, SendOrder::Kind::kGrant, "b") == nullptr);
}

}  // namespace
}  // namespace gentianreach::keyspace
