// Elects the daemon that assigns keys, by conditional writes to a record in the
// platform's store.
#ifndef SRC_ENTRY_LEADER_ELECTION_H_
#define SRC_ENTRY_LEADER_ELECTION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// One incarnation of an entry daemon.
struct Member {
  std::string name;
  Incarnation incarnation;
  std::string address;  // "IP:port" for datagrams between daemons.

  bool operator==(const Member&) const = default;
};

// The leader record in the store. An empty leader name means that there is no
// leader.
struct LeaderRecord {
  Epoch epoch;
  Member leader;
  // Earlier leaders that may not have noticed yet that they were replaced, at
  // most one per name. A member without a name stands for all that the record
  // may lack. Known from the store only: heartbeats and hints do not carry
  // them.
  std::vector<Member> earlier_leaders;

  [[nodiscard]] bool IsSameTerm(const LeaderRecord& other) const {
    return epoch == other.epoch && leader == other.leader;
  }
  bool operator==(const LeaderRecord&) const = default;
};

struct ElectionOptions {
  // How long a leader may act after the last time the store confirmed its
  // record. Long enough to bridge short outages of the store, during which no
  // other leader can be elected.
  std::chrono::milliseconds leader_lease{12000};
  // How often the leader has the store confirm its record.
  std::chrono::milliseconds verify_period{2500};
  // Time without a heartbeat after which the first daemon in the order of
  // succession replaces the leader.
  std::chrono::milliseconds leader_timeout{800};
  // Additional wait per position in the order of succession.
  std::chrono::milliseconds rank_delay{400};
  // The other daemons read the record this long after the leader timeout, plus
  // `read_rank_delay` per rank, since another daemon may lead by then.
  std::chrono::milliseconds read_delay{400};
  std::chrono::milliseconds read_rank_delay{20};
  // Wait per rank before a daemon replaces a leader that has resigned.
  std::chrono::milliseconds resign_delay{60};
  // Delay after a failed store call; doubles with each further failure.
  std::chrono::milliseconds first_retry_delay{250};
  std::chrono::milliseconds longest_retry_delay{2000};
};

// A store call that LeaderElection requests.
struct ElectionCall {
  enum class Kind : std::uint8_t { kRead, kCreate, kReplace };
  Kind kind = Kind::kRead;
  LeaderRecord record;         // For writes: the new content.
  std::uint64_t revision = 0;  // For kReplace: the expected revision.
  bool replaces_unreadable = false;
};

// The result of a store call.
enum class ElectionOutcome : std::uint8_t {
  kOk,
  kAbsent,
  kConflict,
  kUnreadable,  // The store has a record that cannot be decoded.
  kUnavailable,
  kUnknown,
};

// State machine that decides when this daemon becomes leader and when it steps
// down. It does no I/O: the caller passes the time, makes the store calls and
// reports their results.
//
// Two daemons may both act as leader for a while. Conditional writes to the
// store and the fencing tokens of the grants make that safe. A new leader
// learns from previous_leader_until() how long its predecessors may still act:
// the record lists all of them that may. A record that cannot be read may have
// named any leader, so its successor waits a whole lease for all of them.
class LeaderElection {
 public:
  LeaderElection(Member self, ElectionOptions options);

  // Returns the store call to make now, if any. Its result must be reported to
  // OnReply(); no further call is returned before that.
  [[nodiscard]] std::optional<ElectionCall> Poll(TimePoint now);
  // Handles the result of a store call. `record` and `revision` are the current
  // state of the store, if known. For kUnreadable, there is only a revision.
  void OnReply(ElectionOutcome outcome,
               const std::optional<LeaderRecord>& record,
               std::uint64_t revision,
               TimePoint now);

  // Handles a heartbeat of the leader of `record`; `rank` is this daemon's
  // position in the order of succession. A leader with a later epoch than the
  // known one is followed immediately.
  void OnLeaderHeartbeat(const LeaderRecord& record,
                         std::uint32_t rank,
                         TimePoint now);
  // Handles another daemon's report of the leader that it follows. Needed while
  // the store is unreachable, and when a new leader does not know all members.
  void OnHint(const LeaderRecord& record, TimePoint now);
  // The leader is alive but cannot reach the store or the servers, while this
  // daemon can. Starts to replace it immediately.
  void OnLeaderUnfit(TimePoint now);
  // The leader has stepped down.
  void OnLeaderResigned(TimePoint now);
  // Another daemon reported a later epoch. Checks the record in the store as
  // soon as possible.
  void OnNewerEpochSeen(TimePoint now);
  // Handles an object in the store that the leader of `epoch` has written. If
  // that is a later epoch than this daemon's, its term is in doubt.
  void OnStoredEpoch(Epoch epoch, TimePoint now);
  // Handles a message of a daemon that follows the leader of `epoch`. A
  // replaced leader no longer acts if it, or its next incarnation, follows the
  // current one. Messages of earlier terms may be late.
  void OnFollowerMessage(const std::string& name, Epoch epoch, TimePoint now);
  // Sets ElectionOptions::leader_timeout, which depends on the period of the
  // heartbeats.
  void SetLeaderTimeout(std::chrono::milliseconds leader_timeout) {
    options_.leader_timeout = leader_timeout;
  }
  // Starts to step down, so that another daemon can take over immediately.
  void Resign() { resigning_ = true; }

