// Support for the tests of the data path: a fake backend server and a caller
// over real loopback sockets, both on the proxy's own loop.
#ifndef SRC_PROXY_PROXY_TEST_SUPPORT_H_
#define SRC_PROXY_PROXY_TEST_SUPPORT_H_

#include <linux/filter.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "gentianreach/router.h"
#include "http/message_parser.h"
#include "net/event_loop.h"
#include "net/tcp_socket.h"
#include "proxy/proxy_server.h"

namespace gentianreach::proxy::testing {

using namespace std::chrono_literals;

// Runs the loop until `done` returns true; fails the test after 20 s.
inline void RunUntil(net::EventLoop& loop, const std::function<bool()>& done) {
  bool expired = false;
  const auto timer = loop.AddTimer(loop.Now() + 20s, [&] { expired = true; });
  loop.RunUntil([&] { return expired || done(); });
  loop.CancelTimer(timer);
  REQUIRE_FALSE(expired);
}

// How a fake server handles a request.
enum class Behavior : std::uint8_t {
  kResponse,
  kResetOnAccept,     // Before anything is read.
  kResetOnHead,       // After the head, before the body; nothing runs.
  kResetAfterRun,     // Runs it and resets the connection.
  kCloseAfterRun,     // Runs it and closes the connection normally.
  kHalfResponse,      // Runs it and closes within the response.
  kHalfChunk,         // Runs it and closes within a chunk.
  kBadChunk,          // Runs it and sends an invalid chunk.
  kNoLength,          // Runs it; the end of the connection ends the response.
  kSilent,            // Runs it and sends no response.
  kFrozen,            // Reads nothing.
  kNotOwner,          // 421, not run.
  kNotOwnerRepeated,  // The same, and again before the connection's next one.
  kShed,              // 503, not run.
  kDraining,          // 503, not run, draining.
  kResponseAndClose,  // Complete response, then an unannounced close.
  kChunked,           // Complete response in chunks.
};

// A backend server that counts runs per request (field x-test-id).
class FakeServer {
 public:
  explicit FakeServer(net::EventLoop& loop) : loop_(loop) { Open(); }
  ~FakeServer() { CloseAll(); }
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  // Behaviors of the next requests or connections; `default_behavior` applies
  // after these.
  std::vector<Behavior> script;
  Behavior default_behavior = Behavior::kResponse;
  // Body of complete responses; if empty, the request's body is returned.
  std::string response;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  [[nodiscard]] int runs(const std::string& test_id) const {
    const auto it = runs_.find(test_id);
    return it == runs_.end() ? 0 : it->second;
  }
  [[nodiscard]] int heads() const { return heads_; }
  [[nodiscard]] int accepted() const { return accepted_; }
  [[nodiscard]] int closed_by_peer() const { return closed_by_peer_; }
  [[nodiscard]] const http::MessageHead& last_head() const { return last_; }
  [[nodiscard]] const std::string& last_body() const { return last_body_; }

  // Refuses new connections; open ones continue.
  void StopListening() {
    if (listener_.is_open()) {
      loop_.Unwatch(watch_, listener_.fd());
      listener_.Close();
    }
  }
  // Stops listening and resets all connections.
  void CloseAll() {
    StopListening();
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& it : sessions) {
      Drop(it, true);
    }
  }
  // Drops all packets that arrive on the open connections from now on, without
  // acknowledging them, like a middlebox that has lost the connections' state.
  void DropIncomingPackets() {
    sock_filter drop = {.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0};
    const sock_fprog program = {.len = 1, .filter = &drop};
    for (const auto& it : sessions_) {
      REQUIRE(setsockopt(it->socket.fd(), SOL_SOCKET, SO_ATTACH_FILTER,
                         &program, sizeof(program)) == 0);
    }
  }
  // Responds to the requests that were left without a response.
  void SendLateResponses() {
    const auto sessions = sessions_;
    for (const auto& it : sessions) {
      if (it->response_pending && it->socket.is_open()) {
        it->response_pending = false;
        SendResponse(*it, "late");
      }
    }
  }

 private:
  struct Session {
    net::TcpSocket socket;
    net::EventLoop::WatchId watch = 0;
    std::optional<Behavior> behavior;
    std::optional<http::RequestParser> parser;
    http::MessageHead head;
    std::string body;
    std::string pending;
    bool response_pending = false;
    // Sent before the next response.
    std::string copy;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Open() {
    auto listener = net::TcpSocket::Listen("127.0.0.1:0", false);
    REQUIRE(listener);
    listener_ = std::move(*listener);
    port_ = listener_.port();
    watch_ =
        loop_.Watch(listener_.fd(), [this](net::ReadyEvents) { Accept(); });
  }

