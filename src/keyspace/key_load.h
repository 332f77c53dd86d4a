// How much each key of a service is asked for.
#ifndef SRC_KEYSPACE_KEY_LOAD_H_
#define SRC_KEYSPACE_KEY_LOAD_H_

#include <cstdint>
#include <vector>

#include "gentianreach/time.h"
#include "keyspace/key_range.h"

namespace gentianreach::keyspace {

// Counts requests by key and forgets them exponentially.
class KeyLoad {
 public:
  KeyLoad() : counts_(kKeyCount, 0.0F) {}

  // Counts one request for `key`.
  void Add(std::uint32_t key) { counts_[key] += 1.0F; }
  // Forgets what has grown old; call it often.
  void Decay(TimePoint now);

  // Returns the weight of the requests for the keys of `range`.
  [[nodiscard]] double In(const KeyRange& range) const;
  [[nodiscard]] double At(std::uint32_t key) const { return counts_[key]; }

 private:
  std::vector<float> counts_;
  TimePoint decayed_at_{};
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_KEY_LOAD_H_
