#include "entry/balancing/server_loads.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace gentianreach::entry {
namespace {

using Seconds = std::chrono::duration<double>;

// Weights of a new sample in the exponential moving averages of requests and
// failures.
constexpr double kOtherRequestsWeight = 0.4;
constexpr double kErrorWeight = 0.15;
// Time constant with which the queue of another daemon's report decays where
// servers are compared. All daemons avoid a server by the same report, so that
// it empties within one processing time; with kDecayTime it would stay idle.
constexpr Seconds kSharedDecayTime{0.15};
// Limit of the requests per slot that such a report may state. More are more
// likely wrong than true, and would keep all daemons from the server.
constexpr double kMaxSharedRequestsPerSlot = 8;
// Factor by which a server that has just started is slower.
constexpr double kColdFactor = 2;
// Initial and longest time for which a failing server is avoided.
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(250);
constexpr Duration kMaxAvoidance = std::chrono::seconds(2);
// Number of failures in a row after which a server is avoided.
constexpr std::uint32_t kFailuresToAvoid = 2;
// Limit of the requests at a server, as a multiple of its slots. Servers queue
// about four times their slots, and may stop responding beyond that.
constexpr double kMaxRequestsPerSlot = 3.5;
// Time constant with which the estimates of a server's queue and failures
// decay. Without the decay, a server that looked bad once would get no
// requests, and so could never look better again.
constexpr Seconds kDecayTime{1.5};
// Time constant with which a reported slowdown decays to the usual speed: the
// time for which a machine is slowed down at a time.
constexpr Seconds kSlowdownDecayTime{0.4};
// A server's figures are compared with their average, since a machine that is
// slower than others for good may report that all the time. Figures that vary
// by a factor of three need this many to tell their average.
constexpr std::uint32_t kMinSlowdownReports = 20;
constexpr double kUsualSlowdownWeight = 0.02;
// Bounds of the slowdowns that are used. A figure beyond them is more likely
// wrong than true, and would let the server look useless or endlessly fast.
constexpr double kMinSlowdown = 0.25;
constexpr double kMaxSlowdown = 100;
// Weight of the share of failed attempts in the failure penalty.
constexpr double kErrorPenalty = 4;

Duration ToDuration(double seconds) {
  return std::chrono::round<Duration>(Seconds(seconds));
}

// Returns the weight of an estimate of the given age.
double Decay(Duration age, Seconds time_constant = kDecayTime) {
  return std::exp(-Seconds(age) / time_constant);
}

}  // namespace

