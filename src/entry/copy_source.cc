#include "entry/copy_source.h"

#include <algorithm>
#include <utility>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Time without a heartbeat after which a daemon does without the leader. The
// next leader is usually elected earlier.
constexpr Duration kLeaderTimeout = milliseconds(2000);
// A daemon turns elsewhere although its leader is alive, which may be too slow
// to pass changes on, once its copies are too old: so old that this time is
// left until they are of no use, but older at least than those of a leader that
// is on time. They are up to twice as old as a watch of the leader waits, and a
// period of its heartbeats.
constexpr Duration kSwitchTime = milliseconds(750);
constexpr Duration kLeaderCopyAge = milliseconds(1000);
// Where others ask the readers, these turn to the store earlier, so that they
// have something newer by then; but not for every delay of a heartbeat.
constexpr Duration kReaderLead = milliseconds(300);
constexpr Duration kReaderSlack = milliseconds(200);
// How long a leader's word that it has lost the store counts by itself. In this
// time a daemon finds out from the readers, or is told that it is not so.
constexpr Duration kLeaderWordTime = milliseconds(3000);
// How long a peer's report counts for the choice of the source.
constexpr Duration kPeerWordTime = milliseconds(2500);
// How long a statement that most daemons have lost the store counts: longer
// than the time between two of them.
constexpr Duration kStatementTime = milliseconds(1500);
// The heartbeat period grows by the shortest one with each kMembersPerPeriod
// members, up to kMaxPeriods of them.
constexpr std::uint32_t kMembersPerPeriod = 24;
constexpr std::uint32_t kMaxPeriods = 3;
// How much younger than the limit the copies of members stay.
constexpr Duration kHeartbeatSlack = milliseconds(200);
// How long a daemon waits for current copies of its peers.
constexpr Duration kPeerPatience = milliseconds(300);
// When the leader cannot reach the store, the readers probe it in the order of
// succession, kProbeRankDelay apart. Those with a high rank use the shorter
// late delays instead, so that all readers probe within the time in which a
// change has to take effect.
constexpr Duration kProbeRankDelay = milliseconds(250);
constexpr Duration kLateProbeBase = milliseconds(1000);
constexpr Duration kLateProbeRankDelay = milliseconds(15);
// The other daemons probe it later, since every call to a store that is away
// has a cost, too.
constexpr Duration kOtherProbeBase = milliseconds(3000);
constexpr Duration kOtherProbeRankDelay = milliseconds(40);

// Returns the age of the copies that a leader that is on time passes on.
Duration OnTimeAge(const LeadershipStatus& leadership) {
  return kLeaderCopyAge + leadership.heartbeat_period;
}

// Returns how long after the leader's report the daemon with `rank` starts to
// probe the store.
Duration ProbeDelay(std::uint32_t rank) {
  if (rank >= CopySourceChooser::kReaders) {
    return kOtherProbeBase +
           (rank - CopySourceChooser::kReaders) * kOtherProbeRankDelay;
  }
  return std::min(rank * kProbeRankDelay,
                  kLateProbeBase + rank * kLateProbeRankDelay);
}

}  // namespace

std::string_view ToString(CopySource source) {
  switch (source) {
    case CopySource::kStore:
      return "store";
    case CopySource::kLeader:
      return "leader";
    case CopySource::kPeers:
      return "peers";
  }
  return "";
}

milliseconds HeartbeatPeriod(std::uint32_t members, Duration max_copy_age) {
  const milliseconds period =
      kShortestHeartbeatPeriod *
      std::clamp(members / kMembersPerPeriod, 1U, kMaxPeriods);
  const auto longest = std::chrono::duration_cast<milliseconds>(
      max_copy_age - kLeaderCopyAge - kHeartbeatSlack);
  return std::max(std::min(period, longest), kShortestHeartbeatPeriod);
}

void CopySourceChooser::OnLeaderHeartbeat(bool leader_lost_store,
                                          TimePoint now) {
  if (leader_lost_store && !leader_lost_store_) {
    leader_lost_store_at_ = now;
  }
  leader_lost_store_ = leader_lost_store;
}

