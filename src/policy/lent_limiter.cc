#include "policy/lent_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace gentianreach {
namespace {

// Time constant of the exponential smoothing of the demand.
constexpr Duration kDemandTimeConstant = std::chrono::milliseconds(500);
constexpr int kLatencySmoothing = 8;
// Minimum window granted, so that every daemon can send some requests.
constexpr double kMinGrant = 0.1;

}  // namespace

void LeasedSlotLimiter::OnSent(TimePoint now) {
  TrackDemand(now);
  paced_window_.OnSent(latency_, now);
}

void LeasedSlotLimiter::OnEnd(AttemptEnd end, Duration latency, TimePoint now) {
  TrackDemand(now);
  paced_window_.OnEnd();
  if (end == AttemptEnd::kShed)
    paced_window_.PauseUntil(now + latency_);
  if (end != AttemptEnd::kAnswered)
    return;
  latency_ += (latency - latency_) / kLatencySmoothing;
}

void LeasedSlotLimiter::OnGrant(const SlotGrant& grant, TimePoint now) {
  paced_window_.set_window(grant.window);
  valid_until_ = now + grant.valid;
}

std::optional<SlotRequest> LeasedSlotLimiter::TakeRequest(TimePoint now) {
  TrackDemand(now);
  if (now >= valid_until_)
    paced_window_.set_window(options_.fallback_window);
  if (now < next_request_)
    return std::nullopt;
  next_request_ = now + options_.interval;
  return SlotRequest{demand_};
}

void LeasedSlotLimiter::TrackDemand(TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - demand_at_) /
                         std::chrono::duration<double>(kDemandTimeConstant);
  const double current =
      paced_window_.in_flight() + static_cast<double>(queued_);
  demand_ += (1 - std::exp(-elapsed)) * (current - demand_);
  demand_at_ = now;
}

SlotGrant SlotAllocator::OnRequest(const DaemonId& daemon,
                                   const SlotRequest& request,
                                   TimePoint now) {
  demands_[daemon] = Demand{request.demand, now + options_.valid};
  std::erase_if(demands_,
                [now](const auto& it) { return it.second.expires_at <= now; });
  return SlotGrant{ShareOf(daemon), options_.valid};
}

double SlotAllocator::ShareOf(const DaemonId& daemon) const {
  std::vector<std::pair<double, DaemonId>> demands;
  for (const auto& [id, demand] : demands_)
    demands.emplace_back(demand.slots, id);
  std::sort(demands.begin(), demands.end());
  double left = options_.slots * options_.over_commitment;
  double own = 0;
  std::size_t remaining = demands.size();
  for (const auto& [slots, id] : demands) {
    const double share = std::min(slots, left / static_cast<double>(remaining));
    if (id == daemon)
      own = share;
    left -= share;
    --remaining;
  }
  return std::max(kMinGrant, own + left / static_cast<double>(demands.size()));
}

}  // namespace gentianreach
