#include "entry/server_loads.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <system_error>

namespace gentianreach::entry {
namespace {

using Seconds = std::chrono::duration<double>;

// Weight of one more sample in the smoothed times and counts.
constexpr double kLatencyWeight = 0.15;
constexpr double kOthersWeight = 0.4;
constexpr double kUsualWeight = 0.02;
constexpr double kErrorWeight = 0.15;
// Processing time assumed before any server has answered.
constexpr double kFirstProcessingS = 0.1;
// How much slower a server is that has just started.
constexpr double kColdFactor = 2;
// First and longest time for which a failing server is avoided.
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
constexpr Duration kLongestAvoidance = std::chrono::seconds(2);
// Failures in a row from which a server is avoided.
constexpr std::uint32_t kFailuresToAvoid = 2;
// Requests at a server, as a multiple of its slots, beyond which it may answer
// nothing any more. Servers queue about four times their slots.
constexpr double kMostPerSlot = 3.5;
// Time in which what was learnt of a server's queue and failures loses most of
// its meaning. Without it a server that looked bad once would get no request
// that could show otherwise.
constexpr Seconds kFading{1.5};
// The same for how long requests take there. An owner of keys that once looked
// too slow for every request would otherwise never be asked again.
constexpr Seconds kProcessingFading{5};
// The share of failures counts as extra latency up to this factor.
constexpr double kErrorPenalty = 4;

Duration ToDuration(double seconds) {
  return std::chrono::round<Duration>(Seconds(seconds));
}

double Fading(Duration age, Seconds constant = kFading) {
  return std::exp(-Seconds(age) / constant);
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
  ++states_[server].own;
}

void ServerLoads::OnEnd(const ServerId& server,
                        AttemptResult result,
                        Duration latency,
                        const std::optional<LoadReport>& report,
                        TimePoint now) {
  State& state = states_[server];
  state.own -= state.own > 0 ? 1 : 0;
  if (report) {
    const double others =
        std::max(0.0, static_cast<double>(report->running + report->waiting) -
                          state.own);
    const double before = Present(state, now) - state.own;
    state.others = before + kOthersWeight * (others - before);
    state.reported_at = now;
  }
  if (result == AttemptResult::kCancelled) {
    return;
  }
  const bool failed = result != AttemptResult::kAnswered;
  const double share = state.error_share * Fading(now - state.judged_at);
  state.error_share = share + kErrorWeight * ((failed ? 1 : 0) - share);
  state.judged_at = now;
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
          now + std::min<Duration>(kFirstAvoidance * (1U << doublings),
                                   kLongestAvoidance);
    }
    return;
  }
  state.failures = 0;
  if (result != AttemptResult::kAnswered) {
    return;
  }
  // What waits at the server is not processing: take its part off.
  const double waiting =
      report && report->slots > 0
          ? static_cast<double>(report->waiting) / report->slots
          : 0;
  const double sample = Seconds(latency).count() / (1 + waiting);
  AddProcessingSample(state, sample, now);
  Sample& unsent = samples_[server];
  ++unsent.requests;
  unsent.total += ToDuration(sample);
}

void ServerLoads::AddProcessingSample(State& state,
                                      double seconds,
                                      TimePoint now) {
  state.processed_at = now;
  state.processing_s =
      state.processing_s == 0
          ? seconds
          : state.processing_s +
                kLatencyWeight * (seconds - state.processing_s);
  usual_s_ =
      usual_s_ == 0 ? seconds : usual_s_ + kUsualWeight * (seconds - usual_s_);
}

void ServerLoads::OnOtherSample(const ServerId& server,
                                std::uint32_t requests,
                                Duration total,
                                TimePoint now) {
  if (requests == 0) {
    return;
  }
  // One sample for the mean: it says less than that many single ones, and
  // moves the estimate a little more than one.
  const double mean = Seconds(total).count() / requests;
  AddProcessingSample(states_[server], mean, now);
}

double ServerLoads::ProcessingSeconds(const State* state, TimePoint now) const {
  const double usual = usual_s_ > 0 ? usual_s_ : kFirstProcessingS;
  if (state == nullptr || state->processing_s == 0) {
    return usual;
  }
  return usual + (state->processing_s - usual) *
                     Fading(now - state->processed_at, kProcessingFading);
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
  const double present = state == nullptr ? 0 : Present(*state, now);
  const double ahead = std::max(0.0, present + 1 - server.slots);
  return ToDuration(processing * (1 + ahead / server.slots));
}

double ServerLoads::Utilization(const routing::BackendServer& server,
                                TimePoint now) const {
  const State* state = Find(server.id);
  return state == nullptr ? 0 : Present(*state, now) / server.slots;
}

double ServerLoads::Present(const State& state, TimePoint now) {
  return state.own + state.others * Fading(now - state.reported_at);
}

double ServerLoads::FailurePenalty(const ServerId& server,
                                   TimePoint now) const {
  const State* state = Find(server);
  return state == nullptr ? 1
                          : 1 + kErrorPenalty * state->error_share *
                                    Fading(now - state->judged_at);
}

Duration ServerLoads::UsualTime() const {
  return ToDuration(ProcessingSeconds(nullptr, {}));
}

bool ServerLoads::IsAvoided(const ServerId& server, TimePoint now) const {
  const State* state = Find(server);
  return state != nullptr && now < state->avoided_until;
}

bool ServerLoads::HasRoom(const routing::BackendServer& server,
                          TimePoint now) const {
  const State* state = Find(server.id);
  return state == nullptr ||
         Present(*state, now) + 1 <= kMostPerSlot * server.slots;
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
