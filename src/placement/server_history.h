// Records when servers appear, return and drain, to handle warm-up, flapping
// and the order of draining.
#ifndef SRC_PLACEMENT_SERVER_HISTORY_H_
#define SRC_PLACEMENT_SERVER_HISTORY_H_

#include <cstdint>
#include <map>
#include <span>

#include "gentianreach/ids.h"
#include "gentianreach/placement.h"
#include "gentianreach/time.h"

namespace gentianreach::internal {

// The history of servers as seen in successive snapshots.
//
// A server that returns again within kRetention of its last return is flapping:
// it receives no ranges until a wait has passed. The wait doubles with each
// further return, up to kMaxReturns.
class ServerHistory {
 public:
  // Records the servers of a snapshot.
  void Update(std::span<const PlacementServer> servers, TimePoint now);

  // Returns whether the server is not flapping and may receive ranges.
  [[nodiscard]] bool IsStable(const ServerId& server, TimePoint now) const;
  // Returns when the server was first seen draining, or `max()` if it is not.
  [[nodiscard]] TimePoint DrainingSince(const ServerId& server) const;
  // Returns the share of its capacity to which a server may be loaded while it
  // warms up, in [kMinWarmUpShare, 1].
  [[nodiscard]] static double WarmUpShare(const PlacementServer& server,
                                          Duration warm_up,
                                          TimePoint now);

  // Time without a further return after which the returns are reset; also how
  // long the record of an absent server is kept.
  static constexpr Duration kRetention = std::chrono::minutes(10);
  // Wait after the second return.
  static constexpr Duration kInitialWait = std::chrono::seconds(30);
  // Number of returns after which the wait no longer grows.
  static constexpr std::uint32_t kMaxReturns = 6;
  // Share of its capacity with which a cold server begins.
  static constexpr double kMinWarmUpShare = 0.1;

 private:
  struct Record {
    bool live = false;
    bool seen = false;  // In the latest snapshot.
    TimePoint first_seen;
    std::uint32_t returns = 0;
    TimePoint stable_at;          // From then on the server may receive ranges.
    TimePoint returns_expire_at;  // `returns` is reset unless another follows.
    TimePoint record_expires_at;  // If the server stays absent.
    TimePoint draining_since = TimePoint::max();
  };

  static void RecordReturn(Record& record, TimePoint now);

  std::map<ServerId, Record> records_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_SERVER_HISTORY_H_