  void Accept() {
    while (auto socket = listener_.Accept()) {
      ++accepted_;
      auto session = std::make_shared<Session>();
      session->socket = std::move(*socket);
      if (!script.empty() && script.front() == Behavior::kResetOnAccept) {
        Next();
        session->socket.Abort();
        continue;
      }
      session->parser.emplace(64 * 1024);
      sessions_.insert(session);
      session->watch =
          loop_.Watch(session->socket.fd(),
                      [this, session](net::ReadyEvents) { Read(session); });
    }
  }

  Behavior Next() {
    if (script.empty()) {
      return default_behavior;
    }
    const Behavior next = script.front();
    script.erase(script.begin());
    return next;
  }

  void Read(const SessionPtr& session) {
    if (default_behavior == Behavior::kFrozen && script.empty()) {
      return;
    }
    std::vector<char> buf(64 * 1024);
    while (session->socket.is_open()) {
      const auto result = session->socket.Receive(buf);
      if (result.status == net::IoStatus::kWouldBlock) {
        return;
      }
      if (result.status != net::IoStatus::kOk) {
        ++closed_by_peer_;
        Drop(session, false);
        return;
      }
      session->pending.append(buf.data(), result.bytes);
      Parse(session);
    }
  }

  void Parse(const SessionPtr& session) {
    while (!session->pending.empty() && session->socket.is_open()) {
      const auto result = session->parser->Parse(session->pending,
                                                 session->head, session->body);
      session->pending.erase(0, result.consumed);
      if (result.status == http::ParseStatus::kHead) {
        ++heads_;
        session->behavior = Next();
        if (session->behavior == Behavior::kResetOnHead) {
          Drop(session, true);
          return;
        }
      }
      if (session->parser->done()) {
        OnRequest(session);
        session->head.Clear();
        session->body.clear();
        session->parser.emplace(64 * 1024);
      } else if (result.status != http::ParseStatus::kHead) {
        return;
      }
    }
  }

  void OnRequest(const SessionPtr& session) {
    last_ = session->head;
    last_body_ = session->body;
    session->socket.Send(std::exchange(session->copy, {}));
    switch (*session->behavior) {
      case Behavior::kNotOwner:
        Refuse(*session, "421 Misdirected Request", "not-owner");
        return;
      case Behavior::kNotOwnerRepeated:
        session->copy =
            Refuse(*session, "421 Misdirected Request", "not-owner");
        return;
      case Behavior::kShed:
        Refuse(*session, "503 Service Unavailable", "overload");
        return;
      case Behavior::kDraining:
        Refuse(*session, "503 Service Unavailable", "draining");
        return;
      default:
        break;
    }
    const auto id = session->head.Get("x-test-id");
    ++runs_[id ? std::string(*id) : std::string()];
    Run(session);
  }

  void Run(const SessionPtr& session) {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    switch (*session->behavior) {
      case Behavior::kResetAfterRun:
        Drop(session, true);
        return;
      case Behavior::kCloseAfterRun:
        Drop(session, false);
        return;
      case Behavior::kHalfResponse:
        session->socket.Send(head + "Content-Length: 10\r\n\r\nhalf");
        Drop(session, false);
        return;
      case Behavior::kHalfChunk:
        session->socket.Send(head +
                             "Transfer-Encoding: chunked\r\n\r\n4\r\nha");
        Drop(session, false);
        return;
      case Behavior::kBadChunk:
        session->socket.Send(head +
                             "Transfer-Encoding: chunked\r\n\r\nzz\r\nhalf");
        return;
      case Behavior::kNoLength:
        session->socket.Send(head + "\r\nhalf");
        Drop(session, false);
        return;
      case Behavior::kSilent:
        session->response_pending = true;
        return;
      case Behavior::kChunked:
        session->socket.Send(head +
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n");
        return;
      case Behavior::kResponseAndClose:
        SendResponse(*session, response.empty() ? session->body : response);
        Drop(session, false);
        return;
      default:
        SendResponse(*session, response.empty() ? session->body : response);
        return;
    }
  }

  static void SendResponse(Session& session, const std::string& body) {
    std::string bytes =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n";
    if (session.head.method != "HEAD") {
      bytes += body;
    }
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto result =
          session.socket.Send(std::string_view(bytes).substr(sent));
      if (result.status != net::IoStatus::kOk) {
        return;
      }
      sent += result.bytes;
    }
  }

