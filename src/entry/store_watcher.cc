#include "entry/store_watcher.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <xxhash.h>

#include "base/gzip.h"
#include "base/log.h"
#include "base/merge_patch.h"

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
// Longest delay between calls while the store is unreachable.
constexpr Duration kLongestRetryDelay = milliseconds(800);
// Delay of the list after one that failed. Doubles with each further failure.
constexpr Duration kFirstListRetryDelay = milliseconds(400);
constexpr std::uint32_t kMaxListRetryDoublings = 4;
// Longest delay of the lists after repeated losses of the history. Below the
// time within which a change has to take effect.
constexpr Duration kLongestRelistDelay = milliseconds(800);
// Live servers write their entries again within about two seconds after the
// store has recovered. An entry that is still missing then belongs to a server
// that is gone.
constexpr Duration kReregistrationTime = milliseconds(2000);
// Number of changes kept for other daemons: one or two seconds of the highest
// rate.
constexpr std::size_t kMaxChanges = 256;
// Limit of the decompressed changes. A copy of all objects of one kind has
// about 100 KB with 230 servers.
constexpr std::size_t kMaxRelayedBytes = 64 << 20;

// Returns the part of an object in the digest of a copy, which is the sum of
// these: it does not depend on the order of the objects.
std::uint64_t DigestOf(const platform::Object& object) {
  const std::string text =
      object.name + '/' + std::to_string(object.revision) + '/' +
      object.document.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace);
  return XXH3_64bits(text.data(), text.size());
}

// Returns a change in the form that is relayed to other daemons: as a merge
// patch of the previous object if possible, else as the whole object.
nlohmann::json EncodeChange(const platform::Object* before,
                            const platform::Object& object) {
  nlohmann::json entry = {{"name", object.name},
                          {"revision", object.revision},
                          {"deleted", object.deleted}};
  if (object.deleted) {
    return entry;
  }
  std::optional<nlohmann::json> patch;
  if (before != nullptr) {
    patch = MakeMergePatch(before->document, object.document);
  }
  if (patch) {
    entry["from"] = before->revision;
    entry["patch"] = *std::move(patch);
  } else {
    entry["object"] = object.document;
  }
  return entry;
}

}  // namespace

void StoreHealth::OnResponse() {
  const bool lacked_entries = lost_ && MayLackEntries();
  answered_at_ = loop_.Now();
  retry_delay_ = kFirstRetryDelay;
  next_call_at_ = {};
  if (!std::exchange(lost_, false)) {
    return;
  }
  if (lacked_entries) {
    entries_lacking_until_ = answered_at_ + kReregistrationTime;
  }
  if (on_change) {
    on_change(false);
  }
  may_be_replaced_ = false;
}

void StoreHealth::OnFailure(bool answered) {
  may_be_replaced_ = may_be_replaced_ || !answered;
  failed_at_ = loop_.Now();
  next_call_at_ = failed_at_ + retry_delay_;
  if (std::exchange(lost_, true)) {
    return;
  }
  if (on_change) {
    on_change(true);
  }
}

bool StoreHealth::MayLackEntries() const {
  const TimePoint now = loop_.Now();
  if (!lost_) {
    return now < entries_lacking_until_;
  }
  const TimePoint answered_at = std::max(answered_at_, answered_other_at_);
  return answered_at < entries_lacking_until_ ||
         now >= answered_at + shortest_expiry_;
}

void StoreHealth::OnHistoryGone() {
  ++history_losses_;
  const TimePoint now = loop_.Now();
  if (now >= deferred_until_ + kLongestRelistDelay) {
    relist_delay_ = kFirstRetryDelay;
    deferred_until_ = now;
  } else {
    deferred_until_ = std::max(deferred_until_, now) + relist_delay_;
    relist_delay_ = std::min(relist_delay_ * 2, kLongestRelistDelay);
  }
  if (on_history_gone) {
    on_history_gone();
  }
}

void StoreHealth::OnRevisionBack(std::uint64_t revision) {
  ++revisions_back_;
  if (on_revision_back) {
    on_revision_back(revision);
  }
}

TimePoint StoreHealth::ReserveNextCall() {
  const TimePoint now = loop_.Now();
  if (now < deferred_until_) {
    return deferred_until_;
  }
  if (!lost_) {
    return now;
  }
  if (now >= next_call_at_) {
    next_call_at_ = now + retry_delay_;
    // Calls that were in flight when the store was lost also fail, but say
    // nothing about how long it will be away.
    retry_delay_ = std::min(retry_delay_ * 2, kLongestRetryDelay);
    return now;
  }
  return next_call_at_;
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
  watched_until_ = {};
  timer_.Set(loop_.Now());
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
  const bool may_list = !health_.lost() && loop_.Now() >= next_list_at_;
  Call(!listed_ || needs_full_copy_ || (is_list_useful && may_list));
}

