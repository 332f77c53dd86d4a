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

}  // namespace
}  // namespace gentianreach