  // Returns the response that was sent.
  static std::string Refuse(Session& session,
                            const std::string& status,
                            const std::string& reason) {
    std::string response = "HTTP/1.1 " + status +
                           "\r\ngentianreach-verdict: not-run\r\n"
                           "gentianreach-reason: " +
                           reason + "\r\nContent-Length: 0\r\n\r\n";
    session.socket.Send(response);
    return response;
  }

  void Drop(const SessionPtr& session, bool abort) {
    if (!session->socket.is_open()) {
      return;
    }
    loop_.Unwatch(session->watch, session->socket.fd());
    if (abort) {
      session->socket.Abort();
    } else {
      session->socket.Close();
    }
    sessions_.erase(session);
  }

  net::EventLoop& loop_;
  net::TcpSocket listener_;
  net::EventLoop::WatchId watch_ = 0;
  std::uint16_t port_ = 0;
  std::set<SessionPtr> sessions_;
  std::map<std::string, int> runs_;
  int heads_ = 0;
  int accepted_ = 0;
  int closed_by_peer_ = 0;
  http::MessageHead last_;
  std::string last_body_;
};

// A router that returns the route set by the test.
struct FakeRouter {
  KeyRoute route;
  int route_calls = 0;
  KeyRoute Route(const ServiceName&, KeyHash, TimePoint) {
    ++route_calls;
    return route;
  }
};

// A response as received by a caller.
struct Response {
  int status = 0;
  std::string verdict;
  std::string reason;
  std::string id;
  std::string body;
  bool complete = false;  // False if the connection broke first.
};

// A caller with one connection.
class TestCaller {
 public:
  TestCaller(net::EventLoop& loop, std::uint16_t port) : loop_(loop) {
    auto socket = net::TcpSocket::Connect("127.0.0.1:" + std::to_string(port));
    REQUIRE(socket);
    socket_ = std::move(*socket);
    watch_ = loop_.Watch(socket_.fd(), [this](net::ReadyEvents events) {
      connected_ = connected_ || events.writable;
      Read();
    });
    testing::RunUntil(loop_, [&] { return connected_; });
  }
  ~TestCaller() { Disconnect(); }
  TestCaller(const TestCaller&) = delete;
  TestCaller& operator=(const TestCaller&) = delete;

  void Send(std::string_view bytes) {
    while (!bytes.empty() && socket_.is_open()) {
      const auto result = socket_.Send(bytes);
      if (result.status == net::IoStatus::kFailed) {
        return;
      }
      bytes.remove_prefix(result.bytes);
      if (result.status == net::IoStatus::kWouldBlock) {
        loop_.RunOnce(true);
      }
    }
  }
  // Waits for the next response.
  Response Receive(bool head_only = false) {
    head_only_ = head_only;
    Parse();
    testing::RunUntil(loop_, [&] { return !responses_.empty() || closed_; });
    if (responses_.empty()) {
      return {};
    }
    Response response = std::move(responses_.front());
    responses_.erase(responses_.begin());
    return response;
  }
  Response RoundTrip(std::string_view bytes) {
    Send(bytes);
    return Receive(bytes.starts_with("HEAD"));
  }
  // Closes the connection.
  void Disconnect() {
    if (socket_.is_open()) {
      loop_.Unwatch(watch_, socket_.fd());
      socket_.Close();
    }
    closed_ = true;
  }
  [[nodiscard]] bool closed() const { return closed_; }

 private:
  void Read() {
    std::vector<char> buf(64 * 1024);
    while (socket_.is_open()) {
      const auto result = socket_.Receive(buf);
      if (result.status == net::IoStatus::kWouldBlock) {
        return;
      }
      if (result.status != net::IoStatus::kOk) {
        Disconnect();
        return;
      }
      pending_.append(buf.data(), result.bytes);
      Parse();
    }
  }

  void Parse() {
    while (!pending_.empty()) {
      if (!parser_) {
        parser_.emplace(64 * 1024);
        if (head_only_) {
          parser_->SkipBody();
        }
      }
      const auto result = parser_->Parse(pending_, head_, body_);
      pending_.erase(0, result.consumed);
      if (parser_->done()) {
        TakeResponse();
      } else if (result.status != http::ParseStatus::kHead) {
        return;
      }
    }
  }

