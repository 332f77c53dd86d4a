#include "daemon/daemon.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

#include "base/log.h"
#include "base/timer.h"
#include "daemon/cell_driver.h"
#include "daemon/operator_api.h"
#include "daemon/operator_server.h"
#include "daemon/request_log.h"
#include "daemon/settings_driver.h"
#include "net/event_loop.h"
#include "peer/peer_net.h"
#include "platform/store_client.h"
#include "proxy/plain_servers.h"
#include "proxy/proxy_server.h"

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRequestsKept = 2000;
// Time for the balancer to notice that the health check fails.
constexpr milliseconds kBalancerNotice{500};
// A service that has no servers keeps the daemon from the balancer no longer.
constexpr milliseconds kReadyTimeout{10000};
constexpr milliseconds kFirstStoreTimeout{5000};
constexpr milliseconds kLeaveTimeout{3000};
constexpr milliseconds kLeavePoll{20};

// Routes by the cell's agent, on the agent's own thread.
class AgentRouter {
 public:
  explicit AgentRouter(const CellDriver& driver) : driver_(driver) {}

  KeyRoute Route(const ServiceName& service, KeyHash hash, TimePoint now) {
    return driver_.agent().Route(service, hash, now);
  }

 private:
  const CellDriver& driver_;
};

using Proxy = proxy::ProxyServer<AgentRouter, proxy::LeastOutstandingPicker>;

// A name that no earlier life of the daemon had.
DaemonId LifeOf(const std::string& name, std::uint64_t incarnation) {
  return DaemonId(name + "." + std::to_string(incarnation));
}

std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::vector<CellService> CellServicesOf(const settings::TreeT& tree) {
  std::vector<CellService> services;
  for (const auto& it : tree.services) {
    services.push_back({ServiceName(it->name),
                        it->settings->kind == settings::ServiceKind::Keyed,
                        it->settings->checks_giver,
                        it->settings->watches_deadline});
  }
  return services;
}

// Returns "IP:port" with the port that was bound in the end.
std::string WithPort(const std::string& address, std::uint16_t port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(const settings::DaemonT& settings)
      : settings_(settings),
        incarnation_(NewIncarnation()),
        self_(LifeOf(settings.name, incarnation_)),
        store_(settings.store),
        requests_(kRequestsKept) {}

  boost::leaf::result<void> Start();
  void Stop(std::function<void()> done);

 private:
  boost::leaf::result<void> OpenPeers();
  boost::leaf::result<void> OpenOperators();
  void MakeCell();
  boost::leaf::result<void> OpenCallers();
  void OnSettings(const settings::TreeT& tree);
  void OnOwnersChanged();
  [[nodiscard]] bool IsReady() const;
  void OnFinished(const proxy::RequestRecord& record);
  void LeaveCell(TimePoint deadline, std::function<void()> done);
  [[nodiscard]] OperatorView View() const;

  settings::DaemonT settings_;
  std::uint64_t incarnation_;
  DaemonId self_;
  MonotonicClock clock_;
  net::EventLoop loop_;
  StoreClient store_;
  std::unique_ptr<PeerNet> peers_;
  std::unique_ptr<CellDriver> cell_;
  std::unique_ptr<SettingsDriver> tree_;
  std::unique_ptr<AgentRouter> router_;
  proxy::LeastOutstandingPicker picker_;
  std::unique_ptr<Proxy> proxy_;
  OperatorServer operators_;
  RequestLog requests_;
  RequestMetrics metrics_;
  Timer leave_timer_;
  std::string peer_address_;
  ObjectVersion shown_record_;
  std::vector<CellService> services_;
  TimePoint ready_by_ = TimePoint::max();
  bool ready_ = false;
  bool stopping_ = false;
};

boost::leaf::result<void> Daemon::Impl::Start() {
  // A store that answers with an error has an outage and is waited for.
  const auto why = store_.WhyUnreachable(clock_.Now() + kFirstStoreTimeout);
  if (why.has_value()) {
    return boost::leaf::new_error(
        StartError{"store " + settings_.store + ": " + *why});
  }
  BOOST_LEAF_CHECK(OpenPeers());
  MakeCell();
  BOOST_LEAF_CHECK(OpenOperators());
  BOOST_LEAF_CHECK(OpenCallers());
  tree_ = std::make_unique<SettingsDriver>(
      store_, [this](const settings::TreeT& tree) { OnSettings(tree); });
  tree_->Start();
  cell_->Start();
  return {};
}

