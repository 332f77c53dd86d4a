#include "entry/balancing/server_loads.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <system_error>

namespace gentianreach::entry {
namespace {

using Seconds = std::chrono::duration<double>;

// Weights of a new sample in the exponential moving averages.
constexpr double kLatencyWeight = 0.15;
constexpr double kOtherRequestsWeight = 0.4;
constexpr double kAverageWeight = 0.02;
constexpr double kErrorWeight = 0.15;
// Processing time assumed before any server has answered.
constexpr double kInitialProcessingS = 0.1;
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
// Time constant with which a server's processing time decays to the average,
// and a higher average to kInitialProcessingS. Otherwise servers that once
// looked too slow for every request would never get another one.
constexpr Seconds kProcessingDecayTime{5};
// Time after a sample during which the average does not decay, longer than the
// usual time between two samples.
constexpr Duration kAverageHoldTime = std::chrono::seconds(2);
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

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  std::array<std::uint32_t, 3> numbers{};
  const char* at = text.data();
  const char* last = text.data() + text.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && (at == last || *at++ != ',')) {
      return std::nullopt;
    }
    const auto [end, ec] = std::from_chars(at, last, numbers[i]);
    if (ec != std::errc()) {
      return std::nullopt;
    }
    at = end;
  }
  if (at != last) {
    return std::nullopt;
  }
  return LoadReport{numbers[0], numbers[1], numbers[2]};
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
                        TimePoint now) {
  State& state = states_[server];
  state.own_requests -= state.own_requests > 0 ? 1 : 0;
  if (report) {
    const double others =
        std::max(0.0, static_cast<double>(report->running + report->waiting) -
                          state.own_requests);
    const double before = RequestsAtServer(state, now) - state.own_requests;
    state.other_requests = before + kOtherRequestsWeight * (others - before);
    state.reported_at = now;
  }
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
  // Excludes the estimated queueing time from the processing time.
  const double waiting =
      report && report->slots > 0
          ? static_cast<double>(report->waiting) / report->slots
          : 0;
  const double sample = Seconds(*latency).count() / (1 + waiting);
  AddProcessingSample(state, sample, now);
  Sample& pending = samples_[server];
  ++pending.requests;
  pending.total += ToDuration(sample);
}

void ServerLoads::OnBeaten(const routing::BackendServer& server,
                           Duration elapsed,
                           TimePoint now) {
  const Duration expected = ExpectedLatency(server, now);
  if (elapsed <= expected) {
    return;
  }
  // Excludes the estimated queueing time.
  const double processing = Seconds(ProcessingTime(server, now)).count();
  AddProcessingSample(states_[server.id],
                      processing * (Seconds(elapsed) / Seconds(expected)), now);
}

void ServerLoads::AddProcessingSample(State& state,
                                      double seconds,
                                      TimePoint now) {
  const double before = ProcessingSeconds(&state, now);
  state.processing_s = state.processing_s == 0
                           ? seconds
                           : before + kLatencyWeight * (seconds - before);
  state.processing_at = now;
  const double average = AverageProcessingSeconds(now);
  // Rare samples weigh more, so that they do not hold up the average.
  const double weight =
      std::clamp(1 - Decay(now - average_processing_at_, kProcessingDecayTime),
                 kAverageWeight, kLatencyWeight);
  average_processing_s_ = average_processing_s_ == 0
                              ? seconds
                              : average + weight * (seconds - average);
  average_processing_at_ = now;
}

void ServerLoads::OnRemoteSamples(const ServerId& server,
                                  std::uint32_t requests,
                                  Duration total,
                                  TimePoint now) {
  if (requests == 0) {
    return;
  }
  // The mean counts as a single sample, although it is more reliable than one
  // and less informative than `requests` separate samples.
  const double mean = Seconds(total).count() / requests;
  AddProcessingSample(states_[server], mean, now);
}

double ServerLoads::AverageProcessingSeconds(TimePoint now) const {
  if (average_processing_s_ == 0) {
    return kInitialProcessingS;
  }
  // A lower average stays: it refuses nothing.
  const double target = std::min(kInitialProcessingS, average_processing_s_);
  return target +
         (average_processing_s_ - target) *
             Decay(std::max(now - average_processing_at_ - kAverageHoldTime,
                            Duration(0)),
                   kProcessingDecayTime);
}

double ServerLoads::ProcessingSeconds(const State* state, TimePoint now) const {
  const double average = AverageProcessingSeconds(now);
  if (state == nullptr || state->processing_s == 0) {
    return average;
  }
  return average + (state->processing_s - average) *
                       Decay(now - state->processing_at, kProcessingDecayTime);
}

Duration ServerLoads::ProcessingTime(const routing::BackendServer& server,
                                     TimePoint now) const {
  const double warm = ProcessingSeconds(Find(server.id), now);
  return ToDuration(now < server.warm_at ? warm * kColdFactor : warm);
}

Duration ServerLoads::ExpectedLatency(const routing::BackendServer& server,
                                      TimePoint now) const {
  const State* state = Find(server.id);
  const double processing = Seconds(ProcessingTime(server, now)).count();
  const double requests = state == nullptr ? 0 : RequestsAtServer(*state, now);
  const double ahead = std::max(0.0, requests + 1 - server.slots);
  return ToDuration(processing * (1 + ahead / server.slots));
}

double ServerLoads::Utilization(const routing::BackendServer& server,
                                TimePoint now) const {
  const State* state = Find(server.id);
  return state == nullptr ? 0 : RequestsAtServer(*state, now) / server.slots;
}

double ServerLoads::RequestsAtServer(const State& state, TimePoint now) {
  return state.own_requests +
         state.other_requests * Decay(now - state.reported_at);
}

double ServerLoads::FailurePenalty(const ServerId& server,
                                   TimePoint now) const {
  const State* state = Find(server);
  return state == nullptr ? 1
                          : 1 + kErrorPenalty * state->error_share *
                                    Decay(now - state->error_share_at);
}

Duration ServerLoads::AverageProcessingTime(TimePoint now) const {
  return ToDuration(AverageProcessingSeconds(now));
}

bool ServerLoads::IsAvoided(const ServerId& server, TimePoint now) const {
  const State* state = Find(server);
  return state != nullptr && now < state->avoided_until;
}

bool ServerLoads::HasRoom(const routing::BackendServer& server,
                          TimePoint now) const {
  const State* state = Find(server.id);
  return state == nullptr || RequestsAtServer(*state, now) + 1 <=
                                 kMaxRequestsPerSlot * server.slots;
}

double ServerLoads::Capacity(const routing::BackendServer& server,
                             TimePoint now) const {
  return server.slots / ProcessingSeconds(Find(server.id), now);
}

TimePoint ServerLoads::last_response(const ServerId& server) const {
  const State* state = Find(server);
  return state == nullptr ? TimePoint{} : state->last_response;
}

}  // namespace gentianreach::entry
