// Elects one daemon that assigns keys, by a conditional update in the store.
#ifndef SRC_ENTRY_LEADER_ELECTION_H_
#define SRC_ENTRY_LEADER_ELECTION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// One incarnation of a daemon.
struct Member {
  std::string name;
  Incarnation incarnation;
  std::string address;  // "IP:port" for messages between daemons.

  bool operator==(const Member&) const = default;
};

// The store's record of who leads. An empty name: nobody does.
struct LeaderRecord {
  Epoch epoch;
  Member leader;

  bool operator==(const LeaderRecord&) const = default;
};

struct ElectionOptions {
  // How long a leader acts without proof from the store that it still leads.
  // Bridges an outage of the store, during which nobody else can be elected.
  std::chrono::milliseconds authority{12000};
  // How often the leader asks the store for that proof.
  std::chrono::milliseconds verify_period{2500};
  // Silence of the leader after which the first in line takes its place.
  std::chrono::milliseconds silence{800};
  // How much longer each further one in line waits.
  std::chrono::milliseconds rank_delay{400};
  // All others look into the store this long after the first one's turn, and
  // this much after each other: another may lead already.
  std::chrono::milliseconds look_delay{400};
  std::chrono::milliseconds look_rank_delay{20};
  // When the leader resigns, each further one in line waits this much longer.
  std::chrono::milliseconds resign_delay{60};
  // Pause after a store call that failed, doubled up to the longest one.
  std::chrono::milliseconds first_pause{250};
  std::chrono::milliseconds longest_pause{2000};
};

// A store call that the election wants made.
struct ElectionCall {
  enum class Kind : std::uint8_t { kRead, kCreate, kReplace };
  Kind kind = Kind::kRead;
  LeaderRecord record;         // Writes: what to write.
  std::uint64_t revision = 0;  // kReplace: the revision it must have.
};

// How a store call ended.
enum class ElectionOutcome : std::uint8_t {
  kOk,
  kAbsent,
  kConflict,
  kUnavailable,
  kUnknown,
};

// Decides when to take the lead and when to leave it. Knows no clock, store or
// network.
//
// Two daemons may believe for a while that they lead: the store's conditional
// updates and the tokens of the grants make that harmless. A new leader is told
// until when the one before may still act (previous_leader_until()).
class LeaderElection {
 public:
  LeaderElection(Member self, ElectionOptions options);

  // Returns the call to make now, if any; report its end by OnReply(). One
  // call is under way at a time.
  [[nodiscard]] std::optional<ElectionCall> Poll(TimePoint now);
  // `record` and `revision` are what the store has, where known.
  void OnReply(ElectionOutcome outcome,
               const std::optional<LeaderRecord>& record,
               std::uint64_t revision,
               TimePoint now);

  // The leader of `record` was heard; `rank` is this daemon's place in line.
  // One of a later epoch than known is followed at once.
  void OnLeaderHeard(const LeaderRecord& record,
                     std::uint32_t rank,
                     TimePoint now);
  // Another daemon says whom it follows. Of use while the store does not tell,
  // and where the leader was replaced by one that does not know all members.
  void OnHint(const LeaderRecord& record, TimePoint now);
  // The leader lives but cannot reach the store, which this daemon can: take
  // its place at once.
  void OnLeaderUnfit(TimePoint now);
  // The leader has left the lead.
  void OnLeaderResigned(TimePoint now);
  // Somebody has seen a later epoch: read the store soon.
  void OnNewerEpochSeen(TimePoint now);
  // A daemon was heard that follows the leader of `epoch`. The former leader
  // has ended where that is another incarnation of it, or follows this daemon.
  void OnFollower(const std::string& name,
                  Incarnation incarnation,
                  Epoch epoch,
                  TimePoint now);
  // Sets how long a leader may be silent; it grows with the time between two
  // signs of life.
  void SetSilence(std::chrono::milliseconds silence) {
    options_.silence = silence;
  }
  // Begins to leave the lead, so that another takes it at once.
  void Resign() { resigning_ = true; }

  // Returns whether this daemon leads and may act on it.
  [[nodiscard]] bool IsLeader(TimePoint now) const;
  // Returns until when a leader before this one may act.
  [[nodiscard]] TimePoint previous_leader_until() const {
    return previous_leader_until_;
  }
  [[nodiscard]] const LeaderRecord& record() const { return record_; }
  // Returns the leader that this one has replaced, while it may not know; an
  // empty name: nobody.
  [[nodiscard]] const Member& former() const { return former_; }
  // Returns whether it is known who leads.
  [[nodiscard]] bool knows_leader() const {
    return known_ && !record_.leader.name.empty();
  }
  [[nodiscard]] bool resigned() const { return resigned_; }

 private:
  [[nodiscard]] bool IsSelf(const Member& member) const;
  void Adopt(const LeaderRecord& record, std::uint64_t revision, TimePoint now);
  ElectionCall TakeOver();
  // Returns when this daemon takes the place of a leader that stays silent.
  [[nodiscard]] TimePoint Turn() const;
  // Returns when it looks into the store.
  [[nodiscard]] TimePoint LookTime() const;

  const Member self_;
  ElectionOptions options_;
  LeaderRecord record_;
  std::uint64_t revision_ = 0;
  bool known_ = false;
  bool absent_ = false;
  bool doubted_ = false;
  bool suspected_ = false;
  // The store was asked since the leader was last heard.
  bool looked_ = false;
  bool unfit_ = false;
  bool resigning_ = false;
  bool resigned_ = false;
  std::uint32_t rank_ = 0;
  std::optional<ElectionCall> in_flight_;
  TimePoint sent_at_{};
  TimePoint next_call_{};
  Duration pause_{};
  TimePoint heard_at_{};
  // Where leading: when the last proof of it was asked for.
  TimePoint verified_at_{};
  // Whom this daemon has last tried to replace, and, once it leads, the leader
  // before it whose incarnation has not been seen to end.
  Member former_;
  TimePoint previous_leader_until_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_LEADER_ELECTION_H_