boost::leaf::result<void> Daemon::Impl::OpenPeers() {
  std::optional<PeerTls> tls;
  if (!settings_.insecure) {
    BOOST_LEAF_ASSIGN(
        tls, PeerTls::Load({settings_.tls_certificate, settings_.tls_key,
                            settings_.tls_authority}));
  }
  peers_ = std::make_unique<PeerNet>(
      FrameSender{settings_.cell, self_, incarnation_}, std::move(tls),
      [this](const ReceivedFrame& frame) { cell_->OnPeer(frame); });
  BOOST_LEAF_AUTO(port, peers_->Listen(settings_.peer_address));
  peer_address_ = WithPort(settings_.peer_address, port);
  Log(LogLevel::kInfo, "listening",
      {{"for", "peers"}, {"address", peer_address_}});
  return {};
}

void Daemon::Impl::MakeCell() {
  CellOptions options;
  options.cell = settings_.cell;
  options.self = self_;
  options.peer_address = peer_address_;
  options.zone = ZoneName(settings_.zone);
  CellHooks hooks;
  hooks.on_change = [this] { OnOwnersChanged(); };
  hooks.on_audit = [](const AuditEvent& it) {
    Log(LogLevel::kInfo, "audit",
        {{"actor", it.actor},
         {"what", it.what},
         {"object", it.object},
         {"from", it.from},
         {"to", it.to},
         {"why", it.why},
         {"version", it.version.value()}});
  };
  hooks.on_load = [](const ServerId&, const ServerLoad&) {};
  cell_ = std::make_unique<CellDriver>(std::move(options),
                                       std::mt19937_64(std::random_device{}()),
                                       store_, *peers_, std::move(hooks));
  router_ = std::make_unique<AgentRouter>(*cell_);
}

boost::leaf::result<void> Daemon::Impl::OpenOperators() {
  ServeOperators(operators_, [this] { return View(); });
  operators_.Handle("POST", "/drain", [this](const OperatorRequest& request) {
    return DrainByRequest(request, [this](const std::string& server,
                                          bool drain) {
      cell_->agent().Drain(ServerId(server), drain, "operator", clock_.Now());
      cell_->Pump();
    });
  });
  BOOST_LEAF_AUTO(port, operators_.Listen(settings_.operator_address));
  Log(LogLevel::kInfo, "listening",
      {{"for", "operators"},
       {"address", WithPort(settings_.operator_address, port)}});
  return {};
}

boost::leaf::result<void> Daemon::Impl::OpenCallers() {
  proxy::ProxyHooks hooks;
  hooks.on_finished = [this](const proxy::RequestRecord& it) {
    OnFinished(it);
  };
  proxy::ProxyOptions options;
  options.id_prefix = self_.value() + "-";
  proxy_ = std::make_unique<Proxy>(loop_, *router_, picker_, std::move(hooks),
                                   std::move(options));
  BOOST_LEAF_CHECK(proxy_->Listen(settings_.caller_address));
  Log(LogLevel::kInfo, "listening",
      {{"for", "callers"},
       {"address", WithPort(settings_.caller_address, proxy_->port())}});
  return {};
}

void Daemon::Impl::OnSettings(const settings::TreeT& tree) {
  proxy_->SetRoutes(std::make_shared<proxy::RouteTable>(tree));
  proxy_->SetLimits(*tree.limits);
  cell_->agent().SetTiming(*tree.cell, clock_.Now());
  services_ = CellServicesOf(tree);
  cell_->agent().SetServices(services_, clock_.Now());
  if (ready_by_ == TimePoint::max()) {
    ready_by_ = clock_.Now() + kReadyTimeout;
  }
  cell_->Pump();
  shown_record_ = {};
  OnOwnersChanged();
}

