#include "soak/fleet.h"

#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

#include "platform/testing/sample_config.h"
#include "standins/loopback_block.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

// A daemon ends within this time of SIGTERM; `graceS` of the deployments.
constexpr milliseconds kGrace{6000};
// A disturbance is felt until this long after it has ended: connections are
// set up again and held-back packets arrive. `stabilityMs` of the deployments.
constexpr Duration kAftermath = milliseconds(3000);
// How often a server that is to start again is looked at.
constexpr Duration kSpawnRetry = milliseconds(50);
constexpr const char* kConfigObject = "config main ";
// What the stand-ins print of where they listen.
constexpr std::string_view kAddress = "address=";
// Of three servers two own keys; they are what moves.
constexpr std::size_t kEachThird = 3;
// Hosts of the block: proxies, then daemons.
constexpr const char* kProxyHost = "1";
constexpr std::size_t kFirstDaemonHost = 2;

}  // namespace

Fleet::Fleet(net::EventLoop& loop,
             std::string programs,
             std::string logs,
             FleetEvents events)
    : loop_(loop),
      programs_(std::move(programs)),
      logs_(std::move(logs)),
      events_(std::move(events)),
      block_(standins::LoopbackBlock()) {}

void Fleet::StartAll(const FleetShape& shape) {
  ChangeConfig();
  for (std::size_t i = 0; i < shape.servers; ++i) {
    const bool keyed = i % kEachThird != 0;
    servers_.push_back({.service = keyed ? "keyed" : "plain", .keyed = keyed});
    StartServer(i);
  }
  for (std::size_t i = 0; i < shape.daemons; ++i) {
    daemons_.push_back({.name = "d" + std::to_string(i),
                        .ip = block_ + std::to_string(kFirstDaemonHost + i),
                        .front = MakeProxy(),
                        .to_store = MakeProxy()});
    daemons_[i].front->SetTarget(daemons_[i].ip + ":7000");
    daemons_[i].to_store->SetTarget(store_address_);
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    WriteDaemonSettings(i);
    StartDaemon(i);
  }
}

std::vector<std::string> Fleet::CallerAddresses() const {
  std::vector<std::string> addresses;
  for (const DaemonSlot& it : daemons_) {
    addresses.push_back(it.front->address());
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
  auto proxy = std::make_unique<ChaosProxy>(loop_);
  if (!proxy->Listen(block_ + kProxyHost + ":0")) {
    events_.on_failure("no address for a proxy");
  }
  return proxy;
}

std::unique_ptr<Process> Fleet::Spawn(const std::vector<std::string>& arguments,
                                      const std::string& output_file,
                                      Process::Callbacks callbacks) {
  return boost::leaf::try_handle_all(
      [&] { return Process::Start(arguments, output_file, callbacks); },
      [&](const SpawnError& error) {
        events_.on_failure(arguments.front() + ": " + error.message);
        return std::unique_ptr<Process>();
      },
      [&] {
        events_.on_failure(arguments.front() + " cannot be started");
        return std::unique_ptr<Process>();
      });
}

void Fleet::StartStore() {
  store_ = Spawn({Program("store_program")}, "",
                 {[this](const std::string& line) {
                    if (line.starts_with(kAddress)) {
                      store_address_ = line.substr(kAddress.size());
                    }
                  },
                  [this](int status) {
                    events_.on_failure("the store ended by itself, status " +
                                       std::to_string(status));
                  }});
}

void Fleet::StartServer(std::size_t i) {
  ServerSlot& slot = servers_[i];
  // Half of the starts reuse the id, as some servers do.
  if (slot.lives++ % 2 == 0) {
    slot.id = "s" + std::to_string(i) + "-" + std::to_string(slot.lives);
  }
  slot.ending = false;
  slot.ready = false;
  slot.front = MakeProxy();
  slot.front->SetMode(slot.mode);
  std::vector<std::string> arguments = {Program("server_program"),
                                        "--id",
                                        slot.id,
                                        "--service",
                                        slot.service,
                                        "--store",
                                        store_address_,
                                        "--advertise",
                                        slot.front->address()};
  if (slot.keyed) {
    arguments.emplace_back("--keyed");
  }
  const std::string incarnation = slot.id + "#" + std::to_string(slot.lives);
  slot.process = Spawn(arguments, "",
                       {[this, i, incarnation](const std::string& line) {
                          OnServerLine(i, incarnation, line);
                        },
                        [this, i](int status) { OnServerExit(i, status); }});
}

void Fleet::OnServerLine(std::size_t i,
                         const std::string& incarnation,
                         const std::string& line) {
  if (line.starts_with(kAddress)) {
    servers_[i].front->SetTarget(line.substr(kAddress.size()));
    return;
  }
  if (line == "ready") {
    servers_[i].ready = true;
    return;
  }
  std::istringstream in(line);
  std::string word;
  ObservedRun run;
  std::int64_t at = 0;
  in >> word >> run.request_id >> run.method >> run.path >> run.key >>
      run.token >> at;
  if (!in || word != "ran") {
    events_.on_failure("a server printed: " + line);
    return;
  }
  run.server = incarnation;
  run.at = TimePoint(Duration(at));
  events_.on_run(run);
}

void Fleet::OnServerExit(std::size_t i, int status) {
  ServerSlot& slot = servers_[i];
  if (!slot.ending) {
    events_.on_failure(slot.id + " ended by itself, status " +
                       std::to_string(status));
  }
  // Its last lines may still wait in the pipe.
  gone_servers_.push_back(std::move(slot.process));
  slot.front->SetTarget("");
  slot.front->Reset();
}

void Fleet::WriteDaemonSettings(std::size_t i) {
  const DaemonSlot& slot = daemons_[i];
  std::string seeds;
  constexpr std::size_t kSeeds = 3;
  for (std::size_t k = 1; k <= kSeeds; ++k) {
    const DaemonSlot& seed = daemons_[(i + k) % daemons_.size()];
    seeds += (seeds.empty() ? "" : ",") + seed.ip + ":7002";
  }
  std::ofstream(SettingsFile(i))
      << "[entry]\nname = " << slot.name << "\nzone = zone-" << i % 3
      << "\ncaller_address = " << slot.ip << ":7000"
      << "\nready_address = " << slot.ip << ":7001"
      << "\nmember_address = " << slot.ip << ":7002"
      << "\nmetrics_address = " << slot.ip << ":7003"
      << "\nseed_addresses = " << seeds
      << "\nstore_address = " << slot.to_store->address()
      << "\nlongest_lease_ms = 10000\nretry_ratio = 0.2\nretry_slack = 100"
      << "\nstop_grace_s = " << kGrace.count() / 1000 << "\n";
}

std::string Fleet::SettingsFile(std::size_t i) const {
  return logs_ + "/" + daemons_[i].name + ".ini";
}

void Fleet::StartDaemon(std::size_t i) {
  DaemonSlot& slot = daemons_[i];
  slot.ending = false;
  slot.process =
      Spawn({Program("gentianreach_entryd"), "--config", SettingsFile(i)},
            logs_ + "/" + slot.name + "-" + std::to_string(++starts_) + ".log",
            {[](const std::string&) {},
             [this, i](int status) { OnDaemonExit(i, status); }});
}

void Fleet::OnDaemonExit(std::size_t i, int status) {
  DaemonSlot& slot = daemons_[i];
  const bool in_order = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  if (!slot.ending || !(in_order || killed)) {
    events_.on_failure(slot.name + " ended with status " +
                       std::to_string(status));
  }
  slot.process.reset();
  if (restart_.erase(i) > 0) {
    StartDaemon(i);
  }
}

// Writes the next version of the configuration, with a route of its own.
void Fleet::ChangeConfig() {
  ++config_version_;
  newest_route_ = "/v" + std::to_string(config_version_) + "/";
  auto config = platform::testing::SampleConfig(config_version_);
  platform::testing::AddReadRoute(config, newest_route_);
  store_->WriteLine(std::string("put ") + kConfigObject + config.dump());
}

void Fleet::Excuse(std::size_t daemon, const Fault& fault) {
  events_.on_disturbed(daemon, fault.begins, fault.ends + kAftermath);
}

void Fleet::Begin(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
      Excuse(fault.target, fault);
      EndDaemon(fault.target, SIGKILL);
      break;
    case FaultKind::kStopDaemon:
      EndDaemon(fault.target, SIGTERM);
      break;
    case FaultKind::kPauseDaemon:
      Excuse(fault.target, fault);
      SignalDaemon(fault.target, SIGSTOP);
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
    case FaultKind::kChangeConfig:
      ChangeConfig();
      break;
    case FaultKind::kSlowLink:
    case FaultKind::kSilentLink:
    case FaultKind::kOneWayLink:
    case FaultKind::kResetLink:
      BeginLinkFault(fault);
      break;
  }
}

