#include "soak/fleet.h"

#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

#include "standins/loopback_block.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

// Time limit for a daemon to exit after SIGTERM; `graceS` of the deployments.
constexpr milliseconds kStopTimeout{6000};
// Time after the end of a fault during which requests may still be affected,
// because connections are re-established and held-back bytes arrive.
// `stabilityMs` of the deployments.
constexpr Duration kSettleTime = milliseconds(3000);
// Time after the end of a pause or of a fault of a link within which orders may
// have been held up; `thawMs` of the deployments.
constexpr Duration kThawTime = milliseconds(300);
// A process is starved if it waits for a processor for more than this share of
// the time.
constexpr int kStarvedFraction = 2;
// The soak itself is held up if CheckStarvation() is called less often.
constexpr Duration kLongestCheckPeriod = milliseconds(500);
// Every third incarnation of a daemon gets SIGHUP when it begins to start.
constexpr int kReloadAtStartStride = 3;
// Last octets of the addresses: one for all proxies, then one per daemon.
constexpr const char* kProxyHost = "1";
constexpr std::size_t kFirstDaemonHost = 2;

}  // namespace

Fleet::Fleet(net::EventLoop& loop,
             std::string programs,
             std::string logs,
             ConfigChecker& config_checker,
             DrainChecker& drain_checker,
             FleetEvents events)
    : loop_(loop),
      programs_(std::move(programs)),
      logs_(std::move(logs)),
      config_checker_(config_checker),
      drain_checker_(drain_checker),
      events_(std::move(events)),
      block_(standins::LoopbackBlock()) {}

void Fleet::StartAll(const FleetShape& shape) {
  max_descriptors_ = shape.max_descriptors;
  signals_at_start_ = shape.signals_at_start;
  store_refuses_ = shape.store_refuses;
  cut_links_ = shape.cut_links;
  WriteConfig(true);
  for (std::size_t i = 0; i < shape.servers; ++i) {
    const bool keyed = !IsPlainServer(i);
    servers_.push_back({.service = keyed ? "keyed" : "plain", .keyed = keyed});
    StartServer(i);
  }
  for (std::size_t i = 0; i < shape.daemons; ++i) {
    daemons_.push_back({.name = "d" + std::to_string(i),
                        .ip = block_ + std::to_string(kFirstDaemonHost + i),
                        .front_proxy = MakeProxy(),
                        .store_proxy = MakeProxy()});
    daemons_[i].front_proxy->SetTarget(daemons_[i].ip + ":7000");
    daemons_[i].store_proxy->SetTarget(store_address_);
  }
  if (cut_links_) {
    StartLinkProxies();
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    WriteDaemonSettings(i);
    StartDaemon(i);
  }
}

std::vector<std::string> Fleet::CallerAddresses() const {
  std::vector<std::string> addresses;
  for (const DaemonSlot& it : daemons_) {
    addresses.push_back(it.front_proxy->address());
  }
  return addresses;
}

bool Fleet::AllRun() const {
  return std::ranges::all_of(
             daemons_,
             [](const auto& it) { return it.process && !it.ending; }) &&
         std::ranges::all_of(servers_, [](const auto& it) {
           return it.process && it.ready && !it.ending;
         });
}

bool Fleet::NoDaemonRuns() const {
  return std::ranges::none_of(
      daemons_, [](const auto& it) { return it.process != nullptr; });
}

void Fleet::StopDaemons() {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    EndDaemon(i, SIGTERM);
  }
}

std::string Fleet::Program(const std::string& name) const {
  return programs_ + "/" + name;
}

std::unique_ptr<ChaosProxy> Fleet::MakeProxy() {
  return MakeProxyAt(block_ + kProxyHost + ":0");
}

std::unique_ptr<ChaosProxy> Fleet::MakeProxyAt(const std::string& address) {
  auto proxy = std::make_unique<ChaosProxy>(loop_);
  if (!proxy->Listen(address)) {
    events_.on_failure("cannot listen at " + address + " for a proxy");
  }
  return proxy;
}

std::unique_ptr<Process> Fleet::Spawn(const std::vector<std::string>& arguments,
                                      const Process::Options& options,
                                      Process::Callbacks callbacks) {
  return boost::leaf::try_handle_all(
      [&] { return Process::Start(arguments, options, callbacks); },
      [&](const SpawnError& error) {
        events_.on_failure(arguments.front() + ": " + error.message);
        return std::unique_ptr<Process>();
      },
      [&] {
        events_.on_failure(arguments.front() + " failed to start");
        return std::unique_ptr<Process>();
      });
}

