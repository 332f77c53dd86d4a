// The permit of a daemon: its time-limited right to renew server leases,
// measured on its own clock.
//
// In a view of n members, let f = floor(n / 3). A member takes the latest
// heartbeat that each member, itself included, accepted, and of these the
// newest n - f. Its permit lasts `permit` from the send time of the oldest one.
// Once f + 1 members run a later view, no member of the older view can collect
// n - f accepted heartbeats, so all permits of the older view end within
// `permit`. A permit also ends `hold_over` after the latest known successful
// store call of any daemon.
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
  // Sets how long a permit lasts and how long it outlasts the last store call.
  void SetTiming(Duration permit, Duration hold_over);

  // Starts to count accepted heartbeats of a new view. If `self` is a member
  // of it, a permit already held stays valid until its deadline; otherwise the
  // permit ends at once.
  void SetView(ViewVersion view,
               const std::vector<std::string>& members,
               const std::string& self);

  // Ends the permit. No permit is gained again before the next `SetView`.
  void Revoke();

  // Records that a heartbeat of this view was sent.
  void OnSent(std::uint64_t seq, TimePoint now);

  // Returns when the heartbeat was sent, or TimePoint::min() if it is no longer
  // remembered.
  [[nodiscard]] TimePoint SentAt(std::uint64_t seq) const;

  // Records that `from` accepted a heartbeat sent in `view`.
  void OnAccepted(const std::string& from, ViewVersion view, std::uint64_t seq);

  // Records a successful store call, made by this daemon or reported by
  // another one, that began at `began` or later.
  void OnStoreContact(TimePoint began);
  [[nodiscard]] TimePoint store_contact() const { return store_contact_; }

  // Returns when the permit ends, as known at `now`.
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
  // Send time of the newest heartbeat accepted by each member except self.
  std::map<std::string, TimePoint> accepted_;
  TimePoint deadline_ = TimePoint::min();
  TimePoint store_contact_ = TimePoint::min();
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_PERMIT_H_
