#include "entry/entry_daemon.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "daemon/operator_server.h"
#include "entry/copy_age_log.h"
#include "entry/entry_proxy.h"
#include "entry/entry_settings.h"
#include "entry/entry_state.h"
#include "entry/evacuation_objects.h"
#include "entry/excerpt.h"
#include "entry/key_assignment.h"
#include "entry/leader_election.h"
#include "entry/leader_record.h"
#include "entry/member_link.h"
#include "entry/server_entries.h"
#include "entry/server_path_monitor.h"
#include "entry/status_log.h"
#include "entry/store_copies.h"
#include "net/address_in_use.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "platform/decode.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Period of the checks that no event triggers.
constexpr Duration kHousekeepingPeriod = milliseconds(100);
// Delay of the event loop from which on it is logged. Orders to servers time
// out after twice this time.
constexpr Duration kLoggedLoopDelay = milliseconds(200);
// Timeout of store calls for the election.
constexpr Duration kElectionTimeout = milliseconds(1500);
// Daemons of a deployment start at the same time. Their first election calls
// are spread over this time, so that later daemons find the first one as
// leader.
constexpr Duration kElectionJitter = milliseconds(400);
// Daemons with a smaller processor share delay their first election call.
constexpr double kLeaderProcessorShare = 0.3;
// Time between two heartbeats to all members while copies change quickly: the
// minimum, and the time per member. It depends on the number of members because
// each of them then fetches the changes.
constexpr Duration kHeartbeatPause = milliseconds(40);
constexpr Duration kHeartbeatPausePerMember = milliseconds(2);
// How long copies that are too old leave a daemon ready: all daemons may find
// out at the same time that the store is lost.
constexpr Duration kUnreadyDelay = std::chrono::seconds(2);
// How long a stopping daemon still accepts connections. The load balancer
// checks once a second and removes the daemon after two failed checks.
constexpr Duration kAcceptWhileStopping = milliseconds(2600);
// Time between the last responses and the end of the grace period.
constexpr Duration kStopMargin = milliseconds(550);
// How long a daemon waits for an address that is in use, since the process
// before may still be ending, and the time between two attempts.
constexpr Duration kAddressWait = std::chrono::seconds(5);
constexpr Duration kAddressRetryPeriod = milliseconds(100);

std::uint64_t RandomNumber() {
  // 52 bits: JSON numbers of that size are exact in every implementation.
  std::random_device device;
  return ((std::uint64_t{device()} << 32) | device()) >> 12;
}

}  // namespace

