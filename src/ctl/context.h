// State and helpers that all commands of gentianreachctl share: store and
// daemon calls, options and output.
#ifndef SRC_CTL_CONTEXT_H_
#define SRC_CTL_CONTEXT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gentianreach/time.h"
#include "net/http_client.h"
#include "store/store_call.h"
#include "store/store_client.h"

namespace gentianreach::ctl {

using Json = nlohmann::ordered_json;

// Exit codes. Scripts depend on them.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,   // A call to the store or a daemon failed.
  kExitInvalid = 2,   // Invalid flags or invalid settings.
  kExitConflict = 3,  // Conflicts with a concurrent change.
  kExitUnknown = 4,   // Unknown whether the change was accepted.
  kExitNotFound = 5,  // Unknown path, version, server or request.
  kExitBehind = 6,    // Accepted, but not active on all daemons in time.
};

// Options that all commands share.
struct Options {
  std::string store;
  std::vector<std::string> daemons;
  std::string actor;
  bool json = false;
};

// Calls the store and the daemons. Not thread-safe: all calls must come from
// one thread.
class Context {
 public:
  explicit Context(Options options);
  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  [[nodiscard]] const Options& options() const { return options_; }
  [[nodiscard]] const MonotonicClock& clock() const { return clock_; }

  // Returns the reply to one store call.
  [[nodiscard]] store::Reply Call(const store::Call& call);
  // Returns the result of reading an object. Retries for up to 10 s while the
  // store is unavailable.
  [[nodiscard]] store::Reply Read(const std::string& name);
  // Returns the names that begin with `prefix`. The call has a deadline of 10 s
  // and is not retried.
  [[nodiscard]] store::Reply List(const std::string& prefix);

  // Returns the JSON response of a daemon's operator address. Sends a POST
  // request if there is a `body`. Prints an error and returns nullopt if the
  // call fails.
  [[nodiscard]] std::optional<Json> CallDaemon(
      const std::string& address,
      const std::string& path,
      const std::optional<Json>& body = std::nullopt);
  // Like CallDaemon(), for the first of the given daemons that responds.
  [[nodiscard]] std::optional<Json> CallAnyDaemon(
      const std::string& path,
      const std::optional<Json>& body = std::nullopt);

  // Sleeps until `deadline`, at least 1 ms.
  void WaitUntil(TimePoint deadline);

 private:
  Options options_;
  MonotonicClock clock_;
  HttpClient http_;
  std::unique_ptr<StoreClient> store_;
};

// Prints "gentianreachctl: MESSAGE" to standard error.
void PrintError(const std::string& message);
// Prints a table with aligned columns to standard output.
void PrintTable(const std::vector<std::string>& headings,
                const std::vector<std::vector<std::string>>& rows);
// Prints a JSON value to standard output.
void PrintJson(const Json& json);
// Returns a field of an object as text, or "" if it is absent or null.
[[nodiscard]] std::string TextOf(const Json& object, const char* field);
// Returns a time in UTC formatted as "2026-01-31T12:00:00Z".
[[nodiscard]] std::string FormatTime(WallTime time);
// Returns the current system time.
[[nodiscard]] WallTime WallNow();
// Returns the text percent-encoded for a URL query.
[[nodiscard]] std::string EscapeQuery(const std::string& text);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_CONTEXT_H_
