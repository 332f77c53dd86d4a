#include "entry/store_copies.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// How long watches wait. Those of the leader are short, because a watch that no
// longer receives events is detected only when it ends, and so are those of a
// daemon whose copies are out of date. Other daemons watch only while they
// receive no heartbeats.
constexpr milliseconds kLeaderWatchWait{500};
constexpr milliseconds kOwnWatchWait{4000};
// Time without a heartbeat after which a daemon watches the store itself. The
// next leader is usually elected earlier.
constexpr Duration kLeaderTimeout = milliseconds(2000);
// Age of the copies, in addition to the period of the heartbeats, at which a
// daemon reads the store itself although its leader is alive: the leader may be
// too slow to pass changes on. Twice as long as a watch of the leader waits,
// and well below the time in which a change has to take effect.
constexpr Duration kMaxCopyAge = milliseconds(1000);
// When the leader cannot reach the store, the other daemons probe it in the
// order of succession, kProbeRankDelay apart. Those with a high rank use the
// shorter late delays instead, so that all daemons probe within the time in
// which a change has to take effect.
constexpr Duration kProbeRankDelay = milliseconds(250);
constexpr Duration kLateProbeBase = milliseconds(1000);
constexpr Duration kLateProbeRankDelay = milliseconds(15);
// Path and kinds of the requests for changes, and their timeout.
constexpr const char* kRelayPath = "/changes";
constexpr std::array<const char*, 3> kRelayKinds = {"config", "servers",
                                                    "ownership"};
constexpr Duration kRelayTimeout = milliseconds(1200);

// Returns how long after the leader's report the daemon with `rank` starts to
// probe the store.
Duration ProbeDelay(std::uint32_t rank) {
  return std::min(rank * kProbeRankDelay,
                  kLateProbeBase + rank * kLateProbeRankDelay);
}

}  // namespace

StoreCopies::StoreCopies(net::EventLoop& loop,
                         platform::PlatformClient& platform,
                         Duration shortest_expiry,
                         Sinks sinks)
    : loop_(loop),
      health_(loop, shortest_expiry),
      config_(loop,
              platform,
              health_,
              platform::ObjectKind::kConfig,
              platform::Freshness::kCurrent,
              std::move(sinks.config)),
      servers_(loop,
               platform,
               health_,
               platform::ObjectKind::kServers,
               platform::Freshness::kMayBeStale,
               std::move(sinks.servers)),
      ownership_(loop,
                 platform,
                 health_,
                 platform::ObjectKind::kOwnership,
                 platform::Freshness::kMayBeStale,
                 std::move(sinks.ownership)) {
  health_.on_change = [this](bool lost) {
    if (!lost) {
      for (StoreWatcher* it : Watchers()) {
        it->OnStoreBack();
      }
    }
    if (on_store_change) {
      on_store_change(lost);
    }
  };
  health_.on_history_gone = [this] {
    for (StoreWatcher* it : Watchers()) {
      it->Relist();
    }
  };
  relay_server_.Handle("GET", kRelayPath, [this](const auto& request) {
    return HandleChangesRequest(request);
  });
}

boost::leaf::result<void> StoreCopies::Start(const std::string& address) {
  BOOST_LEAF_CHECK(relay_server_.Listen(address));
  const TimePoint now = loop_.Now();
  started_at_ = now;
  for (StoreWatcher* it : Watchers()) {
    it->Start(now);
  }
  return {};
}

bool StoreCopies::AreOutdated(milliseconds heartbeat_period) const {
  // The first copies have as long to arrive as later changes.
  return loop_.Now() >=
         std::max(current_at(), started_at_) + kMaxCopyAge + heartbeat_period;
}

void StoreCopies::ChooseSource(const LeadershipStatus& leadership) {
  const TimePoint now = loop_.Now();
  const bool leader_alive = now < leadership.leader_last_seen + kLeaderTimeout;
  probes_store_ = leader_store_lost_ &&
                  now >= leader_lost_store_at_ + ProbeDelay(leadership.rank);
  const bool outdated = AreOutdated(leadership.heartbeat_period);
  if (follows_leader_ && outdated && !leadership.leads && leader_alive &&
      !probes_store_) {
    Log(LogLevel::kWarning, "copies_outdated", {{"leader", leader_address_}});
  }
  const bool followed_leader =
      std::exchange(follows_leader_, !leadership.leads && leader_alive &&
                                         !probes_store_ && !outdated);
  if (followed_leader != follows_leader_) {
    Log(LogLevel::kInfo, "copies_source",
        {{"source", follows_leader_ ? "leader" : "store"},
         {"reason", follows_leader_    ? "leader_alive"
                    : leadership.leads ? "leads"
                    : !leader_alive    ? "leader_silent"
                    : probes_store_    ? "leader_lost_store"
                                       : "outdated"},
         {"leader", leader_address_},
         {"copy_age_ms", MillisecondsBetween(current_at(), now)}});
  }
  if (!leader_alive) {
    leader_store_lost_ = false;
  }
  const milliseconds watch_wait = leadership.leads || (leader_alive && outdated)
                                      ? kLeaderWatchWait
                                      : kOwnWatchWait;
  for (StoreWatcher* it : Watchers()) {
    it->SetSource(follows_leader_ ? WatchSource::kLeader : WatchSource::kStore,
                  watch_wait);
  }
}