class EntryDaemon::Impl {
 public:
  explicit Impl(const settings::EntryDaemonT& settings)
      : settings_(settings),
        config_bound_(ConfigApplyTime(settings)),
        platform_(settings.store_address, settings.source_ip),
        state_(std::make_shared<EntryState>(
            loop_,
            platform::PlatformHeaders(),
            ZoneName(settings.zone),
            RetryBoundsOf(settings),
            DrainBound(ShortestSendBound(settings)),
            settings.source_ip,
            BodyBytes(settings),
            EvacuationTime(settings))),
        entries_(*state_),
        evacuations_(*state_),
        path_monitor_(*state_),
        proxy_(state_),
        self_{settings.name, Incarnation(RandomNumber()),
              AdvertisedAddress(settings, settings.member_address)},
        election_(self_, {}),
        link_(loop_,
              self_,
              settings.processor_share,
              AdvertisedAddress(settings, settings.forward_address),
              SeedsOf(settings),
              election_,
              *state_),
        assignment_(*state_,
                    election_,
                    platform_,
                    AssignerOptionsFor(milliseconds(
                        static_cast<std::int64_t>(settings.longest_lease_ms)))),
        copies_(loop_,
                platform_,
                ShortestExpiry(settings),
                std::min(config_bound_.max_age(),
                         state_->drain_bound.max_entries_age()),
                {.config = {[this](const auto& it) { OnConfig(it); },
                            [this](const auto& it) { OnConfig(it); }},
                 .servers = {[this](const auto& it) { OnServerList(it); },
                             [this](const auto& it) { OnServerEvents(it); }},
                 .ownership = {[this](const auto& it) { OnTables(it); },
                               [this](const auto& it) { OnTables(it); }},
                 .evacuations = EvacuationSink()},
                settings.source_ip),
        housekeeping_(loop_, [this] { RunHousekeeping(); }),
        election_timer_(loop_, [this] { RunElection(); }),
        heartbeat_timer_(loop_, [this] {
          next_heartbeat_ =
              loop_.Now() +
              std::max(kHeartbeatPause,
                       link_.members() * kHeartbeatPausePerMember);
          link_.SendLeaderHeartbeats();
        }) {
    state_->zone_crossing = ZoneCrossing(settings);
    if (settings.load_sharing) {
      state_->EnableLoadSharing();
    }
    path_monitor_.on_change = [this](ServerPath before) {
      OnServerPathChange(before);
    };
    // Deferred, since a request may be in the middle of its response.
    state_->on_server_leaving = [this] {
      loop_.Defer([this] { OnServersChanged(); });
    };
    state_->routes_current_until = [this] {
      return config_bound_.Until(copies_.config_current_at(), false);
    };
    state_->routes_usable_until = [this] {
      return config_bound_.Until(copies_.config_current_at(),
                                 copies_.IsStoreLostForConfig());
    };
    state_->entries_status = [this] {
      return EntriesStatus{copies_.entries_current_at(), copies_.IsStoreLost(),
                           ToString(copies_.source()),
                           copies_.health().answered_any_at()};
    };
    copies_.on_store_change = [this](bool lost) { OnStoreChange(lost); };
    link_.on_membership_update = [this] { OnMembershipUpdate(); };
    link_.on_leader_heartbeat = [this](const StoreCopyStatus& copy_status) {
      OnLeaderHeartbeat(copy_status);
    };
    link_.on_peer_with_copies = [this](const std::string& it) {
      copies_.OnPeerWithCopies(it);
    };
    assignment_.on_table = [this](const platform::Object& table) {
      copies_.PutTable(table);
    };
  }

  boost::leaf::result<void> Start() {
    AwaitAddresses();
    BOOST_LEAF_CHECK(
        proxy_.Listen(settings_.caller_address, RequestOrigin::kCaller));
    if (!settings_.forward_address.empty()) {
      BOOST_LEAF_CHECK(
          proxy_.Listen(settings_.forward_address, RequestOrigin::kDaemon));
    }
    BOOST_LEAF_CHECK(link_.Open(settings_.member_address));
    ready_server_.Handle("GET", settings_.ready_path, [this](const auto&) {
      return IsReady() ? OperatorResponse{200, "text/plain", "ready\n"}
                       : OperatorResponse{503, "text/plain", "not ready\n"};
    });
    BOOST_LEAF_CHECK(ready_server_.Listen(settings_.ready_address));
    if (!settings_.metrics_address.empty()) {
      metrics_server_.Handle("GET", settings_.metrics_path,
                             [this](const auto&) { return Metrics(); });
      BOOST_LEAF_CHECK(metrics_server_.Listen(settings_.metrics_address));
    }
    copies_.OnMembers(SeedsOf(settings_));
    BOOST_LEAF_CHECK(copies_.Start(settings_.member_address));
    const TimePoint now = loop_.Now();
    status_log_.Start(now);
    SetHousekeepingTimer(now + kHousekeepingPeriod);
    // Daemons with a small processor share let others become leader.
    const Duration low_share_delay =
        settings_.processor_share < kLeaderProcessorShare ? kElectionJitter
                                                          : Duration(0);
    election_timer_.Set(
        now + low_share_delay +
        Duration(RandomNumber() %
                 static_cast<std::uint64_t>(kElectionJitter.count())));
    Log(LogLevel::kInfo, "started",
        {{"name", settings_.name},
         {"zone", settings_.zone},
         {"life", self_.incarnation.value()}});
    return {};
  }