void Daemon::Impl::OnOwnersChanged() {
  if (proxy_ == nullptr || cell_ == nullptr) {
    return;
  }
  proxy_->OwnersChanged();
  const auto record = cell_->agent().Record();
  ready_ = ready_ || IsReady();
  if (record == nullptr || shown_record_ == cell_->agent().RecordVersion()) {
    return;
  }
  shown_record_ = cell_->agent().RecordVersion();
  std::map<std::string, std::vector<proxy::ServerChoice>> by_service;
  for (const auto& it : record->servers) {
    by_service[it->service];
    if (it->state != stored::ServerState::Live) {
      continue;
    }
    by_service[it->service].push_back({ServerId(it->id), it->address});
  }
  for (auto& [service, servers] : by_service) {
    picker_.Replace(ServiceName(service), std::move(servers));
  }
  proxy_->SetEntryCount(std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(record->members.size())));
}

bool Daemon::Impl::IsReady() const {
  const auto record = cell_->agent().Record();
  if (record == nullptr || services_.empty()) {
    return false;
  }
  if (clock_.Now() >= ready_by_) {
    return true;
  }
  return std::ranges::all_of(services_, [&](const CellService& service) {
    const auto serves = [&service](const auto& it) {
      return it->service == service.name.value();
    };
    return service.keyed ? std::ranges::any_of(record->ranges, serves)
                         : std::ranges::any_of(record->servers, serves);
  });
}

void Daemon::Impl::OnFinished(const proxy::RequestRecord& record) {
  metrics_.Add(record);
  requests_.Add(record);
  Log(LogLevel::kDebug, "request",
      {{"id", record.id},
       {"route", record.route},
       {"server", record.server.value()},
       {"token", record.token.value()},
       {"attempts", record.attempts},
       {"verdict", ToString(record.verdict.outcome())},
       {"reason", ToString(record.verdict.reason())},
       {"us", std::chrono::duration_cast<std::chrono::microseconds>(
                  record.finished - record.started)
                  .count()}});
}

OperatorView Daemon::Impl::View() const {
  OperatorView view;
  view.daemon = self_.value();
  view.zone = settings_.zone;
  view.cell = settings_.cell;
  view.ready = ready_;
  view.stopping = stopping_;
  view.settings_version = tree_->version();
  view.settings_text = tree_->text();
  view.status = cell_->agent().Status(clock_.Now());
  view.permit_left = cell_->agent().PermitDeadline(clock_.Now()) - clock_.Now();
  view.record = cell_->agent().Record();
  view.peers = peers_->counters();
  view.in_flight = proxy_->in_flight();
  view.caller_connections = proxy_->caller_connections();
  view.requests = &requests_;
  view.metrics = &metrics_;
  view.route = [this](const ServiceName& service, KeyHash hash) {
    return cell_->agent().Route(service, hash, clock_.Now());
  };
  return view;
}

void Daemon::Impl::Stop(std::function<void()> done) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  Log(LogLevel::kInfo, "stopping", {{"daemon", self_.value()}});
  const TimePoint deadline =
      clock_.Now() + milliseconds(settings_.stop_timeout);
  // New connections are still taken until the balancer has had time to notice.
  leave_timer_.Set(clock_.Now() + kBalancerNotice,
                   [this, deadline, done = std::move(done)] {
                     proxy_->Stop(deadline, [this, done] {
                       const TimePoint leave_by = clock_.Now() + kLeaveTimeout;
                       cell_->agent().Leave(clock_.Now());
                       cell_->Pump();
                       LeaveCell(leave_by, done);
                     });
                   });
}

void Daemon::Impl::LeaveCell(TimePoint deadline, std::function<void()> done) {
  const bool left = cell_->agent().Status(clock_.Now()).left;
  if (left || clock_.Now() >= deadline) {
    Log(LogLevel::kInfo, "stopped", {{"left", left}});
    done();
    return;
  }
  leave_timer_.Set(
      clock_.Now() + kLeavePoll,
      [this, deadline, done = std::move(done)] { LeaveCell(deadline, done); });
}

Daemon::Daemon(const settings::DaemonT& settings)
    : impl_(std::make_unique<Impl>(settings)) {}
Daemon::~Daemon() = default;

boost::leaf::result<void> Daemon::Start() {
  const auto fail = [](const std::string& message) {
    return boost::leaf::result<void>(
        boost::leaf::new_error(StartError{message}));
  };
  return boost::leaf::try_handle_some(
      [this] { return impl_->Start(); },
      [&fail](const ListenError& e) { return fail(e.message); },
      [&fail](const TlsError& e) { return fail(e.message); },
      [&fail](const net::SocketError& e) { return fail(e.message); });
}

void Daemon::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

}  // namespace gentianreach
