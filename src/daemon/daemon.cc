#include "daemon/daemon.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

#include "base/log.h"
#include "base/timer.h"
#include "daemon/audit_driver.h"
#include "daemon/cell_driver.h"
#include "daemon/operator_api.h"
#include "daemon/operator_server.h"
#include "daemon/placement_driver.h"
#include "daemon/quarantine_driver.h"
#include "daemon/request_log.h"
#include "daemon/settings_driver.h"
#include "net/event_loop.h"
#include "peer/peer_net.h"
#include "proxy/policy_picker.h"
#include "proxy/proxy_server.h"
#include "store/store_client.h"

namespace gentianreach {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRequestLogCapacity = 2000;
// Time that the load balancer needs to see the failing health check.
constexpr milliseconds kBalancerReactionTime{500};
// After this time the daemon reports ready even if a service has no servers.
constexpr milliseconds kReadyTimeout{10000};
constexpr milliseconds kInitialStoreTimeout{5000};
constexpr milliseconds kLeaveTimeout{3000};
constexpr milliseconds kLeavePollInterval{20};
constexpr milliseconds kServingUpdateInterval{100};

// Routes keys by the state of the cell agent. Must be used on the agent's
// thread.
class AgentRouter {
 public:
  explicit AgentRouter(const CellDriver& driver) : driver_(driver) {}

  KeyRoute Route(const ServiceName& service, KeyHash hash, TimePoint now) {
    return driver_.agent().Route(service, hash, now);
  }

