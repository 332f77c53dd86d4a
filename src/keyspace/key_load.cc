#include "keyspace/key_load.h"

#include <chrono>
#include <cmath>
#include <numeric>

namespace gentianreach::keyspace {
namespace {

// Time constant of the exponential decay. Long enough to collect a few hundred
// requests in the smallest deployments, short enough to follow keys that are
// hot for only several seconds.
constexpr std::chrono::duration<double> kDecayTimeConstant =
    std::chrono::seconds(3);
// Limits the rate of decay passes, since each one updates the counts of all
// keys.
constexpr Duration kMinDecayInterval = std::chrono::milliseconds(500);

}  // namespace

void KeyLoad::Decay(TimePoint now) {
  if (decayed_at_ == TimePoint{}) {
    decayed_at_ = now;
    return;
  }
  if (now < decayed_at_ + kMinDecayInterval) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - decayed_at_;
  const auto factor =
      static_cast<float>(std::exp(-elapsed / kDecayTimeConstant));
  decayed_at_ = now;
  for (float& it : counts_) {
    it *= factor;
  }
}

double KeyLoad::In(const KeyRange& range) const {
  return std::accumulate(counts_.begin() + range.first,
                         counts_.begin() + range.last + 1, 0.0);
}

}  // namespace gentianreach::keyspace
