// The choice of where a daemon gets changes of the store's objects from.
#ifndef SRC_ENTRY_COPY_SOURCE_H_
#define SRC_ENTRY_COPY_SOURCE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "entry/store_reports.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

enum class CopySource : std::uint8_t {
  kStore,
  kLeader,  // Heartbeats tell of changes, which the leader or a mirror passes
            // on.
  kPeers,   // Members that are first in the order of succession.
};

// Returns the name of the source in log lines.
[[nodiscard]] std::string_view ToString(CopySource source);

// How often a member sends a Hello to the leader, whose heartbeat answers it,
// in a fleet of at most 24 members.
inline constexpr std::chrono::milliseconds kShortestHeartbeatPeriod{250};

// Returns the same for a fleet of `members`: longer in a large one, to bound
// the load on the leader, but such that copies of members do not reach
// `max_copy_age` while the leader is on time.
[[nodiscard]] std::chrono::milliseconds HeartbeatPeriod(std::uint32_t members,
                                                        Duration max_copy_age);

// How long watches wait. Those of the leader and of a daemon that it passes
// nothing on to are short, because a watch that no longer receives events is
// detected only when it ends.
inline constexpr std::chrono::milliseconds kShortWatchWait{500};
inline constexpr std::chrono::milliseconds kLongestWatchWait{4000};

// What the choice of the source depends on.
struct LeadershipStatus {
  bool leads = false;
  TimePoint leader_last_seen;
  // This daemon's position in the order of succession.
  std::uint32_t rank = 0;
  // How often a leader sends heartbeats while nothing changes.
  std::chrono::milliseconds heartbeat_period = kShortestHeartbeatPeriod;
  // Number of daemons, including this one.
  std::uint32_t members = 1;
};

// What a daemon knows of the store's answers. TimePoint{}: none is known.
struct StoreContact {
  // Up to when the copies are complete.
  TimePoint current_at{};
  // When a call of this daemon last failed.
  TimePoint call_failed_at{};
  // When the store last answered a daemon, as far as this one has heard.
  TimePoint answered_at{};
};

// Decides which daemons read the store, so that the number of its calls does
// not grow with the fleet.
//
// In steady state only the leader does. When heartbeats stay away or the copies
// get old, kReaders daemons read it at once, and the others ask these a little
// later. They read it themselves only if that does not help, so that a daemon
// that has no path to the others still has its copies in time. A daemon that
// has never heard of a leader reads the store.
class CopySourceChooser {
 public:
  // Copies that are older than `max_copy_age` are of no use: changes that they
  // lack must have taken effect.
  explicit CopySourceChooser(Duration max_copy_age)
      : max_copy_age_(max_copy_age) {}

  // Number of daemons, the first in the order of succession, that may read the
  // store at the same time.
  static constexpr std::uint32_t kReaders = 12;

  // Handles a heartbeat of a leader that has or has not lost the store.
  void OnLeaderHeartbeat(bool leader_lost_store, TimePoint now);

  // The daemons at `addresses`, none of which is this one, are members at
  // `now`.
  void OnMembers(const std::vector<std::string>& addresses, TimePoint now) {
    reports_.OnMembers(addresses, now);
  }
  // Handles the report of the peer at `address` of time `at` that it has or has
  // not lost the store.
  void OnReport(const std::string& address, bool lost_store, TimePoint at);
  // Another daemon has stated at `at` that most daemons report a loss; see
  // DoMostReportLoss(). Daemons beyond the readers go by that.
  void OnMajorityStated(TimePoint at) {
    majority_stated_at_ = std::max(majority_stated_at_, at);
  }
  // The leader does not state that, or no longer.
  void OnNoMajorityStated() { majority_stated_at_ = {}; }

  // Chooses the source of copies that are complete up to `current_at`. The
  // daemon has followed the store since `started_at`.
  CopySource Choose(const LeadershipStatus& leadership,
                    TimePoint started_at,
                    TimePoint current_at,
                    TimePoint now);

  // The results of the last Choose(): the leader's heartbeats arrive; the
  // copies are older than those of a leader that is on time; the leader has
  // lost the store, and this daemon's turn to probe it has come.
  [[nodiscard]] bool leader_alive() const { return leader_alive_; }
  [[nodiscard]] bool outdated() const { return outdated_; }
  [[nodiscard]] bool probes_store() const { return probes_store_; }
  // Returns whether copies cannot be renewed because the store answers no
  // daemon: most daemons report that their calls have failed, no answer to any
  // of them is known lately, and peers have had time to tell of one. A daemon's
  // own failed calls are one report, since the store may refuse it alone.
  [[nodiscard]] bool IsStoreLost(const StoreContact& contact,
                                 TimePoint now) const;
  // Returns whether most daemons have reported to this one that their calls
  // fail, and no answer to any is known, by which it may state that to others.
  [[nodiscard]] bool DoMostReportLoss(const StoreContact& contact,
                                      TimePoint now) const;
  // Returns the addresses of the daemons that may be asked for their reports.
  [[nodiscard]] std::vector<std::string> Reporters() const {
    return reports_.Voters();
  }
  // Returns whether the store is the only way to current copies: this daemon
  // leads, or the leader is alive and passes nothing on.
  [[nodiscard]] bool needs_store() const {
    return leadership_.leads || (leader_alive_ && outdated_);
  }
  // Returns whether other members are asked for the state of their copies, by
  // the last Choose(). A daemon whose copies are outdated asks them although it
  // reads the store itself, since that may refuse it alone. Where the leader
  // has lost the store, the readers ask each other whether they have, too.
  [[nodiscard]] bool AsksPeers() const {
    return source_ == CopySource::kPeers ||
           (source_ == CopySource::kStore && outdated_) ||
           (leader_alive_ && leader_lost_store_ && is_reader());
  }
  // Returns whether others ask this daemon.
  [[nodiscard]] bool is_reader() const {
    return leadership_.leads || leadership_.rank < kReaders;
  }
  // Returns how long a watch of the server entries waits for changes. It proves
  // that they are complete only when it ends.
  [[nodiscard]] std::chrono::milliseconds EntriesWatchWait() const;
  // Whether the last heartbeat said that the leader has lost the store, and
  // when a heartbeat said so first.
  [[nodiscard]] bool leader_lost_store() const { return leader_lost_store_; }
  [[nodiscard]] TimePoint leader_lost_store_at() const {
    return leader_lost_store_at_;
  }

 private:
  // Returns the source by what Choose() has set.
  [[nodiscard]] CopySource SourceAt(TimePoint now) const;
  // Returns whether the leader says that it has lost the store, and has said so
  // only lately, or most other daemons say the same.
  [[nodiscard]] bool HaveOthersLostStore(TimePoint now) const;
  // Returns whether the store has answered a daemon lately, as far as known.
  [[nodiscard]] bool IsAnswerKnown(const StoreContact& contact,
                                   TimePoint now) const;
  // Returns the age of the copies at which a daemon turns to another source.
  [[nodiscard]] Duration SwitchAge() const;

  const Duration max_copy_age_;
  LeadershipStatus leadership_;
  CopySource source_ = CopySource::kStore;
  bool leader_alive_ = false;
  bool outdated_ = false;
  bool probes_store_ = false;
  bool leader_lost_store_ = false;
  TimePoint leader_lost_store_at_{};
  StoreReports reports_;
  // When the last report of a loss by a peer arrived.
  TimePoint loss_reported_at_{};
  TimePoint majority_stated_at_{};
  // Until when current copies of the peers are waited for; TimePoint{}: the
  // copies are current.
  TimePoint peers_due_at_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_COPY_SOURCE_H_