void Fleet::BeginLinkFault(const Fault& fault) {
  if (fault.link == LinkKind::kCallersToDaemon) {
    Excuse(fault.target, fault);
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
      return *daemons_[fault.target].front;
    case LinkKind::kDaemonToStore:
      return *daemons_[fault.target].to_store;
    case LinkKind::kDaemonsToServer:
      break;
  }
  return *servers_[fault.target].front;
}

void Fleet::End(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
    case FaultKind::kStopDaemon:
      RestartDaemon(fault.target);
      break;
    case FaultKind::kPauseDaemon:
      SignalDaemon(fault.target, SIGCONT);
      break;
    case FaultKind::kKillServer:
    case FaultKind::kDrainServer:
      RestartServer(fault.target);
      break;
    case FaultKind::kPauseServer:
      SignalServer(fault.target, SIGCONT);
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
    case FaultKind::kReloadDaemon:
    case FaultKind::kStoreDropsHistory:
    case FaultKind::kChangeConfig:
    case FaultKind::kResetLink:
      break;
  }
}

void Fleet::EndDaemon(std::size_t i, int signal) {
  daemons_[i].ending = true;
  SignalDaemon(i, signal);
}
void Fleet::EndServer(std::size_t i, int signal) {
  servers_[i].ending = true;
  SignalServer(i, signal);
}
void Fleet::SignalDaemon(std::size_t i, int signal) {
  if (daemons_[i].process) {
    daemons_[i].process->Signal(signal);
  }
}
void Fleet::SignalServer(std::size_t i, int signal) {
  if (servers_[i].process) {
    servers_[i].process->Signal(signal);
  }
}

// Starts the daemon again, once it has ended. One that an earlier fault has
// had started again meanwhile is left alone.
void Fleet::RestartDaemon(std::size_t i) {
  if (daemons_[i].process && !daemons_[i].ending) {
    return;
  }
  if (daemons_[i].process) {
    restart_.insert(i);
    loop_.AddTimer(loop_.Now() + kGrace, [this, i, start = starts_] {
      if (restart_.contains(i) && start == starts_) {
        events_.on_failure(daemons_[i].name +
                           " has not ended in time after SIGTERM");
      }
    });
    return;
  }
  StartDaemon(i);
}

// Starts the server again, once it has ended; see RestartDaemon().
void Fleet::RestartServer(std::size_t i) {
  if (servers_[i].process && !servers_[i].ending) {
    return;
  }
  if (servers_[i].process) {
    loop_.AddTimer(loop_.Now() + kSpawnRetry, [this, i] { RestartServer(i); });
    return;
  }
  StartServer(i);
}

}  // namespace gentianreach::soak
