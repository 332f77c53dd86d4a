// Randomized soak test: runs real daemons with fake servers and a fake store as
// processes on loopback, injects faults, and checks the delivery guarantees
// continuously. See docs/SOAK.md.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "soak/caller.h"
#include "soak/config_checker.h"
#include "soak/drain_checker.h"
#include "soak/fault_plan.h"
#include "soak/fleet.h"
#include "soak/holdings_checker.h"
#include "soak/promise_checker.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time limit for full recovery after the last fault; `recoverS` of the users'
// deployments.
constexpr Duration kRecoveryTimeout = seconds(15);
// Time limit for processes to start, long enough for a busy machine.
constexpr Duration kStartTimeout = seconds(60);
// Time limit for daemons to exit after SIGTERM; `graceS` of the deployments.
constexpr Duration kStopTimeout = seconds(6);
// Time after the last fault within which all daemons use the newest
// configuration: `stabilityMs` plus `configApplyMs` of the deployments.
constexpr Duration kConfigActiveDelay = milliseconds(3000) + milliseconds(2500);
// Maximum delay until the soak has read a server's report of a run.
constexpr Duration kReportDelay = milliseconds(2000);
constexpr Duration kCheckPeriod = milliseconds(500);
constexpr Duration kStarvationCheckPeriod = milliseconds(250);
// Distance of the keys whose holders are checked.
constexpr std::uint32_t kHolderKeyStep = 1024;
constexpr std::size_t kCallersPerDaemon = 3;

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 20;
  FleetShape shape;
  std::string programs;
  std::string logs;
  bool print_plan = false;
  bool no_times = false;
  bool keep_going = false;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        checker_(!options.no_times),
        holdings_checker_(HolderKeys()),
        fleet_(loop_,
               options.programs,
               options.logs,
               config_checker_,
               drain_checker_,
               {.on_run = [this](const auto& run) { OnRun(run); },
                .on_disturbed =
                    [this](std::size_t daemon, TimePoint from, TimePoint to) {
                      checker_.AddDisturbance(daemon, from, to);
                    },
                .on_order =
                    [this](const auto& order) {
                      holdings_checker_.OnOrder(order);
                    },
                .on_server_end =
                    [this](const auto& server) {
                      holdings_checker_.OnEnd(server, loop_.Now());
                    },
                .on_failure = [this](const auto& what) { Fail(what); }}),
        callers_{.loop = loop_,
                 .checker = checker_,
                 .config_checker = config_checker_,
                 .config_probe =
                     [this](std::size_t daemon, std::uint64_t draw) {
                       return fleet_.ConfigProbe(daemon, draw);
                     }},
        check_timer_(loop_, [this] { Check(); }),
        starvation_timer_(loop_, [this] { CheckStarvation(); }) {
    callers_.kinds = {{"/read/", false, true},
                      {"/write/", false, false},
                      {"/keyed/", true, true},
                      {"/keyed-write/", true, false}};
    constexpr std::uint32_t kFirstKey = 40;
    constexpr std::uint32_t kKeyStep = 5461;
    for (std::uint32_t key = kFirstKey; key <= UINT16_MAX; key += kKeyStep) {
      callers_.keys.push_back(key);
    }
  }

  // Returns whether the run found no failure.
  bool Run() {
    std::filesystem::create_directories(options_.logs);
    if (!StartAll()) {
      return ReportResult();
    }
    const TimePoint begin = loop_.Now();
    const TimePoint end = begin + seconds(options_.seconds);
    for (const Fault& it :
         MakePlan(options_.seed, options_.shape, begin, end)) {
      Log(ToString(it, begin));
      loop_.AddTimer(it.begins, [this, it] { fleet_.Begin(it); });
      loop_.AddTimer(it.ends, [this, it] { fleet_.End(it); });
    }
    loop_.RunUntil([&] { return loop_.Now() >= end || EndsEarly(); });
    Recover();
    callers_.stopped = true;
    const TimePoint end_of_reports = loop_.Now() + kReportDelay + kCheckPeriod;
    loop_.RunUntil([&] { return loop_.Now() >= end_of_reports; });
    Check();
    config_checker_.CheckShares();
    if (!EndsEarly()) {
      StopAll();
    }
    return ReportResult();
  }

 private:
  void Log(const std::string& line) {
    std::ofstream(options_.logs + "/soak.log", std::ios::app) << line << "\n";
  }
  // Returns whether the run ends because of a failure.
  [[nodiscard]] bool EndsEarly() const {
    return HasFailed() && !options_.keep_going;
  }
  [[nodiscard]] bool HasFailed() const {
    return !failures_.empty() || !checker_.violations().empty() ||
           !config_checker_.violations().empty() ||
           !drain_checker_.violations().empty() ||
           !holdings_checker_.violations().empty();
  }
  static std::vector<std::uint32_t> HolderKeys() {
    std::vector<std::uint32_t> keys;
    for (std::uint32_t key = 0; key <= UINT16_MAX; key += kHolderKeyStep) {
      keys.push_back(key);
    }
    return keys;
  }
  void Fail(const std::string& what) { failures_.push_back(what); }

  bool StartAll() {
    fleet_.StartStore();
    if (!Await([this] { return fleet_.has_store(); })) {
      Fail("the store did not start in time");
      return false;
    }
    fleet_.StartAll(options_.shape);
    callers_.daemons = fleet_.CallerAddresses();
    for (std::size_t i = 0; i < kCallersPerDaemon * fleet_.daemons(); ++i) {
      running_callers_.push_back(std::make_shared<Caller>(
          callers_, Caller::Role::kLoad, i, options_.seed));
      running_callers_.back()->Start();
    }
    for (std::size_t i = 0; i < fleet_.daemons(); ++i) {
      running_callers_.push_back(std::make_shared<Caller>(
          callers_, Caller::Role::kConfigProbe, i, options_.seed));
      running_callers_.back()->Start();
    }
    check_timer_.Set(loop_.Now() + kCheckPeriod);
    CheckStarvation();
    ExpectAllServed();
    if (!Await([this] { return callers_.expected.AllServed(); })) {
      Fail("not all requests are served after the start: " +
           callers_.expected.DescribeUnserved());
      return false;
    }
    return true;
  }

  bool Await(const std::function<bool()>& done) {
    const TimePoint end = loop_.Now() + kStartTimeout;
    loop_.RunUntil([&] { return done() || loop_.Now() >= end || EndsEarly(); });
    return done();
  }

  // Waits after the last fault until all requests are served again.
  void Recover() {
    if (EndsEarly()) {
      return;
    }
    // The recovery time does not include the restart of processes.
    if (!Await([this] { return fleet_.AllRun(); })) {
      Fail("not all processes restarted in time");
      return;
    }
    const TimePoint end = loop_.Now() + kRecoveryTimeout;
    const TimePoint active_version = loop_.Now() + kConfigActiveDelay;
    loop_.RunUntil(
        [&] { return loop_.Now() >= active_version || EndsEarly(); });
    callers_.kinds.push_back({fleet_.newest_route(), false, true});
    ExpectAllServed();
    loop_.RunUntil([&] {
      return callers_.expected.AllServed() || loop_.Now() >= end || EndsEarly();
    });
    if (!callers_.expected.AllServed() && !EndsEarly()) {
      Fail("not all requests are served in time after the last fault: " +
           callers_.expected.DescribeUnserved());
    }
  }

  // Expects each daemon to serve each kind of request and each key from now on,
  // and asks each for all of them.
  void ExpectAllServed() {
    callers_.expected.Expect(fleet_.daemons(), callers_.kinds, callers_.keys,
                             loop_.Now());
    for (std::size_t i = 0; i < fleet_.daemons(); ++i) {
      running_callers_.push_back(std::make_shared<Caller>(
          callers_, Caller::Role::kProbe, probes_++, options_.seed));
      running_callers_.back()->Start();
    }
  }

  void OnRun(const ObservedRun& run) {
    checker_.OnRun(run);
    drain_checker_.OnRun({.request_id = run.request_id,
                          .server = run.server_index,
                          .incarnation = run.server,
                          .taken_by = checker_.DaemonOf(run.request_id),
                          .sent_by = run.sent_by,
                          .at = run.at});
  }

  void Check() {
    const TimePoint until = loop_.Now() - kReportDelay;
    checker_.CheckOwners(until);
    checker_.CheckUnanswered(until);
    holdings_checker_.Check(until);
    drain_checker_.Check(until);
    check_timer_.Set(loop_.Now() + kCheckPeriod);
  }

  void CheckStarvation() {
    fleet_.CheckStarvation();
    starvation_timer_.Set(loop_.Now() + kStarvationCheckPeriod);
  }

  // Stops all daemons with SIGTERM and checks that they exit in time.
  void StopAll() {
    fleet_.StopDaemons();
    const TimePoint end = loop_.Now() + kStopTimeout;
    loop_.RunUntil([&] { return fleet_.NoDaemonRuns() || loop_.Now() >= end; });
    if (!fleet_.NoDaemonRuns()) {
      Fail("a daemon did not exit in time after SIGTERM");
    }
  }

  bool ReportResult() {
    for (const auto& violations :
         {checker_.violations(), config_checker_.violations(),
          drain_checker_.violations(), holdings_checker_.violations()}) {
      for (const std::string& it : violations) {
        Fail(it);
      }
    }
    for (const std::string& it : failures_) {
      std::cout << "BROKEN " << it << "\n";
    }
    std::cout << "seed=" << options_.seed << " daemons=" << fleet_.daemons()
              << " servers=" << fleet_.servers()
              << " requests=" << checker_.sent() << " runs=" << checker_.runs()
              << " config_answers=" << config_checker_.answers()
              << " in_touch=" << config_checker_.answers_in_touch()
              << " stretched=" << config_checker_.answers_stretched()
              << " orders=" << holdings_checker_.orders()
              << " delayed_orders=" << holdings_checker_.delayed_orders()
              << " excused_holders=" << holdings_checker_.excused_pairs()
              << " drains=" << drain_checker_.drains()
              << " draining_runs=" << drain_checker_.runs()
              << " stable_drains=" << drain_checker_.DrainsInStableStore()
              << " late_runs=" << drain_checker_.late_runs()
              << " late_judged=" << drain_checker_.violations().size()
              << " late_excused=" << drain_checker_.excused_runs();
    for (const auto& [status, count] : checker_.statuses()) {
      std::cout << " status_" << status << "=" << count;
    }
    std::cout << (HasFailed() ? " BROKEN" : " ok") << std::endl;
    return !HasFailed();
  }

  const SoakOptions options_;
  net::EventLoop loop_;
  PromiseChecker checker_;
  ConfigChecker config_checker_;
  DrainChecker drain_checker_;
  HoldingsChecker holdings_checker_;
  Fleet fleet_;
  CallerContext callers_;
  std::vector<std::shared_ptr<Caller>> running_callers_;
  net::DeadlineTimer check_timer_;
  net::DeadlineTimer starvation_timer_;
  // Probes started.
  std::size_t probes_ = 0;
  std::vector<std::string> failures_;
};

}  // namespace
}  // namespace gentianreach::soak

