#include "net/http_client.h"

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "daemon/operator_server.h"
#include "net/tcp_socket.h"
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
  // The connection is closed in a later iteration.
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  const auto received = server.ReadAll();
  CHECK(received.reset);
  CHECK(received.bytes < size);
}

// A server that answers all requests but the first that is no GET.
class BreakingServer {
 public:
  // How the connection of that request ends.
  enum class End : std::uint8_t {
    kClosedAfterHead,
    kClosedAfterBody,
    kResetAfterHead,
    kResetAfterBody,
    kClosedInResponseHead,
    kClosedInResponseBody,
    kRedirected,
    kMisdirected,
  };

  BreakingServer(int host, End end)
      : address_(standins::LoopbackBlock() + std::to_string(host)),
        end_(end),
        service_(GObjectPtr<GSocketService>::Adopt(g_socket_service_new())) {
    const auto local = GObjectPtr<GSocketAddress>::Adopt(
        g_inet_socket_address_new_from_string(address_.c_str(), kPort));
    REQUIRE(g_socket_listener_add_address(
        G_SOCKET_LISTENER(service_.get()), local.get(), G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr));
    g_signal_connect(service_.get(), "incoming", G_CALLBACK(&OnConnection),
                     this);
  }
  BreakingServer(const BreakingServer&) = delete;
  BreakingServer& operator=(const BreakingServer&) = delete;
  ~BreakingServer() {
    StopListening();
    CloseConnections();
  }

  // Ends the connection of the next GET like that of the first other request.
  void BreakNextRead() { break_next_read_ = true; }
  void CloseConnections() {
    for (auto& it : connections_) {
      it.Close();
    }
  }
  void StopListening() {
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
  }

  [[nodiscard]] HttpCall Call(std::string method, std::string body = {}) const {
    HttpCall call;
    call.method = std::move(method);
    call.url = "http://" + address_ + ":" + std::to_string(kPort) + "/";
    call.body = std::move(body);
    call.deadline = MonotonicClock().Now() + kRequestTimeout;
    return call;
  }

  // Returns the method and the body of each request that is no GET.
  [[nodiscard]] const std::vector<std::string>& writes() const {
    return writes_;
  }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  // Returns the number of bytes that are part of no complete request.
  [[nodiscard]] std::size_t incomplete_bytes() const {
    std::size_t bytes = 0;
    for (const auto& it : connections_) {
      bytes += it.unread.size();
    }
    return bytes;
  }

 private:
  static constexpr guint16 kPort = 7004;

  struct Connection {
    BreakingServer* server = nullptr;
    GObjectPtr<GSocketConnection> stream;
    GSource* source = nullptr;
    std::string unread;

    [[nodiscard]] GSocket* socket() const {
      return g_socket_connection_get_socket(stream.get());
    }
    [[nodiscard]] bool open() const { return source != nullptr; }
    void Close() {
      if (!open()) {
        return;
      }
      g_source_destroy(source);
      g_source_unref(std::exchange(source, nullptr));
      g_socket_close(socket(), nullptr);
    }
    void Send(const std::string& text) const {
      g_socket_send(socket(), text.data(), text.size(), nullptr, nullptr);
    }
  };

  static gboolean OnConnection(GSocketService* /*service*/,
                               GSocketConnection* stream,
                               GObject* /*source*/,
                               gpointer self) {
    auto* server = static_cast<BreakingServer*>(self);
    Connection& connection = server->connections_.emplace_back();
    connection.server = server;
    connection.stream = GObjectPtr<GSocketConnection>::Share(stream);
    connection.source =
        g_socket_create_source(connection.socket(), G_IO_IN, nullptr);
    g_source_set_callback(connection.source, G_SOURCE_FUNC(&OnReadable),
                          &connection, nullptr);
    g_source_attach(connection.source, nullptr);
    return TRUE;
  }