void Fleet::WriteDaemonSettings(std::size_t i) {
  const DaemonSlot& slot = daemons_[i];
  std::string seeds;
  constexpr std::size_t kSeeds = 3;
  for (std::size_t k = 1; k <= kSeeds; ++k) {
    const DaemonSlot& seed = daemons_[(i + k) % daemons_.size()];
    seeds += (seeds.empty() ? "" : ",") + ReachedAt(seed) + ":7002";
  }
  // Earlier versions of the daemon do not know the key.
  const std::string advertised =
      slot.advertised_ip.empty() ? ""
                                 : "\nadvertised_ip = " + slot.advertised_ip;
  std::ofstream(SettingsFile(i))
      << "[entry]\nname = " << slot.name << "\nzone = zone-" << i % 3
      << "\ncaller_address = " << slot.ip << ":7000"
      << "\nready_address = " << slot.ip << ":7001"
      << "\nmember_address = " << slot.ip << ":7002"
      << "\nforward_address = " << slot.ip << ":7004" << advertised
      << "\nsource_ip = " << slot.ip << "\nmetrics_address = " << slot.ip
      << ":7003"
      << "\nseed_addresses = " << seeds
      << "\nstore_address = " << slot.store_proxy->address()
      << "\nlongest_lease_ms = 10000\nretry_ratio = 0.2\nretry_slack = 100"
      << "\nstop_grace_s = " << kStopTimeout.count() / 1000 << "\n";
}

std::string Fleet::SettingsFile(std::size_t i) const {
  return logs_ + "/" + daemons_[i].name + ".ini";
}

void Fleet::StartDaemon(std::size_t i) {
  DaemonSlot& slot = daemons_[i];
  slot.ending = false;
  slot.run_queue_wait = {};
  slot.paused_since.reset();
  slot.paused = {};
  slot.start = ++starts_;
  const TimePoint now = loop_.Now();
  config_checker_.OnStart(i);
  AddOutOfTouch(i, now, now);
  const std::string log =
      logs_ + "/" + slot.name + "-" + std::to_string(slot.start) + ".log";
  slot.process =
      Spawn({Program("gentianreach_entryd"), "--config", SettingsFile(i)},
            {.output_file = log,
             .max_descriptors = max_descriptors_,
             .blocks_signals = signals_at_start_},
            {[](const std::string&) {},
             [this, i](int status) { OnDaemonExit(i, status); }});
  if (signals_at_start_ && starts_ % kReloadAtStartStride == 0) {
    SignalDaemon(i, SIGHUP);
  }
}

void Fleet::OnDaemonExit(std::size_t i, int status) {
  DaemonSlot& slot = daemons_[i];
  const bool clean_exit = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  if (!slot.ending || !(clean_exit || killed)) {
    events_.on_failure(slot.name + " exited with status " +
                       std::to_string(status));
  }
  AddOutOfTouch(i, slot.ending_since, loop_.Now());
  slot.process.reset();
  if (restart_.erase(i) > 0) {
    StartDaemon(i);
  }
}

void Fleet::CheckStarvation() {
  const TimePoint now = loop_.Now();
  const TimePoint before = std::exchange(starvation_checked_at_, now);
  const auto starved = [&](const Process& process, Duration& last_wait) {
    const Duration wait = process.RunQueueWait();
    const Duration added = wait - std::exchange(last_wait, wait);
    return before != TimePoint{} && added > (now - before) / kStarvedFraction;
  };
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    DaemonSlot& slot = daemons_[i];
    if (slot.process && starved(*slot.process, slot.run_queue_wait)) {
      AddOutOfTouch(i, before, now);
      daemon_delays_.Add(i, before, now + kThawTime);
    }
  }
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    ServerSlot& slot = servers_[i];
    if (slot.process && starved(*slot.process, slot.run_queue_wait)) {
      drain_checker_.AddServerDisturbance(i, before, now);
    }
  }
  // The proxies are part of this process.
  const bool stalled =
      before != TimePoint{} && now - before > kLongestCheckPeriod;
  if (starved(*store_, store_run_queue_wait_) || stalled) {
    drain_checker_.AddStoreDisturbance(before, now);
    config_checker_.AddStoreOutage(before, now);
  }
}

void Fleet::AddOutOfTouch(std::size_t daemon, TimePoint from, TimePoint to) {
  config_checker_.AddDisturbance(daemon, from, to);
  drain_checker_.AddDaemonDisturbance(daemon, from, to);
}

// A server that drains is itself not disturbed by that.
void Fleet::AddServerDisturbance(const Fault& fault) {
  if (fault.kind == FaultKind::kPauseServer ||
      (IsLinkFault(fault.kind) && fault.link == LinkKind::kDaemonsToServer)) {
    drain_checker_.AddServerDisturbance(fault.target, fault.begins, fault.ends);
  }
}

