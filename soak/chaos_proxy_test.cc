#include "soak/chaos_proxy.h"

#include <array>
#include <chrono>
#include <functional>
#include <string>

#include <doctest/doctest.h>
#include <boost/leaf/handle_errors.hpp>

namespace gentianreach::soak {
namespace {

using net::EventLoop;
using net::IoStatus;
using net::TcpSocket;

// Timeout for expected events; far longer than they take.
constexpr Duration kTimeout = std::chrono::seconds(30);

template <typename T>
T Take(boost::leaf::result<T> result) {
  REQUIRE(result);
  return *std::move(result);
}

// A client connected to a target through a proxy.
class Link {
 public:
  Link() {
    REQUIRE(proxy.Listen("127.0.0.1:0"));
    proxy.SetTarget("127.0.0.1:" + std::to_string(listener_.port()));
    client = Take(TcpSocket::Connect(proxy.address()));
    WaitFor([this] {
      if (auto accepted = listener_.Accept()) {
        target = *std::move(accepted);
      }
      return target.is_open();
    });
    WaitFor([this] {
      return client.FinishConnect() == net::ConnectStatus::kConnected;
    });
  }

  void WaitFor(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      loop.RunOnce(false);
    }
  }
  // Returns the bytes that `socket` has received, and stores the I/O status in
  // `last`.
  static std::string Received(TcpSocket& socket, IoStatus* last) {
    std::array<char, 100> buf{};
    const net::IoResult result = socket.Receive(buf);
    *last = result.status;
    return result.status == IoStatus::kOk
               ? std::string(buf.data(), result.bytes)
               : "";
  }
  // Runs the event loop long enough for the proxy to forward pending bytes.
  void Settle() {
    for (int i = 0; i < 100; ++i) {
      loop.RunOnce(false);
      g_usleep(100);
    }
  }

  EventLoop loop;
  ChaosProxy proxy{loop};
  TcpSocket client;
  TcpSocket target;

 private:
  TcpSocket listener_ = Take(TcpSocket::Listen("127.0.0.1:0", false));
};

TEST_CASE("bytes and end of stream are forwarded in both directions") {
  Link link;
  IoStatus last = IoStatus::kOk;
  link.client.Send("ping");
  link.WaitFor([&] { return Link::Received(link.target, &last) == "ping"; });
  link.target.Send("pong");
  link.WaitFor([&] { return Link::Received(link.client, &last) == "pong"; });
  link.client.ShutdownSend();
  link.WaitFor([&] {
    Link::Received(link.target, &last);
    return last == IoStatus::kClosed;
  });
}

TEST_CASE("bytes are held back by a one-way link until the mode changes") {
  Link link;
  IoStatus last = IoStatus::kOk;
  link.proxy.SetMode(LinkMode::kOnlyToClients);
  link.client.Send("late");
  link.target.Send("pong");
  link.WaitFor([&] { return Link::Received(link.client, &last) == "pong"; });
  link.Settle();
  CHECK(Link::Received(link.target, &last).empty());
  CHECK(last == IoStatus::kWouldBlock);
  link.proxy.SetMode(LinkMode::kPass);
  link.WaitFor([&] { return Link::Received(link.target, &last) == "late"; });
}

TEST_CASE("a client that is cut in one direction gets bytes in the other") {
  Link link;
  IoStatus last = IoStatus::kOk;
  const std::string client_ip = "127.0.0.1";
  SUBCASE("nothing reaches the target") {
    link.proxy.SetClientCut(client_ip, ClientCut::kOnlyToClients);
    link.client.Send("late");
    link.target.Send("pong");
    link.WaitFor([&] { return Link::Received(link.client, &last) == "pong"; });
    link.Settle();
    CHECK(Link::Received(link.target, &last).empty());
    link.proxy.SetClientCut(client_ip, ClientCut::kNone);
    link.WaitFor([&] { return Link::Received(link.target, &last) == "late"; });
  }
  SUBCASE("nothing reaches the client") {
    link.proxy.SetClientCut(client_ip, ClientCut::kOnlyToTarget);
    link.target.Send("late");
    link.client.Send("ping");
    link.WaitFor([&] { return Link::Received(link.target, &last) == "ping"; });
    link.Settle();
    CHECK(Link::Received(link.client, &last).empty());
    link.proxy.SetClientCut(client_ip, ClientCut::kNone);
    link.WaitFor([&] { return Link::Received(link.client, &last) == "late"; });
  }
}

TEST_CASE("a cut of another client changes nothing") {
  Link link;
  IoStatus last = IoStatus::kOk;
  link.proxy.SetClientCut("127.0.0.9", ClientCut::kReset);
  link.client.Send("ping");
  link.WaitFor([&] { return Link::Received(link.target, &last) == "ping"; });
}

TEST_CASE("a reset closes both connections with an error") {
  Link link;
  link.proxy.Reset();
  for (TcpSocket* it : {&link.client, &link.target}) {
    IoStatus last = IoStatus::kOk;
    link.WaitFor([&] {
      Link::Received(*it, &last);
      return last == IoStatus::kFailed;
    });
  }
}

TEST_CASE("new connections are reset while no target is set") {
  Link link;
  link.proxy.SetTarget("");
  TcpSocket client = Take(TcpSocket::Connect(link.proxy.address()));
  IoStatus last = IoStatus::kOk;
  link.WaitFor([&] {
    Link::Received(client, &last);
    return last == IoStatus::kFailed;
  });
}

}  // namespace
}  // namespace gentianreach::soak
