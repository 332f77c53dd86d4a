#include "entry/crash_watch.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <xxhash.h>

namespace gentianreach::entry {
namespace {

// Losses without a response after which a request is refused.
constexpr std::uint32_t kLossesToRefuse = 3;
// How long losses are remembered after the latest one.
constexpr Duration kLossLifetime = std::chrono::minutes(2);
// A refusal that ends sooner is not passed on. Longer than a datagram is on its
// way.
constexpr Duration kMinSharedTime = std::chrono::seconds(10);
// Limit of the fingerprints with a loss count, and of those refused.
constexpr std::size_t kMaxFingerprints = 4096;

}  // namespace

void CrashWatch::OnLost(Fingerprint fingerprint, TimePoint now) {
  unsent_losses_.push_back(fingerprint);
  Count(fingerprint, now);
}

void CrashWatch::OnRemoteLoss(Fingerprint fingerprint, TimePoint now) {
  Count(fingerprint, now);
}

std::size_t CrashWatch::OnRemoteRefusals(
    const std::vector<RefusedRequest>& requests,
    TimePoint now) {
  std::size_t refused = 0;
  for (const RefusedRequest& it : requests) {
    const TimePoint expires_at = it.lost_at + kLossLifetime;
    const auto known = refusals_.find(it.fingerprint);
    const bool is_known =
        known != refusals_.end() && now < known->second.expires_at;
    if (now >= expires_at || is_known) {
      continue;
    }
    LossCount& count = CountOf(it.fingerprint, now);
    count.losses = std::max(count.losses, kLossesToRefuse);
    count.expires_at = std::max(count.expires_at, expires_at);
    Refuse(it.fingerprint, count.expires_at, now);
    ++refused;
  }
  return refused;
}

CrashWatch::LossCount& CrashWatch::CountOf(Fingerprint fingerprint,
                                           TimePoint now) {
  if (loss_counts_.size() >= kMaxFingerprints) {
    std::erase_if(loss_counts_,
                  [&](const auto& it) { return it.second.expires_at <= now; });
  }
  if (loss_counts_.size() >= kMaxFingerprints &&
      !loss_counts_.contains(fingerprint)) {
    loss_counts_.erase(loss_counts_.begin());
  }
  return loss_counts_[fingerprint];
}

void CrashWatch::Count(Fingerprint fingerprint, TimePoint now) {
  LossCount& it = CountOf(fingerprint, now);
  ++it.losses;
  it.expires_at = now + kLossLifetime;
  if (it.losses >= kLossesToRefuse) {
    Refuse(fingerprint, it.expires_at, now);
  }
}

void CrashWatch::Refuse(Fingerprint fingerprint,
                        TimePoint expires_at,
                        TimePoint now) {
  std::erase_if(refusals_,
                [&](const auto& it) { return it.second.expires_at <= now; });
  if (refusals_.size() >= kMaxFingerprints) {
    refusals_.erase(refusals_.begin());
  }
  refusals_[fingerprint] = {expires_at};
}

void CrashWatch::OnAnswered(Fingerprint fingerprint) {
  loss_counts_.erase(fingerprint);
  const auto it = refusals_.find(fingerprint);
  if (it != refusals_.end()) {
    it->second.lifted = true;
  }
}

bool CrashWatch::IsRefused(Fingerprint fingerprint, TimePoint now) const {
  const auto it = refusals_.find(fingerprint);
  return it != refusals_.end() && !it->second.lifted &&
         now < it->second.expires_at;
}

std::vector<Fingerprint> CrashWatch::TakeLocalLosses() {
  return std::exchange(unsent_losses_, {});
}

std::vector<RefusedRequest> CrashWatch::Refused(TimePoint now) const {
  std::vector<RefusedRequest> refused;
  for (const auto& [fingerprint, it] : refusals_) {
    if (it.lifted || it.expires_at < now + kMinSharedTime) {
      continue;
    }
    refused.push_back({fingerprint, it.expires_at - kLossLifetime});
  }
  std::ranges::sort(refused, std::ranges::greater(), &RefusedRequest::lost_at);
  if (refused.size() > kMaxSharedRefusals) {
    refused.resize(kMaxSharedRefusals);
  }
  return refused;
}

std::vector<RefusedRequest> CrashWatch::RefusedUnknownTo(std::uint64_t digest,
                                                         TimePoint now) const {
  return digest == RefusalDigest(now) ? std::vector<RefusedRequest>()
                                      : Refused(now);
}

std::uint64_t CrashWatch::RefusalDigest(TimePoint now) const {
  std::uint64_t digest = 0;
  for (const auto& [fingerprint, it] : refusals_) {
    if (it.expires_at >= now + kMinSharedTime) {
      digest += XXH3_64bits(&fingerprint.value, sizeof fingerprint.value);
    }
  }
  return digest;
}

}  // namespace gentianreach::entry
