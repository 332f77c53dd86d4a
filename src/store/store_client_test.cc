#include "store/store_client.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "standins/soup_server.h"

namespace gentianreach {
namespace {

// Store that responds to every request with the same status.
class StatusServer {
 public:
  explicit StatusServer(guint status)
      : status_(status),
        server_(GObjectPtr<SoupServer>::Adopt(
            soup_server_new("server-header", "test", nullptr))) {
    soup_server_add_handler(server_.get(), nullptr, &StatusServer::OnRequest,
                            this, nullptr);
    soup_server_listen_local(server_.get(), 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                             nullptr);
  }

  [[nodiscard]] std::string Url() const {
    GSList* uris = soup_server_get_uris(server_.get());
    const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris,
                      [](gpointer it) { g_uri_unref(static_cast<GUri*>(it)); });
    return "http://127.0.0.1:" + std::to_string(port);
  }

 private:
  static void OnRequest(SoupServer* /*server*/,
                        SoupServerMessage* message,
                        const char* /*path*/,
                        GHashTable* /*query*/,
                        gpointer self) {
    soup_server_message_set_status(
        message, static_cast<StatusServer*>(self)->status_, nullptr);
  }

  guint status_;
  GObjectPtr<SoupServer> server_;
};

StoreStatus WriteTo(StoreClient& client) {
  std::optional<StoreStatus> status;
  client.Write("cells/main", ObjectVersion(1), "bytes",
               MonotonicClock().Now() + std::chrono::seconds(10),
               [&status](const ObjectWritten& it) { status = it.status; });
  while (!status.has_value()) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return *status;
}

StoreStatus WriteTo(const std::string& url) {
  StoreClient client(url);
  return WriteTo(client);
}

TEST_CASE("a failed write is kUnavailable only if it certainly had no effect") {
  const StatusServer failing(503);
  CHECK(WriteTo(failing.Url()) == StoreStatus::kUnknown);
  const StatusServer broken(500);
  CHECK(WriteTo(broken.Url()) == StoreStatus::kUnknown);
  const StatusServer other_version(412);
  CHECK(WriteTo(other_version.Url()) == StoreStatus::kConflict);
  const StatusServer too_large(413);
  CHECK(WriteTo(too_large.Url()) == StoreStatus::kUnavailable);
}

TEST_CASE("a write to a port without a listener is kUnavailable") {
  std::string url;
  {
    const StatusServer stopped(200);
    url = stopped.Url();
  }
  CHECK(WriteTo(url) == StoreStatus::kUnavailable);
}

// Store that drops the connection of the first write.
class DroppingServer {
 public:
  DroppingServer()
      : server_(GObjectPtr<SoupServer>::Adopt(
            soup_server_new("server-header", "test", nullptr))),
        handler_([this](SoupServerMessage* message,
                        const standins::Request& request) {
          Handle(message, request);
        }),
        url_("http://" + standins::ListenOnLoopback(server_.get(), handler_)) {}

  [[nodiscard]] const std::string& Url() const { return url_; }
  // Returns the bodies of all writes.
  [[nodiscard]] const std::vector<std::string>& writes() const {
    return writes_;
  }

 private:
  void Handle(SoupServerMessage* message, const standins::Request& request) {
    if (request.method == "PUT") {
      writes_.push_back(request.body);
      if (writes_.size() == 1) {
        standins::DropConnection(message);
        return;
      }
    }
    standins::ReplyBytes(message, 200, "", {{"ETag", "\"2\""}});
  }

  GObjectPtr<SoupServer> server_;
  standins::Handler handler_;
  std::string url_;
  std::vector<std::string> writes_;
};

TEST_CASE("a write whose kept connection closes is not repeated without body") {
  const DroppingServer server;
  StoreClient client(server.Url());
  REQUIRE_FALSE(
      client.CheckConnection(MonotonicClock().Now() + std::chrono::seconds(10))
          .has_value());
  CHECK(WriteTo(client) == StoreStatus::kUnknown);
  CHECK(server.writes() == std::vector<std::string>{"bytes"});
}

}  // namespace
}  // namespace gentianreach
