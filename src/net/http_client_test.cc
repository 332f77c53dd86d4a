#include "net/http_client.h"

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "daemon/operator_server.h"
#include "standins/loopback_block.h"

namespace {

std::size_t g_receive_calls = 0;

}  // namespace

// Counts the receive calls of all libraries in this process.
extern "C" ssize_t recv(int fd, void* buf, std::size_t n, int flags) {
  ++g_receive_calls;
  return syscall(SYS_recvfrom, fd, buf, n, flags, nullptr, nullptr);
}

namespace gentianreach {
namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(30);

// A server on a loopback address of its own.
class Server {
 public:
  explicit Server(int host)
      : address_(standins::LoopbackBlock() + std::to_string(host) + ":7004") {
    server_.Handle("GET", "/", [](const OperatorRequest&) {
      return OperatorResponse{200, "text/plain", "ok"};
    });
    REQUIRE(server_.Listen(address_));
  }

  [[nodiscard]] HttpCall Call() const {
    HttpCall call;
    call.url = "http://" + address_ + "/";
    call.deadline = MonotonicClock().Now() + kRequestTimeout;
    return call;
  }

 private:
  const std::string address_;
  OperatorServer server_;
};

std::vector<std::unique_ptr<Server>> Servers(int n) {
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 1; i <= n; ++i) {
    servers.push_back(std::make_unique<Server>(i));
  }
  return servers;
}

TEST_CASE("a call does not read from idle connections to other servers") {
  const auto servers = Servers(200);
  HttpClient client;
  for (const auto& it : servers) {
    CHECK(client.SendAndWait(it->Call()).body == "ok");
  }
  g_receive_calls = 0;
  CHECK(client.SendAndWait(servers[0]->Call()).body == "ok");
  CHECK(g_receive_calls > 0);
  CHECK(g_receive_calls < servers.size());
}

TEST_CASE("a call from a source that is no IP address fails and says so") {
  const Server server(1);
  HttpClient client("nowhere");
  const HttpResponse response = client.SendAndWait(server.Call());
  CHECK(response.status == 0);
  CHECK(response.error == "nowhere: not an IP address");
  CHECK_FALSE(response.may_have_arrived);
}

// A server that accepts connections and does not read from them until asked.
class StalledServer {
 public:
  explicit StalledServer(int host)
      : address_(standins::LoopbackBlock() + std::to_string(host)),
        listener_(GObjectPtr<GSocket>::Adopt(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                                          G_SOCKET_TYPE_STREAM,
                                                          G_SOCKET_PROTOCOL_TCP,
                                                          nullptr))) {
    const auto local = GObjectPtr<GSocketAddress>::Adopt(
        g_inet_socket_address_new_from_string(address_.c_str(), kPort));
    REQUIRE(g_socket_bind(listener_.get(), local.get(), TRUE, nullptr));
    REQUIRE(g_socket_listen(listener_.get(), nullptr));
  }

  [[nodiscard]] std::string Url() const {
    return "http://" + address_ + ":" + std::to_string(kPort) + "/";
  }

  struct Received {
    std::size_t bytes = 0;
    bool reset = false;
  };
  // Reads the first connection to its end.
  [[nodiscard]] Received ReadAll() const {
    Received received;
    const auto connection = GObjectPtr<GSocket>::Adopt(
        g_socket_accept(listener_.get(), nullptr, nullptr));
    REQUIRE(connection);
    g_socket_set_timeout(connection.get(), kReadTimeoutSeconds);
    std::vector<char> buf(1 << 16);
    GError* raw_error = nullptr;
    gssize n = 0;
    do {
      n = g_socket_receive(connection.get(), buf.data(), buf.size(), nullptr,
                           &raw_error);
      received.bytes += n > 0 ? static_cast<std::size_t>(n) : 0;
    } while (n > 0);
    const GErrorPtr error(raw_error);
    received.reset = n < 0 && g_error_matches(error.get(), G_IO_ERROR,
                                              G_IO_ERROR_CONNECTION_CLOSED);
    return received;
  }

 private:
  static constexpr guint16 kPort = 7004;
  static constexpr guint kReadTimeoutSeconds = 30;

  const std::string address_;
  const GObjectPtr<GSocket> listener_;
};

TEST_CASE("nothing of a call is sent after its deadline") {
  const StalledServer server(201);
  HttpClient client;
  HttpCall call;
  call.method = "POST";
  call.url = server.Url();
  // More than the buffers of both sockets hold.
  call.body.assign(std::size_t{64} << 20, 'x');
  call.deadline = MonotonicClock().Now() + std::chrono::milliseconds(200);
  const std::size_t size = call.body.size();
  CHECK(client.SendAndWait(std::move(call)).status == 0);
  // libsoup closes the connection in a later iteration.
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  const auto received = server.ReadAll();
  CHECK(received.reset);
  CHECK(received.bytes < size);
}

}  // namespace
}  // namespace gentianreach