  void Stop(std::function<void()> done) {
    if (state_->stopping) {
      return;
    }
    Log(LogLevel::kInfo, "stopping", {{"in_flight", state_->in_flight}});
    const TimePoint now = loop_.Now();
    const auto grace = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(settings_.stop_grace_s));
    const TimePoint deadline = now + std::max(grace - kStopMargin, grace / 2);
    election_.Resign();
    RunElection();
    proxy_.Stop(std::min(now + kAcceptWhileStopping, deadline), deadline,
                [done = std::move(done)] {
                  Log(LogLevel::kInfo, "stopped", {});
                  done();
                });
  }

  [[nodiscard]] std::uint16_t caller_port() const { return proxy_.port(); }

 private:
  // Waits for a bounded time until no configured address is in use.
  void AwaitAddresses() const {
    const TimePoint deadline = loop_.Now() + kAddressWait;
    bool logged = false;
    for (auto used = FindAddressInUse(); used && loop_.Now() < deadline;
         used = FindAddressInUse()) {
      if (!std::exchange(logged, true)) {
        Log(LogLevel::kWarning, "address_in_use", {{"address", *used}});
      }
      std::this_thread::sleep_for(kAddressRetryPeriod);
    }
  }

  // Returns a configured address that is in use, if there is one.
  [[nodiscard]] std::optional<std::string> FindAddressInUse() const {
    if (net::IsAddressInUse(settings_.member_address, net::Transport::kUdp)) {
      return settings_.member_address;
    }
    for (const std::string& it :
         {settings_.member_address, settings_.caller_address,
          settings_.forward_address, settings_.ready_address,
          settings_.metrics_address}) {
      if (net::IsAddressInUse(it, net::Transport::kTcp)) {
        return it;
      }
    }
    return std::nullopt;
  }

  // Returns whether the daemon has the routes and servers that it needs to
  // serve requests, not too old for that or only briefly, and is not stopping.
  [[nodiscard]] bool IsReady() const {
    const TimePoint now = loop_.Now();
    const TimePoint usable_until =
        std::min(state_->routes_usable_until(),
                 state_->drain_bound.EntriesUntil(state_->entries_status()));
    return state_->routes != nullptr && servers_known_ && !state_->stopping &&
           now - kUnreadyDelay < usable_until;
  }

  OperatorResponse Metrics() {
    const TimePoint now = loop_.Now();
    EntryMetrics& metrics = state_->metrics;
    const auto seconds = [](Duration it) {
      return std::chrono::duration<double>(it).count();
    };
    metrics.Set("in_flight_requests", static_cast<double>(state_->in_flight));
    metrics.Set("request_body_bytes",
                static_cast<double>(state_->body_memory.used()));
    metrics.Set("held_requests", static_cast<double>(state_->held.size()));
    metrics.Set("limited_servers", static_cast<double>(state_->limits.size()));
    metrics.Set("leaving_servers",
                static_cast<double>(state_->directory.leaving().size()));
    metrics.Set(
        "deferred_removals",
        static_cast<double>(state_->directory.deferred_removals().size()));
    metrics.Set("resting_servers",
                static_cast<double>(state_->limits.CountResting(now)));
    path_monitor_.SetMetrics();
    metrics.Set("relays", static_cast<double>(state_->relays.size()));
    metrics.Set("cut_members", link_.cut_members());
    metrics.Set("members", state_->members());
    metrics.Set("datagrams_unsent_total",
                static_cast<double>(link_.unsent_datagrams()));
    metrics.Set("datagrams_dropped_total",
                static_cast<double>(link_.CountDroppedDatagrams()));
    metrics.Set("leading", election_.IsLeader(now) ? 1 : 0);
    metrics.Set("leader_epoch",
                static_cast<double>(election_.record().epoch.value()));
    if (link_.leader_last_seen() != TimePoint{}) {
      metrics.Set("leader_silence_seconds",
                  seconds(now - link_.leader_last_seen()));
    }
    metrics.Set("store_lost", copies_.health().lost() ? 1 : 0);
    if (copies_.health().answered_at() != TimePoint{}) {
      metrics.Set("store_silence_seconds",
                  seconds(now - copies_.health().answered_at()));
    }
    if (copies_.current_at() != TimePoint{}) {
      metrics.Set("copy_age_seconds", seconds(now - copies_.current_at()));
    }
    metrics.Set("store_calls_total",
                static_cast<double>(platform_.store_calls()));
    for (const auto& [kind_and_call, n] : platform_.store_call_counts()) {
      metrics.Set("store_calls_by_kind_total", static_cast<double>(n),
                  "kind=\"" + std::string(ToString(kind_and_call.first)) +
                      "\",call=\"" +
                      std::string(ToString(kind_and_call.second)) + "\"");
    }
    metrics.Set("store_history_losses_total",
                static_cast<double>(copies_.health().history_losses()));
    metrics.Set("store_revisions_back_total",
                static_cast<double>(copies_.health().revisions_back()));
    metrics.Set("relay_failures_total",
                static_cast<double>(copies_.relay_failures()));
    metrics.Set("store_objects_unreadable_total",
                static_cast<double>(copies_.unreadable_objects()));
    metrics.Set("server_entries_unusable",
                static_cast<double>(entries_.unusable()));
    metrics.Set("event_loop_delay_seconds",
                seconds(std::exchange(max_loop_delay_, Duration(0))));
    metrics.Set("log_lines_dropped_total",
                static_cast<double>(DroppedLogLines()));
    metrics.Set("config_version",
                state_->routes
                    ? static_cast<double>(state_->routes->config().version)
                    : 0);
    evacuations_.SetMetrics();
    state_->SetServiceMetrics();
    return {200, "text/plain; version=0.0.4", metrics.Text()};
  }

  void OnConfig(const std::vector<platform::Object>& objects) {
    for (const platform::Object& it : objects) {
      if (it.name != "main" || it.deleted) {
        continue;
      }
      std::string why;
      auto config = platform::DecodeRoutingConfig(it.content(), &why);
      if (!config) {
        Log(LogLevel::kError, "config_unusable",
            {{"revision", it.revision}, {"why", why}});
        continue;
      }
      const std::uint64_t present =
          state_->routes ? state_->routes->config().version : 0;
      if (state_->routes && config->version <= present) {
        continue;
      }
      Log(LogLevel::kInfo, "config_in_force",
          {{"version", config->version},
           {"before", present},
           {"revision", it.revision},
           {"routes", config->routes.size()}});
      state_->SetRoutes(std::make_shared<routing::HostRoutes>(
          std::make_shared<const routing::RoutingConfig>(*std::move(config)),
          self_.incarnation.value()));
    }
    ScheduleHeartbeats();
    assignment_.Run();
  }

  void OnServerList(const std::vector<platform::Object>& objects) {
    entries_.ApplyList(objects, copies_.servers_current_at(),
                       ToString(copies_.source()));
    servers_known_ = true;
    OnServersChanged();
  }

  void OnServerEvents(const std::vector<platform::Object>& objects) {
    entries_.ApplyEvents(objects, copies_.servers_current_at(),
                         ToString(copies_.source()));
    OnServersChanged();
  }

  // Returns the receiver of evacuations; without functions if they are not
  // read.
  StoreWatcher::Sink EvacuationSink() {
    if (!state_->evacuations.enabled()) {
      return {};
    }
    return {[this](const auto& it) {
              evacuations_.ApplyList(it, copies_.evacuations_current_at(),
                                     ToString(copies_.source()));
              OnServersChanged();
            },
            [this](const auto& it) {
              evacuations_.ApplyEvents(it, copies_.evacuations_current_at(),
                                       ToString(copies_.source()));
              OnServersChanged();
            }};
  }

  // Handles a change of the server entries or of the evacuations.
  void OnServersChanged() {
    state_->DropRemovedServers();
    if (servers_known_) {
      evacuations_.CheckZones();
    }
    ScheduleHeartbeats();
    assignment_.Run();
    state_->held.WakeAll();
  }

  void OnTables(const std::vector<platform::Object>& objects) {
    bool changed = false;
    for (const platform::Object& it : objects) {
      if (it.deleted) {
        continue;
      }
      auto table = keyspace::DecodeTable(it.content());
      if (!table) {
        Log(LogLevel::kError, "table_unreadable",
            {{"service", it.name}, {"revision", it.revision}});
        continue;
      }
      changed =
          state_->ownership.Put(it.name, it.revision, *std::move(table)) ||
          changed;
    }
    if (changed) {
      ScheduleHeartbeats();
      state_->held.WakeAll();
    }
  }

  void OnStoreChange(bool lost) {
    Log(LogLevel::kWarning, lost ? "store_lost" : "store_back", {});
    UpdateDoubt();
    ScheduleHeartbeats();
  }

  void UpdateDoubt() {
    const auto removed = state_->directory.SetRemovalsDeferred(
        copies_.MayLackEntries(), loop_.Now());
    for (const ServerId& it : removed) {
      Log(LogLevel::kInfo, "deferred_removal_done", {{"server", it.value()}});
    }
    if (!removed.empty()) {
      OnServersChanged();
    }
  }

  // Handles a change of whether servers can be reached.
  void OnServerPathChange(ServerPath before) {
    if (state_->reachability.lost()) {
      state_->relays.Reset();
      state_->CloseIdleConnections();
      link_.AnnounceServerPath();
      proxy_.OnServersLost();
      state_->held.WakeAll();
    } else if (before == ServerPath::kLost) {
      link_.AnnounceServerPath();
      state_->held.WakeAll();
    }
  }

  // Schedules heartbeats about changed copies to all members if this daemon is
  // the leader.
  void ScheduleHeartbeats() {
    link_.SetStoreCopyStatus(copies_.CopyStatus());
    const TimePoint now = loop_.Now();
    if (!election_.IsLeader(now) || heartbeat_timer_.deadline()) {
      return;
    }
    heartbeat_timer_.Set(std::max(now, next_heartbeat_));
  }

  // Updates what heartbeats report, and sends them at once when most daemons
  // have lost the store: without that proof the others refuse requests.
  void AnnounceLossByMost() {
    const StoreCopyStatus status = copies_.CopyStatus();
    link_.SetStoreCopyStatus(status);
    if (!std::exchange(most_lost_store_, status.most_lost_store) &&
        status.most_lost_store) {
      ScheduleHeartbeats();
    }
  }

  void OnLeaderHeartbeat(const StoreCopyStatus& copy_status) {
    copies_.OnLeaderHeartbeat(copy_status);
    TakeOverIfLeaderLostStore();
  }

  // Starts to replace a leader that cannot reach the store if this daemon can.
  void TakeOverIfLeaderLostStore() {
    if (copies_.HasLeaderLostStore(election_.record().leader.address)) {
      election_.OnLeaderUnfit(loop_.Now());
    }
  }

  // Chooses where this daemon gets changes of its copies from.
  void ChooseSource() {
    const bool leads = election_.IsLeader(loop_.Now());
    state_->SetLoadCounting(leads);
    if (leads) {
      copies_.OnMembers(link_.SuccessorAddresses());
    }
    copies_.ChooseSource({.leads = leads,
                          .leader_last_seen = link_.leader_last_seen(),
                          .rank = link_.rank(),
                          .heartbeat_period = link_.heartbeat_period(),
                          .members = state_->members()});
    UpdateDoubt();
    copy_age_log_.Poll(servers_known_);
  }

  // Until the number of daemons is known, the state assumes a large one.
  void UpdateMembers() {
    if (link_.knows_members()) {
      state_->SetMembers(link_.members(), link_.cut_members());
    }
  }

  void OnMembershipUpdate() {
    UpdateMembers();
    ChooseSource();
    if (!election_timer_.deadline()) {
      RunElection();
    }
  }

  void SetHousekeepingTimer(TimePoint due) {
    housekeeping_due_ = due;
    housekeeping_.Set(due);
  }

  // Records how long after its deadline the housekeeping timer has fired.
  void RecordLoopDelay(Duration delay) {
    max_loop_delay_ = std::max(max_loop_delay_, delay);
    if (delay >= kLoggedLoopDelay) {
      Log(LogLevel::kWarning, "event_loop_late",
          {{"ms", std::chrono::duration_cast<milliseconds>(delay).count()},
           {"leading", election_.IsLeader(loop_.Now())}});
    }
  }

  void RunHousekeeping() {
    const TimePoint now = loop_.Now();
    status_log_.Poll(now);
    RecordLoopDelay(now - housekeeping_due_);
    SetHousekeepingTimer(now + kHousekeepingPeriod);
    AnnounceLossByMost();
    TakeOverIfLeaderLostStore();
    path_monitor_.Check();
    if (const auto suppressed = state_->log_budget.TakeSuppressed();
        suppressed > 0) {
      Log(LogLevel::kWarning, "log_lines_left_out", {{"lines", suppressed}});
    }
    if (!election_timer_.deadline()) {
      RunElection();
    }
    UpdateMembers();
    ChooseSource();
  }

  // Makes the store call that the election requests, if any.
  void RunElection() {
    const auto call = election_.Poll(loop_.Now());
    if (!call) {
      return;
    }
    const auto on_reply = [this, call](const platform::ObjectReply& reply) {
      std::optional<LeaderRecord> record;
      auto outcome = ToElectionOutcome(reply.status);
      if (reply.object) {
        record = DecodeLeader(reply.object->content());
        if (!record) {
          Log(LogLevel::kError, "leader_record_unreadable",
              {{"revision", reply.object->revision},
               {"content", Excerpt(reply.object->content())}});
          outcome = ElectionOutcome::kUnreadable;
        }
        if (!link_.knows_members()) {
          // Nobody has told this daemon yet which requests are refused.
          state_->OnRemoteRefusals(
              DecodeRefused(reply.object->content(), loop_.Now()), "store");
        }
      }
      if (call->replaces_unreadable && outcome == ElectionOutcome::kOk) {
        Log(LogLevel::kWarning, "leader_record_replaced",
            {{"revision", call->revision},
             {"epoch", record->epoch.value()},
             {"leader", record->leader.name}});
      }
      const TimePoint now = loop_.Now();
      const bool led = election_.IsLeader(now);
      const Epoch epoch = election_.record().epoch;
      election_.OnReply(outcome, record,
                        reply.object ? reply.object->revision : 0, now);
      const bool leads = election_.IsLeader(now);
      if (leads != led || (leads && election_.record().epoch != epoch)) {
        Log(LogLevel::kInfo, leads ? "lead_taken" : "lead_lost",
            {{"epoch", election_.record().epoch.value()},
             {"leader", election_.record().leader.name},
             {"earlier_leaders", election_.replaced_leaders().size()},
             {"wait_ms",
              MillisecondsBetween(now, election_.previous_leader_until())}});
        ChooseSource();
        ScheduleHeartbeats();
      }
      if (election_.resigned()) {
        link_.AnnounceResignation();
      }
      assignment_.Run();
      RunElection();
    };
    const TimePoint now = loop_.Now();
    SendElectionCall(platform_, *call, state_->crashes.Refused(now), now,
                     now + kElectionTimeout, on_reply);
  }

  const settings::EntryDaemonT settings_;
  const CopyAgeBound config_bound_;
  net::EventLoop loop_;
  platform::PlatformClient platform_;
  std::shared_ptr<EntryState> state_;
  ServerEntries entries_;
  EvacuationObjects evacuations_;
  ServerPathMonitor path_monitor_;
  EntryProxy proxy_;
  const Member self_;
  LeaderElection election_;
  MemberLink link_;
  KeyAssignment assignment_;
  StoreCopies copies_;
  CopyAgeLog copy_age_log_{*state_, copies_};
  StatusLog status_log_{platform_, state_->send_ages};
  OperatorServer ready_server_;
  OperatorServer metrics_server_;
  net::DeadlineTimer housekeeping_;
  net::DeadlineTimer election_timer_;
  net::DeadlineTimer heartbeat_timer_;
  TimePoint next_heartbeat_{};
  TimePoint housekeeping_due_{};
  // Since the metrics were last read.
  Duration max_loop_delay_{};
  bool servers_known_ = false;
  bool most_lost_store_ = false;
};

EntryDaemon::EntryDaemon(const settings::EntryDaemonT& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

EntryDaemon::~EntryDaemon() = default;

boost::leaf::result<void> EntryDaemon::Start() {
  return impl_->Start();
}

std::uint16_t EntryDaemon::caller_port() const {
  return impl_->caller_port();
}

void EntryDaemon::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

}  // namespace gentianreach::entry