  static gboolean OnReadable(GSocket* socket,
                             GIOCondition /*condition*/,
                             gpointer data) {
    auto& connection = *static_cast<Connection*>(data);
    std::vector<char> buf(1 << 16);
    const gssize n =
        g_socket_receive(socket, buf.data(), buf.size(), nullptr, nullptr);
    if (n <= 0) {
      connection.Close();
      return G_SOURCE_REMOVE;
    }
    connection.unread.append(buf.data(), static_cast<std::size_t>(n));
    while (connection.open() && connection.server->HandleRequest(connection)) {
    }
    return connection.open() ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
  }

  // Returns whether there was a complete request.
  bool HandleRequest(Connection& connection) {
    const std::string end_of_head = "\r\n\r\n";
    const std::string length_field = "Content-Length: ";
    std::string& unread = connection.unread;
    const std::size_t head_end = unread.find(end_of_head);
    if (head_end == std::string::npos) {
      return false;
    }
    const std::string method = unread.substr(0, unread.find(' '));
    const bool breaks = method == "GET" ? std::exchange(break_next_read_, false)
                                        : writes_.empty();
    if (breaks &&
        (end_ == End::kClosedAfterHead || end_ == End::kResetAfterHead)) {
      if (method != "GET") {
        writes_.push_back(method + " ");
      }
      unread.clear();
      Break(connection);
      return true;
    }
    const std::size_t length_at = unread.find(length_field);
    const std::size_t length =
        length_at > head_end
            ? 0
            : std::stoul(unread.substr(length_at + length_field.size()));
    const std::size_t body_at = head_end + end_of_head.size();
    if (unread.size() < body_at + length) {
      return false;
    }
    if (method != "GET") {
      writes_.push_back(method + " " + unread.substr(body_at, length));
    }
    unread.erase(0, body_at + length);
    if (breaks) {
      Break(connection);
    } else {
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
    return true;
  }

  void Break(Connection& connection) const {
    switch (end_) {
      case End::kClosedAfterHead:
      case End::kClosedAfterBody:
        break;
      case End::kResetAfterHead:
      case End::kResetAfterBody:
        net::ResetOnClose(g_socket_get_fd(connection.socket()));
        break;
      case End::kClosedInResponseHead:
        connection.Send("HTTP/1.1 200 OK\r\nContent-Le");
        break;
      case End::kClosedInResponseBody:
        connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
        break;
      case End::kRedirected:
        connection.Send(
            "HTTP/1.1 303 See Other\r\nLocation: /elsewhere\r\n"
            "Content-Length: 0\r\n\r\n");
        return;
      case End::kMisdirected:
        connection.Send(
            "HTTP/1.1 421 Misdirected Request\r\nETag: \"7\"\r\n"
            "Content-Length: 2\r\n\r\nno");
        return;
    }
    connection.Close();
  }

  const std::string address_;
  const End end_;
  const GObjectPtr<GSocketService> service_;
  std::list<Connection> connections_;
  std::vector<std::string> writes_;
  bool break_next_read_ = false;
};

// Runs the main context for longer than a call on loopback takes.
void RunMainContext() {
  const TimePoint end = MonotonicClock().Now() + std::chrono::milliseconds(50);
  while (MonotonicClock().Now() < end) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(1000);
  }
}

// Opens `n` connections that are kept.
void OpenConnections(HttpClient& client, const BreakingServer& server, int n) {
  int answered = 0;
  for (int i = 0; i < n; ++i) {
    HttpCall call = server.Call("GET");
    call.new_connection = true;
    client.Send(std::move(call), [&answered](const HttpResponse& it) {
      CHECK(it.status == 200);
      ++answered;
    });
  }
  while (answered < n) {
    g_main_context_iteration(nullptr, TRUE);
  }
  REQUIRE(server.connections() == static_cast<std::size_t>(n));
}

using End = BreakingServer::End;

TEST_CASE(
    "a call whose kept connection ends without a response is not resent") {
  // With more than one kept connection, another one is free for a resend.
  for (const int kept : {1, 3}) {
    for (const std::string method : {"PUT", "DELETE", "POST", "OPTIONS"}) {
      for (const End end :
           {End::kClosedAfterBody, End::kResetAfterBody,
            End::kClosedInResponseHead, End::kClosedInResponseBody}) {
        CAPTURE(kept);
        CAPTURE(method);
        CAPTURE(static_cast<int>(end));
        BreakingServer server(202, end);
        HttpClient client;
        OpenConnections(client, server, kept);
        const HttpResponse response =
            client.SendAndWait(server.Call(method, "{\"rev\":83}"));
        RunMainContext();
        CHECK(response.status == 0);
        CHECK(response.may_have_arrived);
        CHECK_FALSE(response.error.empty());
        CHECK(server.writes().size() == 1);
        CHECK(server.writes().back() == method + " {\"rev\":83}");
        CHECK(server.incomplete_bytes() == 0);
      }
    }
  }
}

