#include "ctl/explain_lines.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace gentianreach::ctl {
namespace {

// Maximum number of context lines per event and subject. The latest ones are
// kept because they describe the state closest to the request.
constexpr std::size_t kMaxLinesPerSubject = 3;

// Events about the state of a daemon, relevant to every request.
constexpr std::array<std::string_view, 9> kDaemonEvents = {
    "config_in_force", "config_outdated", "config_current",
    "config_unusable", "lead_taken",      "lead_lost",
    "store_lost",      "store_back",      "log_lines_left_out",
};
constexpr std::array<std::string_view, 3> kServerEvents = {
    "server", "server_removed", "server_entry_unusable"};

std::string Field(const LogLine& line, const std::string& key) {
  const auto it = line.find(key);
  return it == line.end() ? std::string() : it->second;
}

// Returns the value at the start of `text` and removes it from `text`. Values
// with white space are quoted.
std::string TakeValue(std::string_view& text) {
  std::string value;
  if (!text.starts_with('"')) {
    const std::size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return value;
  }
  std::size_t i = 1;
  for (; i < text.size() && text[i] != '"'; ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      ++i;
    }
    value += text[i];
  }
  text.remove_prefix(std::min(i + 1, text.size()));
  return value;
}

bool IsKeyCharacter(char c) {
  return c == '_' || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

// Returns whether the range `keys`, such as "100-299", contains `key`.
bool RangeContains(const std::string& keys, long key) {
  long first = 0;
  long last = -1;
  const char* end = keys.data() + keys.size();
  const auto [dash, ec] = std::from_chars(keys.data(), end, first);
  if (ec != std::errc() || dash == end || *dash != '-' ||
      std::from_chars(dash + 1, end, last).ec != std::errc()) {
    return false;
  }
  return first <= key && key <= last;
}

std::string Summarize(const LogLine& end) {
  const std::string outcome = Field(end, "outcome");
  const std::string server = Field(end, "server");
  const std::string where =
      server.empty() ? "" : " (last server " + server + ")";
  std::string text =
      "status " + Field(end, "status") + ", " + outcome + where + ": ";
  if (outcome == "answered") {
    return text + "the response of the server.";
  }
  if (outcome == "overload") {
    return text +
           "no server was expected to answer in time. Compare "
           "gentianreach_slots_known_free of the service on several daemons.";
  }
  if (outcome == "no-owner" || outcome == "not-owner") {
    return text +
           "the key was moving or its owner is gone. The order and "
           "table_written lines of the leader show where the move stood.";
  }
  if (outcome == "no-server") {
    return text +
           "discovery knew no server; see server_removed and store_lost.";
  }
  if (outcome == "no-route") {
    return text +
           "no route of that version of the configuration matches; compare "
           "config_in_force on the other daemons.";
  }
  if (outcome == "outdated") {
    return text +
           "that version of the configuration does not allow it, but a later "
           "one may be in force; see config_outdated and store_lost.";
  }
  if (Field(end, "may_have_run") == "true") {
    return text +
           "a server received the request but sent no complete response; its "
           "attempt_failed lines say which, and how.";
  }
  return text + "the request was not executed.";
}

class RequestExplainer {
 public:
  explicit RequestExplainer(const std::string& id) : id_(id) {}

  void AddLine(const std::string& text) {
    const auto line = ParseLogLine(text);
    if (!line) {
      return;
    }
    if (Field(*line, "request") == id_) {
      AddRequestLine(text, *line);
      return;
    }
    const std::string event = Field(*line, "event");
    const std::string server = Field(*line, "server");
    if (std::ranges::find(kDaemonEvents, event) != kDaemonEvents.end()) {
      AddContextLine(event, text);
    } else if (std::ranges::find(kServerEvents, event) != kServerEvents.end()) {
      AddContextLine(event + " " + server, text);
    } else if (event == "order") {
      orders_.emplace_back(*line, text);
    } else if (event == "table_written" || event == "table_not_written") {
      AddContextLine(event + " " + Field(*line, "service"), text);
    }
  }

  std::optional<RequestExplanation> Finish() {
    if (explanation_.lines.empty()) {
      return std::nullopt;
    }
    for (const auto& [subject_key, lines] : context_lines_) {
      const std::size_t space = subject_key.find(' ');
      const std::string subject =
          space == std::string::npos ? "" : subject_key.substr(space + 1);
      if (!subject.empty() && !subjects_.contains(subject)) {
        continue;
      }
      explanation_.context.insert(explanation_.context.end(), lines.begin(),
                                  lines.end());
    }
    AddOrders();
    // Lines begin with their time, so this is chronological order.
    std::ranges::sort(explanation_.context);
    return std::move(explanation_);
  }

 private:
  void AddRequestLine(const std::string& text, const LogLine& line) {
    explanation_.lines.push_back(text);
    subjects_.insert(Field(line, "server"));
    if (Field(line, "event") != "request") {
      return;
    }
    subjects_.insert(Field(line, "service"));
    const std::string key = Field(line, "key");
    std::from_chars(key.data(), key.data() + key.size(), key_);
    explanation_.summary = Summarize(line);
  }

  void AddContextLine(const std::string& subject_key, const std::string& text) {
    if (!explanation_.summary.empty()) {
      // Events after the request's final line cannot have affected it.
      return;
    }
    auto& lines = context_lines_[subject_key];
    lines.push_back(text);
    if (lines.size() > kMaxLinesPerSubject) {
      lines.erase(lines.begin());
    }
  }

  void AddOrders() {
    std::vector<std::string> lines;
    for (const auto& [line, text] : orders_) {
      if (key_ >= 0 && subjects_.contains(Field(line, "service")) &&
          RangeContains(Field(line, "keys"), key_)) {
        lines.push_back(text);
      }
    }
    const std::size_t n = std::min(lines.size(), kMaxLinesPerSubject);
    explanation_.context.insert(explanation_.context.end(),
                                lines.end() - static_cast<std::ptrdiff_t>(n),
                                lines.end());
  }

  const std::string id_;
  RequestExplanation explanation_;
  // The servers and the service of the request.
  std::set<std::string> subjects_;
  long key_ = -1;
  // Lines by "EVENT" or "EVENT SUBJECT", where the subject is a server or a
  // service.
  std::map<std::string, std::vector<std::string>> context_lines_;
  std::vector<std::pair<LogLine, std::string>> orders_;
};

}  // namespace

std::optional<LogLine> ParseLogLine(std::string_view line) {
  LogLine fields;
  while (!line.empty()) {
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::size_t begin = equals;
    while (begin > 0 && IsKeyCharacter(line[begin - 1])) {
      --begin;
    }
    const std::string key(line.substr(begin, equals - begin));
    line.remove_prefix(equals + 1);
    fields[key] = TakeValue(line);
  }
  if (!fields.contains("event")) {
    return std::nullopt;
  }
  return fields;
}

std::optional<RequestExplanation> ExplainRequest(std::istream& in,
                                                 const std::string& id) {
  RequestExplainer explainer(id);
  for (std::string line; std::getline(in, line);) {
    explainer.AddLine(line);
  }
  return explainer.Finish();
}

}  // namespace gentianreach::ctl
