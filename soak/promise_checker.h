// Holds what callers saw against what servers ran, while a soak goes on.
//
// Knows nothing of processes and connections: the soak tells it of requests,
// runs, answers and of the disturbances that excuse a missing answer.
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

namespace gentianreach::soak {

// A request as its caller sent it.
struct SentRequest {
  std::string id;
  std::string method;
  std::string path;
  std::string body;
  // Set for services with keys.
  std::optional<std::uint32_t> key;
  bool idempotent = false;
  std::size_t daemon = 0;
  TimePoint sent;
  // The caller's own deadline.
  TimePoint deadline;
};

// A run as a server wrote it down before it began.
struct ObservedRun {
  std::string request_id;
  std::string method;
  std::string path;
  std::string server;
  std::uint32_t key = 0;
  // Fencing token under which the key was held; 0: no keys.
  std::uint64_t token = 0;
  TimePoint at;
};

// A complete answer as its caller saw it.
struct SeenResponse {
  int status = 0;
  // The request that the answer says it belongs to.
  std::string request_id;
  // The server's signature; empty where the daemon answered.
  std::string stamp;
  std::string body;
  TimePoint at;
};

class PromiseChecker {
 public:
  // Most servers that one attempt of a caller may run on.
  static constexpr std::size_t kMostRuns = 2;
  // What an answer may take beyond its deadline.
  static constexpr Duration kLateAfter = std::chrono::milliseconds(500);

  // `checks_times`: whether answers have to be in time.
  explicit PromiseChecker(bool checks_times) : checks_times_(checks_times) {}

  void OnSent(const SentRequest& request);
  void OnRun(const ObservedRun& run);
  void OnResponse(const std::string& id, const SeenResponse& response);
  // The connection ended without an answer, or the caller has given up.
  void OnNoResponse(const std::string& id, TimePoint at);
  // Requests through `daemon` between `from` and `to` may stay without an
  // answer, or get one late: its process or its callers' connections are
  // disturbed.
  void Excuse(std::size_t daemon, TimePoint from, TimePoint to);

  // Checks the order of runs up to `until`; runs that began before it have been
  // reported. Called again and again, and once at the end.
  void CheckOwners(TimePoint until);
  // Checks requests without an answer whose runs are known by `until`.
  void CheckUnanswered(TimePoint until);

  // Returns what was broken, in plain words.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  [[nodiscard]] std::size_t sent() const { return requests_.size(); }
  [[nodiscard]] std::size_t runs() const { return runs_; }
  // Returns how many requests ended with each status; 0: without an answer.
  [[nodiscard]] const std::map<int, std::size_t>& statuses() const {
    return statuses_;
  }

 private:
  struct Request {
    SentRequest sent;
    std::vector<ObservedRun> runs;
    std::optional<SeenResponse> response;
  };
  struct Span {
    TimePoint from;
    TimePoint to;
  };
  // Who last ran requests for a key.
  struct Owner {
    std::string server;
    std::uint64_t token = 0;
  };

  void CheckRefusal(const Request& request);
  void CheckResponse(const Request& request);
  [[nodiscard]] bool IsExcused(std::size_t daemon,
                               TimePoint from,
                               TimePoint to) const;
  void Report(const Request& request, const std::string& what);

  const bool checks_times_;
  std::unordered_map<std::string, Request> requests_;
  std::map<std::size_t, std::vector<Span>> excuses_;
  // Runs for keys that CheckOwners() has not seen, by time.
  std::multimap<TimePoint, ObservedRun> keyed_runs_;
  std::map<std::uint32_t, Owner> owners_;
  // Requests that ended without an answer, by the time they did.
  std::multimap<TimePoint, std::string> unanswered_;
  std::map<int, std::size_t> statuses_;
  std::vector<std::string> violations_;
  std::size_t runs_ = 0;
};

}  // namespace gentianreach::soak

#endif  // SOAK_PROMISE_CHECKER_H_
