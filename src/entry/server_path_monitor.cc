#include "entry/server_path_monitor.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "base/log.h"
#include "http/serializer.h"
#include "net/deadline_timer.h"
#include "proxy/server_connection.h"

namespace gentianreach::entry {
namespace {

// Time for the response to a probe, including the time to connect.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);

// Called when a probe has ended: whether it was answered, and its connection.
using ProbeEnd = std::function<void(bool, const proxy::ServerConnection&)>;

// One probe. Keeps itself alive until it ends.
class ProbeSession : public std::enable_shared_from_this<ProbeSession> {
 public:
  ProbeSession(net::EventLoop& loop,
               const proxy::ServerConnectionOptions& options,
               ProbeEnd done)
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
    done(answered, *connection_);
  }

  net::EventLoop& loop_;
  ProbeEnd done_;
  std::shared_ptr<proxy::ServerConnection> connection_;
  net::DeadlineTimer timer_;
};

}  // namespace

void ServerPathMonitor::Check() {
  const TimePoint now = state_.loop.Now();
  // Copies that are too old may lack an evacuation.
  const bool evacuations_known =
      !state_.evacuations.enabled() ||
      now < state_.drain_bound.EntriesUntil(state_.entries_status());
  const auto probes = state_.reachability.TakeProbes(
      state_.directory.servers(), now, [&](const routing::BackendServer& it) {
        return evacuations_known && !state_.evacuations.IsEvacuated(it.zone);
      });
  for (const ServerId& it : probes) {
    Probe(*state_.directory.Find(it));
  }
  HandleChange();
}

void ServerPathMonitor::Probe(const routing::BackendServer& server) {
  std::string path = "/";
  if (state_.routes) {
    const auto& services = state_.routes->config().services;
    if (const auto it = services.find(server.service); it != services.end()) {
      path = it->second.health_path;
    }
  }
  std::make_shared<ProbeSession>(
      state_.loop, state_.ConnectionOptions(),
      [this, id = server.id, incarnation = server.incarnation](
          bool answered, const proxy::ServerConnection& connection) {
        const auto left =
            connection.head().Get(std::string_view(state_.headers.warmup_ms));
        if (answered && left) {
          state_.OnWarmupStated(id, *left);
        }
        if (connection.failure() == proxy::ServerFailure::kRefused) {
          state_.OnConnectionRefused(id, incarnation);
        }
        OnProbeEnd(id, answered);
      })
      ->Start(server.address, path);
}

void ServerPathMonitor::OnProbeEnd(const ServerId& server, bool answered) {
  state_.metrics.Count(
      "probes_total", answered ? "outcome=\"answered\"" : "outcome=\"failed\"");
  state_.reachability.OnProbeEnd(server, answered, state_.loop.Now());
  HandleChange();
}

void ServerPathMonitor::HandleChange() {
  const ServerPath path = state_.reachability.path();
  const ServerPath before = std::exchange(path_, path);
  if (path == before) {
    return;
  }
  const Duration silence =
      state_.loop.Now() - state_.reachability.last_answer();
  Log(path == ServerPath::kOpen ? LogLevel::kInfo : LogLevel::kWarning,
      "server_path",
      {{"path", ToString(path)},
       {"before", ToString(before)},
       {"silent_ms", silence / std::chrono::milliseconds(1)},
       {"servers", state_.directory.servers().size()}});
  if (on_change) {
    on_change(before);
  }
}

void ServerPathMonitor::SetMetrics() {
  const ServerReachability& reachability = state_.reachability;
  state_.metrics.Set("server_path_lost", reachability.lost() ? 1 : 0);
  if (reachability.last_answer() != TimePoint{}) {
    const std::chrono::duration<double> silence =
        state_.loop.Now() - reachability.last_answer();
    state_.metrics.Set("server_silence_seconds", silence.count());
  }
}

}  // namespace gentianreach::entry