void StoreWatcher::Call(bool list) {
  in_flight_ = true;
  const TimePoint now = loop_.Now();
  // While the store is unreachable, watches wait only briefly, so that its
  // recovery is detected soon.
  constexpr milliseconds kProbeWait{1};
  const milliseconds wait = health_.lost()       ? kProbeWait
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
      // A list may have taken too long for its timeout.
      health_.OnFailure(reply.answered || call.list);
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
    ConfirmCurrent(call.current_at);
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
  changes_from_ = revision;
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
                                std::uint64_t revision,
                                ChangeForm form) {
  const auto known = objects_.find(object.name);
  const platform::Object* before =
      form == ChangeForm::kWhole || known == objects_.end() ? nullptr
                                                            : &known->second;
  // Also kept while another daemon leads, since this one may become the leader.
  changes_.push_back({revision, EncodeChange(before, object), digest_});
  if (known != objects_.end()) {
    digest_ -= object_digests_[object.name];
  }
  if (object.deleted) {
    objects_.erase(object.name);
    object_digests_.erase(object.name);
  } else {
    const std::uint64_t digest = DigestOf(object);
    digest_ += digest;
    object_digests_[object.name] = digest;
    objects_[object.name] = object;
  }
  changed_at_ = revision;
  learned_at_ = loop_.Now();
  if (changes_.size() > kMaxChanges) {
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
    RecordChange(*it, revision_, ChangeForm::kWhole);
  }
  sink_.on_list(objects);
}

void StoreWatcher::ApplyEvents(const std::vector<platform::Object>& objects,
                               std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
  std::vector<platform::Object> changed;
  for (const platform::Object& it : objects) {
    if (IsNewer(it)) {
      RecordChange(it, revision_, ChangeForm::kPatch);
      changed.push_back(it);
    }
  }
  if (!changed.empty()) {
    sink_.on_events(changed);
  }
}

bool StoreWatcher::IsNewer(const platform::Object& object) const {
  const auto known = objects_.find(object.name);
  if (known == objects_.end()) {
    return true;
  }
  // The daemon's own writes are already in the copy; see Put(). A removal may
  // bear the revision of the last change of the object.
  return object.deleted ? known->second.revision <= object.revision
                        : known->second.revision < object.revision;
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
  RecordChange(object, std::max({changed_at_, revision_, object.revision}),
               ChangeForm::kPatch);
  sink_.on_events({object});
}

const std::string& StoreWatcher::ChangesSince(std::uint64_t since) {
  const std::uint64_t at = std::max(revision_, changed_at_);
  if (!response_.empty() && response_since_ == since && response_at_ == at &&
      response_digest_ == digest_) {
    return response_;
  }
  response_since_ = since;
  response_at_ = at;
  response_digest_ = digest_;
  nlohmann::json list = nlohmann::json::array();
  const bool full = since == 0 || since < changes_from_ || since > at;
  if (full) {
    for (const auto& [name, it] : objects_) {
      list.push_back(EncodeChange(nullptr, it));
    }
  } else {
    for (const Change& it : changes_) {
      if (it.revision > since) {
        list.push_back(it.entry);
      }
    }
  }
  response_ = Compress(nlohmann::json{
      {"revision", at},
      {"digest", digest_},
      {"listed", listed_},
      {"whole", full},
      {"objects",
       std::move(list)}}.dump());
  return response_;
}

bool StoreWatcher::HasStateOf(const nlohmann::json& entry,
                              std::uint64_t complete_to) const {
  // A removal may bear the revision of the last change of the object.
  if (entry.at("deleted").get<bool>()) {
    return false;
  }
  const auto revision = entry.at("revision").get<std::uint64_t>();
  const auto known = objects_.find(entry.at("name").get<std::string>());
  // An object that a complete copy lacks has been removed since.
  return known == objects_.end() ? revision <= complete_to
                                 : revision <= known->second.revision;
}

std::optional<platform::Object> StoreWatcher::DecodeEntry(
    nlohmann::json& entry) const {
  platform::Object object{entry.at("name").get<std::string>(),
                          entry.at("revision").get<std::uint64_t>(),
                          entry.at("deleted").get<bool>(),
                          {}};
  if (entry.contains("object")) {
    object.document = std::move(entry.at("object"));
    return object;
  }
  if (object.deleted) {
    return object;
  }
  const auto known = objects_.find(object.name);
  if (known == objects_.end() ||
      known->second.revision != entry.at("from").get<std::uint64_t>()) {
    return std::nullopt;
  }
  object.document = known->second.document;
  object.document.merge_patch(entry.at("patch"));
  return object;
}

void StoreWatcher::LogUnusableChanges(std::string_view error) const {
  Log(LogLevel::kWarning, "relayed_changes_unusable",
      {{"kind", platform::ToString(kind_)}, {"error", error}});
}

