// Explains the outcome of a request from the log lines of entry daemons.
#ifndef SRC_CTL_EXPLAIN_LINES_H_
#define SRC_CTL_EXPLAIN_LINES_H_

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianreach::ctl {

// The key=value pairs of one log line, by key.
using LogLine = std::map<std::string, std::string>;

// Returns the fields of `line`, or nullopt if it has no field "event". Skips
// text before the first pair, such as the prefixes of log collectors.
[[nodiscard]] std::optional<LogLine> ParseLogLine(std::string_view line);

// The log lines that concern one request.
struct RequestExplanation {
  // The lines of the request itself, unchanged.
  std::vector<std::string> lines;
  // Lines about the state of the daemons and about the request's servers, key
  // and configuration, up to the request's final line.
  std::vector<std::string> context;
  // The outcome and where to look next, as a sentence. Empty if the request's
  // final line is missing.
  std::string summary;
};

// Returns the explanation of the request `id`, or nullopt if no line contains
// the request. Reads all of `in`, which may contain lines of several daemons.
[[nodiscard]] std::optional<RequestExplanation> ExplainRequest(
    std::istream& in,
    const std::string& id);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_EXPLAIN_LINES_H_
