#include "soak/promise_checker.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace gentianreach::soak {
namespace {

// Statuses that guarantee that the request has not run and will not run.
constexpr std::array kNotRunStatuses = {408, 421, 429, 503};
constexpr int kNotFound = 404;

bool GuaranteesNotRun(int status) {
  return std::ranges::find(kNotRunStatuses, status) != kNotRunStatuses.end();
}

bool IsSuccess(int status) {
  return status / 100 == 2;
}

// Returns the response body of a fake server for `request`.
std::string ExpectedBody(const SentRequest& request) {
  return request.method + " " + request.path + " " + request.body;
}

}  // namespace

void PromiseChecker::Report(const Request& request, const std::string& what) {
  std::string text = what + ": id=" + request.sent.id +
                     " path=" + request.sent.path +
                     " daemon=" + std::to_string(request.sent.daemon);
  if (request.response) {
    text += " status=" + std::to_string(request.response->status);
  }
  for (const ObservedRun& it : request.runs) {
    text += " ran_on=" + it.server;
  }
  violations_.push_back(std::move(text));
}

void PromiseChecker::OnSent(const SentRequest& request) {
  requests_[request.id].sent = request;
}

std::optional<std::size_t> PromiseChecker::DaemonOf(
    const std::string& id) const {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return std::nullopt;
  }
  return it->second.sent.daemon;
}

void PromiseChecker::OnRun(const ObservedRun& run) {
  ++runs_;
  const auto it = requests_.find(run.request_id);
  if (it == requests_.end()) {
    violations_.push_back("a server ran a request that no caller sent: id=" +
                          run.request_id + " server=" + run.server);
    return;
  }
  Request& request = it->second;
  request.runs.push_back(run);
  if (run.method != request.sent.method || run.path != request.sent.path ||
      (request.sent.key && run.key != *request.sent.key)) {
    Report(request, "a request was changed on its way to the server");
  }
  if (!request.sent.idempotent && request.runs.size() > 1) {
    Report(request, "a request that is not idempotent ran more than once");
  }
  if (request.runs.size() > kMaxRuns) {
    Report(request, "a request ran more often than allowed");
  }
  if (run.token != 0) {
    keyed_runs_.emplace(run.at, run);
  }
  CheckNotRunStatus(request);
}

void PromiseChecker::CheckNotRunStatus(const Request& request) {
  if (request.response && GuaranteesNotRun(request.response->status) &&
      !request.runs.empty()) {
    Report(request, "a request ran although its status says that it did not");
  }
}

void PromiseChecker::OnResponse(const std::string& id,
                                const ReceivedResponse& response) {
  Request& request = requests_.at(id);
  request.response = response;
  ++statuses_[response.status];
  CheckResponse(request);
  CheckNotRunStatus(request);
}

void PromiseChecker::CheckResponse(const Request& request) {
  const ReceivedResponse& response = *request.response;
  if (response.request_id != request.sent.id) {
    Report(request,
           "a response has the id of another request, " + response.request_id);
  }
  if (IsSuccess(response.status) &&
      (response.stamp.empty() || response.body != ExpectedBody(request.sent))) {
    Report(request, "a success response does not come unchanged from a server");
  }
  // Not every version has the route that a probe asks for.
  if (response.status == kNotFound &&
      request.sent.config_version.value_or(0) == 0) {
    Report(request, "a request for an existing route got status 404");
  }
  if (checks_deadlines_ &&
      response.at > request.sent.deadline + kLateTolerance &&
      !disturbances_.Overlap(request.sent.daemon, request.sent.sent,
                             response.at)) {
    Report(request, "a response came after its deadline");
  }
}

void PromiseChecker::OnNoResponse(const std::string& id, TimePoint at) {
  ++statuses_[0];
  unanswered_.emplace(at, id);
}

void PromiseChecker::CheckOwners(TimePoint until) {
  const auto end = keyed_runs_.lower_bound(until);
  for (auto it = keyed_runs_.begin(); it != end; ++it) {
    const ObservedRun& run = it->second;
    Owner& owner = owners_[run.key];
    const bool other = !owner.server.empty() && owner.server != run.server;
    if (other && run.token <= owner.token) {
      Report(requests_.at(run.request_id),
             "two servers ran requests for key " + std::to_string(run.key) +
                 " at the same time: " + run.server + " with token " +
                 std::to_string(run.token) + " after " + owner.server +
                 " with token " + std::to_string(owner.token));
    }
    if (run.token >= owner.token) {
      owner = {run.server, run.token};
    }
  }
  keyed_runs_.erase(keyed_runs_.begin(), end);
}

void PromiseChecker::CheckUnanswered(TimePoint until) {
  const auto end = unanswered_.lower_bound(until);
  for (auto it = unanswered_.begin(); it != end; ++it) {
    const Request& request = requests_.at(it->second);
    // A request that has not run needs no response: it may have been sent while
    // the daemon closed the connection.
    if (!request.runs.empty() &&
        !disturbances_.Overlap(request.sent.daemon, request.sent.sent,
                               it->first)) {
      Report(request, "a request that ran got no response");
    }
  }
  unanswered_.erase(unanswered_.begin(), end);
}

}  // namespace gentianreach::soak
