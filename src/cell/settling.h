// Determines when older views are retired, that is, when no daemon in them can
// gain a permit any more.
//
// A daemon that reports a later view never again accepts a heartbeat of an
// older one. Once f + 1 members of an older view have reported a later one, no
// daemon can collect n - f accepted heartbeats in it, so the view is retired.
// If fewer than that can be reached, the view is retired `hold_over` after this
// daemon first saw the later one: by then the latest store call of every daemon
// in the older view is too old for a permit.
#ifndef SRC_CELL_SETTLING_H_
#define SRC_CELL_SETTLING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cell/record.h"
#include "gentianreach/time.h"

namespace gentianreach::cell {

class ViewRetirement {
 public:
  // `drift` is the maximum relative rate difference between two clocks.
  void SetTiming(Duration permit,
                 Duration lease,
                 Duration hold_over,
                 double drift);

  // Handles the adoption of `record`. `self` runs its view from now on.
  void OnRecord(const Record& record, const std::string& self, TimePoint now);

  // Handles a daemon's report that it runs `view`.
  void OnDaemonView(const Record& record,
                    const std::string& daemon,
                    std::uint64_t view,
                    TimePoint now);

  // Retires all older views of `record`: an operator confirms that the daemons
  // removed since have stopped for good.
  void ConfirmStopped(const Record& record, TimePoint now);

  // Returns when all permits of removed members and all leases that they
  // renewed have expired, or nullopt if that is not known yet.
  [[nodiscard]] std::optional<TimePoint> RemovedMemberLeaseExpiry(
      const Record& record) const;

  // Returns whether the view can be deleted from the record at `now`.
  [[nodiscard]] bool CanDelete(const Record& record,
                               const stored::ViewT& view,
                               TimePoint now) const;

  // Returns whether every older view of the record is retired.
  [[nodiscard]] bool AllRetired(const Record& record, TimePoint now) const;

 private:
  struct OlderView {
    TimePoint first_seen;
    // When enough of its members had left it, or were confirmed gone.
    TimePoint retired_at = TimePoint::max();
  };

  void Count(const Record& record, TimePoint now);
  void DropUnlistedDaemons(const Record& record);
  [[nodiscard]] TimePoint RetiredAt(const stored::ViewT& view) const;
  [[nodiscard]] std::optional<TimePoint> LeaseExpiry(
      const Record& record,
      const stored::ViewT& view) const;

  Duration permit_and_lease_{};
  Duration hold_over_{};
  std::map<std::uint64_t, OlderView> older_;
  std::map<std::string, std::uint64_t> running_views_;
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_SETTLING_H_
