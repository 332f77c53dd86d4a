#include "entry/store_watcher.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <xxhash.h>

#include "base/json_text.h"
#include "base/log.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// How long a watch waits until SetSource() sets another time.
constexpr milliseconds kFirstWatchWait{4000};
// Delay after a watch that returned changes, so that the next call returns
// several changes at once. Well below the time within which a change has to
// take effect.
constexpr Duration kWatchBatchDelay = milliseconds(200);
// Delay of the watch after the first list. A daemon that has just started
// usually knows a leader by then, and needs no watch of its own.
constexpr Duration kFirstWatchDelay = milliseconds(1000);
// Timeout of a list.
constexpr Duration kListTimeout = milliseconds(1500);
// Delay of the list after one that failed. Doubles with each further failure.
constexpr Duration kFirstListRetryDelay = milliseconds(400);
constexpr std::uint32_t kMaxListRetryDoublings = 4;
// Number of changes kept for other daemons: one or two seconds of the highest
// rate.
constexpr std::size_t kMaxChanges = 256;
// Limit of their size: a change of a large object may be as large as the
// object, up to 1 MB. A daemon that lacks earlier changes gets the whole copy.
constexpr std::size_t kMaxChangesBytes = 4 << 20;

}  // namespace

std::uint64_t StoreWatcher::DigestOf(const platform::Object& object) {
  if (object.deleted) {
    return 0;
  }
  const std::string text = object.name + '/' + std::to_string(object.revision) +
                           '/' + ToJsonText(object.document);
  return XXH3_64bits(text.data(), text.size());
}

StoreWatcher::StoreWatcher(net::EventLoop& loop,
                           platform::PlatformClient& platform,
                           StoreHealth& health,
                           platform::ObjectKind kind,
                           platform::Freshness first_list,
                           Sink sink)
    : loop_(loop),
      platform_(platform),
      health_(health),
      kind_(kind),
      sink_(std::move(sink)),
      next_list_(first_list),
      watch_wait_(kFirstWatchWait),
      timer_(loop, [this] { MakeNextCall(); }) {}

void StoreWatcher::SetSource(WatchSource source,
                             milliseconds watch_wait,
                             bool urgent) {
  watch_wait_ = watch_wait;
  const bool hurried = !std::exchange(urgent_, urgent) && urgent;
  const bool switched = std::exchange(source_, source) != source;
  if (source == WatchSource::kLeader) {
    list_due_ = false;
    return;
  }
  const TimePoint now = loop_.Now();
  // A watch may have stopped receiving events, so one that waits longer than
  // from now on is replaced.
  const bool replaced = in_flight_ && watch_until_ > now + watch_wait;
  if (replaced) {
    DropCall();
  }
  if (!switched && !replaced) {
    if (hurried && listed_ && !in_flight_) {
      timer_.Set(now);
    }
    return;
  }
  list_due_ = true;
  if (!in_flight_) {
    timer_.Set(now);
  }
}

void StoreWatcher::DropCall() {
  ++generation_;
  in_flight_ = false;
}

void StoreWatcher::Relist() {
  if (source_ != WatchSource::kStore) {
    return;
  }
  DropCall();
  list_due_ = true;
  VoidWatches(loop_.Now());
  timer_.Set(loop_.Now());
}

void StoreWatcher::ConfirmCurrent(TimePoint at, TimePoint listed_at) {
  listed_at_ = std::max(listed_at_, listed_at);
  // The statement may have been made before the history was lost.
  if (at > watches_void_until_) {
    watched_until_ = std::max(watched_until_, at);
  }
}

void StoreWatcher::VoidWatches(TimePoint until) {
  watches_void_until_ = std::max(watches_void_until_, until);
  if (watched_until_ <= watches_void_until_) {
    watched_until_ = {};
  }
}

void StoreWatcher::OnRevisionBack(std::uint64_t revision) {
  if (listed_ && std::max(revision_, changed_at_) > revision) {
    RequireList();
  }
}

