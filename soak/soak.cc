// A randomized soak: real daemons, stand-ins of servers and of the store as
// processes on loopback, faults from outside of them, and a check of every
// promise while it runs. See docs/SOAK.md.
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <boost/leaf/handle_errors.hpp>

#include <CLI/CLI.hpp>

#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "platform/testing/sample_config.h"
#include "soak/caller.h"
#include "soak/chaos_proxy.h"
#include "soak/fault_plan.h"
#include "soak/process.h"
#include "soak/promise_checker.h"
#include "standins/loopback_block.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time until everything is served again after the last fault; `recoverS` of the
// users' deployments.
constexpr Duration kRecovery = seconds(15);
// Time for the first start of all processes, on a busy machine.
constexpr Duration kStartPatience = seconds(60);
// A daemon ends within this time of SIGTERM; `graceS` of the deployments.
constexpr milliseconds kGrace{6000};
// A disturbance is felt until this long after it has ended: connections are
// set up again and held-back packets arrive. `stabilityMs` of the deployments.
constexpr Duration kAftermath = milliseconds(3000);
// A change of the configuration is in force everywhere within this time;
// `configApplyMs` of the deployments.
constexpr Duration kConfigInForce = milliseconds(2500);
// Reports of runs reach the soak within this time.
constexpr Duration kReportDelay = milliseconds(2000);
constexpr Duration kCheckPeriod = milliseconds(500);
constexpr Duration kSpawnRetry = milliseconds(50);
constexpr std::size_t kCallersPerDaemon = 3;
constexpr const char* kConfigObject = "config main ";
// What the stand-ins print of where they listen.
constexpr std::string_view kAddress = "address=";

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 20;
  FleetShape shape;
  std::string programs;
  std::string logs;
  bool print_plan = false;
  bool no_times = false;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        block_(standins::LoopbackBlock()),
        checker_(!options.no_times),
        callers_{loop_, checker_, {}, {}, {}, {}, false},
        check_timer_(loop_, [this] { Check(); }) {
    callers_.kinds = {{"/read/", false, true},
                      {"/write/", false, false},
                      {"/keyed/", true, true},
                      {"/keyed-write/", true, false}};
    constexpr std::uint32_t kFirstKey = 40;
    constexpr std::uint32_t kKeyStep = 5461;
    for (std::uint32_t key = kFirstKey; key <= UINT16_MAX; key += kKeyStep) {
      callers_.keys.push_back(key);
    }
    callers_.on_success = [this](std::size_t daemon, const std::string& target,
                                 TimePoint sent) {
      OnSuccess(daemon, target, sent);
    };
  }

  // Returns whether all promises held.
  bool Run() {
    std::filesystem::create_directories(options_.logs);
    if (!StartAll()) {
      return Finish();
    }
    const TimePoint begin = loop_.Now();
    const TimePoint end = begin + seconds(options_.seconds);
    for (const Fault& it :
         MakePlan(options_.seed, options_.shape, begin, end)) {
      Log(ToString(it, begin));
      loop_.AddTimer(it.begins, [this, it] { Begin(it); });
      loop_.AddTimer(it.ends, [this, it] { End(it); });
    }
    loop_.RunUntil([&] { return loop_.Now() >= end || Broken(); });
    Recover();
    callers_.stopped = true;
    const TimePoint quiet = loop_.Now() + kReportDelay + kCheckPeriod;
    loop_.RunUntil([&] { return loop_.Now() >= quiet; });
    Check();
    if (!Broken()) {
      StopAll();
    }
    return Finish();
  }

 private:
  struct DaemonSlot {
    std::string name;
    std::string ip;
    std::unique_ptr<Process> process;
    // Callers come through the first, its calls to the store go through the
    // second.
    std::unique_ptr<ChaosProxy> front;
    std::unique_ptr<ChaosProxy> to_store;
    // It has been told to end, or is to be killed.
    bool ending = false;
    TimePoint ends_by{};
  };
  struct ServerSlot {
    std::string service;
    bool keyed = false;
    std::unique_ptr<Process> process;
    // Of the present life: each has an address of its own.
    std::unique_ptr<ChaosProxy> front;
    LinkMode mode = LinkMode::kPass;
    std::string id;
    int lives = 0;
    bool ready = false;
    bool ending = false;
  };

  void Log(const std::string& line) {
    std::ofstream(options_.logs + "/soak.log", std::ios::app) << line << "\n";
  }
  [[nodiscard]] bool Broken() const {
    return !failures_.empty() || !checker_.violations().empty();
  }
  void Fail(const std::string& what) { failures_.push_back(what); }

  [[nodiscard]] std::string Program(const std::string& name) const {
    return options_.programs + "/" + name;
  }

  std::unique_ptr<ChaosProxy> MakeProxy() {
    auto proxy = std::make_unique<ChaosProxy>(loop_);
    if (!proxy->Listen(block_ + "1:0")) {
      Fail("no address for a proxy");
    }
    return proxy;
  }

  bool StartAll() {
    StartStore();
    if (!Await([this] { return !store_address_.empty(); })) {
      Fail("the store has not started");
      return false;
    }
    ChangeConfig();
    for (std::size_t i = 0; i < options_.shape.servers; ++i) {
      // Two thirds own keys; they are what moves.
      constexpr std::size_t kEachThird = 3;
      const bool keyed = i % kEachThird != 0;
      servers_.push_back(
          {.service = keyed ? "keyed" : "plain", .keyed = keyed});
      StartServer(i);
    }
    for (std::size_t i = 0; i < options_.shape.daemons; ++i) {
      constexpr std::size_t kFirstHost = 2;
      daemons_.push_back({.name = "d" + std::to_string(i),
                          .ip = block_ + std::to_string(kFirstHost + i),
                          .front = MakeProxy(),
                          .to_store = MakeProxy()});
      daemons_[i].front->SetTarget(daemons_[i].ip + ":7000");
      daemons_[i].to_store->SetTarget(store_address_);
      callers_.daemons.push_back(daemons_[i].front->address());
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      WriteDaemonSettings(i);
      StartDaemon(i);
    }
    for (std::size_t i = 0; i < kCallersPerDaemon * daemons_.size(); ++i) {
      running_callers_.push_back(
          std::make_shared<Caller>(callers_, i, options_.seed));
      running_callers_.back()->Start();
    }
    check_timer_.Set(loop_.Now() + kCheckPeriod);
    ExpectEverything();
    if (!Await([this] { return missing_.empty(); })) {
      Fail("not everything is served after the start: " + FirstMissing());
      return false;
    }
    return true;
  }

  bool Await(const std::function<bool()>& done) {
    const TimePoint end = loop_.Now() + kStartPatience;
    loop_.RunUntil([&] { return done() || loop_.Now() >= end || Broken(); });
    return done();
  }

  std::unique_ptr<Process> Spawn(const std::vector<std::string>& arguments,
                                 const std::string& output_file,
                                 Process::Callbacks callbacks) {
    return boost::leaf::try_handle_all(
        [&] { return Process::Start(arguments, output_file, callbacks); },
        [&](const SpawnError& error) {
          Fail(arguments.front() + ": " + error.message);
          return std::unique_ptr<Process>();
        },
        [&] {
          Fail(arguments.front() + " cannot be started");
          return std::unique_ptr<Process>();
        });
  }

  void StartStore() {
    store_ = Spawn(
        {Program("store_program")}, "",
        {[this](const std::string& line) {
           if (line.starts_with(kAddress)) {
             store_address_ = line.substr(kAddress.size());
           }
         },
         [this](int status) {
           Fail("the store ended by itself, status " + std::to_string(status));
         }});
  }

  void StartServer(std::size_t i) {
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
    const std::string life = slot.id + "#" + std::to_string(slot.lives);
    slot.process = Spawn(arguments, "",
                         {[this, i, life](const std::string& line) {
                            OnServerLine(i, life, line);
                          },
                          [this, i](int status) { OnServerExit(i, status); }});
  }

  void OnServerLine(std::size_t i,
                    const std::string& life,
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
      Fail("a server printed: " + line);
      return;
    }
    run.server = life;
    run.at = TimePoint(Duration(at));
    checker_.OnRun(run);
  }

  void OnServerExit(std::size_t i, int status) {
    ServerSlot& slot = servers_[i];
    if (!slot.ending) {
      Fail(slot.id + " ended by itself, status " + std::to_string(status));
    }
    // Its last lines may still wait in the pipe.
    gone_servers_.push_back(std::move(slot.process));
    slot.front->SetTarget("");
    slot.front->Reset();
  }

  void WriteDaemonSettings(std::size_t i) {
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
  [[nodiscard]] std::string SettingsFile(std::size_t i) const {
    return options_.logs + "/" + daemons_[i].name + ".ini";
  }

  void StartDaemon(std::size_t i) {
    DaemonSlot& slot = daemons_[i];
    slot.ending = false;
    slot.process =
        Spawn({Program("gentianreach_entryd"), "--config", SettingsFile(i)},
              options_.logs + "/" + slot.name + "-" +
                  std::to_string(++starts_) + ".log",
              {[](const std::string&) {},
               [this, i](int status) { OnDaemonExit(i, status); }});
  }

  void OnDaemonExit(std::size_t i, int status) {
    DaemonSlot& slot = daemons_[i];
    const bool in_order = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    if (!slot.ending || !(in_order || killed)) {
      Fail(slot.name + " ended with status " + std::to_string(status));
    }
    slot.process.reset();
    if (restart_.erase(i) > 0) {
      StartDaemon(i);
    }
  }

  // Writes the next version of the configuration, with a route of its own.
  void ChangeConfig() {
    ++config_version_;
    newest_route_ = "/v" + std::to_string(config_version_) + "/";
    auto config = platform::testing::SampleConfig(config_version_);
    platform::testing::AddReadRoute(config, newest_route_);
    store_->WriteLine(std::string("put ") + kConfigObject + config.dump());
  }

  void Excuse(std::size_t daemon, const Fault& fault) {
    checker_.Excuse(daemon, fault.begins, fault.ends + kAftermath);
  }

  void Begin(const Fault& fault) {
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
      case FaultKind::kStoreLosesAnswers:
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

  void BeginLinkFault(const Fault& fault) {
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

  void SetMode(const Fault& fault, LinkMode mode) {
    ProxyOf(fault).SetMode(mode);
    if (fault.link == LinkKind::kDaemonsToServer) {
      servers_[fault.target].mode = mode;
    }
  }

  ChaosProxy& ProxyOf(const Fault& fault) {
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

  void End(const Fault& fault) {
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
      case FaultKind::kStoreLosesAnswers:
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

  void EndDaemon(std::size_t i, int signal) {
    daemons_[i].ending = true;
    SignalDaemon(i, signal);
  }
  void EndServer(std::size_t i, int signal) {
    servers_[i].ending = true;
    SignalServer(i, signal);
  }
  void SignalDaemon(std::size_t i, int signal) {
    if (daemons_[i].process) {
      daemons_[i].process->Signal(signal);
    }
  }
  void SignalServer(std::size_t i, int signal) {
    if (servers_[i].process) {
      servers_[i].process->Signal(signal);
    }
  }

  // Starts the daemon again, once it has ended. One that an earlier fault has
  // had started again meanwhile is left alone.
  void RestartDaemon(std::size_t i) {
    if (daemons_[i].process && !daemons_[i].ending) {
      return;
    }
    if (daemons_[i].process) {
      restart_.insert(i);
      loop_.AddTimer(loop_.Now() + kGrace, [this, i, start = starts_] {
        if (restart_.contains(i) && start == starts_) {
          Fail(daemons_[i].name + " has not ended in time after SIGTERM");
        }
      });
      return;
    }
    StartDaemon(i);
  }

  // Starts the server again, once it has ended; see RestartDaemon().
  void RestartServer(std::size_t i) {
    if (servers_[i].process && !servers_[i].ending) {
      return;
    }
    if (servers_[i].process) {
      loop_.AddTimer(loop_.Now() + kSpawnRetry,
                     [this, i] { RestartServer(i); });
      return;
    }
    StartServer(i);
  }

  // After the last fault: waits until everything is served again.
  void Recover() {
    if (Broken()) {
      return;
    }
    // Processes that still end or start are no fault of the daemons.
    const auto all_run = [this] {
      return std::ranges::all_of(
                 daemons_,
                 [](const auto& it) { return it.process && !it.ending; }) &&
             std::ranges::all_of(servers_, [](const auto& it) {
               return it.process && it.ready && !it.ending;
             });
    };
    if (!Await(all_run)) {
      Fail("not all processes run again");
      return;
    }
    const TimePoint end = loop_.Now() + kRecovery;
    const TimePoint in_force = loop_.Now() + kAftermath + kConfigInForce;
    loop_.RunUntil([&] { return loop_.Now() >= in_force || Broken(); });
    callers_.kinds.push_back({newest_route_, false, true});
    ExpectEverything();
    loop_.RunUntil(
        [&] { return missing_.empty() || loop_.Now() >= end || Broken(); });
    if (!missing_.empty() && !Broken()) {
      Fail("not served again in time: " + FirstMissing());
    }
  }

  // From now on every daemon has to serve every kind of request and key.
  void ExpectEverything() {
    missing_.clear();
    expected_from_ = loop_.Now();
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      for (const RequestKind& kind : callers_.kinds) {
        if (!kind.keyed) {
          missing_.emplace(i, kind.path_prefix);
          continue;
        }
        for (const std::uint32_t key : callers_.keys) {
          missing_.emplace(i, kind.path_prefix + std::to_string(key));
        }
      }
    }
  }
  void OnSuccess(std::size_t daemon,
                 const std::string& target,
                 TimePoint sent) {
    if (sent >= expected_from_) {
      missing_.erase({daemon, target});
    }
  }
  [[nodiscard]] std::string FirstMissing() const {
    if (missing_.empty()) {
      return "nothing";
    }
    return std::to_string(missing_.size()) + " of them, first " +
           missing_.begin()->second + " by d" +
           std::to_string(missing_.begin()->first);
  }

  void Check() {
    const TimePoint until = loop_.Now() - kReportDelay;
    checker_.CheckOwners(until);
    checker_.CheckUnanswered(until);
    check_timer_.Set(loop_.Now() + kCheckPeriod);
  }

  // All daemons end in order at SIGTERM.
  void StopAll() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      EndDaemon(i, SIGTERM);
    }
    const auto ended = [this] {
      return std::ranges::none_of(
          daemons_, [](const auto& it) { return it.process != nullptr; });
    };
    const TimePoint end = loop_.Now() + kGrace;
    loop_.RunUntil([&] { return ended() || loop_.Now() >= end; });
    if (!ended()) {
      Fail("a daemon has not ended in time after SIGTERM");
    }
  }

  bool Finish() {
    for (const std::string& it : checker_.violations()) {
      Fail(it);
    }
    for (const std::string& it : failures_) {
      std::cout << "BROKEN " << it << "\n";
    }
    std::cout << "seed=" << options_.seed << " daemons=" << daemons_.size()
              << " servers=" << servers_.size()
              << " requests=" << checker_.sent() << " runs=" << checker_.runs();
    for (const auto& [status, count] : checker_.statuses()) {
      std::cout << " status_" << status << "=" << count;
    }
    std::cout << (Broken() ? " BROKEN" : " ok") << std::endl;
    return !Broken();
  }

  const SoakOptions options_;
  const std::string block_;
  net::EventLoop loop_;
  PromiseChecker checker_;
  CallerContext callers_;
  std::vector<std::shared_ptr<Caller>> running_callers_;
  net::DeadlineTimer check_timer_;
  std::unique_ptr<Process> store_;
  std::string store_address_;
  std::vector<DaemonSlot> daemons_;
  std::vector<ServerSlot> servers_;
  std::vector<std::unique_ptr<Process>> gone_servers_;
  // Daemons that start again once they have ended.
  std::set<std::size_t> restart_;
  int starts_ = 0;
  int config_version_ = 1;
  std::string newest_route_;
  // What each daemon has not served yet, and since when that counts.
  std::set<std::pair<std::size_t, std::string>> missing_;
  TimePoint expected_from_{};
  std::vector<std::string> failures_;
};

}  // namespace
}  // namespace gentianreach::soak

