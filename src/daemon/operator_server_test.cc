#include "daemon/operator_server.h"

#include <poll.h>

#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <boost/leaf/handle_errors.hpp>

#include "net/http_client.h"
#include "net/tcp_socket.h"

namespace gentianreach {
namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(30);

std::string AddressOf(OperatorServer& server) {
  const auto port = server.Listen("127.0.0.1:0");
  REQUIRE(port);
  return "127.0.0.1:" + std::to_string(*port);
}

TEST_CASE("a request is dispatched to the handler of its path and method") {
  OperatorServer server;
  server.Handle("GET", "/hello", [](const OperatorRequest& request) {
    return OperatorResponse{200, "text/plain",
                            "hello " + request.Query("name")};
  });
  const std::string url = "http://" + AddressOf(server);
  HttpClient client;
  const auto send = [&](const std::string& method, const std::string& path) {
    HttpCall call;
    call.method = method;
    call.url = url + path;
    call.deadline = MonotonicClock().Now() + kRequestTimeout;
    return client.SendAndWait(std::move(call));
  };
  CHECK(send("GET", "/hello?name=ana").body == "hello ana");
  CHECK(send("GET", "/other").status == 404);
  CHECK(send("POST", "/hello").status == 405);
}

TEST_CASE("200 simultaneous connections fit into the listen backlog") {
  OperatorServer server;
  const std::string address = AddressOf(server);
  std::vector<net::TcpSocket> sockets;
  // The main context does not run, so the server accepts no connection.
  for (int i = 0; i < 200; ++i) {
    auto socket = net::TcpSocket::Connect(address);
    REQUIRE(socket);
    sockets.push_back(*std::move(socket));
    // The socket becomes writable once the kernel has queued the connection.
    pollfd it{sockets.back().fd(), POLLOUT, 0};
    CHECK(poll(&it, 1, 0) == 1);
  }
}

TEST_CASE("listening on an address that is in use is an error") {
  OperatorServer server;
  const std::string address = AddressOf(server);
  OperatorServer other;
  std::string message;
  const bool listens = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(other.Listen(address));
        return true;
      },
      [&](const ListenError& error) {
        message = error.message;
        return false;
      },
      [] { return false; });
  CHECK_FALSE(listens);
  CHECK(message.find(address) != std::string::npos);
}

}  // namespace
}  // namespace gentianreach