void StoreWatcher::RequireList() {
  ++list_requests_;
  const bool watching = in_flight_ && watch_until_ != TimePoint{};
  if (watching) {
    DropCall();
  }
  if (!in_flight_) {
    timer_.Set(loop_.Now());
  }
}

void StoreWatcher::OnStoreBack() {
  // A store that has taken its place has other changes up to the revision that
  // the next watch would begin at.
  list_due_ = list_due_ ||
              (source_ == WatchSource::kStore && health_.may_be_replaced());
  if (!in_flight_) {
    timer_.Set(loop_.Now());
  }
}

void StoreWatcher::MakeNextCall() {
  const bool follows_store = source_ == WatchSource::kStore;
  if (in_flight_ || (!follows_store && listed_ && !IsListRequired())) {
    return;
  }
  const TimePoint call_at = health_.ReserveNextCall();
  if (call_at > loop_.Now()) {
    timer_.Set(call_at);
    return;
  }
  // A list costs as much as a watch. It also returns changes that a watch would
  // not report, which otherwise become known only when the history is dropped.
  const bool is_list_useful = list_due_ || IsListRequired();
  // Watches find out sooner that the store is back, and go on while it is too
  // slow for lists.
  const bool may_list =
      !health_.lost() && !health_.suspected() && loop_.Now() >= next_list_at_;
  Call(!listed_ || needs_full_copy_ || (is_list_useful && may_list));
}

void StoreWatcher::Call(bool list) {
  in_flight_ = true;
  const TimePoint now = loop_.Now();
  // While the store is unreachable, or may be, watches wait only briefly, so
  // that this is found out soon.
  constexpr milliseconds kProbeWait{1};
  const bool probes = health_.lost() || health_.suspected();
  const milliseconds wait = probes               ? kProbeWait
                            : changed_last_call_ ? watch_wait_ / 2
                                                 : watch_wait_;
  const auto first_freshness =
      list ? std::exchange(next_list_, platform::Freshness::kCurrent)
           : platform::Freshness::kCurrent;
  const auto freshness =
      IsListRequired() ? platform::Freshness::kCurrent : first_freshness;
  const bool may_be_stale = freshness == platform::Freshness::kMayBeStale;
  const PendingCall call{.list = list,
                         .revision = revision_,
                         .outside_changes = outside_changes_,
                         .may_be_stale = may_be_stale,
                         .list_requests = list_requests_,
                         .current_at = may_be_stale ? TimePoint{} : now,
                         .empty_current_at = now + wait};
  const auto on_reply =
      [this, call, generation = generation_](const platform::ListReply& reply) {
        if (generation != generation_) {
          return;
        }
        in_flight_ = false;
        OnReply(reply, call);
      };
  if (list) {
    watch_until_ = {};
    platform_.List(kind_, freshness, now + kListTimeout, on_reply);
  } else {
    watch_until_ = now + wait;
    platform_.Watch(kind_, revision_, wait, on_reply);
  }
}

void StoreWatcher::OnReply(const platform::ListReply& reply,
                           const PendingCall& call) {
  const TimePoint now = loop_.Now();
  switch (reply.status) {
    case platform::CallStatus::kOk:
      health_.OnResponse();
      OnObjects(reply, call);
      return;
    case platform::CallStatus::kHistoryGone:
      health_.OnResponse();
      Log(LogLevel::kWarning, "store_history_gone",
          {{"kind", platform::ToString(kind_)},
           {"call", call.list ? "list" : "watch"},
           {"revision", revision_},
           {"listed_revision", listed_revision_}});
      list_due_ = source_ == WatchSource::kStore;
      health_.OnHistoryGone();
      timer_.Set(now);
      return;
    default:
      Log(LogLevel::kWarning, "store_call_failed",
          {{"kind", platform::ToString(kind_)},
           {"call", call.list ? "list" : "watch"},
           {"error", reply.error}});
      if (call.list) {
        const auto doublings = std::min(failed_lists_, kMaxListRetryDoublings);
        next_list_at_ = now + kFirstListRetryDelay * (1U << doublings);
        ++failed_lists_;
      }
      if (reply.rate_limited) {
        health_.OnRateLimited();
      } else {
        // A list may have taken too long for its timeout.
        health_.OnFailure(reply.answered || call.list);
      }
      timer_.Set(now);
  }
}

