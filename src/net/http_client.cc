#include "net/http_client.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>

#include "base/timer.h"
#include "http/serializer.h"
#include "net/socket_address.h"

namespace gentianreach {
namespace {

constexpr std::size_t kMaxConnectionsPerServer = 16;
constexpr Duration kIdleTime = std::chrono::seconds(30);
// Time without a call after which a server is forgotten. Its connections have
// been closed by then.
constexpr Duration kServerTime = 2 * kIdleTime;
constexpr int kHttpPort = 80;
constexpr int kHttpsPort = 443;

bool IsRead(const HttpCall& call) {
  return (call.method == "GET" || call.method == "HEAD") && call.body.empty();
}

bool IsHttps(GUri* uri) {
  return std::string_view(g_uri_get_scheme(uri)) == "https";
}

int PortOf(GUri* uri) {
  const int port = g_uri_get_port(uri);
  return port > 0 ? port : IsHttps(uri) ? kHttpsPort : kHttpPort;
}

// Returns the parsed form of an HTTP URL, or null.
GUriPtr ParseUrl(const std::string& url) {
  GUriPtr uri(g_uri_parse(url.c_str(), G_URI_FLAGS_ENCODED, nullptr));
  const std::string_view scheme = uri ? g_uri_get_scheme(uri.get()) : "";
  const char* host = uri ? g_uri_get_host(uri.get()) : nullptr;
  const bool is_http = scheme == "http" || scheme == "https";
  return is_http && host != nullptr && *host != '\0' ? std::move(uri)
                                                     : GUriPtr();
}

// Returns the value of the Host field for `uri`.
std::string HostField(GUri* uri) {
  const std::string host = g_uri_get_host(uri);
  // An IPv6 address.
  const bool has_colon = host.find(':') != std::string::npos;
  std::string field = has_colon ? "[" + host + "]" : host;
  if (g_uri_get_port(uri) > 0) {
    field += ":" + std::to_string(g_uri_get_port(uri));
  }
  return field;
}

bool HasHeader(const HttpCall& call, std::string_view name) {
  return std::ranges::any_of(call.headers, [&](const auto& it) {
    return http::SameName(it.first, name);
  });
}

std::string RequestBytes(const HttpCall& call, GUri* uri) {
  const std::string_view path = g_uri_get_path(uri);
  const char* query = g_uri_get_query(uri);
  http::MessageHead line;
  line.method = call.method;
  line.target = path.empty() ? "/" : path;
  if (query != nullptr) {
    line.target += "?";
    line.target += query;
  }
  std::string out;
  http::AppendRequestLine(out, line);
  if (!HasHeader(call, "Host")) {
    http::AppendField(out, "Host", HostField(uri));
  }
  for (const auto& [name, value] : call.headers) {
    http::AppendField(out, name, value);
  }
  if (!call.body.empty() && !HasHeader(call, "Content-Type")) {
    http::AppendField(out, "Content-Type", call.content_type);
  }
  if (!IsRead(call)) {
    http::AppendField(out, "Content-Length", call.body.size());
  }
  http::AppendHeadEnd(out);
  return out + call.body;
}

// Ends a call that could not be sent.
void FailUnsent(const HttpCallback& done, std::string error) {
  HttpResponse response;
  response.error = std::move(error);
  response.may_have_arrived = false;
  done(std::move(response));
}

}  // namespace

struct HttpClient::Server {
  GObjectPtr<GSocketClient> sockets;
  std::string host;
  std::uint16_t port = 0;
  // Ordered by last use. Connections that have been closed are found when they
  // are about to be used.
  std::vector<std::shared_ptr<HttpConnection>> idle;
  // Number of connections that carry a call.
  std::size_t busy = 0;
  // Calls that wait for a connection.
  std::deque<CallPtr> waiting;
  TimePoint expires_at;

