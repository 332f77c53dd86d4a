#include "entry/crash_watch.h"

#include <chrono>
#include <utility>

namespace gentianreach::entry {
namespace {

// Losses without an answer after which a request is refused.
constexpr std::uint32_t kStrikes = 3;
// How long a loss counts.
constexpr Duration kMemory = std::chrono::minutes(2);
// Fingerprints kept.
constexpr std::size_t kCapacity = 4096;

}  // namespace

void CrashWatch::OnLost(Fingerprint fingerprint, TimePoint now) {
  losses_.push_back(fingerprint);
  Count(fingerprint, now);
}

void CrashWatch::OnLostElsewhere(Fingerprint fingerprint, TimePoint now) {
  Count(fingerprint, now);
}

void CrashWatch::Count(Fingerprint fingerprint, TimePoint now) {
  if (strikes_.size() >= kCapacity) {
    std::erase_if(strikes_,
                  [&](const auto& it) { return it.second.expires_at <= now; });
  }
  if (strikes_.size() >= kCapacity && !strikes_.contains(fingerprint)) {
    strikes_.erase(strikes_.begin());
  }
  Strikes& it = strikes_[fingerprint];
  ++it.count;
  it.expires_at = now + kMemory;
}

void CrashWatch::OnAnswered(Fingerprint fingerprint) {
  strikes_.erase(fingerprint);
}

bool CrashWatch::IsRefused(Fingerprint fingerprint, TimePoint now) const {
  const auto it = strikes_.find(fingerprint);
  return it != strikes_.end() && it->second.count >= kStrikes &&
         now < it->second.expires_at;
}

std::vector<Fingerprint> CrashWatch::TakeLosses() {
  return std::exchange(losses_, {});
}

}  // namespace gentianreach::entry