bool StoreWatcher::IsOvertaken(const platform::ListReply& reply,
                               const PendingCall& call) const {
  return (call.may_be_stale || call.outside_changes != outside_changes_) &&
         reply.revision < std::max(revision_, changed_at_);
}

void StoreWatcher::OnObjects(const platform::ListReply& reply,
                             const PendingCall& call) {
  const TimePoint now = loop_.Now();
  const bool changed = !reply.objects.empty() || reply.unnamed > 0;
  changed_last_call_ = !call.list && changed;
  if (call.list) {
    listed_revision_ = reply.revision;
    if (IsOvertaken(reply, call)) {
      list_due_ = source_ == WatchSource::kStore;
      timer_.Set(now);
      return;
    }
  }
  if (reply.revision < call.revision) {
    Log(LogLevel::kWarning, "store_revision_back",
        {{"kind", platform::ToString(kind_)},
         {"call", call.list ? "list" : "watch"},
         {"revision", reply.revision},
         {"before", revision_}});
    if (!call.list) {
      list_due_ = true;
      timer_.Set(now);
      return;
    }
    FollowFrom(reply.revision);
    health_.OnRevisionBack(reply.revision);
  }
  if (call.list && revision_ == 0 && !urgent_) {
    timer_.Set(now + kFirstWatchDelay);
  } else {
    timer_.Set(call.list || !changed ? now : now + kWatchBatchDelay);
  }
  NoteUnreadable(reply, call.list);
  if (call.list) {
    list_due_ = false;
    served_list_requests_ = call.list_requests;
    failed_lists_ = 0;
    next_list_at_ = {};
    ApplyList(reply.objects, reply.revision);
    listed_at_ = std::max(listed_at_, call.current_at);
  } else {
    ApplyEvents(reply.objects, reply.revision);
    watched_until_ = std::max(
        watched_until_,
        changed ? call.current_at : std::min(now, call.empty_current_at));
  }
}

void StoreWatcher::FollowFrom(std::uint64_t revision) {
  revision_ = revision;
  changed_at_ = revision;
  changes_.clear();
  changes_bytes_ = 0;
  changes_from_ = revision;
  earlier_digests_.clear();
}

void StoreWatcher::NoteUnreadable(const platform::ListReply& reply, bool list) {
  const auto known = list ? std::exchange(unreadable_, {}) : unreadable_;
  for (const platform::Object& it : reply.objects) {
    if (it.readable || it.deleted) {
      unreadable_.erase(it.name);
      continue;
    }
    ++unreadable_objects_;
    unreadable_.insert(it.name);
    if (!known.contains(it.name)) {
      Log(LogLevel::kWarning, "store_object_unreadable",
          {{"kind", platform::ToString(kind_)},
           {"name", it.name},
           {"revision", it.revision}});
    }
  }
  unreadable_objects_ += reply.unnamed;
  if (reply.unnamed > 0) {
    Log(LogLevel::kWarning, "store_objects_unnamed",
        {{"kind", platform::ToString(kind_)},
         {"objects", reply.unnamed},
         {"revision", reply.revision}});
  }
}

void StoreWatcher::RecordChange(const platform::Object& object,
                                std::uint64_t digest,
                                std::uint64_t revision,
                                ChangeForm form) {
  const auto known = objects_.find(object.name);
  const platform::Object* before =
      form == ChangeForm::kWhole || known == objects_.end() ? nullptr
                                                            : &known->second;
  // Also kept while another daemon leads, since this one may become the leader.
  KeepChange({revision, ToJsonText(EncodeChange(before, object))});
  earlier_digests_.push_back(digest_);
  if (earlier_digests_.size() > kMaxChanges) {
    earlier_digests_.pop_front();
  }
  if (known != objects_.end()) {
    digest_ -= object_digests_[object.name];
  }
  if (object.deleted) {
    objects_.erase(object.name);
    object_digests_.erase(object.name);
  } else {
    digest_ += digest;
    object_digests_[object.name] = digest;
    objects_[object.name] = object;
  }
  changed_at_ = revision;
  learned_at_ = loop_.Now();
}

