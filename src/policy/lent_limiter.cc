#include "policy/lent_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace gentianreach {
namespace {

// Time over which the demand is smoothed.
constexpr Duration kDemandTime = std::chrono::milliseconds(500);
constexpr int kLatencyWeight = 8;
// Least window that is lent, so that each daemon can try.
constexpr double kLeastGrant = 0.1;

}  // namespace

void LeasedSlotLimiter::OnSent(TimePoint now) {
  TrackDemand(now);
  pace_.OnSent(latency_, now);
}

void LeasedSlotLimiter::OnEnd(AttemptEnd end, Duration latency, TimePoint now) {
  TrackDemand(now);
  pace_.OnEnd();
  if (end == AttemptEnd::kShed)
    pace_.HoldUntil(now + latency_);
  if (end != AttemptEnd::kAnswered)
    return;
  latency_ += (latency - latency_) / kLatencyWeight;
}

void LeasedSlotLimiter::OnGrant(const SlotGrant& grant, TimePoint now) {
  pace_.set_window(grant.window);
  valid_until_ = now + grant.valid;
}

std::optional<SlotRequest> LeasedSlotLimiter::TakeRequest(TimePoint now) {
  TrackDemand(now);
  if (now >= valid_until_)
    pace_.set_window(options_.floor);
  if (now < next_request_)
    return std::nullopt;
  next_request_ = now + options_.interval;
  return SlotRequest{demand_};
}

void LeasedSlotLimiter::TrackDemand(TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - demand_at_) /
                         std::chrono::duration<double>(kDemandTime);
  const double present = pace_.in_flight() + static_cast<double>(queued_);
  demand_ += (1 - std::exp(-elapsed)) * (present - demand_);
  demand_at_ = now;
}

SlotGrant SlotHome::OnRequest(const DaemonId& daemon,
                              const SlotRequest& request,
                              TimePoint now) {
  demands_[daemon] = Demand{request.demand, now + options_.valid};
  std::erase_if(demands_,
                [now](const auto& it) { return it.second.expires_at <= now; });
  return SlotGrant{ShareOf(daemon), options_.valid};
}

double SlotHome::ShareOf(const DaemonId& daemon) const {
  std::vector<std::pair<double, DaemonId>> asked;
  for (const auto& [id, demand] : demands_)
    asked.emplace_back(demand.slots, id);
  std::sort(asked.begin(), asked.end());
  double left = options_.slots * options_.over_commitment;
  double own = 0;
  std::size_t takers = asked.size();
  for (const auto& [slots, id] : asked) {
    const double share = std::min(slots, left / static_cast<double>(takers));
    if (id == daemon)
      own = share;
    left -= share;
    --takers;
  }
  return std::max(kLeastGrant, own + left / static_cast<double>(asked.size()));
}

}  // namespace gentianreach
