#include "settings/settings_relay.h"

#include <algorithm>
#include <utility>

#include "gentianreach/check.h"
#include "settings/stored_version.h"
#include "settings/text_delta.h"

namespace gentianreach::settings {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A daemon that starts relies on responses of other members only after the
// responses of its previous incarnation have expired, with a margin for clock
// drift.
constexpr Duration kSyncDelay =
    SettingsRelay::kResponseLifetime + milliseconds(200);
constexpr Duration kQueryInterval = milliseconds(400);
constexpr Duration kPullTimeout = milliseconds(500);
constexpr Duration kCellGossipInterval = seconds(1);
constexpr Duration kOthersGossipInterval = seconds(3);
// Daemons outside the cell that are notified of a new version.
constexpr std::size_t kFanOut = 3;
constexpr std::size_t kSpareQueries = 1;
constexpr Duration kBroadcastInterval = seconds(1);
constexpr Duration kWatcherSilenceTimeout = seconds(2);
constexpr Duration kTakeoverDelayPerRank = milliseconds(400);
constexpr Duration kWatchTimeout = seconds(5);
constexpr Duration kReadTimeout = seconds(2);
constexpr Duration kStoreRetry = milliseconds(300);
constexpr Duration kMaxStoreFailureTime = seconds(2);
constexpr Duration kWatcherRetryDelay = seconds(4);
constexpr Duration kContactTimeout = seconds(30);
// The interval between the store calls of one cell grows with the number of
// cells, so that their total rate stays constant, within these bounds.
constexpr Duration kWatchSpacingPerCell = milliseconds(20);
constexpr Duration kMinWatchSpacing = seconds(1);
constexpr Duration kMaxWatchSpacing = seconds(10);
// Spreads the first store reads of daemons that all start at the same time.
constexpr Duration kFirstReadSpreadPerDaemon = milliseconds(1);
constexpr std::size_t kMaxRecentVersions = 8;

template <typename T>
peer::MessageUnion ToUnion(T message) {
  peer::MessageUnion result;
  result.Set(std::move(message));
  return result;
}

}  // namespace

bool MayServe(SyncStatus sync_status, bool idempotent) {
  switch (sync_status) {
    case SyncStatus::kNone:
      return false;
    case SyncStatus::kCurrent:
    case SyncStatus::kStoreSilent:
      return true;
    case SyncStatus::kCutOff:
      return idempotent;
  }
  return false;
}

std::string_view ToString(SyncStatus sync_status) {
  switch (sync_status) {
    case SyncStatus::kNone:
      return "none";
    case SyncStatus::kCurrent:
      return "current";
    case SyncStatus::kStoreSilent:
      return "store-silent";
    case SyncStatus::kCutOff:
      return "cut-off";
  }
  return "unknown";
}

SettingsRelay::SettingsRelay(DaemonId self, std::uint64_t seed, TimePoint now)
    : self_(std::move(self)),
      random_(seed),
      started_at_(now),
      next_query_at_(now),
      gossip_cell_at_(now),
      gossip_others_at_(now),
      pull_timeout_at_(now),
      watcher_last_seen_(now),
      watch_allowed_at_(now),
      broadcast_at_(now),
      call_started_at_(now),
      next_call_at_(now) {}

void SettingsRelay::SetMembers(std::vector<DaemonId> cell,
                               std::vector<DaemonId> others) {
  std::ranges::sort(cell);
  std::erase(cell, self_);
  std::erase(others, self_);
  const bool first = !std::exchange(members_known_, true);
  cell_ = std::move(cell);
  others_ = std::move(others);
  std::erase_if(peers_, [&](const auto& it) {
    return !std::ranges::binary_search(cell_, it.first);
  });
  if (!first || others_.empty()) {
    return;
  }
  const auto spread = kFirstReadSpreadPerDaemon * others_.size();
  next_call_at_ += Duration(PickIndex(spread.count() + 1));
}

