#include "soak/drain_checker.h"

#include <algorithm>
#include <chrono>

namespace gentianreach::soak {

void DrainChecker::OnDraining(const std::string& incarnation,
                              TimePoint accepted) {
  accepted_.emplace(incarnation, accepted);
}

void DrainChecker::OnRun(const DeliveredRun& run) {
  const auto it = accepted_.find(run.incarnation);
  if (it == accepted_.end() || run.at <= it->second) {
    return;
  }
  ++runs_;
  if (run.at > it->second + kDrainTime) {
    ++late_runs_;
    pending_.emplace(run.at, run);
  }
}

void DrainChecker::Check(TimePoint until) {
  const auto end = pending_.lower_bound(until);
  for (auto it = pending_.begin(); it != end; ++it) {
    const DeliveredRun& run = it->second;
    const TimePoint accepted = accepted_.at(run.incarnation);
    if (IsExcused(run, accepted)) {
      ++excused_runs_;
      continue;
    }
    const auto ms = [](Duration duration) {
      return std::to_string(duration / std::chrono::milliseconds(1));
    };
    violations_.push_back(
        "a request reached a server that has left: " + run.request_id +
        " server=" + run.incarnation +
        " taken_by=" + std::to_string(*run.taken_by) +
        " sent_by=" + std::to_string(*run.sent_by) +
        " draining_accepted_ms=" + ms(accepted.time_since_epoch()) +
        " ran_after_ms=" + ms(run.at - accepted));
  }
  pending_.erase(pending_.begin(), end);
}

std::size_t DrainChecker::DrainsInStableStore() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(accepted_, [this](const auto& it) {
        return !store_.Overlap(0, it.second - kStability,
                               it.second + kDrainTime);
      }));
}

bool DrainChecker::IsExcused(const DeliveredRun& run,
                             TimePoint accepted) const {
  const TimePoint from = run.at - kStability;
  return !run.taken_by || !run.sent_by ||
         store_.Overlap(0, accepted - kStability, accepted) ||
         store_.Overlap(0, from, run.at) ||
         daemons_.Overlap(*run.taken_by, from, run.at) ||
         daemons_.Overlap(*run.sent_by, from, run.at) ||
         servers_.Overlap(run.server, from, run.at);
}

}  // namespace gentianreach::soak