void Fleet::AddOutOfTouch(const Fault& fault) {
  const auto add = [&](std::size_t daemon) {
    AddOutOfTouch(daemon, fault.begins, fault.ends);
  };
  const bool of_store = (fault.kind >= FaultKind::kPauseStore &&
                         fault.kind <= FaultKind::kStoreDropsHistory) ||
                        fault.kind == FaultKind::kStoreTurnsBack;
  if (of_store) {
    drain_checker_.AddStoreDisturbance(fault.begins, fault.ends);
    config_checker_.AddStoreDisturbance(fault.begins, fault.ends);
    if (IsStoreOutage(fault.kind)) {
      config_checker_.AddStoreOutage(fault.begins, fault.ends);
    }
    return;
  }
  const bool of_daemon =
      (IsDaemonFault(fault.kind) && fault.kind != FaultKind::kReloadDaemon) ||
      fault.kind == FaultKind::kCutDaemon ||
      fault.kind == FaultKind::kStoreRefuses ||
      (IsLinkFault(fault.kind) && fault.link != LinkKind::kDaemonsToServer);
  if (of_daemon && !KeepsPathToStore(fault)) {
    add(fault.target);
  }
}

void Fleet::AddOrderDelay(const Fault& fault) {
  if (IsServerFault(fault.kind) ||
      (IsLinkFault(fault.kind) && fault.link == LinkKind::kDaemonsToServer)) {
    server_delays_.Add(fault.target, fault.begins, fault.ends + kThawTime);
  } else if (fault.kind == FaultKind::kPauseDaemon ||
             fault.kind == FaultKind::kCutDaemon) {
    daemon_delays_.Add(fault.target, fault.ends, fault.ends + kThawTime);
  }
}

void Fleet::AddDisturbance(std::size_t daemon, const Fault& fault) {
  events_.on_disturbed(daemon, fault.begins, fault.ends + kSettleTime);
}

void Fleet::Begin(const Fault& fault) {
  AddOutOfTouch(fault);
  AddServerDisturbance(fault);
  AddOrderDelay(fault);
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
      AddDisturbance(fault.target, fault);
      EndDaemon(fault.target, SIGKILL);
      break;
    case FaultKind::kStopDaemon:
      EndDaemon(fault.target, SIGTERM);
      break;
    case FaultKind::kPauseDaemon:
      AddDisturbance(fault.target, fault);
      PauseDaemon(fault.target);
      break;
    case FaultKind::kReloadDaemon:
      SignalDaemon(fault.target, SIGHUP);
      break;
    case FaultKind::kKillServer:
      EndServer(fault.target, SIGKILL);
      break;
    case FaultKind::kDrainServer:
      EndServer(fault.target, SIGTERM);
      break;
    case FaultKind::kPauseServer:
      SignalServer(fault.target, SIGSTOP);
      break;
    case FaultKind::kPauseStore:
      store_->Signal(SIGSTOP);
      break;
    case FaultKind::kStoreBusy:
      store_->WriteLine("fail 503");
      break;
    case FaultKind::kStoreLosesResponses:
      store_->WriteLine("lose 1");
      break;
    case FaultKind::kStoreDropsHistory:
      store_->WriteLine("drop");
      break;
    case FaultKind::kStoreTurnsBack:
      store_->WriteLine("turn-back");
      break;
    case FaultKind::kChangeConfig:
      WriteConfig(true);
      break;
    case FaultKind::kInvalidConfig:
      WriteConfig(false);
      break;
    case FaultKind::kCutDaemon:
      CutDaemon(fault.target, fault.cut);
      break;
    case FaultKind::kStoreRefuses:
      BeginRefusal(fault);
      break;
    case FaultKind::kCutLinks:
      BeginLinkCuts(fault);
      break;
    case FaultKind::kSlowLink:
    case FaultKind::kSilentLink:
    case FaultKind::kOneWayLink:
    case FaultKind::kResetLink:
      BeginLinkFault(fault);
      break;
  }
}

void Fleet::CutDaemon(std::size_t i, ClientCut cut) {
  daemons_[i].cut = cut;
  for (const ServerSlot& it : servers_) {
    it.front_proxy->SetClientCut(daemons_[i].ip, cut);
  }
}

