#include "entry/server_prober.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "http/serializer.h"
#include "net/deadline_timer.h"
#include "proxy/server_connection.h"

namespace gentianreach::entry {
namespace {

// Time for the response to a probe, including the time to connect.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);

// One probe. Keeps itself alive until it ends.
class ProbeSession : public std::enable_shared_from_this<ProbeSession> {
 public:
  ProbeSession(net::EventLoop& loop,
               const proxy::ServerConnectionOptions& options,
               std::function<void(bool)> done)
      : loop_(loop),
        done_(std::move(done)),
        connection_(std::make_shared<proxy::ServerConnection>(
            loop,
            [](proxy::ServerConnection*) {},
            options)),
        timer_(loop, [this] { End(false); }) {}

  void Start(const std::string& address, const std::string& path) {
    http::MessageHead head;
    head.method = "GET";
    head.target = path;
    std::string request;
    http::AppendRequestLine(request, head);
    http::AppendField(request, "Host", address);
    http::AppendField(request, "Connection", "close");
    http::AppendHeadEnd(request);
    timer_.Set(loop_.Now() + kProbeTimeout);
    connection_->Connect(address);
    connection_->Start(std::move(request), false, true,
                       [self = shared_from_this()](proxy::ServerEvent event) {
                         if (event == proxy::ServerEvent::kHead) {
                           self->End(true);
                         } else if (event == proxy::ServerEvent::kFailed) {
                           self->End(false);
                         }
                       });
  }

 private:
  void End(bool answered) {
    const auto self = shared_from_this();
    const auto done = std::exchange(done_, nullptr);
    if (!done) {
      return;
    }
    timer_.Clear();
    connection_->Abandon();
    done(answered);
  }

  net::EventLoop& loop_;
  std::function<void(bool)> done_;
  std::shared_ptr<proxy::ServerConnection> connection_;
  net::DeadlineTimer timer_;
};

}  // namespace

void ServerProber::Probe(const routing::BackendServer& server,
                         std::function<void(bool answered)> done) {
  std::string path = "/";
  if (state_.routes) {
    const auto& services = state_.routes->config().services;
    if (const auto it = services.find(server.service); it != services.end()) {
      path = it->second.health_path;
    }
  }
  std::make_shared<ProbeSession>(state_.loop, state_.ConnectionOptions(),
                                 std::move(done))
      ->Start(server.address, path);
}

}  // namespace gentianreach::entry