int main(int argc, char** argv) {
  using gentianreach::soak::MakePlan;
  CLI::App app{"Randomized soak of the entry daemons on loopback"};
  gentianreach::soak::SoakOptions options;
  app.add_option("--seed", options.seed, "Seed of the plan");
  app.add_option("--seconds", options.seconds, "Time with faults");
  app.add_option("--daemons", options.shape.daemons, "Number of daemons");
  app.add_option("--servers", options.shape.servers, "Number of servers");
  app.add_option("--programs", options.programs, "Folder of the programs")
      ->required();
  app.add_option("--logs", options.logs, "Folder for logs")->required();
  app.add_flag("--print-plan", options.print_plan, "Print the plan and exit");
  app.add_flag("--no-times", options.no_times,
               "Late answers are no failure; for machines that are busy");
  CLI11_PARSE(app, argc, argv);
  if (options.print_plan) {
    const gentianreach::TimePoint begin{};
    for (const auto& it :
         MakePlan(options.seed, options.shape, begin,
                  begin + std::chrono::seconds(options.seconds))) {
      std::cout << ToString(it, begin) << "\n";
    }
    return EXIT_SUCCESS;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return gentianreach::soak::Soak(options).Run() ? EXIT_SUCCESS : EXIT_FAILURE;
}
