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
// left until a change has to be in force, but older at least than those of a
// leader that is on time. They are up to twice as old as a watch of the leader
// waits, and a period of its heartbeats.
constexpr Duration kSwitchTime = milliseconds(750);
constexpr Duration kLeaderCopyAge = milliseconds(1000);
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

void CopySourceChooser::OnLeaderHeartbeat(bool leader_lost_store,
                                          TimePoint now) {
  if (leader_lost_store && !leader_lost_store_) {
    leader_lost_store_at_ = now;
  }
  leader_lost_store_ = leader_lost_store;
}

CopySource CopySourceChooser::Choose(const LeadershipStatus& leadership,
                                     TimePoint started_at,
                                     TimePoint current_at,
                                     TimePoint now) {
  leader_alive_ = now < leadership.leader_last_seen + kLeaderTimeout;
  probes_store_ = leader_lost_store_ &&
                  now >= leader_lost_store_at_ + ProbeDelay(leadership.rank);
  const Duration max_age =
      std::max<Duration>(config_apply_ - kSwitchTime,
                         kLeaderCopyAge + leadership.heartbeat_period);
  // The first copies have as long to arrive as later changes.
  outdated_ = now >= std::max(current_at, started_at) + max_age;
  if (!leader_alive_) {
    leader_lost_store_ = false;
  }
  if (!outdated_) {
    peers_due_at_ = {};
  } else if (peers_due_at_ == TimePoint{}) {
    peers_due_at_ = now + kPeerPatience;
  }
  if (leadership.leads) {
    return CopySource::kStore;
  }
  if (leader_alive_ && !probes_store_ && !outdated_) {
    return CopySource::kLeader;
  }
  const bool has_peers = leadership.rank >= kReaders;
  const bool waits_for_peers = !outdated_ || now < peers_due_at_;
  return has_peers && !probes_store_ && waits_for_peers ? CopySource::kPeers
                                                        : CopySource::kStore;
}

}  // namespace gentianreach::entry