  void TakeResponse() {
    const auto text = [&](std::string_view name) {
      const auto value = head_.Get(name);
      return value ? std::string(*value) : std::string();
    };
    if (head_.status != 100) {
      responses_.push_back({.status = head_.status,
                            .verdict = text("gentianreach-verdict"),
                            .reason = text("gentianreach-reason"),
                            .id = text("gentianreach-request-id"),
                            .body = body_,
                            .complete = true});
    }
    head_.Clear();
    body_.clear();
    parser_.reset();
  }

  net::EventLoop& loop_;
  net::TcpSocket socket_;
  net::EventLoop::WatchId watch_ = 0;
  bool connected_ = false;
  bool closed_ = false;
  bool head_only_ = false;
  std::optional<http::ResponseParser> parser_;
  http::MessageHead head_;
  std::string body_;
  std::string pending_;
  std::vector<Response> responses_;
};

// A proxy with the routes /keyed/KEY, /keyed-idem/KEY, /plain and /plain-idem
// (the "idem" ones idempotent), and a backend server.
class ProxyFixture {
 public:
  // `max_body` is the size of the largest request body, in bytes; by default
  // that of the settings.
  explicit ProxyFixture(std::uint64_t max_body = settings::RouteT().max_body)
      : server(loop), proxy(loop, router, picker, Hooks(), Options()) {
    settings::TreeT tree;
    AddService(tree, "boats", settings::ServiceKind::Keyed);
    AddService(tree, "orders", settings::ServiceKind::Plain);
    AddRoute(tree, "/keyed", "boats", false, max_body);
    AddRoute(tree, "/keyed-idem", "boats", true, max_body);
    AddRoute(tree, "/plain", "orders", false, max_body);
    AddRoute(tree, "/plain-idem", "orders", true, max_body);
    proxy.SetRoutes(std::make_shared<RouteTable>(tree));
    SetOwner(server);
    picker.Replace(ServiceName("orders"), {{ServerId("s1"), server.address()}});
    REQUIRE(proxy.Listen("127.0.0.1:0"));
  }

  // Makes `owner` the owner of every key.
  void SetOwner(const FakeServer& owner, std::uint64_t token = 1) {
    router.route = {.state = RouteState::kServe,
                    .server = ServerId("s" + std::to_string(token)),
                    .address = owner.address(),
                    .token = Token(token)};
  }

  static std::string Request(const std::string& method,
                             const std::string& path,
                             const std::string& id,
                             const std::string& body = {},
                             const std::string& fields = {}) {
    std::string out = method + " " + path + " HTTP/1.1\r\nHost: test\r\n" +
                      "x-test-id: " + id + "\r\n" + fields;
    if (!body.empty()) {
      out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
  }

  net::EventLoop loop;
  FakeRouter router;
  LeastOutstandingPicker picker;
  FakeServer server;
  std::vector<RequestRecord> records;
  std::vector<ServerContact> contacts;
  ProxyServer<FakeRouter, LeastOutstandingPicker> proxy;

 private:
  ProxyHooks Hooks() {
    return {.on_finished =
                [this](const RequestRecord& it) { records.push_back(it); },
            .on_contact =
                [this](const ServerContact& it) { contacts.push_back(it); }};
  }
  static ProxyOptions Options() {
    return {.id_prefix = "t", .limits = Limits()};
  }
  static settings::LimitsT Limits() {
    settings::LimitsT limits;
    limits.progress_timeout = 200;
    return limits;
  }
  static void AddService(settings::TreeT& tree,
                         const std::string& name,
                         settings::ServiceKind kind) {
    auto it = std::make_unique<settings::NamedServiceT>();
    it->name = name;
    it->settings = std::make_unique<settings::ServiceT>();
    it->settings->kind = kind;
    tree.services.push_back(std::move(it));
  }
  static void AddRoute(settings::TreeT& tree,
                       const std::string& prefix,
                       const std::string& service,
                       bool idempotent,
                       std::uint64_t max_body) {
    auto it = std::make_unique<settings::NamedRouteT>();
    it->name = prefix.substr(1);
    it->settings = std::make_unique<settings::RouteT>();
    it->settings->service = service;
    it->settings->path_prefix = prefix;
    it->settings->key_source = settings::KeySource::PathSegment;
    it->settings->key_segment = 1;
    it->settings->idempotent = idempotent;
    it->settings->max_body = max_body;
    tree.routes.push_back(std::move(it));
  }
};

}  // namespace gentianreach::proxy::testing

#endif  // SRC_PROXY_PROXY_TEST_SUPPORT_H_