std::size_t SettingsRelay::PickIndex(std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

std::size_t SettingsRelay::Rank() const {
  return static_cast<std::size_t>(std::ranges::lower_bound(cell_, self_) -
                                  cell_.begin());
}

std::size_t SettingsRelay::HoldersNeeded() const {
  if (cell_.empty()) {
    return 0;
  }
  // Up to a third of the members may be lost without blocking activation.
  const std::size_t spare = (cell_.size() + 1) / 3;
  return std::max<std::size_t>(1, std::min(spare + 1, cell_.size() - spare));
}

std::size_t SettingsRelay::ResponsesNeeded() const {
  // Any set of this many members includes at least one holder of every version
  // that was activated.
  return cell_.size() + 1 - HoldersNeeded();
}

Duration SettingsRelay::WatchSpacing() const {
  const std::size_t cells = 1 + others_.size() / (cell_.size() + 1);
  return std::clamp<Duration>(kWatchSpacingPerCell * cells, kMinWatchSpacing,
                              kMaxWatchSpacing);
}

void SettingsRelay::OnMessage(const DaemonId& from,
                              const peer::MessageUnion& message,
                              TimePoint now) {
  if (const auto* notice = message.AsSettingsNotice()) {
    OnNotice(from, *notice, now);
  }
  if (const auto* request = message.AsSettingsRequest()) {
    OnRequest(from, *request);
  }
  if (const auto* update = message.AsSettingsUpdate()) {
    OnUpdate(from, *update, now);
  }
  Advance(now);
}

void SettingsRelay::OnNotice(const DaemonId& from,
                             const peer::SettingsNoticeT& notice,
                             TimePoint now) {
  const bool in_cell = std::ranges::binary_search(cell_, from);
  if (in_cell) {
    Peer& it = peers_[from];
    it.active_version = notice.active_version;
    it.last_seen = now;
    if (const auto query = pending_queries_.find(notice.echo);
        query != pending_queries_.end()) {
      it.held = notice.version;
      it.synced = notice.synced;
      it.queried_at = query->second;
    }
  }
  if (notice.watching && in_cell && (!watching_ || from < self_)) {
    watcher_last_seen_ = now;
    watching_ = false;
  }
  const bool same = held_ && notice.version == held_->number;
  if (same && notice.digest != held_->digest) {
    ++counters_.digest_conflicts;
  }
  // A peer's confirmation that its version is the newest also applies to this
  // daemon's version if that is not older.
  const TimePoint proof = now - milliseconds(std::min<std::uint64_t>(
                                    notice.proof_age_ms, 1'000'000'000));
  if (notice.version != 0 && notice.version <= HeldNumber() &&
      (!proof_at_ || *proof_at_ < proof)) {
    proof_at_ = proof;
  }
  const bool behind =
      notice.version > HeldNumber() && notice.version != rejected_;
  if (behind) {
    Pull(from, HeldNumber(), now);
  }
  if (notice.seq == 0) {
    // The sender is behind: notify it of the newer version.
    if (notice.version < HeldNumber() && notice.echo == 0) {
      SendNotice(from, 0, 0, now);
    }
    return;
  }
  if (behind && in_cell) {
    peers_[from].deferred_echo = notice.seq;
    peers_[from].deferred_version = notice.version;
    return;
  }
  SendNotice(from, 0, notice.seq, now);
}

void SettingsRelay::Pull(const DaemonId& from,
                         std::uint64_t have,
                         TimePoint now) {
  if (now < pull_timeout_at_) {
    return;
  }
  pull_timeout_at_ = now + kPullTimeout;
  peer::SettingsRequestT request;
  request.have = have;
  outgoing_.push_back({from, ToUnion(request)});
}

void SettingsRelay::OnRequest(const DaemonId& from,
                              const peer::SettingsRequestT& request) {
  if (!held_ || request.have >= held_->number) {
    return;
  }
  peer::SettingsUpdateT update;
  update.version = held_->number;
  update.digest = held_->digest;
  const auto base = std::ranges::find(
      recent_, request.have, [](const auto& it) { return it->number; });
  if (base == recent_.end()) {
    update.text = held_->text;
  } else {
    TextDelta delta = MakeDelta((*base)->text, held_->text);
    update.base = request.have;
    update.offset = delta.offset;
    update.removed = delta.removed;
    update.text = std::move(delta.inserted);
  }
  outgoing_.push_back({from, ToUnion(std::move(update))});
}

void SettingsRelay::OnUpdate(const DaemonId& from,
                             const peer::SettingsUpdateT& update,
                             TimePoint now) {
  if (update.version <= HeldNumber() || update.version == rejected_) {
    return;
  }
  pull_timeout_at_ = now;
  std::optional<std::string> text = update.text;
  if (update.base != 0) {
    text.reset();
    if (update.base == HeldNumber()) {
      text =
          ApplyDelta(held_->text, {update.offset, update.removed, update.text});
    }
  }
  if (!text || DigestOf(*text) != update.digest) {
    ++counters_.bad_updates;
    Pull(from, 0, now);
    return;
  }
  if (Hold(update.version, *std::move(text), now) && update.base != 0) {
    ++counters_.deltas;
  }
}

bool SettingsRelay::Hold(std::uint64_t number,
                         std::string text,
                         TimePoint now) {
  LoadResult loaded = LoadSettings(text, "settings/current");
  if (!loaded.ok()) {
    ++counters_.rejected;
    rejected_ = number;
    rejection_ = std::move(loaded.errors);
    return false;
  }
  loaded.tree->version = number;
  auto version = std::make_shared<VersionText>();
  version->number = number;
  version->digest = DigestOf(text);
  version->text = std::move(text);
  version->tree = std::move(loaded.tree);
  held_ = std::move(version);
  recent_.push_back(held_);
  if (recent_.size() > kMaxRecentVersions) {
    recent_.pop_front();
  }
  ++counters_.updates;
  next_query_at_ = now;
  for (std::size_t i = 0; i < std::min(kFanOut, others_.size()); ++i) {
    SendNotice(others_[PickIndex(others_.size())], 0, 0, now);
  }
  SendDeferredEchoes(now);
  return true;
}

void SettingsRelay::SendDeferredEchoes(TimePoint now) {
  for (auto& [id, it] : peers_) {
    if (it.deferred_echo == 0 || it.deferred_version > HeldNumber()) {
      continue;
    }
    SendNotice(id, 0, std::exchange(it.deferred_echo, 0), now);
  }
}

void SettingsRelay::SendNotice(const DaemonId& to,
                               std::uint64_t seq,
                               std::uint64_t echo,
                               TimePoint now) {
  peer::SettingsNoticeT notice;
  notice.version = HeldNumber();
  notice.digest = held_ ? held_->digest : 0;
  notice.active_version = active_ ? active_->number : 0;
  notice.synced = synced_;
  const auto age = proof_at_ ? now - *proof_at_ : Duration(seconds(1'000'000));
  notice.proof_age_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(age).count());
  notice.seq = seq;
  notice.echo = echo;
  notice.watching = watching_;
  outgoing_.push_back({to, ToUnion(notice)});
}

void SettingsRelay::Tick(TimePoint now) {
  Advance(now);
  QueryMembers(now);
  UpdateWatcher(now);
  Gossip(now);
}

void SettingsRelay::Advance(TimePoint now) {
  TryToSync(now);
  TryToActivate(now);
}

void SettingsRelay::QueryMembers(TimePoint now) {
  const bool settled = synced_ && (!held_ || active_ == held_);
  if (settled || cell_.empty() || now < next_query_at_) {
    return;
  }
  next_query_at_ = now + kQueryInterval;
  const TimePoint oldest = now - kResponseLifetime;
  std::erase_if(pending_queries_,
                [&](const auto& it) { return it.second < oldest; });
  const std::uint64_t seq = ++last_seq_;
  pending_queries_[seq] = now;
  const std::size_t wanted =
      synced_ ? HoldersNeeded() + kSpareQueries : cell_.size();
  // Each round continues after the last member queried, so that unresponsive
  // members do not use up every round.
  for (std::size_t i = 0; i < std::min(wanted, cell_.size()); ++i) {
    SendNotice(cell_[next_query_member_++ % cell_.size()], seq, 0, now);
  }
}

void SettingsRelay::TryToSync(TimePoint now) {
  if (synced_ || cell_.empty() || now < started_at_ + kSyncDelay) {
    return;
  }
  std::size_t responses = 0;
  for (const auto& [id, it] : peers_) {
    const bool counts =
        it.synced && it.queried_at && *it.queried_at >= started_at_;
    if (!counts) {
      continue;
    }
    if (it.held > HeldNumber()) {
      return;
    }
    ++responses;
  }
  synced_ = HeldNumber() != 0 && responses >= ResponsesNeeded();
}

void SettingsRelay::TryToActivate(TimePoint now) {
  if (!members_known_ || !synced_ || !held_ || active_ == held_) {
    return;
  }
  std::size_t holders = 0;
  for (const auto& [id, it] : peers_) {
    const bool counts = it.held >= held_->number && it.queried_at &&
                        now - *it.queried_at < kResponseLifetime;
    holders += counts ? 1 : 0;
  }
  if (holders < HoldersNeeded()) {
    return;
  }
  GENTIANREACH_CHECK(!active_ || active_->number < held_->number);
  active_ = held_;
}

void SettingsRelay::UpdateWatcher(TimePoint now) {
  const TimePoint watcher_timeout_at = watcher_last_seen_ +
                                       kWatcherSilenceTimeout +
                                       kTakeoverDelayPerRank * Rank();
  // The only member of a cell need not wait for another watcher to time out.
  const bool vacant = cell_.empty() || now >= watcher_timeout_at;
  if (!watching_ && vacant && now >= watch_allowed_at_) {
    watching_ = true;
    broadcast_at_ = now;
  }
  if (!watching_ || now < broadcast_at_) {
    return;
  }
  broadcast_at_ = now + kBroadcastInterval;
  for (const DaemonId& it : cell_) {
    SendNotice(it, 0, 0, now);
  }
}

void SettingsRelay::Gossip(TimePoint now) {
  if (now >= gossip_cell_at_ && !cell_.empty()) {
    gossip_cell_at_ = now + kCellGossipInterval;
    SendNotice(cell_[PickIndex(cell_.size())], 0, 0, now);
  }
  if (now >= gossip_others_at_ && !others_.empty()) {
    gossip_others_at_ = now + kOthersGossipInterval;
    SendNotice(others_[PickIndex(others_.size())], 0, 0, now);
  }
}

std::vector<RelayMessage> SettingsRelay::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::optional<store::Call> SettingsRelay::PollStore(TimePoint now) {
  // Only the watcher and daemons that are not synced yet call the store.
  const bool reads = watching_ || !synced_;
  if (call_in_progress_ || !reads || now < next_call_at_) {
    return std::nullopt;
  }
  if (!synced_) {
    store_step_ = StoreStep::kRead;
  }
  call_in_progress_ = true;
  call_started_at_ = now;
  store::Call call;
  call.name = std::string(kCurrentName);
  call.kind = store_step_ == StoreStep::kRead ? store::CallKind::kRead
                                              : store::CallKind::kWatch;
  call.revision = revision_;
  call.deadline =
      now + (store_step_ == StoreStep::kRead ? kReadTimeout : kWatchTimeout);
  return call;
}

void SettingsRelay::OnStoreReply(const store::Reply& reply, TimePoint now) {
  call_in_progress_ = false;
  if (store_step_ == StoreStep::kRead) {
    OnReadReply(reply, now);
  } else {
    OnWatchReply(reply, now);
  }
  Advance(now);
}

void SettingsRelay::OnWatchReply(const store::Reply& reply, TimePoint now) {
  if (reply.status != store::Status::kOk) {
    OnStoreFailure(now);
    return;
  }
  store_failing_since_.reset();
  revision_ = reply.revision;
  if (!reply.names.empty()) {
    store_step_ = StoreStep::kRead;
    return;
  }
  proof_at_ = std::max(proof_at_.value_or(call_started_at_), call_started_at_);
  next_call_at_ = std::max(now, call_started_at_ + WatchSpacing());
}

void SettingsRelay::OnReadReply(const store::Reply& reply, TimePoint now) {
  const bool completed = reply.status == store::Status::kOk ||
                         reply.status == store::Status::kAbsent;
  const auto version = Decode(reply.bytes);
  const bool readable = reply.status == store::Status::kAbsent || version;
  if (!completed || !readable) {
    OnStoreFailure(now);
    return;
  }
  store_failing_since_.reset();
  store_step_ = StoreStep::kWatch;
  next_call_at_ = now + WatchSpacing();
  if (reply.status == store::Status::kAbsent) {
    // No version was ever accepted, so no daemon can be behind.
    synced_ = true;
    return;
  }
  const bool newer =
      version->number > HeldNumber() && version->number != rejected_;
  if (newer && !Hold(version->number, version->text, now)) {
    return;
  }
  if (version->number <= HeldNumber()) {
    synced_ = true;
    proof_at_ =
        std::max(proof_at_.value_or(call_started_at_), call_started_at_);
  }
}

void SettingsRelay::OnStoreFailure(TimePoint now) {
  next_call_at_ = now + kStoreRetry;
  if (!store_failing_since_) {
    store_failing_since_ = now;
  }
  // Give up the role, since another member may be able to reach the store.
  if (watching_ && now - *store_failing_since_ >= kMaxStoreFailureTime) {
    watching_ = false;
    store_failing_since_.reset();
    watcher_last_seen_ = now;
    watch_allowed_at_ = now + kWatcherRetryDelay;
    store_step_ = StoreStep::kWatch;
    revision_ = 0;
  }
}

SyncStatus SettingsRelay::SyncStatusAt(TimePoint now) const {
  if (!active_) {
    return SyncStatus::kNone;
  }
  const bool confirmed =
      proof_at_ && now - *proof_at_ < kProofLifetime && active_ == held_;
  if (confirmed) {
    return SyncStatus::kCurrent;
  }
  const auto in_contact = static_cast<std::size_t>(
      std::ranges::count_if(peers_, [&](const auto& it) {
        return it.second.last_seen &&
               now - *it.second.last_seen < kContactTimeout;
      }));
  // Without other members no one could know of a newer version, so the daemon
  // counts as cut off.
  return !cell_.empty() && in_contact >= ResponsesNeeded()
             ? SyncStatus::kStoreSilent
             : SyncStatus::kCutOff;
}

std::map<DaemonId, std::uint64_t> SettingsRelay::MemberVersions() const {
  std::map<DaemonId, std::uint64_t> versions;
  for (const DaemonId& it : cell_) {
    const auto peer = peers_.find(it);
    versions[it] = peer == peers_.end() ? 0 : peer->second.active_version;
  }
  return versions;
}

}  // namespace gentianreach::settings
