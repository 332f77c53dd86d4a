#include "soak/datagram_proxy.h"

#include <chrono>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "net/socket_address.h"
#include "net/udp_socket.h"
#include "standins/loopback_block.h"

namespace gentianreach::soak {
namespace {

// Timeout for expected events; far longer than they take.
constexpr Duration kTimeout = std::chrono::seconds(30);
constexpr const char* kPort = ":7002";

// Two endpoints that reach each other through a proxy.
class Link {
 public:
  struct End {
    explicit End(net::EventLoop& loop) : socket(loop) {}
    std::string ip;
    std::string advertised;
    net::UdpSocket socket;
    std::vector<std::string> received;
  };

  Link() {
    // Unique, since sockets of an earlier test may still be open.
    static int last_host = 0;
    for (End* it : {&a, &b}) {
      it->ip = standins::LoopbackBlock() + std::to_string(++last_host);
      it->advertised =
          standins::LoopbackBlock() + std::to_string(++last_host) + kPort;
      REQUIRE(proxy.Add(it->advertised, it->ip + kPort));
      REQUIRE(it->socket.Open(it->ip + kPort, [it](auto data) {
        it->received.emplace_back(data.begin(), data.end());
      }));
    }
  }

  static void Send(End& from, const End& to, const std::string& text) {
    from.socket.Send(to.advertised,
                     std::vector<std::uint8_t>(text.begin(), text.end()));
  }
  void WaitFor(const std::function<bool()>& done) {
    const TimePoint end = loop.Now() + kTimeout;
    while (!done()) {
      REQUIRE(loop.Now() < end);
      loop.RunOnce(false);
    }
  }

  net::EventLoop loop;
  DatagramProxy proxy{loop};
  End a{loop};
  End b{loop};
};

TEST_CASE("datagrams are forwarded in both directions") {
  Link link;
  Link::Send(link.a, link.b, "ping");
  Link::Send(link.b, link.a, "pong");
  link.WaitFor([&] {
    return link.a.received.size() == 1 && link.b.received.size() == 1;
  });
  CHECK(link.b.received[0] == "ping");
  CHECK(link.a.received[0] == "pong");
  CHECK(link.proxy.dropped() == 0);
}

TEST_CASE("the receiver sees the address at which the sender is reached") {
  Link link;
  std::string source;
  // A socket that tells the source, in the place of an endpoint.
  const std::string ip = standins::LoopbackBlock() + "201";
  const std::string advertised = standins::LoopbackBlock() + "202" + kPort;
  REQUIRE(link.proxy.Add(advertised, ip + kPort));
  const auto socket = GObjectPtr<GSocket>::Adopt(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                   G_SOCKET_PROTOCOL_UDP, nullptr));
  const auto bound = net::ParseSocketAddress(ip + kPort);
  REQUIRE(g_socket_bind(socket.get(), bound.get(), FALSE, nullptr) != 0);
  g_socket_set_blocking(socket.get(), FALSE);
  link.a.socket.Send(advertised, std::vector<std::uint8_t>(1));
  link.WaitFor([&] {
    char byte = 0;
    GSocketAddress* raw = nullptr;
    if (g_socket_receive_from(socket.get(), &raw, &byte, 1, nullptr, nullptr) <
        0) {
      return false;
    }
    source = net::IpText(GObjectPtr<GSocketAddress>::Adopt(raw).get());
    return true;
  });
  CHECK(source + kPort == link.a.advertised);
}

TEST_CASE("a cut drops datagrams in one direction until it ends") {
  Link link;
  link.proxy.SetCut(link.a.ip, link.b.ip, true);
  Link::Send(link.a, link.b, "lost");
  Link::Send(link.b, link.a, "pong");
  link.WaitFor(
      [&] { return link.a.received.size() == 1 && link.proxy.dropped() == 1; });
  CHECK(link.b.received.empty());
  link.proxy.SetCut(link.a.ip, link.b.ip, false);
  Link::Send(link.a, link.b, "ping");
  link.WaitFor([&] { return !link.b.received.empty(); });
  CHECK(link.b.received == std::vector<std::string>{"ping"});
}

TEST_CASE("datagrams of unknown senders are dropped") {
  Link link;
  net::UdpSocket stranger(link.loop);
  REQUIRE(stranger.Open("127.0.0.1:0", [](auto) {}));
  stranger.Send(link.a.advertised, std::vector<std::uint8_t>(1));
  link.WaitFor([&] { return link.proxy.dropped() == 1; });
  CHECK(link.a.received.empty());
}

TEST_CASE("an address that is in use or none is reported") {
  Link link;
  CHECK_FALSE(link.proxy.Add(link.a.ip + kPort, link.b.ip + kPort));
  CHECK_FALSE(link.proxy.Add("nowhere", link.b.ip + kPort));
}

}  // namespace
}  // namespace gentianreach::soak