std::string_view ToString(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kServerError:
      return "server-error";
    case AttemptResult::kRejected:
      return "rejected";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kUnreachable:
      return "unreachable";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const ServerLoads::State* ServerLoads::Find(const ServerId& server) const {
  const auto it = states_.find(server);
  return it == states_.end() ? nullptr : &it->second;
}

void ServerLoads::OnSent(const ServerId& server) {
  ++states_[server].own_requests;
}

void ServerLoads::OnEnd(const ServerId& server,
                        AttemptResult result,
                        std::optional<Duration> latency,
                        const std::optional<LoadReport>& report,
                        TimePoint now,
                        const RequestKind& kind) {
  State& state = states_[server];
  state.own_requests -= state.own_requests > 0 ? 1 : 0;
  if (report) {
    const double others =
        std::max(0.0, static_cast<double>(report->running + report->waiting) -
                          state.own_requests);
    const double before = RequestsAtServer(state, now) - state.own_requests;
    state.other_requests = before + kOtherRequestsWeight * (others - before);
    state.reported_at = now;
    state.shared = false;
    if (on_report) {
      on_report(server, *report, now);
    }
  }
  const double slowdown = report && report->slowdown
                              ? RecordSlowdown(state, *report->slowdown, now)
                              : 1;
  if (result == AttemptResult::kCancelled) {
    return;
  }
  const bool failed = result != AttemptResult::kAnswered;
  const double share = state.error_share * Decay(now - state.error_share_at);
  state.error_share = share + kErrorWeight * ((failed ? 1 : 0) - share);
  state.error_share_at = now;
  if (result == AttemptResult::kAnswered ||
      result == AttemptResult::kServerError ||
      result == AttemptResult::kRejected) {
    state.last_response = now;
  }
  if (result == AttemptResult::kBroken ||
      result == AttemptResult::kUnreachable) {
    ++state.failures;
    if (state.failures >= kFailuresToAvoid) {
      const auto doublings = std::min(state.failures - kFailuresToAvoid, 8U);
      state.avoided_until =
          now + std::min<Duration>(kInitialAvoidance * (1U << doublings),
                                   kMaxAvoidance);
    }
    return;
  }
  state.failures = 0;
  if (result != AttemptResult::kAnswered || !latency) {
    return;
  }
  // Excludes the estimated queueing time from the processing time. Requests of
  // all kinds wait there.
  const double waiting =
      report && report->slots > 0
          ? static_cast<double>(report->waiting) / report->slots
          : 0;
  const double sample = Seconds(*latency).count() /
                        (1 + waiting * times_.MixRatio(kind)) / slowdown;
  Sample& pending = samples_[server];
  ++pending.requests;
  pending.total += ToDuration(times_.Add(server, kind, sample, now));
}

void ServerLoads::OnBeaten(const routing::BackendServer& server,
                           Duration elapsed,
                           TimePoint now,
                           const RequestKind& kind) {
  const Duration expected = ExpectedLatency(server, now, kind.route);
  if (elapsed <= expected) {
    return;
  }
  // Excludes the estimated queueing time.
  times_.Add(
      server.id, kind,
      times_.Get(server.id, kind, now) * (Seconds(elapsed) / Seconds(expected)),
      now);
}

void ServerLoads::OnRemoteSamples(const ServerId& server,
                                  std::uint32_t requests,
                                  Duration total,
                                  TimePoint now,
                                  std::string_view service) {
  if (requests == 0) {
    return;
  }
  // The mean counts as a single sample, although it is more reliable than one
  // and less informative than `requests` separate samples.
  const double mean = Seconds(total).count() / requests;
  times_.Add(server, {.service = service, .route = {}}, mean, now);
}

bool ServerLoads::OnSharedReport(const routing::BackendServer& server,
                                 std::uint32_t requests,
                                 std::optional<double> slowdown,
                                 TimePoint at) {
  State& state = states_[server.id];
  if (at <= state.reported_at) {
    return false;
  }
  const double total =
      std::min<double>(requests, kMaxSharedRequestsPerSlot * server.slots);
  const double others = std::max(0.0, total - state.own_requests);
  state.other_requests = others;
  state.reported_at = at;
  state.shared = true;
  if (slowdown && at > state.slowdown_at) {
    // Only slow servers are named, so that this says nothing of the usual one.
    state.slowdown = RelativeSlowdown(state, *slowdown);
    state.slowdown_at = at;
  }
  return true;
}

Duration ServerLoads::ProcessingTime(const routing::BackendServer& server,
                                     TimePoint now,
                                     std::string_view route) const {
  const State* state = Find(server.id);
  const double warm =
      times_.Get(server.id, {.service = server.service, .route = route}, now) *
      (state == nullptr ? 1 : Slowdown(*state, now));
  return ToDuration(now < server.warm_at ? warm * kColdFactor : warm);
}

Duration ServerLoads::ExpectedLatency(const routing::BackendServer& server,
                                      TimePoint now,
                                      std::string_view route) const {
  const State* state = Find(server.id);
  const double processing = Seconds(ProcessingTime(server, now, route)).count();
  const double requests = state == nullptr ? 0 : RequestsAtServer(*state, now);
  const double ahead = std::max(0.0, requests + 1 - server.slots);
  // The requests ahead are of all routes.
  const double ratio =
      times_.MixRatio({.service = server.service, .route = route});
  return ToDuration(processing * (1 + ahead / server.slots * ratio));
}

double ServerLoads::RecordSlowdown(State& state,
                                   double reported,
                                   TimePoint now) {
  ++state.slowdown_reports;
  state.usual_slowdown +=
      std::max(1.0 / state.slowdown_reports, kUsualSlowdownWeight) *
      (std::clamp(reported, kMinSlowdown, kMaxSlowdown) - state.usual_slowdown);
  state.slowdown = RelativeSlowdown(state, reported);
  state.slowdown_at = now;
  return state.slowdown;
}

double ServerLoads::RelativeSlowdown(const State& state, double reported) {
  return state.slowdown_reports < kMinSlowdownReports
             ? 1
             : std::clamp(reported, kMinSlowdown, kMaxSlowdown) /
                   state.usual_slowdown;
}

double ServerLoads::Slowdown(const State& state, TimePoint now) {
  return 1 + (state.slowdown - 1) *
                 Decay(now - state.slowdown_at, kSlowdownDecayTime);
}

double ServerLoads::Utilization(const routing::BackendServer& server,
                                TimePoint now) const {
  const State* state = Find(server.id);
  return state == nullptr ? 0 : RequestsAtServer(*state, now) / server.slots;
}

double ServerLoads::RequestsAtServer(const State& state, TimePoint now) {
  return state.own_requests +
         state.other_requests *
             Decay(now - state.reported_at,
                   state.shared ? kSharedDecayTime : kDecayTime);
}

double ServerLoads::FailurePenalty(const ServerId& server,
                                   TimePoint now) const {
  const State* state = Find(server);
  return state == nullptr ? 1
                          : 1 + kErrorPenalty * state->error_share *
                                    Decay(now - state->error_share_at);
}

Duration ServerLoads::AverageProcessingTime(TimePoint now) const {
  return ToDuration(times_.Average(now));
}

bool ServerLoads::IsAvoided(const ServerId& server, TimePoint now) const {
  const State* state = Find(server);
  return state != nullptr && now < state->avoided_until;
}

bool ServerLoads::HasFreeSlot(const routing::BackendServer& server,
                              TimePoint now) const {
  const State* state = Find(server.id);
  return state == nullptr ||
         std::round(RequestsAtServer(*state, now)) < server.slots;
}

bool ServerLoads::HasRoom(const routing::BackendServer& server,
                          TimePoint now) const {
  const State* state = Find(server.id);
  if (state == nullptr) {
    return true;
  }
  // A report of another daemon refuses requests for as long as an own one:
  // while all servers are full, there is none that could be overlooked.
  const double requests =
      state->own_requests +
      state->other_requests * Decay(now - state->reported_at);
  return requests + 1 <= kMaxRequestsPerSlot * server.slots;
}

double ServerLoads::Capacity(const routing::BackendServer& server,
                             TimePoint now) const {
  return server.slots /
         times_.Get(server.id, {.service = server.service, .route = {}}, now);
}

TimePoint ServerLoads::last_response(const ServerId& server) const {
  const State* state = Find(server);
  return state == nullptr ? TimePoint{} : state->last_response;
}

}  // namespace gentianreach::entry