void Fleet::BeginLinkFault(const Fault& fault) {
  if (fault.link == LinkKind::kCallersToDaemon) {
    AddDisturbance(fault.target, fault);
  }
  switch (fault.kind) {
    case FaultKind::kSlowLink:
      SetMode(fault, LinkMode::kSlow);
      break;
    case FaultKind::kSilentLink:
      SetMode(fault, LinkMode::kSilent);
      break;
    case FaultKind::kOneWayLink:
      SetMode(fault, fault.target % 2 == 0 ? LinkMode::kOnlyToTarget
                                           : LinkMode::kOnlyToClients);
      break;
    default:
      ProxyOf(fault).Reset();
      break;
  }
}

void Fleet::SetMode(const Fault& fault, LinkMode mode) {
  ProxyOf(fault).SetMode(mode);
  if (fault.link == LinkKind::kDaemonsToServer) {
    servers_[fault.target].mode = mode;
  }
}

ChaosProxy& Fleet::ProxyOf(const Fault& fault) {
  switch (fault.link) {
    case LinkKind::kCallersToDaemon:
      return *daemons_[fault.target].front_proxy;
    case LinkKind::kDaemonToStore:
      return *daemons_[fault.target].store_proxy;
    case LinkKind::kDaemonsToServer:
      break;
  }
  return *servers_[fault.target].front_proxy;
}

void Fleet::End(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
    case FaultKind::kStopDaemon:
      RestartDaemon(fault.target);
      break;
    case FaultKind::kPauseDaemon:
      ResumeDaemon(fault.target);
      break;
    case FaultKind::kKillServer:
    case FaultKind::kDrainServer:
      RestartServer(fault.target);
      break;
    case FaultKind::kPauseServer:
      SignalServer(fault.target, SIGCONT);
      break;
    case FaultKind::kCutDaemon:
      CutDaemon(fault.target, ClientCut::kNone);
      break;
    case FaultKind::kStoreRefuses:
      EndRefusal(fault);
      break;
    case FaultKind::kCutLinks:
      EndLinkCuts();
      break;
    case FaultKind::kPauseStore:
      store_->Signal(SIGCONT);
      break;
    case FaultKind::kStoreBusy:
      store_->WriteLine("fail 0");
      break;
    case FaultKind::kStoreLosesResponses:
      store_->WriteLine("lose 0");
      break;
    case FaultKind::kSlowLink:
    case FaultKind::kSilentLink:
    case FaultKind::kOneWayLink:
      SetMode(fault, LinkMode::kPass);
      break;
    case FaultKind::kInvalidConfig:
      if (valid_version_ < config_version_) {
        WriteConfig(true);
      }
      break;
    case FaultKind::kReloadDaemon:
    case FaultKind::kStoreDropsHistory:
    case FaultKind::kStoreTurnsBack:
    case FaultKind::kChangeConfig:
    case FaultKind::kResetLink:
      break;
  }
}

void Fleet::EndDaemon(std::size_t i, int signal) {
  daemons_[i].ending = true;
  daemons_[i].ending_since = loop_.Now();
  SignalDaemon(i, signal);
}
void Fleet::SignalDaemon(std::size_t i, int signal) {
  if (daemons_[i].process) {
    daemons_[i].process->Signal(signal);
  }
}
// Restarts the daemon once it has exited. Does nothing if an earlier fault has
// already restarted it.
void Fleet::RestartDaemon(std::size_t i) {
  if (daemons_[i].process && !daemons_[i].ending) {
    return;
  }
  if (daemons_[i].process) {
    restart_.insert(i);
    ExpectExit(i, loop_.Now() + kStopTimeout);
    return;
  }
  StartDaemon(i);
}

void Fleet::PauseDaemon(std::size_t i) {
  daemons_[i].paused_since = loop_.Now();
  SignalDaemon(i, SIGSTOP);
}

void Fleet::ResumeDaemon(std::size_t i) {
  DaemonSlot& slot = daemons_[i];
  if (slot.paused_since) {
    slot.paused += loop_.Now() - *slot.paused_since;
    slot.paused_since.reset();
  }
  SignalDaemon(i, SIGCONT);
}

void Fleet::ExpectExit(std::size_t i, TimePoint deadline) {
  const DaemonSlot& slot = daemons_[i];
  loop_.AddTimer(deadline, [this, i, start = slot.start, before = slot.paused] {
    const DaemonSlot& slot = daemons_[i];
    if (!slot.process || slot.start != start) {
      return;
    }
    const TimePoint now = loop_.Now();
    const Duration paused =
        slot.paused - before + (now - slot.paused_since.value_or(now));
    if (paused > Duration(0)) {
      ExpectExit(i, now + paused);
      return;
    }
    events_.on_failure(slot.name + " did not exit in time after SIGTERM");
  });
}

}  // namespace gentianreach::soak
