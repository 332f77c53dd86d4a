// Compares the responses that callers received with the requests that servers
// ran, while a soak is running.
//
// Independent of processes and connections: the soak reports requests, runs,
// responses, and the disturbances that excuse a late or missing response.
#ifndef SOAK_PROMISE_CHECKER_H_
#define SOAK_PROMISE_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gentianreach/time.h"
#include "soak/disturbances.h"

namespace gentianreach::soak {

// A request as its caller sent it.
struct SentRequest {
  std::string id;
  std::string method;
  std::string path;
  std::string body;
  // Set for keyed requests only.
  std::optional<std::uint32_t> key;
  bool idempotent = false;
  // The version whose route it asks for; set for probes of the configuration.
  std::optional<std::uint64_t> config_version;
  std::size_t daemon = 0;
  TimePoint sent;
  // The deadline that the caller sent.
  TimePoint deadline;
};

// The execution of a request, as logged by the server before it began.
struct ObservedRun {
  std::string request_id;
  std::string method;
  std::string path;
  std::string server;
  std::uint32_t key = 0;
  // Fencing token under which the server held the key; 0 for unkeyed requests.
  std::uint64_t token = 0;
  TimePoint at;
  std::size_t server_index = 0;
  // The daemon that sent the request to the server, if that is known.
  std::optional<std::size_t> sent_by;
};

// A complete response, as received by the caller.
struct ReceivedResponse {
  int status = 0;
  // Request id in the response.
  std::string request_id;
  // The server's response stamp; empty if the daemon generated the response.
  std::string stamp;
  std::string body;
  TimePoint at;
};

class PromiseChecker {
 public:
  // Maximum number of runs of one request.
  static constexpr std::size_t kMaxRuns = 2;
  // Tolerance for responses after the deadline.
  static constexpr Duration kLateTolerance = std::chrono::milliseconds(500);

  // `checks_deadlines`: whether late responses are violations.
  explicit PromiseChecker(bool checks_deadlines)
      : checks_deadlines_(checks_deadlines) {}

  void OnSent(const SentRequest& request);
  void OnRun(const ObservedRun& run);
  void OnResponse(const std::string& id, const ReceivedResponse& response);
  // The connection ended without a response, or the caller stopped waiting.
  void OnNoResponse(const std::string& id, TimePoint at);
  // Permits late or missing responses for requests through `daemon` that
  // overlap `from` to `to`, because a fault affects its process or its callers'
  // connections.
  void AddDisturbance(std::size_t daemon, TimePoint from, TimePoint to) {
    disturbances_.Add(daemon, from, to);
  }

  // Checks that fencing tokens increase with each change of owner, for the runs
  // before `until`, all of which must have been reported. Called periodically
  // and once at the end.
  void CheckOwners(TimePoint until);
  // Checks the requests that ended without a response before `until`. All of
  // their runs must have been reported.
  void CheckUnanswered(TimePoint until);

  // Returns a description of each violation.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  [[nodiscard]] std::size_t sent() const { return requests_.size(); }
  [[nodiscard]] std::size_t runs() const { return runs_; }
  // Returns the daemon that the request was sent to, if it is known.
  [[nodiscard]] std::optional<std::size_t> DaemonOf(
      const std::string& id) const;
  // Returns the number of requests by status; 0 stands for no response.
  [[nodiscard]] const std::map<int, std::size_t>& statuses() const {
    return statuses_;
  }

 private:
  struct Request {
    SentRequest sent;
    std::vector<ObservedRun> runs;
    std::optional<ReceivedResponse> response;
  };
  // The server that last ran a request for a key.
  struct Owner {
    std::string server;
    std::uint64_t token = 0;
  };

  void CheckNotRunStatus(const Request& request);
  void CheckResponse(const Request& request);
  void Report(const Request& request, const std::string& what);

  const bool checks_deadlines_;
  std::unordered_map<std::string, Request> requests_;
  Disturbances disturbances_;
  // Keyed runs that CheckOwners() has not checked yet, by time.
  std::multimap<TimePoint, ObservedRun> keyed_runs_;
  std::map<std::uint32_t, Owner> owners_;
  // Requests that ended without a response, by end time.
  std::multimap<TimePoint, std::string> unanswered_;
  std::map<int, std::size_t> statuses_;
  std::vector<std::string> violations_;
  std::size_t runs_ = 0;
};

}  // namespace gentianreach::soak

#endif  // SOAK_PROMISE_CHECKER_H_
