#include "net/udp_socket.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "base/glib_ptr.h"
#include "net/socket_address.h"

namespace gentianreach::net {
namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(10);
constexpr std::size_t kDatagramSize = 1000;

void SendMany(UdpSocket& sender, const std::string& address, unsigned count) {
  const std::vector<std::uint8_t> data(kDatagramSize);
  for (unsigned i = 0; i < count; ++i) {
    sender.Send(address, data);
  }
}

// Returns how many of `count` datagrams a socket with the kernel's default
// receive buffer can hold.
unsigned DefaultCapacity(UdpSocket& sender, unsigned count) {
  const auto socket = GObjectPtr<GSocket>::Adopt(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                   G_SOCKET_PROTOCOL_UDP, nullptr));
  REQUIRE(socket);
  REQUIRE(g_socket_bind(socket.get(), ParseSocketAddress("127.0.0.1:0").get(),
                        FALSE, nullptr) != 0);
  const auto address = GObjectPtr<GSocketAddress>::Adopt(
      g_socket_get_local_address(socket.get(), nullptr));
  const auto port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address.get()));
  SendMany(sender, "127.0.0.1:" + std::to_string(port), count);
  g_socket_set_blocking(socket.get(), FALSE);
  std::array<char, kDatagramSize> data{};
  unsigned received = 0;
  while (g_socket_receive(socket.get(), data.data(), data.size(), nullptr,
                          nullptr) > 0) {
    ++received;
  }
  return received;
}

TEST_CASE("a burst that overflows the kernel's default buffer is received") {
  constexpr unsigned kCount = 2000;
  EventLoop loop;
  UdpSocket sender(loop);
  REQUIRE(sender.Open("127.0.0.1:0", [](auto) {}));
  const unsigned capacity = DefaultCapacity(sender, kCount);
  REQUIRE(capacity > 0);
  REQUIRE(capacity < kCount);
  UdpSocket receiver(loop);
  unsigned received = 0;
  REQUIRE(receiver.Open("127.0.0.1:0", [&](auto) { ++received; }));
  // The kernel doubles what it is asked for, and may cap it at its default.
  const unsigned count = std::min(kCount, capacity + capacity / 2);
  SendMany(sender, receiver.address(), count);
  const TimePoint end = loop.Now() + kTestTimeout;
  while (received + receiver.CountDropped() < count && loop.Now() < end) {
    loop.RunOnce(false);
  }
  CHECK(received == count);
}

TEST_CASE("datagrams that are dropped on arrival are counted") {
  constexpr unsigned kCount = 20000;
  EventLoop loop;
  UdpSocket sender(loop);
  REQUIRE(sender.Open("127.0.0.1:0", [](auto) {}));
  UdpSocket receiver(loop);
  unsigned received = 0;
  REQUIRE(receiver.Open("127.0.0.1:0", [&](auto) { ++received; }));
  CHECK(receiver.CountDropped() == 0);
  SendMany(sender, receiver.address(), kCount);
  const TimePoint end = loop.Now() + kTestTimeout;
  while (received + receiver.CountDropped() < kCount && loop.Now() < end) {
    loop.RunOnce(false);
  }
  CHECK(received > 0);
  CHECK(receiver.CountDropped() > 0);
  CHECK(received + receiver.CountDropped() == kCount);
  CHECK(sender.unsent() == 0);
}

TEST_CASE("datagrams that cannot be sent are counted") {
  constexpr std::size_t kTooLarge = 70'000;
  EventLoop loop;
  UdpSocket sender(loop);
  REQUIRE(sender.Open("127.0.0.1:0", [](auto) {}));
  sender.Send(sender.address(), std::vector<std::uint8_t>(1));
  CHECK(sender.unsent() == 0);
  sender.Send(sender.address(), std::vector<std::uint8_t>(kTooLarge));
  CHECK(sender.unsent() == 1);
  sender.Send("nowhere", std::vector<std::uint8_t>(1));
  CHECK(sender.unsent() == 2);
}

}  // namespace
}  // namespace gentianreach::net
