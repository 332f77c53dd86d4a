#include "entry/crash_watch.h"

#include <chrono>
#include <utility>

namespace gentianreach::entry {
namespace {

// Losses without a response after which a request is refused.
constexpr std::uint32_t kLossesToRefuse = 3;
// How long losses are remembered after the latest one.
constexpr Duration kLossLifetime = std::chrono::minutes(2);
// Limit of the fingerprints with a loss count.
constexpr std::size_t kMaxFingerprints = 4096;

}  // namespace

void CrashWatch::OnLost(Fingerprint fingerprint, TimePoint now) {
  unsent_losses_.push_back(fingerprint);
  Count(fingerprint, now);
}

void CrashWatch::OnRemoteLoss(Fingerprint fingerprint, TimePoint now) {
  Count(fingerprint, now);
}

void CrashWatch::Count(Fingerprint fingerprint, TimePoint now) {
  if (loss_counts_.size() >= kMaxFingerprints) {
    std::erase_if(loss_counts_,
                  [&](const auto& it) { return it.second.expires_at <= now; });
  }
  if (loss_counts_.size() >= kMaxFingerprints &&
      !loss_counts_.contains(fingerprint)) {
    loss_counts_.erase(loss_counts_.begin());
  }
  LossCount& it = loss_counts_[fingerprint];
  ++it.count;
  it.expires_at = now + kLossLifetime;
}

void CrashWatch::OnAnswered(Fingerprint fingerprint) {
  loss_counts_.erase(fingerprint);
}

bool CrashWatch::IsRefused(Fingerprint fingerprint, TimePoint now) const {
  const auto it = loss_counts_.find(fingerprint);
  return it != loss_counts_.end() && it->second.count >= kLossesToRefuse &&
         now < it->second.expires_at;
}

std::vector<Fingerprint> CrashWatch::TakeLocalLosses() {
  return std::exchange(unsent_losses_, {});
}

}  // namespace gentianreach::entry
