#include "proxy/server_pool.h"

#include <memory>
#include <optional>

#include <doctest/doctest.h>

#include "proxy/proxy_test_support.h"

namespace gentianreach::proxy {
namespace {

// Sends a request on `connection` and returns it to the pool.
void RoundTrip(net::EventLoop& loop,
               ServerPool& pool,
               const std::shared_ptr<ServerConnection>& connection) {
  bool done = false;
  connection->Start("GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n", false, true,
                    [&done](ServerEvent event) {
                      done = done || event == ServerEvent::kEnd;
                    });
  testing::RunUntil(loop, [&] { return done; });
  pool.Release(connection);
}

TEST_CASE("a connection that may not be reused makes room for a new one") {
  net::EventLoop loop;
  testing::FakeServer server(loop);
  const auto pool =
      std::make_shared<ServerPool>(loop, server.address(), std::nullopt);
  pool->SetLimit(2);
  const auto first = pool->Acquire();
  const auto second = pool->Acquire();
  RoundTrip(loop, *pool, first);
  const auto not_first = [&](const ServerConnection& it) {
    return &it != first.get();
  };

  // Both connections are open, and the idle one is closed.
  const auto third = pool->Acquire(not_first);
  REQUIRE(third);
  CHECK(third != first);
  CHECK(pool->open() == 2);
  CHECK_FALSE(first->Reusable());
  CHECK(pool->Acquire(not_first) == nullptr);

  // A connection that may be reused is.
  RoundTrip(loop, *pool, second);
  CHECK(pool->Acquire(not_first) == second);
}

}  // namespace
}  // namespace gentianreach::proxy
