// A randomized soak: real daemons, stand-ins of servers and of the store as
// processes on loopback, faults from outside of them, and a check of every
// promise while it runs. See docs/SOAK.md.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CLI/CLI.hpp>

#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "soak/caller.h"
#include "soak/fault_plan.h"
#include "soak/fleet.h"
#include "soak/promise_checker.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time until everything is served again after the last fault; `recoverS` of the
// users' deployments.
constexpr Duration kRecovery = seconds(15);
// Time for the first start of all processes, on a busy machine.
constexpr Duration kStartPatience = seconds(60);
// Daemons end within this time of SIGTERM; `graceS` of the deployments.
constexpr Duration kGrace = seconds(6);
// A change of the configuration is in force everywhere within this time once
// nothing is disturbed any more: `stabilityMs` and `configApplyMs` of the
// deployments.
constexpr Duration kConfigInForce = milliseconds(3000) + milliseconds(2500);
// Reports of runs reach the soak within this time.
constexpr Duration kReportDelay = milliseconds(2000);
constexpr Duration kCheckPeriod = milliseconds(500);
constexpr std::size_t kCallersPerDaemon = 3;

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
        checker_(!options.no_times),
        fleet_(loop_,
               options.programs,
               options.logs,
               {.on_run = [this](const auto& run) { checker_.OnRun(run); },
                .on_disturbed =
                    [this](std::size_t daemon, TimePoint from, TimePoint to) {
                      checker_.Excuse(daemon, from, to);
                    },
                .on_failure = [this](const auto& what) { Fail(what); }}),
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
      loop_.AddTimer(it.begins, [this, it] { fleet_.Begin(it); });
      loop_.AddTimer(it.ends, [this, it] { fleet_.End(it); });
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
  void Log(const std::string& line) {
    std::ofstream(options_.logs + "/soak.log", std::ios::app) << line << "\n";
  }
  [[nodiscard]] bool Broken() const {
    return !failures_.empty() || !checker_.violations().empty();
  }
  void Fail(const std::string& what) { failures_.push_back(what); }

  bool StartAll() {
    fleet_.StartStore();
    if (!Await([this] { return fleet_.has_store(); })) {
      Fail("the store has not started");
      return false;
    }
    fleet_.StartAll(options_.shape);
    callers_.daemons = fleet_.CallerAddresses();
    for (std::size_t i = 0; i < kCallersPerDaemon * fleet_.daemons(); ++i) {
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

  // After the last fault: waits until everything is served again.
  void Recover() {
    if (Broken()) {
      return;
    }
    // Processes that still end or start are no fault of the daemons.
    if (!Await([this] { return fleet_.AllRun(); })) {
      Fail("not all processes run again");
      return;
    }
    const TimePoint end = loop_.Now() + kRecovery;
    const TimePoint active_version = loop_.Now() + kConfigInForce;
    loop_.RunUntil([&] { return loop_.Now() >= active_version || Broken(); });
    callers_.kinds.push_back({fleet_.newest_route(), false, true});
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
    for (std::size_t i = 0; i < fleet_.daemons(); ++i) {
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
    fleet_.StopDaemons();
    const TimePoint end = loop_.Now() + kGrace;
    loop_.RunUntil([&] { return fleet_.NoDaemonRuns() || loop_.Now() >= end; });
    if (!fleet_.NoDaemonRuns()) {
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
    std::cout << "seed=" << options_.seed << " daemons=" << fleet_.daemons()
              << " servers=" << fleet_.servers()
              << " requests=" << checker_.sent() << " runs=" << checker_.runs();
    for (const auto& [status, count] : checker_.statuses()) {
      std::cout << " status_" << status << "=" << count;
    }
    std::cout << (Broken() ? " BROKEN" : " ok") << std::endl;
    return !Broken();
  }

  const SoakOptions options_;
  net::EventLoop loop_;
  PromiseChecker checker_;
  Fleet fleet_;
  CallerContext callers_;
  std::vector<std::shared_ptr<Caller>> running_callers_;
  net::DeadlineTimer check_timer_;
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