void StoreCopies::OnLeaderHeartbeat(const StoreCopyStatus& copy_status) {
  if (copy_status.store_lost && !leader_store_lost_) {
    leader_lost_store_at_ = loop_.Now();
  }
  leader_address_ = copy_status.address;
  leader_store_lost_ = copy_status.store_lost;
  leader_lacks_entries_ = copy_status.may_lack_entries;
  for (std::size_t i = 0; i < std::min(copy_status.changed_at.size(), kKinds);
       ++i) {
    FetchChanges(i, copy_status.address, copy_status.changed_at[i],
                 copy_status.current_at);
  }
}

void StoreCopies::OnPeerWithCopies(const std::string& address) {
  for (std::size_t i = 0; i < kKinds; ++i) {
    if (!Watchers()[i]->listed()) {
      FetchChanges(i, address, 1, TimePoint{});
    }
  }
}

StoreCopyStatus StoreCopies::CopyStatus() const {
  StoreCopyStatus copy_status{.store_lost = health_.lost(),
                              .may_lack_entries = health_.MayLackEntries(),
                              .current_at = current_at()};
  for (const StoreWatcher* it : Watchers()) {
    copy_status.changed_at.push_back(it->listed() ? it->changed_at() : 0);
  }
  return copy_status;
}

TimePoint StoreCopies::current_at() const {
  TimePoint current_at = TimePoint::max();
  for (const StoreWatcher* it : Watchers()) {
    current_at = std::min(current_at, it->current_at());
  }
  return current_at;
}

bool StoreCopies::MayLackEntries() const {
  return follows_leader_ ? leader_lacks_entries_ : health_.MayLackEntries();
}

bool StoreCopies::HasLeaderLostStore(const std::string& leader_address) const {
  return leader_address == leader_address_ && leader_store_lost_ &&
         probes_store_ && !health_.lost() &&
         health_.answered_at() > leader_lost_store_at_;
}

OperatorResponse StoreCopies::HandleChangesRequest(
    const OperatorRequest& request) {
  const std::string kind = request.Query("kind");
  const auto since =
      g_ascii_strtoull(request.Query("since").c_str(), nullptr, 10);
  for (std::size_t i = 0; i < kKinds; ++i) {
    if (kind == kRelayKinds[i]) {
      return {200, "application/gzip", Watchers()[i]->ChangesSince(since)};
    }
  }
  return {404, "application/json", R"({"error":"no such kind"})"};
}

void StoreCopies::FetchChanges(std::size_t kind,
                               const std::string& address,
                               std::uint64_t changed_at,
                               TimePoint current_at) {
  StoreWatcher* watcher = Watchers()[kind];
  if (watcher->relay_since() >= changed_at) {
    watcher->ConfirmCurrent(current_at);
    return;
  }
  if (fetching_[kind]) {
    return;
  }
  fetching_[kind] = true;
  HttpCall call;
  call.url = "http://" + address + kRelayPath + "?kind=" + kRelayKinds[kind] +
             "&since=" + std::to_string(watcher->relay_since());
  call.deadline = loop_.Now() + kRelayTimeout;
  relay_client_.Send(std::move(call), [this, kind, watcher, changed_at,
                                       current_at](const HttpResponse& reply) {
    fetching_[kind] = false;
    if (reply.status != 200) {
      ++relay_failures_;
      Log(LogLevel::kWarning, "relay_failed",
          {{"kind", kRelayKinds[kind]}, {"error", reply.error}});
      return;
    }
    // The process that replied may have replaced the one that reported.
    if (watcher->ApplyChanges(reply.body) &&
        watcher->relay_since() >= changed_at) {
      watcher->ConfirmCurrent(current_at);
    }
  });
}

}  // namespace gentianreach::entry
