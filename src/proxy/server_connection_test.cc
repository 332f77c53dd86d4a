#include "proxy/server_connection.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "net/tcp_socket.h"
#include "platform/platform_client.h"
#include "platform/testing/fake_server.h"
#include "platform/testing/raw_server.h"

namespace gentianreach::proxy {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTestTimeout = std::chrono::seconds(30);
// Until when a request may be written, and how late the loop is.
constexpr milliseconds kSendTime{20};
constexpr milliseconds kLoopDelay{60};

// Sends a request on a new connection, whose loop is late by `loop_delay` when
// the connection opens. Returns the last event and the failure.
std::pair<ServerEvent, ServerFailure> SendLate(
    platform::testing::FakeServer& server,
    milliseconds loop_delay) {
  net::EventLoop loop;
  const auto connection = std::make_shared<ServerConnection>(
      loop, [](ServerConnection*) {}, ServerConnectionOptions{});
  connection->Connect(server.address());
  std::optional<ServerEvent> end;
  connection->Start(
      "GET /x HTTP/1.1\r\nHost: a.example\r\n" +
          platform::PlatformHeaders().request_id + ": late\r\n\r\n",
      false, true,
      [&end](ServerEvent event) {
        if (event == ServerEvent::kEnd || event == ServerEvent::kFailed) {
          end = event;
        }
      },
      loop.Now() + kSendTime);
  std::this_thread::sleep_for(loop_delay);
  const TimePoint give_up = loop.Now() + kTestTimeout;
  while (!end) {
    REQUIRE(loop.Now() < give_up);
    loop.RunOnce(false);
  }
  return {*end, connection->failure()};
}

TEST_CASE("a request is not written once its time to be sent has passed") {
  platform::testing::FakeServer server("s1", "plain", false);
  CHECK(SendLate(server, milliseconds(0)) ==
        std::pair(ServerEvent::kEnd, ServerFailure::kNone));
  REQUIRE(server.arrivals().size() == 1);
  CHECK(SendLate(server, kLoopDelay) ==
        std::pair(ServerEvent::kFailed, ServerFailure::kTooLate));
  CHECK(server.arrivals().size() == 1);
}

TEST_CASE("a connection that is closed while it is established is closed") {
  auto listener = net::TcpSocket::Listen("127.0.0.1:0", false);
  REQUIRE(listener);
  net::EventLoop loop;
  bool closed = false;
  const auto connection = std::make_shared<ServerConnection>(
      loop, [&closed](ServerConnection*) { closed = true; },
      ServerConnectionOptions{});
  connection->Connect("127.0.0.1:" + std::to_string(listener->port()));
  // Both are reported in the same iteration of the loop.
  std::optional<net::TcpSocket> accepted;
  while (!accepted) {
    accepted = listener->Accept();
  }
  accepted->Close();
  std::this_thread::sleep_for(kLoopDelay);
  for (int i = 0; i < 10; ++i) {
    loop.RunOnce(false);
  }
  CHECK(closed);
}

// Guards against new connections to servers that would have kept the old ones.
TEST_CASE("an idle connection is kept for as long as its server announces") {
  net::EventLoop loop;
  platform::testing::RawServer server(loop, [](const http::MessageHead&) {
    return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\n"
           "Content-Length: 0\r\n\r\n";
  });
  const auto connection = std::make_shared<ServerConnection>(
      loop, [](ServerConnection*) {},
      ServerConnectionOptions{.idle_timeout = milliseconds(20)});
  connection->Connect(server.address());
  bool ended = false;
  connection->Start("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, true,
                    [&ended](ServerEvent event) {
                      ended = ended || event == ServerEvent::kEnd;
                    });
  loop.RunUntil([&] { return ended; });
  const TimePoint until = loop.Now() + milliseconds(100);
  while (loop.Now() < until) {
    loop.RunOnce(false);
  }
  CHECK(connection->Reusable());
}

// Guards against taking a body that was not read for the next response.
TEST_CASE("a connection is not used again after a 204 that states a body") {
  struct Case {
    const char* fields;
    bool reusable;
  };
  for (const Case& it : {Case{"", true}, Case{"Content-Length: 0\r\n", true},
                         Case{"Content-Length: 4\r\n", false},
                         Case{"Transfer-Encoding: chunked\r\n", false}}) {
    CAPTURE(std::string(it.fields));
    net::EventLoop loop;
    platform::testing::RawServer server(loop, [&](const http::MessageHead&) {
      return "HTTP/1.1 204 No Content\r\n" + std::string(it.fields) + "\r\n";
    });
    const auto connection = std::make_shared<ServerConnection>(
        loop, [](ServerConnection*) {}, ServerConnectionOptions{});
    connection->Connect(server.address());
    std::optional<ServerEvent> end;
    connection->Start(
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, true,
        [&end](ServerEvent event) {
          if (event != ServerEvent::kHead && event != ServerEvent::kDrained) {
            end = event;
          }
        });
    loop.RunUntil([&] { return end.has_value(); });
    CHECK(end == ServerEvent::kEnd);
    CHECK(connection->Reusable() == it.reusable);
  }
}

}  // namespace
}  // namespace gentianreach::proxy