std::optional<nlohmann::json> StoreWatcher::DecodeChanges(
    const std::string& changes) const {
  const auto text = Decompress(changes, kMaxRelayedBytes);
  if (!text) {
    LogUnusableChanges("cannot be decompressed");
    return std::nullopt;
  }
  auto decoded = nlohmann::json::parse(*text, nullptr, false);
  if (decoded.is_discarded()) {
    LogUnusableChanges("not JSON");
    return std::nullopt;
  }
  return decoded;
}

bool StoreWatcher::ApplyChanges(const std::string& changes) {
  auto decoded = DecodeChanges(changes);
  try {
    return decoded && ApplyDecodedChanges(*std::move(decoded));
  } catch (const nlohmann::json::exception& error) {
    LogUnusableChanges(error.what());
    return false;
  }
}

bool StoreWatcher::ReplaceCopy(const std::string& changes,
                               std::uint64_t digest) {
  auto decoded = DecodeChanges(changes);
  try {
    return decoded && ReplaceByDecoded(*std::move(decoded), digest);
  } catch (const nlohmann::json::exception& error) {
    LogUnusableChanges(error.what());
    return false;
  }
}

std::vector<platform::Object> StoreWatcher::DecodeObjects(
    nlohmann::json& entries) const {
  std::vector<platform::Object> objects;
  for (auto& it : entries) {
    if (auto object = DecodeEntry(it)) {
      objects.push_back(*std::move(object));
    }
  }
  return objects;
}

bool StoreWatcher::ReplaceByDecoded(nlohmann::json changes,
                                    std::uint64_t digest) {
  if (!changes.at("whole").get<bool>() || !changes.at("listed").get<bool>() ||
      changes.value("digest", ~digest) != digest) {
    return false;
  }
  const auto revision = changes.at("revision").get<std::uint64_t>();
  const auto objects = DecodeObjects(changes.at("objects"));
  Log(LogLevel::kWarning, "copy_replaced",
      {{"kind", platform::ToString(kind_)},
       {"revision", revision},
       {"before", revision_}});
  // A call in flight is of the revision before.
  const bool dropped = in_flight_;
  DropCall();
  if (dropped) {
    list_due_ = source_ == WatchSource::kStore;
    timer_.Set(loop_.Now());
  }
  FollowFrom(revision);
  ++outside_changes_;
  ApplyList(objects, revision);
  return digest_ == digest;
}

bool StoreWatcher::Contains(std::uint64_t digest) const {
  return digest_ == digest ||
         std::ranges::any_of(changes_, [digest](const Change& it) {
           return it.digest_before == digest;
         });
}

bool StoreWatcher::IsAsStated(const nlohmann::json& changes) const {
  // Earlier versions state no digest.
  if (!changes.contains("digest")) {
    return true;
  }
  const auto revision = changes.at("revision").get<std::uint64_t>();
  const bool ahead = std::ranges::any_of(
      objects_, [&](const auto& it) { return it.second.revision > revision; });
  return ahead || changes.at("digest").get<std::uint64_t>() == digest_;
}

bool StoreWatcher::ApplyDecodedChanges(nlohmann::json changes) {
  const auto revision = changes.at("revision").get<std::uint64_t>();
  const bool full = changes.at("whole").get<bool>();
  // Changes of a daemon whose copy is older than this one are ignored.
  if (!changes.at("listed").get<bool>() || revision < revision_ ||
      (!full && !listed_)) {
    return false;
  }
  if (full) {
    ++outside_changes_;
    ApplyList(DecodeObjects(changes.at("objects")), revision);
    return true;
  }
  ++outside_changes_;
  const std::uint64_t complete_to = std::exchange(revision_, revision);
  std::vector<platform::Object> changed;
  for (auto& it : changes.at("objects")) {
    // Applied one by one, since a later entry may be a patch of an earlier one.
    std::optional<platform::Object> object;
    std::string why = "patch of another revision";
    try {
      if (HasStateOf(it, complete_to)) {
        continue;
      }
      object = DecodeEntry(it);
    } catch (const nlohmann::json::exception& error) {
      why = error.what();
    }
    if (!object) {
      Log(LogLevel::kWarning, "relayed_change_misfits",
          {{"kind", platform::ToString(kind_)},
           {"change",
            it.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)},
           {"why", why},
           {"revision", revision_}});
      needs_full_copy_ = true;
      break;
    }
    if (IsNewer(*object)) {
      RecordChange(*object, revision, ChangeForm::kPatch);
      changed.push_back(*object);
    }
  }
  if (!needs_full_copy_ && !IsAsStated(changes)) {
    Log(LogLevel::kWarning, "copies_differ",
        {{"kind", platform::ToString(kind_)}, {"revision", revision_}});
    needs_full_copy_ = true;
  }
  if (!changed.empty()) {
    sink_.on_events(changed);
  }
  return !needs_full_copy_;
}

}  // namespace gentianreach::entry
