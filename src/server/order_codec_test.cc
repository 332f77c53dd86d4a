#include "server/order_codec.h"

#include <doctest/doctest.h>

namespace gentianreach {
namespace {

TEST_CASE("a decoded order keeps all 64 bits of its positions") {
  ServerOrder order;
  order.kind = OrderKind::kRelease;
  order.epoch = Epoch(3);
  order.generation = LeaseGeneration(4);
  order.deadline = ServerTime(std::chrono::milliseconds(99));
  order.grants = {{{KeyHash(0xfffffffffffffff1ULL), KeyHash(~0ULL)}, Token(8)}};
  const auto decoded = DecodeOrder(EncodeOrder(order));
  REQUIRE(decoded.has_value());
  CHECK(decoded->kind == OrderKind::kRelease);
  CHECK(decoded->epoch == Epoch(3));
  CHECK(decoded->deadline == order.deadline);
  CHECK(decoded->grants.at(0).range == order.grants.at(0).range);
  CHECK(decoded->grants.at(0).token == Token(8));
}

TEST_CASE("text that is not a valid order or response is not decoded") {
  CHECK_FALSE(DecodeOrder("").has_value());
  CHECK_FALSE(DecodeOrder("[]").has_value());
  CHECK_FALSE(DecodeOrder(R"({"kind":"explode"})").has_value());
  CHECK_FALSE(
      DecodeOrder(
          R"({"kind":"grant","grants":[{"first":"1x","last":"2","token":1}]})")
          .has_value());
  CHECK_FALSE(DecodeResponse(R"({"ok":"yes"})").has_value());
}

TEST_CASE("a decoded response contains the load report") {
  ServerResponse response;
  response.reply.ok = true;
  response.reply.incarnation = Incarnation(5);
  response.load.in_flight = 2;
  const auto decoded = DecodeResponse(EncodeResponse(response));
  REQUIRE(decoded.has_value());
  CHECK(decoded->reply.incarnation == Incarnation(5));
  CHECK(decoded->load.in_flight == 2);
}

}  // namespace
}  // namespace gentianreach
