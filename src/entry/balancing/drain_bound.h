// How long copies of the store's objects may decide what happens to requests.
#ifndef SRC_ENTRY_BALANCING_DRAIN_BOUND_H_
#define SRC_ENTRY_BALANCING_DRAIN_BOUND_H_

#include <algorithm>
#include <chrono>
#include <string_view>

#include "gentianreach/time.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// What is known about the copy of the server entries.
struct EntriesStatus {
  // Up to when it contains all changes of the store; TimePoint{}: not known.
  TimePoint current_at;
  // The store answers no daemon, as far as this one can find out, so that there
  // is no newer copy; see CopySourceChooser::IsStoreLost().
  bool store_lost = false;
  // Where its changes come from.
  std::string_view source;
  // When the store last answered a daemon, as far as this one knows.
  TimePoint store_answered_at{};
};

// The largest age of a copy that decides anything, unless the store is lost.
//
// Only while the store answers no daemon, older copies go on being used. It
// acknowledges nothing then, and without them all service would end.
class CopyAgeBound {
 public:
  explicit CopyAgeBound(Duration max_age) : max_age_(max_age) {}

  [[nodiscard]] Duration max_age() const { return max_age_; }
  // Returns until when a copy that contains all changes up to `current_at` may
  // decide.
  [[nodiscard]] TimePoint Until(TimePoint current_at, bool store_lost) const {
    return store_lost ? TimePoint::max() : current_at + max_age_;
  }
  // Returns whether such a copy decides at `now` although it is too old, since
  // the store is lost.
  [[nodiscard]] bool IsLifted(TimePoint current_at,
                              bool store_lost,
                              TimePoint now) const {
    return store_lost && now >= current_at + max_age_;
  }

 private:
  const Duration max_age_;
};

// Decides until when a daemon may send requests to a server that may have left.
//
// A server that leaves relies on getting no request once its drain time has
// passed since the store acknowledged that it leaves. A copy that is complete
// up to a time T shows all servers that had left by T, so the others may be
// used until T plus the drain time, less the time that a request is on its way.
// The daemon that sends enforces this when it writes the first byte. So it does
// not matter how many hops the copy has passed, nor what happened on them: a
// copy that is late makes requests fail as not run, never arrive late.
class DrainBound {
 public:
  // Time from the first byte of a request until it reaches the server, with one
  // retransmission of a lost packet.
  static constexpr Duration kTransitTime = std::chrono::milliseconds(300);

  explicit DrainBound(Duration drain) : age_bound_(drain - kTransitTime) {}

  // Returns the age from which on a copy decides no more sends.
  [[nodiscard]] Duration max_entries_age() const {
    return age_bound_.max_age();
  }
  // Returns until when a copy with the status `entries` may decide a send.
  [[nodiscard]] TimePoint EntriesUntil(const EntriesStatus& entries) const {
    return age_bound_.Until(entries.current_at, entries.store_lost);
  }
  // Returns whether a copy with the status `entries` decides sends at `now`
  // although it is too old, since the store is lost.
  [[nodiscard]] bool IsLifted(const EntriesStatus& entries,
                              TimePoint now) const {
    return age_bound_.IsLifted(entries.current_at, entries.store_lost, now);
  }
  // Returns until when requests may be written to `server` by that copy.
  [[nodiscard]] TimePoint SendUntil(const routing::BackendServer& server,
                                    const EntriesStatus& entries) const {
    const TimePoint entries_until = EntriesUntil(entries);
    if (!server.draining) {
      return entries_until;
    }
    return std::min(
        entries_until,
        server.draining_since + std::min(kMaxDrainingUse, max_entries_age()));
  }

 private:
  // How long an owner still gets requests after it may have started draining;
  // its keys have usually moved by then.
  static constexpr Duration kMaxDrainingUse = std::chrono::milliseconds(1500);

  const CopyAgeBound age_bound_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_DRAIN_BOUND_H_
