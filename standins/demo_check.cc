// Holds the outcomes that callers saw against the runs that the backend
// servers wrote down, prints a table and exits 0 only where every promise held.
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

// The event that asks for the keys of all servers but the one named.
constexpr std::string_view kAllBut = "all-but";
constexpr int kLabelWidth = 52;
constexpr std::size_t kExamplesShown = 5;

struct CheckOptions {
  std::string outcomes;
  std::vector<std::string> runs;
  std::string events;
  int served_within_ms = 3000;
  bool none_refused = false;
  bool none_cut = false;
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
  void Figure(const std::string& label, std::int64_t value) {
    std::cout << std::left << std::setw(kLabelWidth) << label << value << "\n";
  }

  // Prints a count of breaches, which has to be 0, and examples of them.
  void Promise(const std::string& label,
               const std::set<std::string>& breaches) {
    Figure(label, static_cast<std::int64_t>(breaches.size()));
    std::size_t shown = 0;
    for (const std::string& it : breaches) {
      if (++shown > kExamplesShown) {
        break;
      }
      std::cout << "  BROKEN: " << it << "\n";
    }
    held_ = held_ && breaches.empty();
  }

  [[nodiscard]] bool held() const { return held_; }

 private:
  bool held_ = true;
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

  // Prints the table. Returns whether every promise held.
  bool Run() {
    ReportVerdicts();
    ReportResponses();
    ReportRuns();
    ReportOwners();
    ReportEvents();
    report_.Figure("longest time between two answers for a key, ms",
                   Millis(LongestGap()));
    return report_.held();
  }

 private:
  void ReportVerdicts() {
    std::map<std::string, std::int64_t> counts;
    for (const DemoOutcome& it : outcomes_) {
      ++counts[it.verdict];
    }
    report_.Figure("requests", static_cast<std::int64_t>(outcomes_.size()));
    report_.Figure("  answered", counts["answered"]);
    report_.Figure("  not run", counts["not-run"]);
    report_.Figure("  may have run", counts["may-have-run"]);
    report_.Figure("  no daemon reached", counts["not-sent"]);
    report_.Figure("  cut by a killed daemon", counts["no-answer"]);
    std::set<std::string> none;
    if (counts["answered"] == 0 || runs_.empty()) {
      none.insert("nothing was answered or run");
    }
    for (const DemoOutcome& it : outcomes_) {
      if (it.verdict == "no-verdict") {
        none.insert(it.path + " status " + std::to_string(it.status));
      }
    }
    report_.Promise("without a verdict", none);
    if (options_.none_cut) {
      report_.Promise("cut", PathsWith({"no-answer"}));
    }
    if (options_.none_refused) {
      report_.Promise("refused or cut",
                      PathsWith({"no-answer", "not-run", "may-have-run"}));
    }
  }

  // Returns the requests that ended with one of the verdicts.
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
    std::set<std::string> foreign;
    std::set<std::string> false_verdicts;
    for (const DemoOutcome& it : outcomes_) {
      if (it.verdict == "answered" &&
          (!it.whole || !times_run_.contains(it.path))) {
        foreign.insert(it.path + " status " + std::to_string(it.status));
      }
      const bool denied = it.verdict == "not-run" || it.verdict == "not-sent";
      if (denied && times_run_.contains(it.path)) {
        false_verdicts.insert(it.path + " ran");
      }
    }
    report_.Promise("answers not whole or of another request", foreign);
    report_.Promise("said not run, and ran", false_verdicts);
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
    report_.Figure("idempotent, ran more than once", repeated);
    report_.Promise("not idempotent, ran more than once", doubles);
  }

  // Runs of a key on two servers never overlap, and its tokens never fall.
  void ReportOwners() {
    struct Owned {
      std::uint64_t token = 0;
      std::map<std::string, TimePoint> last_commit;  // By server.
    };
    std::map<std::uint64_t, Owned> owned;
    std::set<std::string> wrong;
    std::set<std::string> fallen;
    for (const DemoRun& run : runs_) {
      if (run.key_hash == 0) {
        continue;
      }
      Owned& it = owned[run.key_hash];
      if (run.token < it.token) {
        fallen.insert(run.path + " on " + run.server);
      }
      it.token = std::max(it.token, run.token);
      for (const auto& [server, last] : it.last_commit) {
        if (server != run.server && run.started < last) {
          wrong.insert(run.path + " on " + run.server + " while " + server +
                       " owned it");
        }
      }
      it.last_commit[run.server] = run.committed;
    }
    report_.Promise("wrong owner (two owners at one time)", wrong);
    report_.Promise("tokens that fell", fallen);
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
      report_.Figure(what + "keys of the server",
                     static_cast<std::int64_t>(keys.size()));
      report_.Figure(what + "all served again after, ms", Millis(worst));
      report_.Promise(
          what + "not within " + std::to_string(Millis(served_within_)) + " ms",
          late);
    }
  }

  // Returns the keys whose last answer before the event came from the server;
  // for kAllBut, the keys of all the others.
  [[nodiscard]] std::set<std::string> KeysOf(const DemoEvent& event) const {
    std::map<std::string, std::string> owner;
    for (const DemoOutcome& it : outcomes_) {
      if (it.finished < event.at && it.verdict == "answered" && it.key != "-") {
        owner[it.key] = it.server;
      }
    }
    std::set<std::string> keys;
    for (const auto& [key, server] : owner) {
      if ((server == event.server) != (event.what == kAllBut)) {
        keys.insert(key);
      }
    }
    return keys;
  }

  // Returns when a request for `key` that was sent after `from` was answered.
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
  std::vector<DemoOutcome> outcomes_;  // By the time they finished.
  std::vector<DemoEvent> events_;
  std::vector<DemoRun> runs_;  // By the time of commit.
  std::map<std::string, int> times_run_;
  Report report_;
};

}  // namespace
}  // namespace gentianreach::standins

int main(int argc, char** argv) {
  CLI::App app{"Check of the demonstration"};
  gentianreach::standins::CheckOptions options;
  app.add_option("--outcomes", options.outcomes, "What callers saw")
      ->required();
  app.add_option("--runs", options.runs, "What servers ran")->required();
  app.add_option("--events", options.events, "What was done to servers");
  app.add_option("--served-within-ms", options.served_within_ms,
                 "Time until a lost server's keys are served again, at most");
  app.add_flag("--none-refused", options.none_refused,
               "Every request that reached a daemon has to be answered");
  app.add_flag("--none-cut", options.none_cut,
               "No connection may end without an answer");
  CLI11_PARSE(app, argc, argv);
  return gentianreach::standins::Checker(options).Run() ? EXIT_SUCCESS
                                                        : EXIT_FAILURE;
}
