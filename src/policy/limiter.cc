#include "policy/limiter.h"

#include <algorithm>

namespace gentianreach {
namespace {

// Every daemon may always have one request in flight at the server.
constexpr double kMinWindow = 1;
// Pause after a shed as a multiple of the latency, which gives the server time
// to work off part of its queue.
constexpr double kShedPause = 2;
constexpr double kShedShrinkFactor = 0.8;
constexpr double kHighLatencyShrinkFactor = 0.95;
// Window growth per response, shortly after a shed and otherwise.
constexpr double kGrowthAfterShed = 0.01;
constexpr double kGrowth = 0.1;
constexpr Duration kSlowGrowthTime = std::chrono::seconds(1);
// A latency above this multiple of the minimum latency indicates a long queue
// at the server.
constexpr double kHighLatencyRatio = 5;
constexpr double kShortTermWeight = 0.1;
constexpr double kLongTermWeight = 0.02;
// Factor by which the minimum latency rises with each response, so that old
// minima expire.
constexpr double kMinLatencyGrowth = 1.0001;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

bool PacedWindow::MaySend(TimePoint now) const {
  if (now < paused_until_)
    return false;
  return in_flight_ == 0 || in_flight_ + 1 <= window_;
}

std::optional<TimePoint> PacedWindow::NextSend(TimePoint now) const {
  if (now >= paused_until_)
    return std::nullopt;
  if (in_flight_ > 0 && in_flight_ + 1 > window_)
    return std::nullopt;
  return paused_until_;
}

void PacedWindow::OnSent(Duration latency, TimePoint now) {
  ++in_flight_;
  if (window_ < 1)
    PauseUntil(now + FromSeconds(ToSeconds(latency) / window_));
}

void PacedWindow::OnEnd() {
  GENTIANREACH_CHECK(in_flight_ > 0);
  --in_flight_;
}

void PacedWindow::PauseUntil(TimePoint until) {
  paused_until_ = std::max(paused_until_, until);
}

ReactiveLimiter::ReactiveLimiter(ReactiveLimiterOptions options)
    : paced_window_(1),
      max_window_(std::max(
          1.0,
          static_cast<double>(options.connections) / options.daemons)) {}

void ReactiveLimiter::OnSent(TimePoint now) {
  paced_window_.OnSent(FromSeconds(latency_s_), now);
}

void ReactiveLimiter::OnEnd(AttemptEnd end, Duration latency, TimePoint now) {
  const bool was_full = paced_window_.IsFull();
  paced_window_.OnEnd();
  if (end == AttemptEnd::kShed) {
    slow_growth_until_ = now + kSlowGrowthTime;
    paced_window_.PauseUntil(now + FromSeconds(kShedPause * latency_s_));
    return Shrink(kShedShrinkFactor, now);
  }
  if (end != AttemptEnd::kAnswered)
    return;
  TrackLatency(latency);
  if (latency_s_ > kHighLatencyRatio * min_latency_s_)
    return Shrink(kHighLatencyShrinkFactor, now);
  if (was_full)
    Grow(now);
}

void ReactiveLimiter::Grow(TimePoint now) {
  const double growth = now < slow_growth_until_ ? kGrowthAfterShed : kGrowth;
  paced_window_.set_window(
      std::min(max_window_, paced_window_.window() + growth));
}

// Shrinks at most once per latency period, because requests that were in flight
// at the same time report the same congestion.
void ReactiveLimiter::Shrink(double factor, TimePoint now) {
  if (now < next_shrink_)
    return;
  paced_window_.set_window(
      std::max(kMinWindow, paced_window_.window() * factor));
  next_shrink_ = now + FromSeconds(latency_s_);
}

void ReactiveLimiter::TrackLatency(Duration latency) {
  const double seconds = ToSeconds(latency);
  ++responses_;
  // The first responses are averaged with equal weights.
  const double equal_weight = 1.0 / static_cast<double>(responses_);
  latency_s_ +=
      std::max(kShortTermWeight, equal_weight) * (seconds - latency_s_);
  long_term_latency_s_ += std::max(kLongTermWeight, equal_weight) *
                          (seconds - long_term_latency_s_);
  min_latency_s_ =
      responses_ == 1
          ? long_term_latency_s_
          : std::min(min_latency_s_ * kMinLatencyGrowth, long_term_latency_s_);
}

}  // namespace gentianreach
