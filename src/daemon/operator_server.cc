#include "daemon/operator_server.h"

#include <utility>

#include "net/socket_address.h"

namespace gentianreach {
namespace {

// Large enough for all daemons of a cell: they request copies from a new leader
// at the same time, and a connection that does not fit is retried only after
// 1 s.
constexpr int kListenBacklog = 1024;

OperatorRequest CopyRequest(SoupServerMessage* message, GHashTable* query) {
  OperatorRequest request;
  request.method = soup_server_message_get_method(message);
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  if (body->data != nullptr) {
    request.body.assign(body->data, static_cast<std::size_t>(body->length));
  }
  if (query == nullptr) {
    return request;
  }
  GHashTableIter it;
  gpointer key = nullptr;
  gpointer value = nullptr;
  g_hash_table_iter_init(&it, query);
  while (g_hash_table_iter_next(&it, &key, &value)) {
    request.query[static_cast<const char*>(key)] =
        value == nullptr ? "" : static_cast<const char*>(value);
  }
  return request;
}

}  // namespace

std::string OperatorRequest::Query(const std::string& name) const {
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

OperatorServer::OperatorServer()
    : server_(GObjectPtr<SoupServer>::Adopt(
          soup_server_new("server-header", "gentianreach", nullptr))) {
  soup_server_add_handler(server_.get(), nullptr, &OperatorServer::OnRequest,
                          this, nullptr);
}

void OperatorServer::Handle(const std::string& method,
                            const std::string& path,
                            Handler handler) {
  handlers_[path][method] = std::move(handler);
}

boost::leaf::result<std::uint16_t> OperatorServer::Listen(
    const std::string& address) {
  const GObjectPtr<GSocketAddress> parsed = net::ParseSocketAddress(address);
  if (!parsed) {
    return boost::leaf::new_error(ListenError{address + ": not an address"});
  }
  GError* raw_error = nullptr;
  // Sockets that libsoup creates have a backlog of only 10 connections.
  const auto socket = GObjectPtr<GSocket>::Adopt(
      g_socket_new(g_socket_address_get_family(parsed.get()),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &raw_error));
  if (socket) {
    g_socket_set_listen_backlog(socket.get(), kListenBacklog);
  }
  if (!socket ||
      g_socket_bind(socket.get(), parsed.get(), TRUE, &raw_error) == 0 ||
      g_socket_listen(socket.get(), &raw_error) == 0 ||
      soup_server_listen_socket(server_.get(), socket.get(),
                                static_cast<SoupServerListenOptions>(0),
                                &raw_error) == 0) {
    const GErrorPtr error(raw_error);
    return boost::leaf::new_error(ListenError{address + ": " + error->message});
  }
  GSList* uris = soup_server_get_uris(server_.get());
  const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris,
                    [](gpointer it) { g_uri_unref(static_cast<GUri*>(it)); });
  return static_cast<std::uint16_t>(port);
}

void OperatorServer::OnRequest(SoupServer* /*server*/,
                               SoupServerMessage* message,
                               const char* path,
                               GHashTable* query,
                               gpointer self) {
  const OperatorResponse response =
      static_cast<OperatorServer*>(self)->Dispatch(path,
                                                   CopyRequest(message, query));
  soup_server_message_set_response(message, response.type.c_str(),
                                   SOUP_MEMORY_COPY, response.body.data(),
                                   response.body.size());
  soup_server_message_set_status(message, response.status, nullptr);
}

OperatorResponse OperatorServer::Dispatch(
    const std::string& path,
    const OperatorRequest& request) const {
  const auto it = handlers_.find(path);
  if (it == handlers_.end()) {
    return {SOUP_STATUS_NOT_FOUND, "application/json",
            R"({"error":"no such path"})"};
  }
  const auto handler = it->second.find(request.method);
  if (handler == it->second.end()) {
    return {SOUP_STATUS_METHOD_NOT_ALLOWED, "application/json",
            R"({"error":"method not allowed"})"};
  }
  return handler->second(request);
}

}  // namespace gentianreach
