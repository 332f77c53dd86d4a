#include "policy/limiter.h"

#include <algorithm>

namespace gentianreach {
namespace {

// Window below which a daemon does not fall: one request in twenty service
// times.
constexpr double kLeastWindow = 0.05;
constexpr double kShedFactor = 0.7;
constexpr double kSlowFactor = 0.95;
// Latency in terms of the lowest one at which the server is held to queue.
constexpr double kSlowRatio = 3;
constexpr double kLatencyWeight = 0.1;
// Growth of the lowest latency with each answer, so that it forgets.
constexpr double kBaseDrift = 1.001;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

ReactiveLimiter::ReactiveLimiter(ReactiveLimiterOptions options)
    : options_(options),
      window_(1),
      max_window_(std::max(
          1.0,
          static_cast<double>(options.connections) / options.daemons)) {}

bool ReactiveLimiter::MaySend(TimePoint now) const {
  if (in_flight_ == 0)
    return window_ >= 1 || now >= next_send_;
  return in_flight_ + 1 <= window_;
}

std::optional<TimePoint> ReactiveLimiter::NextSend(TimePoint now) const {
  if (in_flight_ > 0 || window_ >= 1 || now >= next_send_)
    return std::nullopt;
  return next_send_;
}

void ReactiveLimiter::OnSent(TimePoint now) {
  ++in_flight_;
  next_send_ = now + FromSeconds(latency_s_ / window_);
}

void ReactiveLimiter::OnEnd(AttemptEnd end, Duration latency, TimePoint now) {
  const bool window_used = in_flight_ + 1 > window_;
  --in_flight_;
  if (end == AttemptEnd::kShed)
    return Shrink(kShedFactor, now);
  if (end != AttemptEnd::kAnswered)
    return;
  TrackLatency(latency);
  if (latency_s_ > kSlowRatio * base_latency_s_)
    return Shrink(kSlowFactor, now);
  if (window_used)
    Grow();
}

void ReactiveLimiter::Grow() {
  window_ = std::min(max_window_, window_ + 0.1 / std::max(window_, 1.0));
}

// Shrinks at most once per latency: what was in flight at the same time tells
// of the same congestion.
void ReactiveLimiter::Shrink(double factor, TimePoint now) {
  if (now < next_shrink_)
    return;
  window_ = std::max(kLeastWindow, window_ * factor);
  next_shrink_ = now + FromSeconds(latency_s_);
}

void ReactiveLimiter::TrackLatency(Duration latency) {
  const double seconds = ToSeconds(latency);
  if (latency_s_ == 0) {
    latency_s_ = seconds;
    base_latency_s_ = seconds;
    return;
  }
  latency_s_ += kLatencyWeight * (seconds - latency_s_);
  base_latency_s_ = std::min(base_latency_s_ * kBaseDrift, latency_s_);
}

}  // namespace gentianreach
