#include "cell/server_lease.h"

#include <doctest/doctest.h>

namespace gentianreach::cell {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{std::chrono::hours(1)};

ServerReply ReplyAt(std::int64_t clock_ms) {
  ServerReply reply;
  reply.incarnation = Incarnation(7);
  reply.clock = ServerTime(std::chrono::milliseconds(clock_ms));
  return reply;
}

TEST_CASE("an extension is based on the server's last response") {
  ServerLease lease;
  lease.OnReply(ReplyAt(5000), kStart, kStart + 10ms);
  ServerOrder order;
  lease.Extend(order, 1200ms, kStart + 5000ms, 0);
  CHECK(order.until == ServerTime(6200ms));
  CHECK(order.deadline == ServerTime(6200ms));
  CHECK(order.incarnation == Incarnation(7));
  CHECK(lease.extension_base() == kStart + 10ms);
}

TEST_CASE("no order outlives the permit of its issuer") {
  ServerLease lease;
  lease.OnReply(ReplyAt(5000), kStart, kStart + 10ms);
  ServerOrder order;
  lease.Extend(order, 1200ms, kStart + 110ms, 0.1);
  CHECK(order.deadline == ServerTime(5090ms));
  lease.SetDeadline(order, 1200ms, kStart + 110ms, 0);
  CHECK(order.deadline == ServerTime(5100ms));
}

TEST_CASE("a response that arrives after a later one is ignored") {
  ServerLease lease;
  lease.OnReply(ReplyAt(5000), kStart + 5ms, kStart + 10ms);
  lease.OnReply(ReplyAt(4000), kStart, kStart + 20ms);
  CHECK(lease.last_reply().clock == ServerTime(5000ms));
}

}  // namespace
}  // namespace gentianreach::cell