TEST_CASE("a call whose kept connection ends before its body is not resent") {
  for (const std::size_t size : {std::size_t{0}, std::size_t{16} << 20}) {
    for (const End end : {End::kClosedAfterHead, End::kResetAfterHead}) {
      CAPTURE(size);
      CAPTURE(static_cast<int>(end));
      BreakingServer server(202, end);
      HttpClient client;
      OpenConnections(client, server, 3);
      const HttpResponse response =
          client.SendAndWait(server.Call("PUT", std::string(size, 'x')));
      RunMainContext();
      CHECK(response.status == 0);
      CHECK(response.error == "connection closed before the response");
      CHECK(server.writes().size() == 1);
      CHECK(server.incomplete_bytes() == 0);
    }
  }
}

TEST_CASE("a call that was sent is not reported as unsent if a resend fails") {
  BreakingServer server(202, End::kClosedAfterBody);
  HttpClient client;
  OpenConnections(client, server, 1);
  server.StopListening();
  const HttpResponse response = client.SendAndWait(server.Call("PUT", "x"));
  CHECK(response.status == 0);
  CHECK(response.may_have_arrived);
  CHECK(server.writes().size() == 1);
}

TEST_CASE("a call after one without a response is sent on a new connection") {
  BreakingServer server(202, End::kClosedAfterBody);
  HttpClient client;
  OpenConnections(client, server, 1);
  CHECK(client.SendAndWait(server.Call("PUT", "a")).status == 0);
  CHECK(client.SendAndWait(server.Call("PUT", "b")).status == 200);
  CHECK(server.writes() == std::vector<std::string>{"PUT a", "PUT b"});
}

TEST_CASE("a redirect is a response and not followed") {
  const BreakingServer server(202, End::kRedirected);
  HttpClient client;
  CHECK(client.SendAndWait(server.Call("PUT", "x")).status == 303);
  CHECK(server.writes().size() == 1);
}

TEST_CASE("a call that is answered with 421 is not resent") {
  for (const std::string method : {"POST", "PUT"}) {
    CAPTURE(method);
    const BreakingServer server(202, End::kMisdirected);
    HttpClient client;
    OpenConnections(client, server, 1);
    const HttpResponse response = client.SendAndWait(server.Call(method, "x"));
    RunMainContext();
    CHECK(response.status == 421);
    CHECK(response.etag == "\"7\"");
    CHECK(server.writes().size() == 1);
    CHECK(server.writes().back() == method + " x");
    CHECK(server.incomplete_bytes() == 0);
  }
}

TEST_CASE("a read whose kept connection ends without a response is repeated") {
  for (const End end : {End::kClosedAfterHead, End::kResetAfterHead}) {
    CAPTURE(static_cast<int>(end));
    BreakingServer server(202, end);
    HttpClient client;
    OpenConnections(client, server, 1);
    server.BreakNextRead();
    CHECK(client.SendAndWait(server.Call("GET")).status == 200);
    CHECK(server.connections() == 2);
  }
}

TEST_CASE("a call is not sent on a kept connection that was closed before") {
  for (const bool noticed : {false, true}) {
    CAPTURE(noticed);
    BreakingServer server(202, End::kRedirected);
    HttpClient client;
    OpenConnections(client, server, 3);
    server.CloseConnections();
    if (noticed) {
      RunMainContext();
    }
    CHECK(client.SendAndWait(server.Call("PUT", "x")).status == 303);
    CHECK(server.writes() == std::vector<std::string>{"PUT x"});
    CHECK(server.connections() == 4);
  }
}

}  // namespace
}  // namespace gentianreach
