#include "keyspace/key_load.h"

#include <chrono>
#include <cmath>
#include <numeric>

namespace gentianreach::keyspace {
namespace {

// Time in which a count falls to 1/e: long enough for a few hundred samples at
// the smallest deployments, short enough to follow keys that turn hot for
// several seconds.
constexpr std::chrono::duration<double> kMemory = std::chrono::seconds(3);
// Counts are decayed at most this often, since all keys are touched.
constexpr Duration kDecayPeriod = std::chrono::milliseconds(500);

}  // namespace

void KeyLoad::Decay(TimePoint now) {
  if (decayed_at_ == TimePoint{}) {
    decayed_at_ = now;
    return;
  }
  if (now < decayed_at_ + kDecayPeriod) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - decayed_at_;
  const auto factor = static_cast<float>(std::exp(-elapsed / kMemory));
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
