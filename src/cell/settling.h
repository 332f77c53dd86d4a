// Which older views have lost the power to hold permits.
//
// A daemon that has said that it runs a later view never again accepts a
// heartbeat of an older one. Once f + 1 members of an older view have said so,
// none of its daemons can gather n - f accepted heartbeats: the view is dead.
// Where that many cannot be heard, time stands in: `hold_over` after this
// daemon's first sight of the later view nobody in the older one can have had
// a store call recently enough.
#ifndef SRC_CELL_SETTLING_H_
#define SRC_CELL_SETTLING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cell/record.h"
#include "gentianreach/time.h"

namespace gentianreach::cell {

class Settling {
 public:
  // `drift` is the greatest relative difference between two clocks.
  void SetTiming(Duration permit,
                 Duration lease,
                 Duration hold_over,
                 double drift);

  // Takes the current record. `self` runs its view from now on.
  void OnRecord(const Record& record, const std::string& self, TimePoint now);

  // Notes that a daemon has said that it runs `view`.
  void OnDaemonView(const Record& record,
                    const std::string& daemon,
                    std::uint64_t view,
                    TimePoint now);

  // Notes that the daemons of all older views of `record` are gone for good.
  void ConfirmGone(const Record& record, TimePoint now);

  // Returns from when on no daemon outside the current list holds a permit, or
  // has a lease standing that it renewed; nothing where that is not known yet.
  [[nodiscard]] std::optional<TimePoint> RemovedLapse(
      const Record& record) const;

  // Returns whether the view can be dropped from the record at `now`.
  [[nodiscard]] bool Droppable(const Record& record,
                               const stored::ViewT& view,
                               TimePoint now) const;

  // Returns whether every older view of the record is dead.
  [[nodiscard]] bool Settled(const Record& record, TimePoint now) const;

 private:
  struct OlderView {
    TimePoint first_seen;
    // From when on its daemons cannot gather a permit anew.
    TimePoint dead_at = TimePoint::max();
  };

  void Count(const Record& record, TimePoint now);
  void ForgetStrangers(const Record& record);
  [[nodiscard]] TimePoint DeadAt(const stored::ViewT& view) const;
  [[nodiscard]] std::optional<TimePoint> Lapse(const Record& record,
                                               const stored::ViewT& view) const;

  Duration permit_and_lease_{};
  Duration hold_over_{};
  std::map<std::uint64_t, OlderView> older_;
  std::map<std::string, std::uint64_t> running_;
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_SETTLING_H_