void CopySourceChooser::OnReport(const std::string& address,
                                 bool lost_store,
                                 TimePoint at) {
  reports_.OnReport(address, lost_store, at);
  if (lost_store) {
    loss_reported_at_ = std::max(loss_reported_at_, at);
  }
}

bool CopySourceChooser::HaveOthersLostStore(TimePoint now) const {
  const bool leader_says_so = leader_alive_ && leader_lost_store_;
  const bool is_news = now < leader_lost_store_at_ + kLeaderWordTime;
  return leader_says_so &&
         (is_news || now < majority_stated_at_ + kStatementTime ||
          reports_.DoMostCallsFail(false, now));
}

bool CopySourceChooser::IsAnswerKnown(const StoreContact& contact,
                                      TimePoint now) const {
  const bool leader_has_store = leader_alive_ && !leader_lost_store_;
  return leader_has_store || now < contact.answered_at + OnTimeAge(leadership_);
}

bool CopySourceChooser::DoMostReportLoss(const StoreContact& contact,
                                         TimePoint now) const {
  const bool own_calls_fail = contact.call_failed_at > contact.current_at;
  return !IsAnswerKnown(contact, now) &&
         reports_.DoMostCallsFail(own_calls_fail, now);
}

bool CopySourceChooser::IsStoreLost(const StoreContact& contact,
                                    TimePoint now) const {
  // Until then, the peers may not have been asked or not have replied.
  const bool peers_asked =
      now >= contact.current_at + SwitchAge() + kPeerPatience;
  const bool is_stated =
      !is_reader() && now < majority_stated_at_ + kStatementTime;
  return peers_asked && ((is_stated && !IsAnswerKnown(contact, now)) ||
                         DoMostReportLoss(contact, now));
}

milliseconds CopySourceChooser::EntriesWatchWait() const {
  if (needs_store()) {
    return kShortWatchWait;
  }
  // After a change, the copy is as old as one and a half watches and the delay
  // between them.
  const auto wait = std::chrono::duration_cast<milliseconds>(max_copy_age_ / 2 -
                                                             milliseconds(250));
  return std::clamp(wait, kShortWatchWait, kLongestWatchWait);
}

Duration CopySourceChooser::SwitchAge() const {
  const Duration on_time = OnTimeAge(leadership_);
  const bool others_ask =
      leadership_.rank < kReaders && leadership_.members > kReaders;
  return others_ask
             ? std::max<Duration>(max_copy_age_ - kSwitchTime - kReaderLead,
                                  on_time + kReaderSlack)
             : std::max<Duration>(max_copy_age_ - kSwitchTime, on_time);
}

CopySource CopySourceChooser::Choose(const LeadershipStatus& leadership,
                                     TimePoint started_at,
                                     TimePoint current_at,
                                     TimePoint now) {
  leadership_ = leadership;
  leader_alive_ = now < leadership.leader_last_seen + kLeaderTimeout;
  probes_store_ = leader_lost_store_ &&
                  now >= leader_lost_store_at_ + ProbeDelay(leadership.rank);
  // The first copies have as long to arrive as later changes.
  outdated_ = now >= std::max(current_at, started_at) + SwitchAge();
  if (!leader_alive_) {
    leader_lost_store_ = false;
  }
  if (!outdated_) {
    peers_due_at_ = {};
  } else if (peers_due_at_ == TimePoint{}) {
    peers_due_at_ = now + kPeerPatience;
  }
  source_ = SourceAt(now);
  return source_;
}

CopySource CopySourceChooser::SourceAt(TimePoint now) const {
  if (leadership_.leads) {
    return CopySource::kStore;
  }
  if (leader_alive_ && !probes_store_ && !outdated_) {
    return CopySource::kLeader;
  }
  const bool has_peers = leadership_.rank >= kReaders;
  // A call would only tell what the others have found out already, if they can
  // be asked.
  const bool others_tell =
      HaveOthersLostStore(now) && now < loss_reported_at_ + kPeerWordTime;
  const bool waits_for_peers = !outdated_ || now < peers_due_at_ || others_tell;
  return has_peers && !probes_store_ && waits_for_peers ? CopySource::kPeers
                                                        : CopySource::kStore;
}

}  // namespace gentianreach::entry
