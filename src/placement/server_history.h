// Remembers when servers came and went: warm-up, flapping, order of draining.
#ifndef SRC_PLACEMENT_SERVER_HISTORY_H_
#define SRC_PLACEMENT_SERVER_HISTORY_H_

#include <cstdint>
#include <map>
#include <span>

#include "gentianreach/ids.h"
#include "gentianreach/placement.h"
#include "gentianreach/time.h"

namespace gentianreach::internal {

// The comings and goings of servers, as seen in one snapshot after another.
//
// A server that returns twice within kMemory flaps: it receives nothing until
// it has stayed for a while, which doubles with each further return.
class ServerHistory {
 public:
  // Takes in the servers of a snapshot.
  void Update(std::span<const PlacementServer> servers, TimePoint now);

  // Returns whether the server has stayed long enough since it flapped.
  [[nodiscard]] bool Stable(const ServerId& server, TimePoint now) const;
  // Returns when the server was first seen draining; `max()` where it is not.
  [[nodiscard]] TimePoint DrainingSince(const ServerId& server) const;
  // Returns the share of its capacity that a server may be given while it
  // warms up, in [kLeastShare, 1].
  [[nodiscard]] static double WarmShare(const PlacementServer& server,
                                        Duration warm_up,
                                        TimePoint now);

  // Time after which a return is forgotten.
  static constexpr Duration kMemory = std::chrono::minutes(10);
  // Wait after the second return.
  static constexpr Duration kFirstWait = std::chrono::seconds(30);
  // Returns after which the wait grows no more.
  static constexpr std::uint32_t kGreatestReturns = 6;
  // Share of its capacity that a cold server begins with.
  static constexpr double kLeastShare = 0.1;

 private:
  struct Record {
    bool live = false;
    bool seen = false;  // In the latest snapshot.
    TimePoint first_seen;
    std::uint32_t returns = 0;
    TimePoint stable;      // The server may receive from here on.
    TimePoint forget;      // The returns, if none follows.
    TimePoint kept_until;  // The record, if the server stays away.
    TimePoint draining_since = TimePoint::max();
  };

  static void NoteReturn(Record& record, TimePoint now);

  std::map<ServerId, Record> records_;
};

}  // namespace gentianreach::internal

#endif  // SRC_PLACEMENT_SERVER_HISTORY_H_