  void CloseIdle() {
    for (const auto& it : std::exchange(idle, {})) {
      it->Close();
    }
  }
};

struct HttpClient::PendingCall {
  std::shared_ptr<Server> server;
  std::string bytes;
  std::string wanted_header;
  bool is_read = false;
  bool head_only = false;
  bool new_connection = false;
  // Null while the call waits for one.
  std::shared_ptr<HttpConnection> connection;
  Timer timer;
  HttpCallback done;
};

HttpClient::HttpClient(std::string source_ip)
    : source_ip_(std::move(source_ip)),
      source_address_(net::ParseIpAddress(source_ip_)) {}

HttpClient::~HttpClient() {
  for (const CallPtr& it : calls_) {
    if (it->connection) {
      it->connection->Close();
    }
  }
  for (const auto& [name, server] : servers_) {
    server->CloseIdle();
    server->waiting.clear();
  }
}

std::shared_ptr<HttpClient::Server> HttpClient::ServerFor(GUri* uri) {
  const TimePoint now = MonotonicClock().Now();
  std::string name = g_uri_get_scheme(uri);
  name += "://";
  name += g_uri_get_host(uri);
  name += ":" + std::to_string(PortOf(uri));
  auto it = servers_.find(name);
  if (it == servers_.end()) {
    std::erase_if(servers_, [&](const auto& entry) {
      const Server& server = *entry.second;
      return server.expires_at < now && server.busy == 0 &&
             server.waiting.empty();
    });
    auto server = std::make_shared<Server>();
    server->sockets = GObjectPtr<GSocketClient>::Adopt(g_socket_client_new());
    g_socket_client_set_enable_proxy(server->sockets.get(), FALSE);
    g_socket_client_set_tls(server->sockets.get(),
                            static_cast<gboolean>(IsHttps(uri)));
    if (source_address_) {
      g_socket_client_set_local_address(server->sockets.get(),
                                        source_address_.get());
    }
    server->host = g_uri_get_host(uri);
    server->port = static_cast<std::uint16_t>(PortOf(uri));
    it = servers_.emplace(std::move(name), std::move(server)).first;
  }
  it->second->expires_at = now + kServerTime;
  return it->second;
}

void HttpClient::Send(HttpCall call, HttpCallback done) {
  if (!source_ip_.empty() && !source_address_) {
    FailUnsent(done, source_ip_ + ": not an IP address");
    return;
  }
  const GUriPtr uri = ParseUrl(call.url);
  if (!uri) {
    FailUnsent(done, "not a URL: " + call.url);
    return;
  }
  auto pending = std::make_shared<PendingCall>();
  pending->server = ServerFor(uri.get());
  pending->bytes = RequestBytes(call, uri.get());
  pending->wanted_header = std::move(call.wanted_header);
  pending->is_read = IsRead(call);
  pending->head_only = call.method == "HEAD";
  pending->new_connection = call.new_connection;
  pending->done = std::move(done);
  pending->timer.Set(call.deadline, [this, it = std::weak_ptr(pending)] {
    OnDeadline(it.lock());
  });
  calls_.insert(pending);
  Start(pending);
}

void HttpClient::Start(const CallPtr& call) {
  Server& server = *call->server;
  while (!call->new_connection && !server.idle.empty()) {
    auto connection = std::move(server.idle.back());
    server.idle.pop_back();
    if (connection->Reusable()) {
      SendOn(std::move(connection), call);
      return;
    }
    connection->Close();
  }
  if (server.busy >= kMaxConnectionsPerServer) {
    server.waiting.push_back(call);
    return;
  }
  if (server.busy + server.idle.size() >= kMaxConnectionsPerServer) {
    server.idle.front()->Close();
    server.idle.erase(server.idle.begin());
  }
  auto connection = std::make_shared<HttpConnection>();
  connection->Open(server.sockets.get(), server.host, server.port);
  SendOn(std::move(connection), call);
}

void HttpClient::SendOn(std::shared_ptr<HttpConnection> connection,
                        const CallPtr& call) {
  ++call->server->busy;
  call->connection = std::move(connection);
  // Only reads are sent again.
  std::string bytes =
      call->is_read ? call->bytes : std::exchange(call->bytes, {});
  call->connection->Send(std::move(bytes), call->head_only,
                         [this, it = std::weak_ptr(call)](HttpReply reply) {
                           // The client closes the connections of its calls
                           // when it is destroyed.
                           if (const CallPtr pending = it.lock()) {
                             OnReply(pending, std::move(reply));
                           }
                         });
}

void HttpClient::OnReply(const CallPtr& call, HttpReply reply) {
  Server& server = *call->server;
  --server.busy;
  const auto connection = std::exchange(call->connection, nullptr);
  if (!reply.error.empty()) {
    if (call->is_read && connection->has_answered() && !reply.begun) {
      Start(call);
      return;
    }
    EndUnanswered(call, std::move(reply.error), !reply.never_connected);
    return;
  }
  if (connection->Reusable()) {
    connection->CloseIfIdle(MonotonicClock().Now() + kIdleTime);
    server.idle.push_back(connection);
  } else {
    connection->Close();
  }
  const auto text = [&](std::string_view name) {
    return std::string(reply.head.Get(name).value_or(""));
  };
  HttpResponse response;
  response.status = reply.head.status;
  response.etag = text("ETag");
  response.header =
      call->wanted_header.empty() ? "" : text(call->wanted_header);
  response.body = std::move(reply.body);
  End(call, std::move(response));
}

void HttpClient::OnDeadline(const CallPtr& call) {
  const auto connection = std::exchange(call->connection, nullptr);
  if (!connection) {
    std::erase(call->server->waiting, call);
    EndUnanswered(call, "no connection was free before the deadline", false);
    return;
  }
  --call->server->busy;
  connection->Close();
  EndUnanswered(call, "no response before the deadline", true);
}

void HttpClient::EndUnanswered(const CallPtr& call,
                               std::string error,
                               bool may_have_arrived) {
  if (may_have_arrived) {
    // The other connections may have gone silent, too.
    call->server->CloseIdle();
  }
  HttpResponse response;
  response.error = std::move(error);
  response.may_have_arrived = may_have_arrived;
  End(call, std::move(response));
}

void HttpClient::End(const CallPtr& call, HttpResponse response) {
  call->timer.Cancel();
  calls_.erase(call);
  Server& server = *call->server;
  if (!server.waiting.empty() && server.busy < kMaxConnectionsPerServer) {
    const CallPtr next = std::move(server.waiting.front());
    server.waiting.pop_front();
    Start(next);
  }
  // Last, since it may destroy the client.
  call->done(std::move(response));
}

HttpResponse HttpClient::SendAndWait(HttpCall call) {
  std::optional<HttpResponse> response;
  Send(std::move(call),
       [&response](HttpResponse it) { response = std::move(it); });
  while (!response.has_value()) {
    g_main_context_iteration(g_main_context_get_thread_default(), TRUE);
  }
  return *std::move(response);
}

}  // namespace gentianreach
