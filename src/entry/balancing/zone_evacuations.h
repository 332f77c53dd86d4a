// The availability zones that operators evacuate, and until when requests may
// still be sent there.
#ifndef SRC_ENTRY_BALANCING_ZONE_EVACUATIONS_H_
#define SRC_ENTRY_BALANCING_ZONE_EVACUATIONS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// One evacuation time after the store has acknowledged an evacuation, no
// request may reach a server of the zone any more. A daemon knows only that the
// store has acknowledged it after the time up to which its copy was complete
// before, so it counts from there: it may stop too early, never too late.
//
// A server without a zone is never evacuated.
class ZoneEvacuations {
 public:
  // `evacuation_time` is 0 if there are no evacuations.
  explicit ZoneEvacuations(Duration evacuation_time)
      : evacuation_time_(evacuation_time) {}

  // Returns whether evacuations are read.
  [[nodiscard]] bool enabled() const { return evacuation_time_ > Duration(0); }

  // The store has an evacuation of `zone`. The copy before was complete up to
  // `current_at`; TimePoint{}: unknown, so the request may be old. If the zone
  // is evacuated already, the earlier time holds. Returns whether that is news.
  bool Put(const ZoneName& zone, TimePoint current_at);
  // The store no longer has an evacuation of `zone`. Returns whether that is
  // news.
  bool Remove(const ZoneName& zone, TimePoint now);
  [[nodiscard]] bool IsEvacuated(const ZoneName& zone) const {
    return evacuated_.contains(zone);
  }
  // Returns until when an owner of keys in the zone may still be sent requests;
  // max() if the zone is not evacuated. Leaves time for the request on its way.
  [[nodiscard]] TimePoint SendUntil(const ZoneName& zone) const;
  // Returns by when the keys owned in the zone are to have moved: half of the
  // time, so that lost orders can be repeated. max() if the zone is not
  // evacuated.
  [[nodiscard]] TimePoint MoveUntil(const ZoneName& zone) const;
  // Returns when the evacuation of the zone last ended; TimePoint{}: never.
  [[nodiscard]] TimePoint ended_at(const ZoneName& zone) const;

  // Returns the evacuated zones.
  [[nodiscard]] std::vector<ZoneName> Zones() const;
  // Returns a number that grows with each change.
  [[nodiscard]] std::uint64_t changes() const { return changes_; }

 private:
  // Returns `share` after the earliest time at which the evacuation of `zone`
  // may have been acknowledged.
  [[nodiscard]] TimePoint After(const ZoneName& zone, Duration share) const;

  const Duration evacuation_time_;
  // The earliest time at which the store may have acknowledged the evacuation,
  // by zone; TimePoint{}: unknown.
  std::map<ZoneName, TimePoint> evacuated_;
  std::map<ZoneName, TimePoint> ended_;
  std::uint64_t changes_ = 0;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_ZONE_EVACUATIONS_H_
