#include "soak/promise_checker.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace gentianreach::soak {
namespace {

// Statuses that promise: the request has not run and never will.
constexpr std::array kNotRunStatuses = {408, 421, 429, 503};
constexpr int kNotFound = 404;

bool SaysNotRun(int status) {
  return std::ranges::find(kNotRunStatuses, status) != kNotRunStatuses.end();
}

bool IsSuccess(int status) {
  return status / 100 == 2;
}

// Returns the body with which a stand-in server answers `request`.
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

void PromiseChecker::OnRun(const ObservedRun& run) {
  ++runs_;
  const auto it = requests_.find(run.request_id);
  if (it == requests_.end()) {
    violations_.push_back("a server ran what nobody sent: id=" +
                          run.request_id + " server=" + run.server);
    return;
  }
  Request& request = it->second;
  request.runs.push_back(run);
  if (run.method != request.sent.method || run.path != request.sent.path ||
      (request.sent.key && run.key != *request.sent.key)) {
    Report(request, "a request reached its server changed");
  }
  if (!request.sent.idempotent && request.runs.size() > 1) {
    Report(request, "a request that is not idempotent ran more than once");
  }
  if (request.runs.size() > kMostRuns) {
    Report(request, "a request ran more often than its route allows");
  }
  if (run.token != 0) {
    keyed_runs_.emplace(run.at, run);
  }
  CheckRefusal(request);
}

void PromiseChecker::CheckRefusal(const Request& request) {
  if (request.response && SaysNotRun(request.response->status) &&
      !request.runs.empty()) {
    Report(request, "a request that was refused as not run has run");
  }
}

void PromiseChecker::OnResponse(const std::string& id,
                                const SeenResponse& response) {
  Request& request = requests_.at(id);
  request.response = response;
  ++statuses_[response.status];
  CheckResponse(request);
  CheckRefusal(request);
}

void PromiseChecker::CheckResponse(const Request& request) {
  const SeenResponse& response = *request.response;
  if (response.request_id != request.sent.id) {
    Report(request,
           "an answer belongs to another request, " + response.request_id);
  }
  if (IsSuccess(response.status) &&
      (response.stamp.empty() || response.body != ExpectedBody(request.sent))) {
    Report(request, "a success is not the answer of a server");
  }
  if (response.status == kNotFound) {
    Report(request, "a request that is allowed was not found");
  }
  if (checks_times_ && response.at > request.sent.deadline + kLateAfter &&
      !IsExcused(request.sent.daemon, request.sent.sent, response.at)) {
    Report(request, "an answer came after its deadline");
  }
}

void PromiseChecker::OnNoResponse(const std::string& id, TimePoint at) {
  ++statuses_[0];
  unanswered_.emplace(at, id);
}

void PromiseChecker::Excuse(std::size_t daemon, TimePoint from, TimePoint to) {
  excuses_[daemon].push_back({from, to});
}

bool PromiseChecker::IsExcused(std::size_t daemon,
                               TimePoint from,
                               TimePoint to) const {
  const auto it = excuses_.find(daemon);
  return it != excuses_.end() &&
         std::ranges::any_of(it->second, [&](const Span& span) {
           return span.from <= to && from <= span.to;
         });
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
    // A request may cross the close of its connection, if it has not run.
    if (!request.runs.empty() &&
        !IsExcused(request.sent.daemon, request.sent.sent, it->first)) {
      Report(request, "a request that has run got no answer");
    }
  }
  unanswered_.erase(unanswered_.begin(), end);
}

}  // namespace gentianreach::soak
