#include "net/http_client.h"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "base/timer.h"
#include "http/status.h"
#include "net/socket_address.h"
#include "net/tcp_socket.h"

namespace gentianreach {
namespace {

constexpr int kMaxConnectionsPerServer = 16;
constexpr guint kIdleSeconds = 30;
// Time without a call after which the session of a server is dropped. Its
// connections have been closed by then.
constexpr Duration kSessionTimeout = std::chrono::seconds(2 * kIdleSeconds);

bool NeverConnected(const GError& error) {
  return error.domain == G_RESOLVER_ERROR ||
         g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
         g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
         g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

bool IsRead(const HttpCall& call) {
  return (call.method == "GET" || call.method == "HEAD") && call.body.empty();
}

HttpResponse ToHttpResponse(SoupMessage* message,
                            GBytes* bytes,
                            const GError* error,
                            const std::string& wanted_header) {
  HttpResponse response;
  if (error != nullptr) {
    response.error = error->message;
    response.may_have_arrived = !NeverConnected(*error);
    return response;
  }
  const auto status = static_cast<int>(soup_message_get_status(message));
  if (!http::status::IsFinal(status)) {
    // libsoup takes all codes up to 999 for valid.
    response.error = "invalid status " + std::to_string(status);
    return response;
  }
  response.status = status;
  gsize size = 0;
  if (bytes != nullptr) {
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    response.body.assign(data == nullptr ? "" : data, size);
  }
  SoupMessageHeaders* headers = soup_message_get_response_headers(message);
  const char* etag = soup_message_headers_get_one(headers, "ETag");
  response.etag = etag == nullptr ? "" : etag;
  if (!wanted_header.empty()) {
    const char* value =
        soup_message_headers_get_one(headers, wanted_header.c_str());
    response.header = value == nullptr ? "" : value;
  }
  return response;
}

// Ends a call that could not be sent.
void FailUnsent(const HttpCallback& done, std::string error) {
  HttpResponse response;
  response.error = std::move(error);
  response.may_have_arrived = false;
  done(std::move(response));
}

// The kernel would otherwise go on sending a cancelled call, for minutes if the
// path to the server is interrupted.
void OnNetworkEvent(SoupMessage* /*message*/,
                    GSocketClientEvent event,
                    GIOStream* connection,
                    gpointer /*data*/) {
  if (event == G_SOCKET_CLIENT_CONNECTED &&
      G_IS_SOCKET_CONNECTION(connection)) {
    GSocket* socket =
        g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection));
    net::ResetOnClose(g_socket_get_fd(socket));
  }
}

}  // namespace

struct HttpClient::PendingCall {
  // Valid while `client_alive` is true.
  HttpClient* client = nullptr;
  std::shared_ptr<bool> client_alive;
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable;
  Timer timer;
  std::string wanted_header;
  bool is_read = false;
  // Set if libsoup was about to send the call again.
  std::optional<HttpResponse> response;
  HttpCallback done;
};

void HttpClient::OnRestarted(SoupMessage* message, gpointer data) {
  auto* call = static_cast<PendingCall*>(data);
  if (soup_message_get_status(message) != SOUP_STATUS_NONE) {
    // For example 421, which libsoup retries.
    call->response =
        ToHttpResponse(message, nullptr, nullptr, call->wanted_header);
  } else if (call->is_read) {
    return;
  } else {
    call->response = {.error = "connection closed before the response"};
  }
  // libsoup checks this before it connects and before each write.
  g_cancellable_cancel(call->cancellable.get());
}

void HttpClient::OnDone(GObject* session, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<PendingCall> call(static_cast<PendingCall*>(data));
  GError* raw_error = nullptr;
  const GBytesPtr bytes(soup_session_send_and_read_finish(SOUP_SESSION(session),
                                                          result, &raw_error));
  const GErrorPtr error(raw_error);
  call->timer.Cancel();
  g_signal_handlers_disconnect_by_data(call->message.get(), call.get());
  if (!*call->client_alive) {
    return;
  }
  HttpResponse response =
      call->response ? *std::move(call->response)
                     : ToHttpResponse(call->message.get(), bytes.get(),
                                      error.get(), call->wanted_header);
  if (response.status == 0 && response.may_have_arrived) {
    std::erase_if(call->client->sessions_, [&](const auto& it) {
      return it.second.session.get() == SOUP_SESSION(session);
    });
  }
  call->done(std::move(response));
}

HttpClient::HttpClient(std::string source_ip)
    : source_ip_(std::move(source_ip)),
      source_address_(net::ParseIpAddress(source_ip_)) {}

HttpClient::~HttpClient() {
  *alive_ = false;
  for (const auto& [server, it] : sessions_) {
    soup_session_abort(it.session.get());
  }
}

SoupSession* HttpClient::SessionFor(SoupMessage* message) {
  const TimePoint now = MonotonicClock().Now();
  GUri* uri = soup_message_get_uri(message);
  const std::string server = std::string(g_uri_get_host(uri)) + ":" +
                             std::to_string(g_uri_get_port(uri));
  auto known = sessions_.find(server);
  if (known == sessions_.end()) {
    std::erase_if(sessions_,
                  [&](const auto& it) { return it.second.expires_at < now; });
    auto session = GObjectPtr<SoupSession>::Adopt(soup_session_new_with_options(
        "max-conns", kMaxConnectionsPerServer, "max-conns-per-host",
        kMaxConnectionsPerServer, "idle-timeout", kIdleSeconds, "local-address",
        source_address_.get(), nullptr));
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_AUTH_MANAGER);
    known = sessions_.emplace(server, Session{std::move(session), {}}).first;
  }
  known->second.expires_at = now + kSessionTimeout;
  return known->second.session.get();
}

void HttpClient::Send(HttpCall call, HttpCallback done) {
  if (!source_ip_.empty() && !source_address_) {
    FailUnsent(done, source_ip_ + ": not an IP address");
    return;
  }
  SoupMessage* message =
      soup_message_new(call.method.c_str(), call.url.c_str());
  if (message == nullptr) {
    FailUnsent(done, "not a URL: " + call.url);
    return;
  }
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
  g_signal_connect(message, "network-event", G_CALLBACK(&OnNetworkEvent),
                   nullptr);
  auto pending = std::make_unique<PendingCall>();
  pending->client = this;
  pending->client_alive = alive_;
  pending->message = GObjectPtr<SoupMessage>::Adopt(message);
  pending->cancellable = GObjectPtr<GCancellable>::Adopt(g_cancellable_new());
  pending->wanted_header = std::move(call.wanted_header);
  pending->done = std::move(done);
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  for (const auto& [name, value] : call.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  if (!call.body.empty()) {
    const GBytesPtr body(g_bytes_new(call.body.data(), call.body.size()));
    soup_message_set_request_body_from_bytes(message, call.content_type.c_str(),
                                             body.get());
  }
  if (call.new_connection) {
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
  }
  pending->is_read = IsRead(call);
  g_signal_connect(message, "restarted", G_CALLBACK(&HttpClient::OnRestarted),
                   pending.get());
  GCancellable* cancellable = pending->cancellable.get();
  pending->timer.Set(call.deadline,
                     [cancellable] { g_cancellable_cancel(cancellable); });
  soup_session_send_and_read_async(SessionFor(message), message,
                                   G_PRIORITY_DEFAULT, cancellable, &OnDone,
                                   pending.release());
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