void StoreWatcher::KeepChange(Change change) {
  changes_bytes_ += change.entry.size();
  changes_.push_back(std::move(change));
  while (changes_.size() > kMaxChanges || changes_bytes_ > kMaxChangesBytes) {
    changes_bytes_ -= changes_.front().entry.size();
    changes_from_ = changes_.front().revision;
    changes_.pop_front();
  }
}

void StoreWatcher::ApplyList(const std::vector<platform::Object>& objects,
                             std::uint64_t revision) {
  // By pointer: a list of all servers is too large for copies.
  std::map<std::string_view, const platform::Object*> present;
  for (const platform::Object& it : objects) {
    if (!it.deleted) {
      present.emplace(it.name, &it);
    }
  }
  // Objects that are missing are relayed as deleted.
  std::vector<platform::Object> missing;
  for (const auto& [name, it] : objects_) {
    if (!present.contains(name)) {
      missing.push_back(it);
      missing.back().deleted = true;
    }
  }
  std::vector<const platform::Object*> changed;
  changed.reserve(missing.size() + present.size());
  for (const platform::Object& it : missing) {
    changed.push_back(&it);
  }
  for (const auto& [name, it] : present) {
    const auto known = object_digests_.find(it->name);
    if (known == object_digests_.end() || known->second != DigestOf(*it)) {
      changed.push_back(it);
    }
  }
  if (!listed_ && revision_ == 0) {
    changes_from_ = revision;
  }
  listed_ = true;
  needs_full_copy_ = false;
  revision_ = std::max(revision_, revision);
  // Other daemons may know states between the two of this copy, so that a patch
  // would not apply there.
  for (const platform::Object* it : changed) {
    RecordChange(*it, DigestOf(*it), revision_, ChangeForm::kWhole);
  }
  sink_.on_list(objects);
}

void StoreWatcher::ApplyEvents(const std::vector<platform::Object>& objects,
                               std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
  std::vector<platform::Object> changed;
  for (const platform::Object& it : objects) {
    if (IsNewer(it, Find(it.name))) {
      RecordChange(it, DigestOf(it), revision_, ChangeForm::kPatch);
      changed.push_back(it);
    }
  }
  if (!changed.empty()) {
    sink_.on_events(changed);
  }
}

const platform::Object* StoreWatcher::Find(const std::string& name) const {
  const auto known = objects_.find(name);
  return known == objects_.end() ? nullptr : &known->second;
}

bool StoreWatcher::IsNewer(const platform::Object& object,
                           const platform::Object* known) {
  if (known == nullptr) {
    return true;
  }
  // The daemon's own writes are already in the copy; see Put(). A removal may
  // bear the revision of the last change of the object.
  return object.deleted ? known->revision <= object.revision
                        : known->revision < object.revision;
}

void StoreWatcher::Put(const platform::Object& object) {
  const auto known = objects_.find(object.name);
  if (known != objects_.end() && known->second.revision >= object.revision) {
    if (known->second.revision > object.revision ||
        known->second.document != object.document) {
      // A later state, or one from before the store's counter went back.
      RequireList();
    }
    return;
  }
  ++outside_changes_;
  // The copy may be incomplete up to the object's revision, so `revision_`
  // stays; but daemons that follow this copy have to see the change.
  RecordChange(object, DigestOf(object),
               std::max({changed_at_, revision_, object.revision}),
               ChangeForm::kPatch);
  sink_.on_events({object});
}

}  // namespace gentianreach::entry
