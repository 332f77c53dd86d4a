// Loopback HTTP server on libsoup, shared by the fakes.
#ifndef STANDINS_SOUP_SERVER_H_
#define STANDINS_SOUP_SERVER_H_

#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <glib-unix.h>
#include <libsoup/soup.h>

#include <nlohmann/json.hpp>

#include "base/glib_ptr.h"
#include "gentianreach/check.h"

namespace gentianreach::standins {

using Json = nlohmann::json;

// Copy of a received request.
struct Request {
  std::string method;
  std::string path;
  std::string body;
  std::map<std::string, std::string> query;
  // Names are in lower case.
  std::map<std::string, std::string> headers;

  // Returns the value of a header, or "".
  [[nodiscard]] std::string Header(const std::string& name) const {
    const std::string lower = ToLower(name);
    const auto it = headers.find(lower);
    return it == headers.end() ? "" : it->second;
  }
  // Returns the value of a query parameter, or "".
  [[nodiscard]] std::string Query(const std::string& name) const {
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
  }
  // Returns `text` in lower case.
  static std::string ToLower(const std::string& text) {
    char* lower = g_ascii_strdown(text.c_str(), -1);
    std::string result(lower);
    g_free(lower);
    return result;
  }
};

using Headers = std::vector<std::pair<std::string, std::string>>;
using Handler = std::function<void(SoupServerMessage*, const Request&)>;

// Sets the response to `message`.
inline void ReplyBytes(SoupServerMessage* message,
                       guint status,
                       const std::string& body,
                       const Headers& headers,
                       const char* type = "application/octet-stream") {
  SoupMessageHeaders* out = soup_server_message_get_response_headers(message);
  for (const auto& [name, value] : headers) {
    soup_message_headers_replace(out, name.c_str(), value.c_str());
  }
  soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, body.data(),
                                   body.size());
  soup_server_message_set_status(message, status, nullptr);
}

// Sets a JSON response.
inline void Reply(SoupServerMessage* message, guint status, const Json& json) {
  ReplyBytes(message, status, json.dump(), {}, "application/json");
}

// Returns the address of the client's end of the connection of `message`, or an
// empty string if the client has reset it.
inline std::string ClientAddress(SoupServerMessage* message) {
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  if (remote == nullptr) {
    return {};
  }
  char* address = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(remote));
  std::string result(address);
  g_free(address);
  return result;
}

// Closes the connection of `message` without a response.
inline void DropConnection(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                 nullptr);
}

// A paused message whose response is sent later. Resume() does nothing once the
// client has disconnected, since libsoup has then finished the message.
class HeldMessage {
 public:
  explicit HeldMessage(SoupServerMessage* message)
      : message_(GObjectPtr<SoupServerMessage>::Share(message)),
        handler_(g_signal_connect(message,
                                  "disconnected",
                                  G_CALLBACK(&HeldMessage::OnDisconnected),
                                  this)) {
    soup_server_message_pause(message);
  }
  HeldMessage(const HeldMessage&) = delete;
  HeldMessage& operator=(const HeldMessage&) = delete;
  ~HeldMessage() { g_signal_handler_disconnect(message_.get(), handler_); }

  [[nodiscard]] SoupServerMessage* get() const { return message_.get(); }
  // Sends the response that was set since the constructor paused the message.
  void Resume() {
    if (connected_) {
      soup_server_message_unpause(message_.get());
    }
  }

 private:
  static void OnDisconnected(SoupServerMessage* /*message*/, gpointer self) {
    static_cast<HeldMessage*>(self)->connected_ = false;
  }

  GObjectPtr<SoupServerMessage> message_;
  gulong handler_;
  bool connected_ = true;
};

namespace internal {

inline Request CopyRequest(SoupServerMessage* message,
                           const char* path,
                           GHashTable* query) {
  Request request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  if (body->data != nullptr) {
    request.body.assign(body->data, static_cast<std::size_t>(body->length));
  }
  SoupMessageHeadersIter it;
  const char* name = nullptr;
  const char* value = nullptr;
  soup_message_headers_iter_init(
      &it, soup_server_message_get_request_headers(message));
  while (soup_message_headers_iter_next(&it, &name, &value)) {
    request.headers[Request::ToLower(name)] = value;
  }
  if (query == nullptr) {
    return request;
  }
  GHashTableIter pairs;
  gpointer key = nullptr;
  gpointer text = nullptr;
  g_hash_table_iter_init(&pairs, query);
  while (g_hash_table_iter_next(&pairs, &key, &text)) {
    request.query[static_cast<const char*>(key)] =
        text == nullptr ? "" : static_cast<const char*>(text);
  }
  return request;
}

inline void OnRequest(SoupServer* /*server*/,
                      SoupServerMessage* message,
                      const char* path,
                      GHashTable* query,
                      gpointer handler) {
  (*static_cast<Handler*>(handler))(message, CopyRequest(message, path, query));
}

inline gboolean OnTerminate(gpointer loop) {
  g_main_loop_quit(static_cast<GMainLoop*>(loop));
  return G_SOURCE_REMOVE;
}

}  // namespace internal

// Returns the port that `server` listens on.
inline int PortOf(SoupServer* server) {
  GSList* uris = soup_server_get_uris(server);
  const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris,
                    [](gpointer it) { g_uri_unref(static_cast<GUri*>(it)); });
  return port;
}

// Passes the requests that arrive at `port` of 127.0.0.1, or at any free one if
// it is 0, to `handler`, which must outlive the server. Returns
// "127.0.0.1:PORT".
inline std::string ListenOnLoopback(SoupServer* server,
                                    Handler& handler,
                                    guint port = 0) {
  soup_server_add_handler(server, nullptr, &internal::OnRequest, &handler,
                          nullptr);
  GENTIANREACH_CHECK(soup_server_listen_local(
      server, port, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
  return "127.0.0.1:" + std::to_string(PortOf(server));
}

// Listens on 127.0.0.1, prints "port=N" and serves until SIGTERM or SIGINT.
// Returns the exit code.
inline int RunServer(std::uint16_t port, Handler handler) {
  const auto server = GObjectPtr<SoupServer>::Adopt(
      soup_server_new("server-header", "stand-in", nullptr));
  soup_server_add_handler(server.get(), nullptr, &internal::OnRequest, &handler,
                          nullptr);
  GError* raw_error = nullptr;
  if (!soup_server_listen_local(server.get(), port,
                                SOUP_SERVER_LISTEN_IPV4_ONLY, &raw_error)) {
    const GErrorPtr error(raw_error);
    std::cerr << "cannot listen on port " << port << ": " << error->message
              << "\n";
    return EXIT_FAILURE;
  }
  std::cout << "port=" << PortOf(server.get()) << std::endl;
  const GMainLoopPtr loop(g_main_loop_new(nullptr, FALSE));
  g_unix_signal_add(SIGTERM, &internal::OnTerminate, loop.get());
  g_unix_signal_add(SIGINT, &internal::OnTerminate, loop.get());
  g_main_loop_run(loop.get());
  return EXIT_SUCCESS;
}

}  // namespace gentianreach::standins

#endif  // STANDINS_SOUP_SERVER_H_
