// A daemon's right to renew leases, by its own clock.
//
// A member of a view of n daemons holds a permit until `permit` after it sent
// the oldest of its newest n - f accepted heartbeats, itself counted, where
// f = floor(n / 3). Once f + 1 members have gone over to a later view, nobody
// can gather that many any more, so all permits of the older view end within
// `permit`. A permit also ends `hold_over` after the latest store call known
// in the contact.
#ifndef SRC_CELL_PERMIT_H_
#define SRC_CELL_PERMIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::cell {

class Permit {
 public:
  // Sets how long a permit lasts and how long the store may be away.
  void SetTiming(Duration permit, Duration hold_over);

  // Starts to collect for another view. A permit already held stays until its
  // deadline where `self` is in the view, and ends at once where it is not.
  void SetView(ViewVersion view,
               const std::vector<std::string>& members,
               const std::string& self);

  // Ends the permit for good until the next `SetView`.
  void GiveUp();

  // Notes a heartbeat sent to all members in this view.
  void OnSent(std::uint64_t seq, TimePoint now);

  // Returns when the heartbeat was sent; TimePoint::min() for one too old.
  [[nodiscard]] TimePoint SentAt(std::uint64_t seq) const;

  // Notes that `from` accepted a heartbeat sent in `view`.
  void OnAccepted(const std::string& from, ViewVersion view, std::uint64_t seq);

  // Notes a store call, own or relayed, that began no earlier than `began`.
  void OnStoreContact(TimePoint began);
  [[nodiscard]] TimePoint store_contact() const { return store_contact_; }

  // Returns until when the permit holds as of `now`.
  [[nodiscard]] TimePoint Deadline(TimePoint now) const;
  [[nodiscard]] bool Valid(TimePoint now) const { return now < Deadline(now); }

 private:
  struct Sent {
    std::uint64_t seq = 0;
    TimePoint at;
    ViewVersion view;
  };

  void Extend();

  Duration permit_{};
  Duration hold_over_{};
  ViewVersion view_;
  std::string self_;
  bool is_member_ = false;
  std::deque<Sent> sent_;
  // Send time of the newest accepted heartbeat by member other than self.
  std::map<std::string, TimePoint> accepted_;
  TimePoint deadline_ = TimePoint::min();
  TimePoint store_contact_ = TimePoint::min();
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_PERMIT_H_
