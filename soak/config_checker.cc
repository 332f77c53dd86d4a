#include "soak/config_checker.h"

#include <algorithm>
#include <chrono>

namespace gentianreach::soak {
namespace {

constexpr int kNotFound = 404;

bool IsSuccess(int status) {
  return status / 100 == 2;
}

}  // namespace

void ConfigChecker::OnWritten(std::uint64_t version, TimePoint at) {
  versions_[version].written = at;
}

void ConfigChecker::OnAccepted(std::uint64_t version, TimePoint at) {
  versions_[version].accepted = at;
}

void ConfigChecker::OnAnswer(const ConfigAnswer& answer) {
  CountShare(answer);
  if (answer.version == 0) {
    return;
  }
  if (IsSuccess(answer.status)) {
    CheckRouted(answer);
  } else if (answer.status == kNotFound) {
    CheckDenied(answer);
  } else {
    return;
  }
  ++answers_;
  if (IsInTouch(answer)) {
    ++answers_in_touch_;
  } else if (RequiredVersion(answer) > 0) {
    ++answers_stretched_;
  }
}

void ConfigChecker::CheckRouted(const ConfigAnswer& answer) {
  if (invalid_.contains(answer.version)) {
    Report(answer, "an invalid configuration is in force");
    return;
  }
  const std::uint64_t required = RequiredVersion(answer);
  if (answer.version < required) {
    Report(answer, "a route that version " + std::to_string(required) +
                       " removed is still served");
  }
  SeenVersion& seen = seen_[answer.daemon];
  if (answer.version < seen.version && answer.sent > seen.at + kDowngradeTime) {
    Report(answer,
           "a daemon went back from version " + std::to_string(seen.version));
  }
  if (answer.version > seen.version) {
    seen = {answer.version, answer.received};
  }
}

void ConfigChecker::CheckDenied(const ConfigAnswer& answer) {
  if (invalid_.contains(answer.version) ||
      HasLater(answer.version, answer.received)) {
    return;
  }
  if (RequiredVersion(answer) == answer.version) {
    Report(answer, "an added route is not in force in time");
  }
  const auto it = seen_.find(answer.daemon);
  if (it != seen_.end() && it->second.version == answer.version &&
      answer.sent > it->second.at + kDowngradeTime) {
    Report(answer, "a daemon went back from the latest version");
  }
}

void ConfigChecker::CountShare(const ConfigAnswer& answer) {
  const bool comparable =
      answer.version == 0 ||
      (InForceAt(answer.sent, kApplyTime) == answer.version &&
       !HasLater(answer.version, answer.received));
  if (!comparable || !IsInTouch(answer)) {
    return;
  }
  Share& share = answer.version == 0 ? first_routes_ : added_routes_;
  ++share.requests;
  share.served += IsSuccess(answer.status) ? 1 : 0;
}

void ConfigChecker::CheckShares() {
  if (added_routes_.requests < kJudgedRequests || first_routes_.requests == 0) {
    return;
  }
  const auto share = [](const Share& it) {
    return static_cast<double>(it.served) / static_cast<double>(it.requests);
  };
  if (share(added_routes_) < kLeastPart * share(first_routes_)) {
    violations_.push_back(
        "added routes are served less often than the first ones: " +
        std::to_string(added_routes_.served) + " of " +
        std::to_string(added_routes_.requests) + " requests, and " +
        std::to_string(first_routes_.served) + " of " +
        std::to_string(first_routes_.requests));
  }
}

bool ConfigChecker::IsCalm(const ConfigAnswer& answer) const {
  return !disturbances_.Overlap(answer.daemon, answer.sent - kStability,
                                answer.received);
}

bool ConfigChecker::IsInTouch(const ConfigAnswer& answer) const {
  return IsCalm(answer) &&
         !store_.Overlap(0, answer.sent - kStability, answer.received);
}

std::uint64_t ConfigChecker::RequiredVersion(const ConfigAnswer& answer) const {
  if (IsInTouch(answer)) {
    return InForceAt(answer.sent, kApplyTime);
  }
  if (!IsCalm(answer)) {
    return 0;
  }
  const std::uint64_t version = InForceAt(answer.sent, kApplyTime + kStretch);
  if (version == 0) {
    return 0;
  }
  const TimePoint accepted = *versions_.at(version).accepted;
  return store_outages_.Overlap(0, accepted - kStability, answer.received)
             ? 0
             : version;
}

std::uint64_t ConfigChecker::InForceAt(TimePoint at, Duration bound) const {
  std::uint64_t latest = 0;
  for (const auto& [version, it] : versions_) {
    if (it.accepted && *it.accepted + bound < at &&
        !invalid_.contains(version)) {
      latest = version;
    }
  }
  return latest;
}

bool ConfigChecker::HasLater(std::uint64_t version, TimePoint at) const {
  return std::any_of(
      versions_.upper_bound(version), versions_.end(), [&](const auto& it) {
        return it.second.written <= at && !invalid_.contains(it.first);
      });
}

void ConfigChecker::Report(const ConfigAnswer& answer,
                           const std::string& what) {
  const auto ms = [](Duration it) {
    return std::to_string(it / std::chrono::milliseconds(1));
  };
  std::string text = what + ": daemon=" + std::to_string(answer.daemon) +
                     " version=" + std::to_string(answer.version) +
                     " status=" + std::to_string(answer.status) +
                     " sent_ms=" + ms(answer.sent.time_since_epoch()) +
                     " answered_after_ms=" + ms(answer.received - answer.sent);
  const auto it = versions_.find(answer.version);
  if (it != versions_.end() && it->second.accepted) {
    text += " accepted_ms=" + ms(it->second.accepted->time_since_epoch());
  }
  violations_.push_back(std::move(text));
}

}  // namespace gentianreach::soak