  // Returns whether this daemon is the leader, is not stepping down, and its
  // lease has not expired.
  [[nodiscard]] bool IsLeader(TimePoint now) const;
  // Returns whether a later epoch has been found in the store and the record
  // has not been checked since. A leader sends no orders then.
  [[nodiscard]] bool term_in_doubt() const { return term_in_doubt_; }
  // Returns the time until which previous leaders may still act.
  [[nodiscard]] TimePoint previous_leader_until() const {
    return previous_leader_until_;
  }
  // Returns when the last call that confirmed this daemon as the leader was
  // sent.
  [[nodiscard]] TimePoint verified_at() const { return verified_at_; }
  [[nodiscard]] const LeaderRecord& record() const { return record_; }
  // Returns the leaders before this daemon's term that may not have noticed yet
  // that they were replaced.
  [[nodiscard]] const std::vector<Member>& replaced_leaders() const {
    return replaced_leaders_;
  }
  // Returns whether the current leader is known.
  [[nodiscard]] bool knows_leader() const {
    return record_known_ && !record_.leader.name.empty();
  }
  [[nodiscard]] bool resigned() const { return resigned_; }

 private:
  [[nodiscard]] bool IsSelf(const Member& member) const;
  void OnUnreadable(std::uint64_t revision, TimePoint now);
  // Delays the next call after one that failed.
  void DelayNextCall(TimePoint now);
  void Adopt(const LeaderRecord& record, std::uint64_t revision, TimePoint now);
  // Adopts a term that another daemon has told of.
  void AdoptHeard(const LeaderRecord& record, TimePoint now);
  // Returns the call that writes the record of this daemon's next term.
  [[nodiscard]] ElectionCall TakeOver(TimePoint now) const;
  // Returns the latest epoch that this daemon has known.
  [[nodiscard]] Epoch LatestEpoch() const;
  // Returns the call that creates a record where the store has none.
  [[nodiscard]] ElectionCall CreateRecord() const;
  // Returns the call that replaces a record that cannot be read by one of this
  // daemon's next term.
  [[nodiscard]] ElectionCall ReplaceUnreadable() const;
  // Returns when this daemon replaces a record that cannot be read if no
  // heartbeat arrives.
  [[nodiscard]] TimePoint ReplaceUnreadableTime() const;
  // Returns the call that writes `leader` to the record of the current term.
  [[nodiscard]] ElectionCall Rewrite(const Member& leader, TimePoint now) const;
  // Returns when this daemon replaces the leader if no heartbeat arrives.
  [[nodiscard]] TimePoint TakeoverTime() const;
  // Returns when this daemon reads the record if no heartbeat arrives.
  [[nodiscard]] TimePoint ReadTime() const;

  const Member self_;
  ElectionOptions options_;
  LeaderRecord record_;
  std::uint64_t revision_ = 0;
  bool record_known_ = false;
  // When this daemon first knew the term of `record_`.
  TimePoint term_known_since_{};
  bool record_absent_ = false;
  // The revision of the record in the store if it cannot be read or has an
  // earlier epoch than an object that a leader has written, otherwise 0.
  std::uint64_t unreadable_revision_ = 0;
  TimePoint unreadable_since_{};
  // The next call must check the record, even if no check is due yet.
  bool must_verify_ = false;
  bool term_in_doubt_ = false;
  // The call in flight was sent before the term came into doubt.
  bool doubt_after_call_ = false;
  // The latest epoch of the records before `record_` and of the objects that
  // OnStoredEpoch() was called for. The store may have lost them.
  Epoch latest_known_epoch_;
  // The store has confirmed that the leader to replace is still the current
  // one.
  bool takeover_due_ = false;
  // The record was read since the last heartbeat.
  bool read_since_last_seen_ = false;
  bool leader_unfit_ = false;
  bool resigning_ = false;
  bool resigned_ = false;
  std::uint32_t rank_ = 0;
  std::optional<ElectionCall> in_flight_;
  // Another daemon has told of a term since that call was made.
  bool term_heard_in_flight_ = false;
  TimePoint sent_at_{};
  TimePoint next_call_{};
  Duration retry_delay_{};
  TimePoint leader_last_seen_{};
  // While leader: when the last store call that confirmed it was sent. The
  // lease is counted from there.
  TimePoint verified_at_{};
  // Leaders before this daemon's term. One is removed once that incarnation is
  // known not to act any more.
  std::vector<Member> replaced_leaders_;
  TimePoint previous_leader_until_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_LEADER_ELECTION_H_