int main(int argc, char** argv) {
  using gentianreach::soak::MakePlan;
  CLI::App app{"Randomized soak of the entry daemons on loopback"};
  gentianreach::soak::SoakOptions options;
  app.add_option("--seed", options.seed, "Seed of the fault plan");
  app.add_option("--seconds", options.seconds,
                 "Duration of fault injection in seconds");
  app.add_option("--daemons", options.shape.daemons, "Number of daemons");
  app.add_option("--servers", options.shape.servers, "Number of servers");
  app.add_option("--fault-rate", options.shape.fault_rate,
                 "Factor of the rate of faults")
      ->check(CLI::PositiveNumber);
  app.add_option("--programs", options.programs, "Directory of the executables")
      ->required();
  app.add_option("--logs", options.logs, "Directory for logs")->required();
  app.add_flag("--print-plan", options.print_plan,
               "Print the fault plan and exit");
  app.add_option("--descriptors", options.shape.max_descriptors,
                 "Limit of each daemon's file descriptors");
  app.add_flag("!--no-signals-at-start", options.shape.signals_at_start,
               "For programs that do not unblock their signals");
  app.add_flag("--store-turns-back", options.shape.store_turns_back,
               "Let the store's revision counter go back at times");
  app.add_flag("--store-refuses", options.shape.store_refuses,
               "Let the store refuse some daemons while many servers drain");
  app.add_flag("--cut-links", options.shape.cut_links,
               "Cut links between daemons while the configuration changes");
  app.add_flag("--keep-going", options.keep_going,
               "Continue after a violation, to count them");
  app.add_flag("--no-times", options.no_times,
               "Ignore late responses; for busy machines");
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
