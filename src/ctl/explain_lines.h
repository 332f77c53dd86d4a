// Explains a request from the log lines of entry daemons.
#ifndef SRC_CTL_EXPLAIN_LINES_H_
#define SRC_CTL_EXPLAIN_LINES_H_

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianreach::ctl {

// The fields of one line of key=value pairs, by key.
using LogLine = std::map<std::string, std::string>;

// Returns the fields of `line`; nothing where it is not such a line with an
// event. Text before the first pair, as log collectors add it, is skipped.
[[nodiscard]] std::optional<LogLine> ParseLogLine(std::string_view line);

// What the lines say of one request.
struct RequestStory {
  // The lines of the request itself, as they were read.
  std::vector<std::string> lines;
  // What the daemons believed and did about its servers, its key and its
  // configuration, up to the request's last line.
  std::vector<std::string> context;
  // What happened and where to look next, in plain words; empty where the line
  // that ends the request is missing.
  std::string summary;
};

// Reads all of `in`, which may hold the lines of several daemons, and returns
// what they say of the request `id`; nothing where they do not name it.
[[nodiscard]] std::optional<RequestStory> ExplainRequest(std::istream& in,
                                                         const std::string& id);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_EXPLAIN_LINES_H_
