// Compares the outcomes that callers saw with the runs that backend servers
// recorded, prints a table and exits 0 only if no guarantee was violated.
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "standins/demo_outcome.h"

namespace gentianreach::standins {
namespace {

using std::chrono::milliseconds;

// Event that concerns the keys of all servers except the named one.
constexpr std::string_view kAllOthers = "all-but";
constexpr int kLabelWidth = 52;
constexpr std::size_t kExamplesShown = 5;

struct CheckOptions {
  std::string outcomes;
  std::vector<std::string> runs;
  std::string events;
  int served_within_ms = 3000;
  bool require_all_answered = false;
  bool require_no_aborted = false;
};

template <typename Line>
std::vector<Line> ReadLines(const std::string& path) {
  std::vector<Line> lines;
  std::ifstream in(path);
  for (Line line; in >> line;) {
    lines.push_back(line);
  }
  return lines;
}

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

class Report {
 public:
  void PrintValue(const std::string& label, std::int64_t value) {
    std::cout << std::left << std::setw(kLabelWidth) << label << value << "\n";
  }

  // Prints the number of violations, which must be 0, and the first few of
  // them.
  void Guarantee(const std::string& label,
                 const std::set<std::string>& violations) {
    PrintValue(label, static_cast<std::int64_t>(violations.size()));
    std::size_t shown = 0;
    for (const std::string& it : violations) {
      if (++shown > kExamplesShown) {
        break;
      }
      std::cout << "  BROKEN: " << it << "\n";
    }
    passed_ = passed_ && violations.empty();
  }

  [[nodiscard]] bool passed() const { return passed_; }

 private:
  bool passed_ = true;
};

class Checker {
 public:
  explicit Checker(const CheckOptions& options)
      : options_(options),
        served_within_(milliseconds(options.served_within_ms)),
        outcomes_(ReadLines<DemoOutcome>(options.outcomes)),
        events_(ReadLines<DemoEvent>(options.events)) {
    for (const std::string& it : options.runs) {
      std::ranges::copy(ReadLines<DemoRun>(it), std::back_inserter(runs_));
    }
    std::ranges::sort(outcomes_, {}, &DemoOutcome::finished);
    std::ranges::sort(runs_, {}, &DemoRun::committed);
    for (const DemoRun& it : runs_) {
      ++times_run_[it.path];
    }
  }

  // Returns whether no guarantee was violated, after printing the table.
  bool Run() {
    ReportVerdicts();
    ReportResponses();
    ReportRuns();
    ReportOwners();
    ReportEvents();
    report_.PrintValue("longest time between two answers for a key, ms",
                       Millis(LongestGap()));
    return report_.passed();
  }

 private:
  void ReportVerdicts() {
    std::map<std::string, std::int64_t> counts;
    for (const DemoOutcome& it : outcomes_) {
      ++counts[it.verdict];
    }
    report_.PrintValue("requests", static_cast<std::int64_t>(outcomes_.size()));
    report_.PrintValue("  answered", counts["answered"]);
    report_.PrintValue("  not run", counts["not-run"]);
    report_.PrintValue("  may have run", counts["may-have-run"]);
    report_.PrintValue("  no daemon reached", counts["not-sent"]);
    report_.PrintValue("  connection closed without a response",
                       counts["no-answer"]);
    std::set<std::string> none;
    if (counts["answered"] == 0 || runs_.empty()) {
      none.insert("no request was answered or run");
    }
    for (const DemoOutcome& it : outcomes_) {
      if (it.verdict == "no-verdict") {
        none.insert(it.path + " status " + std::to_string(it.status));
      }
    }
    report_.Guarantee("responses without a verdict", none);
    if (options_.require_no_aborted) {
      report_.Guarantee("connections closed without a response",
                        PathsWith({"no-answer"}));
    }
    if (options_.require_all_answered) {
      report_.Guarantee("requests that reached a daemon but got no answer",
                        PathsWith({"no-answer", "not-run", "may-have-run"}));
    }
  }

  // Returns descriptions of the requests that ended with one of `verdicts`.
  [[nodiscard]] std::set<std::string> PathsWith(
      const std::set<std::string>& verdicts) const {
    std::set<std::string> paths;
    for (const DemoOutcome& it : outcomes_) {
      if (verdicts.contains(it.verdict)) {
        paths.insert(it.path + " " + it.verdict + " " + it.reason + " " +
                     std::to_string(it.status));
      }
    }
    return paths;
  }

  void ReportResponses() {
    std::set<std::string> mismatched;
    std::set<std::string> false_verdicts;
    for (const DemoOutcome& it : outcomes_) {
      if (it.verdict == "answered" &&
          (!it.complete || !times_run_.contains(it.path))) {
        mismatched.insert(it.path + " status " + std::to_string(it.status));
      }
      const bool reported_not_run =
          it.verdict == "not-run" || it.verdict == "not-sent";
      if (reported_not_run && times_run_.contains(it.path)) {
        false_verdicts.insert(it.path + " ran");
      }
    }
    report_.Guarantee("responses incomplete or of another request", mismatched);
    report_.Guarantee("reported as not run, but ran", false_verdicts);
  }