 private:
  const CellDriver& driver_;
};

using Proxy = proxy::ProxyServer<AgentRouter, proxy::PolicyPicker>;

// Returns an id that no earlier incarnation of the daemon had.
DaemonId MakeDaemonId(const std::string& name, std::uint64_t incarnation) {
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

// Returns `address` ("IP:port") with its port replaced by the bound port.
std::string ReplacePort(const std::string& address, std::uint16_t port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(const settings::DaemonT& settings)
      : settings_(settings),
        incarnation_(NewIncarnation()),
        self_(MakeDaemonId(settings.name, incarnation_)),
        store_(settings.store),
        audit_(self_.value(), store_),
        quarantine_(MakeLinks()),
        picker_(incarnation_),
        request_log_(kRequestLogCapacity) {}

  boost::leaf::result<void> Start();
  void Stop(std::function<void()> done);

 private:
  boost::leaf::result<void> ListenForPeers();
  boost::leaf::result<void> ListenForOperators();
  void CreateCell();
  boost::leaf::result<void> ListenForCallers();
  void OnPeerMessage(const ReceivedFrame& frame);
  void OnSettings(const settings::TreeT& tree);
  void OnServerResponse(const ServerResponse& response,
                        const ServerOrder& order,
                        TimePoint sent);
  void OnServerRefused(const ServerOrder& order);
  void UpdateServers(const stored::CellT& record);
  void UpdateServing();
  [[nodiscard]] CellLinks MakeLinks();
  void RegisterOperatorActions();
  // Returns false if the cell has no such server.
  bool Drain(const std::string& server, bool drain, const std::string& actor);
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
  AuditDriver audit_;
  QuarantineDriver quarantine_;
  std::unique_ptr<PlacementDriver> placement_;
  std::unique_ptr<SettingsDriver> settings_driver_;
  std::unique_ptr<AgentRouter> router_;
  proxy::PolicyPicker picker_;
  std::unique_ptr<Proxy> proxy_;
  OperatorServer operator_server_;
  RequestLog request_log_;
  RequestMetrics metrics_;
  Timer leave_timer_;
  Timer serving_timer_;
  std::string peer_address_;
  ObjectVersion applied_record_version_;
  std::vector<CellService> services_;
  TimePoint ready_by_ = TimePoint::max();
  bool ready_ = false;
  bool stopping_ = false;
};

boost::leaf::result<void> Daemon::Impl::Start() {
  // Only an unreachable store is a start error. A store that answers with an
  // error has an outage, and the daemon starts and waits for it.
  const auto error =
      store_.CheckConnection(clock_.Now() + kInitialStoreTimeout);
  if (error.has_value()) {
    return boost::leaf::new_error(
        StartError{"store " + settings_.store + ": " + *error});
  }
  BOOST_LEAF_CHECK(ListenForPeers());
  CreateCell();
  BOOST_LEAF_CHECK(ListenForOperators());
  BOOST_LEAF_CHECK(ListenForCallers());
  settings_driver_->Start();
  cell_->Start();
  placement_->Start();
  quarantine_.Start();
  UpdateServing();
  return {};
}

boost::leaf::result<void> Daemon::Impl::ListenForPeers() {
  std::optional<PeerTls> tls;
  if (!settings_.insecure) {
    BOOST_LEAF_ASSIGN(
        tls, PeerTls::Load({settings_.tls_certificate, settings_.tls_key,
                            settings_.tls_authority}));
  }
  peers_ = std::make_unique<PeerNet>(
      FrameSender{settings_.cell, self_, incarnation_}, std::move(tls),
      [this](const ReceivedFrame& frame) { OnPeerMessage(frame); });
  BOOST_LEAF_AUTO(port, peers_->Listen(settings_.peer_address));
  peer_address_ = ReplacePort(settings_.peer_address, port);
  Log(LogLevel::kInfo, "listening",
      {{"for", "peers"}, {"address", peer_address_}});
  return {};
}

void Daemon::Impl::CreateCell() {
  CellOptions options;
  options.cell = settings_.cell;
  options.self = self_;
  options.peer_address = peer_address_;
  options.zone = ZoneName(settings_.zone);
  CellHooks hooks;
  hooks.on_change = [this] { OnOwnersChanged(); };
  hooks.on_audit = [this](const AuditEvent& it) { audit_.Add(it); };
  hooks.on_response = [this](const ServerResponse& response,
                             const ServerOrder& order, TimePoint sent) {
    OnServerResponse(response, order, sent);
  };
  hooks.on_refused = [this](const ServerOrder& it) { OnServerRefused(it); };
  cell_ = std::make_unique<CellDriver>(
      std::move(options), std::mt19937_64(std::random_device{}()), loop_,
      store_, *peers_, std::move(hooks));
  router_ = std::make_unique<AgentRouter>(*cell_);
  placement_ = std::make_unique<PlacementDriver>(self_, *cell_, MakeLinks());
  settings_driver_ = std::make_unique<SettingsDriver>(
      self_, incarnation_, store_, MakeLinks(),
      [this](const settings::TreeT& tree) { OnSettings(tree); });
}

CellLinks Daemon::Impl::MakeLinks() {
  return {
      [this](const DaemonId& to, const peer::MessageUnion& message) {
        cell_->SendTo(to, message);
      },
      [this](const peer::MessageUnion& message) { cell_->SendToAll(message); },
      [this] { return cell_->OtherMembers(); }};
}

void Daemon::Impl::OnPeerMessage(const ReceivedFrame& frame) {
  const DaemonId& from = frame.sender.daemon;
  switch (frame.message.type) {
    case peer::Message::SettingsNotice:
    case peer::Message::SettingsRequest:
    case peer::Message::SettingsUpdate:
      settings_driver_->OnPeerMessage(from, frame.message);
      return;
    case peer::Message::LoadReport:
      placement_->OnReport(from, *frame.message.AsLoadReport());
      return;
    case peer::Message::QuarantineUpdate:
      quarantine_.OnUpdate(*frame.message.AsQuarantineUpdate());
      return;
    default:
      cell_->OnPeerMessage(frame);
  }
}

void Daemon::Impl::OnServerResponse(const ServerResponse& response,
                                    const ServerOrder& order,
                                    TimePoint sent) {
  quarantine_.OnServerAnswered(order.server, response.reply.incarnation, sent);
  Picker* const picker = picker_.Find(order.service);
  if (picker != nullptr) {
    picker->OnReport(order.server, response.load, clock_.Now());
  }
}

void Daemon::Impl::OnServerRefused(const ServerOrder& order) {
  quarantine_.OnServerRefused(order.server, order.incarnation);
}

// A daemon that cannot tell whether its settings are current serves only
// requests that may run twice.
void Daemon::Impl::UpdateServing() {
  serving_timer_.Set(clock_.Now() + kServingUpdateInterval,
                     [this] { UpdateServing(); });
  const settings::SyncStatus sync_status =
      settings_driver_->relay().SyncStatusAt(clock_.Now());
  proxy_->SetServing({settings::MayServe(sync_status, true),
                      settings::MayServe(sync_status, false)});
}

boost::leaf::result<void> Daemon::Impl::ListenForOperators() {
  RegisterOperatorQueries(operator_server_, [this] { return View(); });
  RegisterOperatorActions();
  BOOST_LEAF_AUTO(port, operator_server_.Listen(settings_.operator_address));
  Log(LogLevel::kInfo, "listening",
      {{"for", "operators"},
       {"address", ReplacePort(settings_.operator_address, port)}});
  return {};
}

void Daemon::Impl::RegisterOperatorActions() {
  operator_server_.Handle(
      "POST", "/drain", [this](const OperatorRequest& request) {
        return HandleDrain(request,
                           [this](const std::string& server, bool drain,
                                  const std::string& actor) {
                             return Drain(server, drain, actor);
                           });
      });
  // The operator confirms that the daemons of all older views have stopped for
  // good.
  operator_server_.Handle(
      "POST", "/members/confirm-gone", [this](const OperatorRequest&) {
        const bool done =
            cell_->agent().ConfirmOldMembersGone("operator", clock_.Now());
        cell_->ProcessOutbox();
        return done ? OperatorResponse{SOUP_STATUS_OK, "application/json",
                                       "{\"ok\":true}\n"}
                    : OperatorResponse{SOUP_STATUS_CONFLICT, "application/json",
                                       "{\"error\":\"ask the assigner\"}\n"};
      });
  operator_server_.Handle(
      "POST", "/quarantine/lift", [this](const OperatorRequest& request) {
        return HandleLift(request, [this](Fingerprint fingerprint) {
          if (!quarantine_.quarantine().Lift(fingerprint, clock_.Now())) {
            return false;
          }
          audit::Entry entry;
          entry.actor = "operator";
          entry.kind = "quarantine";
          entry.key = std::to_string(fingerprint.value);
          entry.to = "lifted";
          audit_.Add(std::move(entry));
          return true;
        });
      });
}

bool Daemon::Impl::Drain(const std::string& server,
                         bool drain,
                         const std::string& actor) {
  const auto record = cell_->agent().Record();
  const bool known =
      record != nullptr &&
      std::ranges::any_of(record->servers, [&server](const auto& it) {
        return it->id == server;
      });
  if (!known) {
    return false;
  }
  cell_->agent().Drain(ServerId(server), drain, actor, clock_.Now());
  cell_->ProcessOutbox();
  return true;
}

boost::leaf::result<void> Daemon::Impl::ListenForCallers() {
  proxy::ProxyHooks hooks;
  hooks.on_finished = [this](const proxy::RequestRecord& it) {
    OnFinished(it);
  };
  proxy::ProxyOptions options;
  hooks.on_contact = [this](const proxy::ServerContact&) {
    quarantine_.Flush();
  };
  options.id_prefix = self_.value();
  proxy_ = std::make_unique<Proxy>(loop_, *router_, picker_, std::move(hooks),
                                   std::move(options));
  proxy_->SetQuarantine(&quarantine_.quarantine());
  BOOST_LEAF_CHECK(proxy_->Listen(settings_.caller_address));
  Log(LogLevel::kInfo, "listening",
      {{"for", "callers"},
       {"address", ReplacePort(settings_.caller_address, proxy_->port())}});
  return {};
}

void Daemon::Impl::OnSettings(const settings::TreeT& tree) {
  proxy_->SetRoutes(std::make_shared<proxy::RouteTable>(tree));
  proxy_->SetLimits(*tree.limits);
  quarantine_.quarantine().SetExpiry(milliseconds(tree.limits->quarantine));
  for (const auto& it : tree.services) {
    picker_.SetOptions(
        ServiceName(it->name),
        {milliseconds(it->settings->warm_up), it->settings->eject_share});
  }
  placement_->OnSettings(tree);
  cell_->agent().SetTiming(*tree.cell, clock_.Now());
  services_ = CellServicesOf(tree);
  cell_->agent().SetServices(services_, clock_.Now());
  if (ready_by_ == TimePoint::max()) {
    ready_by_ = clock_.Now() + kReadyTimeout;
  }
  cell_->ProcessOutbox();
  UpdateServing();
  applied_record_version_ = {};
  OnOwnersChanged();
}

void Daemon::Impl::OnOwnersChanged() {
  if (proxy_ == nullptr || cell_ == nullptr) {
    return;
  }
  proxy_->OwnersChanged();
  const auto record = cell_->agent().Record();
  ready_ = ready_ || IsReady();
  if (record == nullptr ||
      applied_record_version_ == cell_->agent().RecordVersion()) {
    return;
  }
  applied_record_version_ = cell_->agent().RecordVersion();
  UpdateServers(*record);
}

void Daemon::Impl::UpdateServers(const stored::CellT& record) {
  std::map<ServiceName, std::vector<proxy::ServerChoice>> by_service;
  for (const auto& it : record.servers) {
    std::vector<proxy::ServerChoice>& servers =
        by_service[ServiceName(it->service)];
    if (it->state == stored::ServerState::Live) {
      servers.push_back(
          {ServerId(it->id), it->address, Incarnation(it->incarnation)});
    }
  }
  // Servers found at the daemon's start were already running and need no
  // warm-up.
  const bool cold = ready_;
  for (const auto& [service, servers] : by_service) {
    picker_.Replace(service, servers, cold, clock_.Now());
  }
  proxy_->SetEntryCount(static_cast<std::uint32_t>(
      std::max<std::size_t>(1, record.members.size())));
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
  placement_->Count(record);
  request_log_.Add(record);
  if (!IsLogged(LogLevel::kDebug)) {
    return;
  }
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
  view.settings_version = settings_driver_->version();
  view.settings_text = settings_driver_->text();
  view.settings_sync_status = std::string(
      ToString(settings_driver_->relay().SyncStatusAt(clock_.Now())));
  view.settings_members = settings_driver_->relay().MemberVersions();
  view.quarantine = quarantine_.quarantine().List(clock_.Now());
  view.status = cell_->agent().Status(clock_.Now());
  view.permit_left = cell_->agent().PermitDeadline(clock_.Now()) - clock_.Now();
  view.record = cell_->agent().Record();
  view.peers = peers_->counters();
  view.in_flight = proxy_->in_flight();
  view.caller_connections = proxy_->caller_connections();
  view.requests = &request_log_;
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
  // Accepts new connections until the load balancer has had time to see the
  // failing health check.
  leave_timer_.Set(clock_.Now() + kBalancerReactionTime,
                   [this, deadline, done = std::move(done)] {
                     proxy_->Stop(deadline, [this, done] {
                       const TimePoint leave_by = clock_.Now() + kLeaveTimeout;
                       cell_->agent().Leave(clock_.Now());
                       cell_->ProcessOutbox();
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
      clock_.Now() + kLeavePollInterval,
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
