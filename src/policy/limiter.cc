#include "policy/limiter.h"

#include <algorithm>

namespace gentianreach {
namespace {

// Each daemon may always have one request at the server.
constexpr double kLeastWindow = 1;
// Pause after a shed, in terms of the latency: the time in which the server's
// queue has moved on.
constexpr double kShedPause = 2;
constexpr double kShedFactor = 0.8;
constexpr double kSlowFactor = 0.95;
// Growth per answer, after a shed and otherwise.
constexpr double kCarefulGrowth = 0.01;
constexpr double kGrowth = 0.1;
constexpr Duration kCarefulTime = std::chrono::seconds(1);
// Latency in terms of the lowest one from which on a long queue stands at the
// server.
constexpr double kSlowRatio = 5;
constexpr double kLatencyWeight = 0.1;
constexpr double kSteadyWeight = 0.02;
// Growth of the lowest latency with each answer, so that it forgets.
constexpr double kBaseDrift = 1.0001;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

bool PacedWindow::MaySend(TimePoint now) const {
  if (now < held_until_)
    return false;
  return in_flight_ == 0 || in_flight_ + 1 <= window_;
}

std::optional<TimePoint> PacedWindow::NextSend(TimePoint now) const {
  if (now >= held_until_)
    return std::nullopt;
  if (in_flight_ > 0 && in_flight_ + 1 > window_)
    return std::nullopt;
  return held_until_;
}

void PacedWindow::OnSent(Duration latency, TimePoint now) {
  ++in_flight_;
  if (window_ < 1)
    HoldUntil(now + FromSeconds(ToSeconds(latency) / window_));
}

void PacedWindow::OnEnd() {
  GENTIANREACH_CHECK(in_flight_ > 0);
  --in_flight_;
}

void PacedWindow::HoldUntil(TimePoint until) {
  held_until_ = std::max(held_until_, until);
}

ReactiveLimiter::ReactiveLimiter(ReactiveLimiterOptions options)
    : pace_(1),
      max_window_(std::max(
          1.0,
          static_cast<double>(options.connections) / options.daemons)) {}

void ReactiveLimiter::OnSent(TimePoint now) {
  pace_.OnSent(FromSeconds(latency_s_), now);
}

void ReactiveLimiter::OnEnd(AttemptEnd end, Duration latency, TimePoint now) {
  const bool was_full = pace_.IsFull();
  pace_.OnEnd();
  if (end == AttemptEnd::kShed) {
    careful_until_ = now + kCarefulTime;
    pace_.HoldUntil(now + FromSeconds(kShedPause * latency_s_));
    return Shrink(kShedFactor, now);
  }
  if (end != AttemptEnd::kAnswered)
    return;
  TrackLatency(latency);
  if (latency_s_ > kSlowRatio * base_s_)
    return Shrink(kSlowFactor, now);
  if (was_full)
    Grow(now);
}

void ReactiveLimiter::Grow(TimePoint now) {
  const double growth = now < careful_until_ ? kCarefulGrowth : kGrowth;
  pace_.set_window(std::min(max_window_, pace_.window() + growth));
}

// Shrinks at most once per latency: what was in flight at the same time tells
// of the same congestion.
void ReactiveLimiter::Shrink(double factor, TimePoint now) {
  if (now < next_shrink_)
    return;
  pace_.set_window(std::max(kLeastWindow, pace_.window() * factor));
  next_shrink_ = now + FromSeconds(latency_s_);
}

void ReactiveLimiter::TrackLatency(Duration latency) {
  const double seconds = ToSeconds(latency);
  ++responses_;
  // The first answers weigh as in a plain mean.
  const double first = 1.0 / static_cast<double>(responses_);
  latency_s_ += std::max(kLatencyWeight, first) * (seconds - latency_s_);
  steady_s_ += std::max(kSteadyWeight, first) * (seconds - steady_s_);
  base_s_ =
      responses_ == 1 ? steady_s_ : std::min(base_s_ * kBaseDrift, steady_s_);
}

}  // namespace gentianreach
