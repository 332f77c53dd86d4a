// What every command of gentianreachctl needs: where to ask, how to print.
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

// Exit codes, part of the interface for scripts.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,   // The store or the daemon did not answer as it should.
  kExitInvalid = 2,   // Bad flags, or settings that do not pass the checks.
  kExitConflict = 3,  // Others changed the settings meanwhile.
  kExitUnknown = 4,   // It is not known whether the change was accepted.
  kExitNotFound = 5,  // No such path, version, server or request.
  kExitBehind = 6,    // Accepted, but not in force everywhere in time.
};

// Options that all commands share.
struct Options {
  std::string store;
  std::vector<std::string> daemons;
  std::string actor;
  bool json = false;
};

// Calls the store and daemons, and prints. Belongs to one thread.
class Context {
 public:
  explicit Context(Options options);
  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  [[nodiscard]] const Options& options() const { return options_; }
  [[nodiscard]] const MonotonicClock& clock() const { return clock_; }

  // Makes a store call.
  [[nodiscard]] store::Reply Call(const store::Call& call);
  // Reads an object, trying again for a while where the store is unavailable.
  [[nodiscard]] store::Reply Read(const std::string& name);
  // Lists names, likewise.
  [[nodiscard]] store::Reply List(const std::string& prefix);

  // Calls a daemon's operator address; `body` makes it a POST. Nothing, with
  // an error printed, where there is no good answer.
  [[nodiscard]] std::optional<Json> AskDaemon(
      const std::string& address,
      const std::string& path,
      const std::optional<Json>& body = std::nullopt);
  // Calls the first daemon that answers.
  [[nodiscard]] std::optional<Json> AskAnyDaemon(
      const std::string& path,
      const std::optional<Json>& body = std::nullopt);

  // Sleeps until `deadline`.
  void WaitUntil(TimePoint deadline);

 private:
  Options options_;
  MonotonicClock clock_;
  HttpClient http_;
  std::unique_ptr<StoreClient> store_;
};

// Prints an error on standard error, as "gentianreachctl: MESSAGE".
void PrintError(const std::string& message);
// Prints rows under headings, in columns.
void PrintTable(const std::vector<std::string>& headings,
                const std::vector<std::vector<std::string>>& rows);
// Prints a JSON value on standard output.
void PrintJson(const Json& json);
// Returns a field of an object as text, empty where absent.
[[nodiscard]] std::string TextOf(const Json& object, const char* field);
// Returns a point in UTC as "2026-01-31T12:00:00Z".
[[nodiscard]] std::string FormatTime(WallTime time);
// Returns the current time in UTC.
[[nodiscard]] WallTime WallNow();
// Returns the text escaped for a query.
[[nodiscard]] std::string EscapeQuery(const std::string& text);

}  // namespace gentianreach::ctl

#endif  // SRC_CTL_CONTEXT_H_
