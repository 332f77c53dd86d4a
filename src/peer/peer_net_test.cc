#include "peer/peer_net.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <vector>

#include "net/tcp_socket.h"
#include "peer/frame_codec.h"

namespace gentianreach {
namespace {

constexpr int kMaxTurns = 100000;

// Returns whether `done` became true within kMaxTurns iterations of the main
// context.
template <typename Condition>
bool RunUntil(Condition done) {
  for (int i = 0; i < kMaxTurns && !done(); ++i) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(50);
  }
  return done();
}

peer::MessageUnion MakeMessage(std::uint64_t version) {
  peer::SettingsRequestT request;
  request.have = version;
  peer::MessageUnion message;
  message.Set(peer::SettingsRequestT(request));
  return message;
}

struct Daemon {
  explicit Daemon(const char* cell, const char* name)
      : net({cell, DaemonId(name), 1},
            std::nullopt,
            [this](ReceivedFrame frame) {
              received.push_back(std::move(frame));
            }) {
    port = net.Listen("127.0.0.1:0").value();
  }
  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(port);
  }

  std::vector<ReceivedFrame> received;
  PeerNet net;
  std::uint16_t port = 0;
};

TEST_CASE("messages to an address are delivered in order") {
  Daemon a("main", "a");
  Daemon b("main", "b");
  for (std::uint64_t i = 1; i <= 20; ++i) {
    a.net.Send(b.Address(), MakeMessage(i));
  }
  REQUIRE(RunUntil([&] { return b.received.size() == 20; }));
  for (std::uint64_t i = 0; i < 20; ++i) {
    CHECK(b.received.at(i).message.AsSettingsRequest()->have == i + 1);
    CHECK(b.received.at(i).sender.daemon == DaemonId("a"));
  }
}

TEST_CASE("frames of another cell are dropped and counted") {
  Daemon a("other", "a");
  Daemon b("main", "b");
  a.net.Send(b.Address(), MakeMessage(1));
  CHECK(RunUntil([&] { return b.net.counters().other_cell_frames == 1; }));
  CHECK(b.received.empty());
}

TEST_CASE(
    "Reply() uses the connection on which the daemon's last frame arrived") {
  Daemon a("main", "a");
  Daemon b("main", "b");
  a.net.Send(b.Address(), MakeMessage(1));
  REQUIRE(RunUntil([&] { return b.received.size() == 1; }));
  b.net.Reply(DaemonId("a"), MakeMessage(2));
  CHECK(RunUntil([&] { return a.received.size() == 1; }));
  b.net.Reply(DaemonId("nobody"), MakeMessage(3));
  CHECK(b.net.counters().frames_dropped == 1);
}

TEST_CASE("messages reach a new daemon at the address of a stopped one") {
  Daemon a("main", "a");
  auto b = std::make_unique<Daemon>("main", "b");
  const std::string address = b->Address();
  a.net.Send(address, MakeMessage(1));
  REQUIRE(RunUntil([&] { return b->received.size() == 1; }));
  b.reset();
  Daemon replacement("main", "b2");
  REQUIRE(replacement.net.Listen(address).value() != 0);
  CHECK(RunUntil([&] {
    a.net.Send(address, MakeMessage(2));
    return !replacement.received.empty();
  }));
}

TEST_CASE("a connection with another protocol is only counted as invalid") {
  Daemon b("main", "b");
  const auto client = GObjectPtr<GSocketClient>::Adopt(g_socket_client_new());
  const auto connection =
      GObjectPtr<GSocketConnection>::Adopt(g_socket_client_connect_to_host(
          client.get(), b.Address().c_str(), 0, nullptr, nullptr));
  REQUIRE(connection);
  GOutputStream* out =
      g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
  g_output_stream_write_all(out, "GET / HTTP/1.1\r\n\r\n", 18, nullptr, nullptr,
                            nullptr);
  CHECK(RunUntil([&] { return b.net.counters().invalid_frames == 1; }));
  CHECK(b.received.empty());
}

// Connects to a daemon and sends `bytes`, then closes the connection.
void SendAndClose(const Daemon& daemon,
                  const std::vector<std::uint8_t>& bytes,
                  bool reset) {
  const auto client = GObjectPtr<GSocketClient>::Adopt(g_socket_client_new());
  const auto connection =
      GObjectPtr<GSocketConnection>::Adopt(g_socket_client_connect_to_host(
          client.get(), daemon.Address().c_str(), 0, nullptr, nullptr));
  REQUIRE(connection);
  GSocket* socket = g_socket_connection_get_socket(connection.get());
  REQUIRE(g_socket_send(socket, reinterpret_cast<const gchar*>(bytes.data()),
                        bytes.size(), nullptr,
                        nullptr) == static_cast<gssize>(bytes.size()));
  if (reset) {
    net::ResetOnClose(g_socket_get_fd(socket));
  }
  g_socket_close(socket, nullptr);
}

TEST_CASE("a frame that is cut off is not delivered") {
  const std::vector<std::uint8_t> whole =
      EncodeFrame({"main", DaemonId("a"), 1}, MakeMessage(1));
  for (std::size_t n = 1; n < whole.size(); ++n) {
    for (const bool reset : {false, true}) {
      CAPTURE(n);
      CAPTURE(reset);
      Daemon b("main", "b");
      SendAndClose(b, {whole.begin(), whole.begin() + static_cast<int>(n)},
                   reset);
      SendAndClose(b, whole, false);
      CHECK(RunUntil([&] { return !b.received.empty(); }));
      CHECK(b.net.counters().invalid_frames == 0);
      CHECK(b.received.size() == 1);
    }
  }
}

}  // namespace
}  // namespace gentianreach
