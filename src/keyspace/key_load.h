// Request rates of the keys of one service.
#ifndef SRC_KEYSPACE_KEY_LOAD_H_
#define SRC_KEYSPACE_KEY_LOAD_H_

#include <cstdint>
#include <vector>

#include "gentianreach/time.h"
#include "keyspace/key_range.h"

namespace gentianreach::keyspace {

// Counts requests per key with exponential decay.
class KeyLoad {
 public:
  KeyLoad() : counts_(kKeyCount, 0.0F) {}

  // Counts one request for `key`.
  void Add(std::uint32_t key) { counts_[key] += 1.0F; }
  // Decays the counts for the time since the last pass. Call it frequently; it
  // limits its own rate.
  void Decay(TimePoint now);

  // Returns the decayed number of requests for the keys of `range`.
  [[nodiscard]] double In(const KeyRange& range) const;
  // Returns the decayed number of requests for `key`.
  [[nodiscard]] double At(std::uint32_t key) const { return counts_[key]; }

 private:
  std::vector<float> counts_;
  TimePoint decayed_at_{};
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_KEY_LOAD_H_