  void ReportRuns() {
    std::set<std::string> doubles;
    std::int64_t repeated = 0;
    for (const DemoOutcome& it : outcomes_) {
      const auto found = times_run_.find(it.path);
      if (found == times_run_.end() || found->second == 1) {
        continue;
      }
      if (it.idempotent) {
        ++repeated;
      } else {
        doubles.insert(it.path + " ran " + std::to_string(found->second) +
                       " times");
      }
    }
    report_.PrintValue("idempotent, ran more than once", repeated);
    report_.Guarantee("not idempotent, ran more than once", doubles);
  }

  // Checks that runs of a key on two servers never overlap, and that the tokens
  // of a key never decrease.
  void ReportOwners() {
    struct KeyState {
      std::uint64_t token = 0;
      std::map<std::string, TimePoint> last_commit;  // By server.
    };
    std::map<std::uint64_t, KeyState> states;
    std::set<std::string> overlapping;
    std::set<std::string> decreased;
    for (const DemoRun& run : runs_) {
      if (run.key_hash == 0) {
        continue;
      }
      KeyState& it = states[run.key_hash];
      if (run.token < it.token) {
        decreased.insert(run.path + " on " + run.server);
      }
      it.token = std::max(it.token, run.token);
      for (const auto& [server, last] : it.last_commit) {
        if (server != run.server && run.started < last) {
          overlapping.insert(run.path + " on " + run.server + " while " +
                             server + " owned it");
        }
      }
      it.last_commit[run.server] = run.committed;
    }
    report_.Guarantee("wrong owner (two owners at one time)", overlapping);
    report_.Guarantee("tokens that decreased", decreased);
  }

  void ReportEvents() {
    for (const DemoEvent& event : events_) {
      std::set<std::string> late;
      Duration worst{0};
      const std::set<std::string> keys = KeysOf(event);
      for (const std::string& key : keys) {
        const auto served = FirstResponse(key, event.at);
        if (served.has_value()) {
          worst = std::max(worst, *served - event.at);
        }
        if (!served.has_value() || *served - event.at > served_within_) {
          late.insert(key +
                      (served.has_value()
                           ? " after " +
                                 std::to_string(Millis(*served - event.at)) +
                                 " ms"
                           : " never"));
        }
      }
      const std::string what = event.server + " " + event.what + ": ";
      if (keys.empty()) {
        late.insert("no key was served by " + event.server);
      }
      report_.PrintValue(what + "keys of the server",
                         static_cast<std::int64_t>(keys.size()));
      report_.PrintValue(what + "all served again after, ms", Millis(worst));
      report_.Guarantee(
          what + "not within " + std::to_string(Millis(served_within_)) + " ms",
          late);
    }
  }

  // Returns the keys whose last response before the event came from its server;
  // for kAllOthers, the keys of all other servers.
  [[nodiscard]] std::set<std::string> KeysOf(const DemoEvent& event) const {
    std::map<std::string, std::string> owner;
    for (const DemoOutcome& it : outcomes_) {
      if (it.finished < event.at && it.verdict == "answered" && it.key != "-") {
        owner[it.key] = it.server;
      }
    }
    std::set<std::string> keys;
    for (const auto& [key, server] : owner) {
      if ((server == event.server) != (event.what == kAllOthers)) {
        keys.insert(key);
      }
    }
    return keys;
  }

  // Returns when the first request for `key` that was sent after `from` was
  // answered, or nullopt.
  [[nodiscard]] std::optional<TimePoint> FirstResponse(const std::string& key,
                                                       TimePoint from) const {
    for (const DemoOutcome& it : outcomes_) {
      if (it.key == key && it.verdict == "answered" && it.started >= from) {
        return it.finished;
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] Duration LongestGap() const {
    std::map<std::string, TimePoint> last;
    Duration longest{0};
    for (const DemoOutcome& it : outcomes_) {
      if (it.verdict != "answered" || it.key == "-") {
        continue;
      }
      const auto [found, is_new] = last.try_emplace(it.key, it.finished);
      longest = std::max(longest, it.finished - found->second);
      found->second = it.finished;
    }
    return longest;
  }

  const CheckOptions& options_;
  Duration served_within_;
  std::vector<DemoOutcome> outcomes_;  // Ordered by `finished`.
  std::vector<DemoEvent> events_;
  std::vector<DemoRun> runs_;  // Ordered by `committed`.
  std::map<std::string, int> times_run_;
  Report report_;
};

}  // namespace
}  // namespace gentianreach::standins

int main(int argc, char** argv) {
  CLI::App app{"Check of the demonstration"};
  gentianreach::standins::CheckOptions options;
  app.add_option("--outcomes", options.outcomes,
                 "File of request outcomes, as callers saw them")
      ->required();
  app.add_option("--runs", options.runs,
                 "Files of runs, as servers recorded them")
      ->required();
  app.add_option("--events", options.events,
                 "File of faults injected into servers");
  app.add_option(
      "--served-within-ms", options.served_within_ms,
      "Maximum time until the keys of a failed server are served again");
  app.add_flag("--none-refused", options.require_all_answered,
               "Fail unless every request that reached a daemon was answered");
  app.add_flag("--none-cut", options.require_no_aborted,
               "Fail if a connection ended without a response");
  CLI11_PARSE(app, argc, argv);
  return gentianreach::standins::Checker(options).Run() ? EXIT_SUCCESS
                                                        : EXIT_FAILURE;
}
