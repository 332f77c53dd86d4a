#include "server/grant_table.h"

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

ServerTime At(int ms) {
  return ServerTime(milliseconds(ms));
}

ServerOrder Order(OrderKind kind, int token, HashRange range = {}) {
  ServerOrder order;
  order.kind = kind;
  order.epoch = Epoch(1);
  order.generation = LeaseGeneration(1);
  order.deadline = At(1000);
  order.until = At(2000);
  order.grants = {{range, Token(static_cast<std::uint64_t>(token))}};
  return order;
}

GrantTable MakeTable(ServerChecks checks = {}) {
  return GrantTable(ServerId("s1"), Incarnation(7), checks);
}

TEST_CASE("a lease expires by the server's own clock") {
  GrantTable table = MakeTable();
  CHECK(table.Handle(Order(OrderKind::kGrant, 5), At(0)).ok);
  CHECK(table.Holds(KeyHash(1), Token(5), At(1999)));
  CHECK_FALSE(table.Holds(KeyHash(1), Token(5), At(2000)));
}

TEST_CASE("an order that arrives after its deadline is refused") {
  GrantTable table = MakeTable();
  CHECK_FALSE(table.Handle(Order(OrderKind::kGrant, 5), At(1001)).ok);
  CHECK(table.grants().empty());
}

TEST_CASE(
    "a renewal does not revive an expired lease if its own end has passed") {
  GrantTable table = MakeTable();
  table.Handle(Order(OrderKind::kGrant, 5), At(0));
  ServerOrder renew = Order(OrderKind::kRenew, 5);
  renew.deadline = At(9000);
  renew.until = At(2500);
  CHECK(table.Handle(renew, At(3000)).ok);
  CHECK_FALSE(table.Holds(KeyHash(1), Token(5), At(3000)));
}

TEST_CASE("a released range is not granted again under an older token") {
  GrantTable table = MakeTable();
  table.Handle(Order(OrderKind::kGrant, 5), At(0));
  CHECK(table.Handle(Order(OrderKind::kRelease, 6), At(1)).released);
  CHECK_FALSE(table.Holds(KeyHash(1), Token(5), At(2)));
  CHECK_FALSE(table.Handle(Order(OrderKind::kGrant, 5), At(3)).ok);
  CHECK(table.Handle(Order(OrderKind::kGrant, 6), At(4)).ok);
}

TEST_CASE("a release is not confirmed while requests are running") {
  GrantTable table = MakeTable();
  table.Handle(Order(OrderKind::kGrant, 5), At(0));
  table.BeginRequest(KeyHash(9));
  CHECK_FALSE(table.Handle(Order(OrderKind::kRelease, 6), At(1)).released);
  CHECK_FALSE(table.Holds(KeyHash(9), Token(5), At(1)));
  table.EndRequest(KeyHash(9));
  CHECK(table.Handle(Order(OrderKind::kRelease, 6), At(2)).released);
}

TEST_CASE("a release removes only its own positions from a grant") {
  GrantTable table = MakeTable();
  table.Handle(Order(OrderKind::kGrant, 5, {KeyHash(0), KeyHash(99)}), At(0));
  table.Handle(Order(OrderKind::kRelease, 6, {KeyHash(10), KeyHash(10)}),
               At(1));
  CHECK(table.Holds(KeyHash(9), Token(5), At(2)));
  CHECK_FALSE(table.Holds(KeyHash(10), Token(5), At(2)));
  CHECK(table.Holds(KeyHash(11), Token(5), At(2)));
}

TEST_CASE(
    "an order of an older epoch is refused only if the issuer check is on") {
  for (const bool checks : {true, false}) {
    GrantTable table = MakeTable({.issuer = checks});
    ServerOrder newer = Order(OrderKind::kGrant, 5, {KeyHash(0), KeyHash(9)});
    newer.epoch = Epoch(2);
    table.Handle(newer, At(0));
    const ServerOrder older =
        Order(OrderKind::kGrant, 4, {KeyHash(20), KeyHash(29)});
    CHECK(table.Handle(older, At(1)).ok == !checks);
  }
}

TEST_CASE("a new lease generation removes the grants of the older one") {
  GrantTable table = MakeTable();
  table.Handle(Order(OrderKind::kGrant, 5, {KeyHash(0), KeyHash(9)}), At(0));
  ServerOrder next = Order(OrderKind::kGrant, 6, {KeyHash(20), KeyHash(29)});
  next.generation = LeaseGeneration(2);
  CHECK(table.Handle(next, At(1)).ok);
  CHECK_FALSE(table.Holds(KeyHash(5), Token(5), At(2)));
  CHECK_FALSE(table.Handle(Order(OrderKind::kRenew, 5), At(3)).ok);
}

}  // namespace
}  // namespace gentianreach
