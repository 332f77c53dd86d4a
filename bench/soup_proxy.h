// The first version of the data path, for comparison: a proxy that uses libsoup
// as server and client, without ownership, verdicts or limits.
#ifndef BENCH_SOUP_PROXY_H_
#define BENCH_SOUP_PROXY_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <string>
#include <utility>

namespace gentianreach::bench {

// Forwards every request to one server, on the thread-default main context.
class SoupProxy {
 public:
  explicit SoupProxy(std::string server_address)
      : server_address_(std::move(server_address)),
        server_(soup_server_new("server-header", "soup", nullptr)),
        session_(soup_session_new_with_options("max-conns",
                                               kMaxConnections,
                                               "max-conns-per-host",
                                               kMaxConnections,
                                               nullptr)) {
    soup_server_add_handler(server_, nullptr, OnRequest, this, nullptr);
    soup_server_listen_local(server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
  }
  ~SoupProxy() {
    soup_server_disconnect(server_);
    g_object_unref(server_);
    g_object_unref(session_);
  }
  SoupProxy(const SoupProxy&) = delete;
  SoupProxy& operator=(const SoupProxy&) = delete;

  [[nodiscard]] std::uint16_t port() const {
    GSList* uris = soup_server_get_uris(server_);
    const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return static_cast<std::uint16_t>(port);
  }

 private:
  static constexpr int kMaxConnections = 256;

  struct Pending {
    SoupServerMessage* from_caller;
    SoupMessage* to_server;
  };

  static void OnRequest(SoupServer*,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable*,
                        gpointer data) {
    auto* self = static_cast<SoupProxy*>(data);
    const std::string uri = "http://" + self->server_address_ + path;
    SoupMessage* out =
        soup_message_new(soup_server_message_get_method(message), uri.c_str());
    soup_server_message_pause(message);
    auto* pending =
        new Pending{SOUP_SERVER_MESSAGE(g_object_ref(message)), out};
    soup_session_send_and_read_async(self->session_, out, G_PRIORITY_DEFAULT,
                                     nullptr, OnResponse, pending);
  }

  static void OnResponse(GObject* session,
                         GAsyncResult* result,
                         gpointer data) {
    auto* pending = static_cast<Pending*>(data);
    GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(session),
                                                     result, nullptr);
    SoupServerMessage* caller = pending->from_caller;
    if (body != nullptr) {
      gsize size = 0;
      const auto* bytes =
          static_cast<const char*>(g_bytes_get_data(body, &size));
      soup_server_message_set_status(
          caller, soup_message_get_status(pending->to_server), nullptr);
      soup_server_message_set_response(caller, "text/plain", SOUP_MEMORY_COPY,
                                       bytes, size);
      g_bytes_unref(body);
    } else {
      soup_server_message_set_status(caller, SOUP_STATUS_BAD_GATEWAY, nullptr);
    }
    soup_server_message_unpause(caller);
    g_object_unref(caller);
    g_object_unref(pending->to_server);
    delete pending;
  }

  std::string server_address_;
  SoupServer* server_;
  SoupSession* session_;
};

}  // namespace gentianreach::bench

#endif  // BENCH_SOUP_PROXY_H_
