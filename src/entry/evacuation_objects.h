// Applies the store's evacuations of zones, and logs what changes.
#ifndef SRC_ENTRY_EVACUATION_OBJECTS_H_
#define SRC_ENTRY_EVACUATION_OBJECTS_H_

#include <cstddef>
#include <set>
#include <string_view>
#include <vector>

#include "entry/entry_state.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

// An object with the name of a zone evacuates that zone for as long as it
// exists, whatever its content.
//
// In both calls, the copy before was complete up to `current_at`, and `source`
// is where the objects come from, for the log.
class EvacuationObjects {
 public:
  explicit EvacuationObjects(EntryState& state) : state_(state) {}

  // Replaces all evacuations.
  void ApplyList(const std::vector<platform::Object>& objects,
                 TimePoint current_at,
                 std::string_view source);
  // Applies new and removed evacuations.
  void ApplyEvents(const std::vector<platform::Object>& objects,
                   TimePoint current_at,
                   std::string_view source);
  // Logs new evacuations of zones without servers. Call it when the server
  // entries are known and whenever they or the evacuations have changed.
  void CheckZones();
  // Sets the metrics of evacuations.
  void SetMetrics();

 private:
  void Put(const platform::Object& object,
           TimePoint current_at,
           std::string_view source);
  // `revision` is that of the removal, or 0 if a list lacks the evacuation.
  void Remove(const ZoneName& zone, std::uint64_t revision);
  [[nodiscard]] std::size_t CountServers(const ZoneName& zone) const;

  EntryState& state_;
  // Zones that were evacuated since the last CheckZones().
  std::set<ZoneName> unchecked_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_EVACUATION_OBJECTS_H_
