// Maintains a copy of all objects of one kind in the platform's store.
#ifndef SRC_ENTRY_STORE_WATCHER_H_
#define SRC_ENTRY_STORE_WATCHER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "entry/store_health.h"
#include "gentianreach/time.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

// Where a watcher gets changes from.
enum class WatchSource : std::uint8_t {
  kStore,
  // Another daemon relays them; see ApplyChanges().
  kLeader,
};

class StoreWatcher {
 public:
  // Receivers of the copy's content. `on_list` receives all objects and
  // `on_events` the later changes, in which removed objects are marked as
  // deleted.
  struct Sink {
    std::function<void(const std::vector<platform::Object>&)> on_list;
    std::function<void(const std::vector<platform::Object>&)> on_events;
  };

  // `first_list` is the required freshness of the first list.
  StoreWatcher(net::EventLoop& loop,
               platform::PlatformClient& platform,
               StoreHealth& health,
               platform::ObjectKind kind,
               platform::Freshness first_list,
               Sink sink);

  // Starts to read the store at `at`.
  void Start(TimePoint at) { timer_.Set(at); }
  // Sets where changes come from and how long a watch waits for them. A watch
  // that no longer receives events is detected only after that wait. `urgent`
  // is set if there is no other way to a current copy, so that calls are made
  // without delay.
  void SetSource(WatchSource source,
                 std::chrono::milliseconds watch_wait,
                 bool urgent = false);
  // The store is reachable again: makes the next call at once.
  void OnStoreBack();
  // Reads all objects again if the store is the source.
  void Relist();
  // Reads all objects again, whatever the source is.
  void RequireList();
  // The store's counter is at `revision`, lower than before. Reads all objects
  // again if the copy has later changes.
  void OnRevisionBack(std::uint64_t revision);
  // Updates the copy with an object that this daemon has just read or written.
  void Put(const platform::Object& object);

  // Returns the changes after revision `since`, or all objects if those changes
  // are no longer kept. Compressed, as another daemon's ApplyChanges() expects.
  [[nodiscard]] const std::string& ChangesSince(std::uint64_t since);
  // Applies the result of another daemon's ChangesSince(). Returns false if it
  // cannot be used, or if the copy lacks other changes than those. If
  // `via_digest` is set, changes are applied only if they lead this copy to, or
  // through, one with that digest, and all objects only if they have it.
  bool ApplyChanges(const std::string& changes,
                    std::optional<std::uint64_t> via_digest = {});
  // Replaces the copy by another daemon's that has `digest`. `changes` is the
  // result of its ChangesSince(0). Returns false if it has another digest or
  // cannot be used. The caller knows that the other copy is newer than this
  // one, although its revision may be lower.
  bool ReplaceCopy(const std::string& changes, std::uint64_t digest);

  // Returns the number of objects that could not be parsed when they were read
  // from the store.
  [[nodiscard]] std::uint64_t unreadable_objects() const {
    return unreadable_objects_;
  }
  // Returns the store revision up to which the copy is complete, or 0 if
  // nothing has been read yet.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // Returns the revision to pass to another daemon's ChangesSince(); 0 requests
  // all objects.
  [[nodiscard]] std::uint64_t relay_since() const {
    return listed_ && !needs_full_copy_ ? revision_ : 0;
  }
  // Returns a digest of the objects and their revisions. Two copies are equal
  // if their digests are, whatever revisions of the store they have reached.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  // Returns when this daemon last learned of a change of the copy. A copy that
  // is complete up to a later time is newer than this one.
  [[nodiscard]] TimePoint learned_at() const { return learned_at_; }
  // Returns the revision at which the copy last changed.
  [[nodiscard]] std::uint64_t changed_at() const { return changed_at_; }
  [[nodiscard]] bool listed() const { return listed_; }
  // Returns a time up to which the copy contains all changes of the store, or
  // TimePoint{} if none is known. The sinks see the value from before the
  // changes that they receive.
  [[nodiscard]] TimePoint current_at() const {
    return std::max(listed_at_, watched_until_);
  }
  // Returns the same as lists alone prove it.
  [[nodiscard]] TimePoint listed_at() const { return listed_at_; }
  // Records that the copy contains all changes up to `at`, and up to
  // `listed_at` as lists alone prove it, since another daemon has stated so.
  void ConfirmCurrent(TimePoint at, TimePoint listed_at);
  // What watches of any daemon have proved up to `until` is void: the store has
  // dropped its history, and may not have reported changes before that.
  void VoidWatches(TimePoint until);
  // Returns up to when watches prove nothing; TimePoint{}: no history was lost.
  [[nodiscard]] TimePoint watches_void_until() const {
    return watches_void_until_;
  }
  // Returns whether the copy is, or was before its last changes, one with this
  // digest.
  [[nodiscard]] bool Contains(std::uint64_t digest) const;

 private:
  // A call to the store, and what its success proves.
  struct PendingCall {
    bool list = false;
    // Revision of the copy when the call was made.
    std::uint64_t revision = 0;
    // `outside_changes_` when the call was made.
    std::uint64_t outside_changes = 0;
    bool may_be_stale = false;
    // `list_requests_` when the call was made.
    std::uint64_t list_requests = 0;
    // All changes up to this time are in the reply, or, if a watch returns no
    // changes, up to `empty_current_at`.
    TimePoint current_at{};
    TimePoint empty_current_at{};
  };

  // A change as it is relayed to other daemons, as JSON, and the revision that
  // the copy reached with it.
  struct Change {
    std::uint64_t revision = 0;
    std::string entry;
  };

  void MakeNextCall();
  // Ignores the reply to the call in flight.
  void DropCall();
  void Call(bool list);
  void OnReply(const platform::ListReply& reply, const PendingCall& call);
  void OnObjects(const platform::ListReply& reply, const PendingCall& call);
  [[nodiscard]] bool IsListRequired() const {
    return list_requests_ != served_list_requests_;
  }
  // Returns whether the copy is newer than the reply to a list, either because
  // of changes from elsewhere or because the list may have been stale.
  [[nodiscard]] bool IsOvertaken(const platform::ListReply& reply,
                                 const PendingCall& call) const;
  // Begins to follow a store whose counter is at `revision`, below that of the
  // copy.
  void FollowFrom(std::uint64_t revision);
  // Counts and logs the objects that cannot be parsed.
  void NoteUnreadable(const platform::ListReply& reply, bool list);
  void ApplyList(const std::vector<platform::Object>& objects,
                 std::uint64_t revision);
  void ApplyEvents(const std::vector<platform::Object>& objects,
                   std::uint64_t revision);
  // Returns a change in the form that is relayed to other daemons: as a merge
  // patch of the object `before` if possible, else as the whole object.
  // `before` may be null.
  [[nodiscard]] static nlohmann::json EncodeChange(
      const platform::Object* before,
      const platform::Object& object);
  // Whether a change is relayed as a patch of the state before it, which is
  // smaller, or as the whole object, which applies to any state.
  enum class ChangeForm : std::uint8_t { kPatch, kWhole };
  // `digest` is that of the object.
  void RecordChange(const platform::Object& object,
                    std::uint64_t digest,
                    std::uint64_t revision,
                    ChangeForm form);
  // Keeps `change` for other daemons, in place of the oldest ones if there are
  // too many or they take too much memory.
  void KeepChange(Change change);
  // Returns the content of another daemon's changes, or nullopt, with a log
  // line, if they are damaged.
  [[nodiscard]] std::optional<nlohmann::json> DecodeChanges(
      const std::string& changes) const;
  void LogUnusableChanges(std::string_view error) const;
  bool ApplyDecodedChanges(nlohmann::json changes,
                           std::optional<std::uint64_t> via_digest);
  // The changes of another daemon that this copy lacks, in their order, up to
  // the first entry that does not fit.
  struct DecodedChanges {
    struct Item {
      platform::Object object;
      std::uint64_t digest = 0;  // Of the object.
    };
    struct Misfit {
      const nlohmann::json* entry = nullptr;  // Null if there is none.
      std::string why;
    };
    std::vector<Item> changes;
    Misfit misfit;
    // They lead this copy to, or through, one with the digest asked for.
    bool leads_via = false;
  };
  // Decodes `entries` of another daemon's changes without effect on the copy.
  // Whole objects are moved out of `entries`.
  [[nodiscard]] DecodedChanges DecodeNewer(
      nlohmann::json& entries,
      std::optional<std::uint64_t> via_digest) const;
  bool ReplaceByDecoded(nlohmann::json changes, std::uint64_t digest);
  // Returns the objects of a whole copy of another daemon.
  [[nodiscard]] std::vector<platform::Object> DecodeObjects(
      nlohmann::json& entries) const;
  // Returns whether the copy is as `changes`, which have been applied, state
  // it. Objects that have changed since are no difference.
  [[nodiscard]] bool IsAsStated(const nlohmann::json& changes) const;
  // Returns the part of an object in the digest of a copy, which is the sum of
  // these: it does not depend on the order of the objects. Deleted objects have
  // none.
  [[nodiscard]] static std::uint64_t DigestOf(const platform::Object& object);
  // Returns the copy's state of an object, or null.
  [[nodiscard]] const platform::Object* Find(const std::string& name) const;
  // In the next three, `known` is the copy's state of the object, or null.
  // Returns whether `object` is newer than that.
  [[nodiscard]] static bool IsNewer(const platform::Object& object,
                                    const platform::Object* known);
  // Returns whether the copy, which was complete up to revision `complete_to`,
  // has the state that `entry` of another daemon's changes describes, or a
  // later one.
  [[nodiscard]] static bool HasStateOf(const nlohmann::json& entry,
                                       const platform::Object* known,
                                       std::uint64_t complete_to);
  // Returns the object that `entry` of another daemon's changes describes, or
  // nullopt if `entry` is a patch of a revision that the copy does not have. A
  // whole object is moved out of `entry`.
  [[nodiscard]] static std::optional<platform::Object> DecodeEntry(
      nlohmann::json& entry,
      const platform::Object* known);

  net::EventLoop& loop_;
  platform::PlatformClient& platform_;
  StoreHealth& health_;
  const platform::ObjectKind kind_;
  const Sink sink_;
  platform::Freshness next_list_;
  WatchSource source_ = WatchSource::kStore;
  std::chrono::milliseconds watch_wait_;
  bool urgent_ = false;
  bool listed_ = false;
  // Revisions of objects are compared only as long as the store's counter has
  // not gone back. What a list returns that was requested after the last change
  // of the copy is true, whatever its revision.
  std::uint64_t revision_ = 0;
  // The revision that the store stated in its last list.
  std::uint64_t listed_revision_ = 0;
  std::uint64_t changed_at_ = 0;
  // Up to when the copy is complete as lists prove it, and as watches do.
  TimePoint listed_at_{};
  TimePoint watched_until_{};
  TimePoint watches_void_until_{};
  std::map<std::string, platform::Object> objects_;
  // By name; their sum is the digest of the copy.
  std::map<std::string, std::uint64_t> object_digests_;
  std::uint64_t digest_ = 0;
  TimePoint learned_at_{};
  // Names of objects that could not be parsed when they were last read.
  std::set<std::string> unreadable_;
  std::uint64_t unreadable_objects_ = 0;
  std::deque<Change> changes_;
  // Size of the entries of `changes_`, in bytes.
  std::size_t changes_bytes_ = 0;
  // `changes_` contains all changes after this revision.
  std::uint64_t changes_from_ = 0;
  // The digests that the copy had before its last changes, the oldest first.
  std::deque<std::uint64_t> earlier_digests_;
  // A relayed patch did not apply, so all objects are requested.
  bool needs_full_copy_ = false;
  // Counts the changes that did not come from this daemon's own lists and
  // watches.
  std::uint64_t outside_changes_ = 0;
  // The last result of ChangesSince(), cached because many daemons request the
  // same changes at the same time.
  std::string response_;
  std::uint64_t response_since_ = 0;
  std::uint64_t response_at_ = 0;
  std::uint64_t response_digest_ = 0;
  // Incremented by DropCall(); replies to calls of an earlier generation are
  // ignored.
  std::uint64_t generation_ = 0;
  bool in_flight_ = false;
  // The last call was a watch that returned changes. It proves only that the
  // copy was complete when it was sent, so the next one is shorter.
  bool changed_last_call_ = false;
  // Until when the watch in flight waits; TimePoint{} for a list.
  TimePoint watch_until_{};
  // Changes may have been missed, so the next call is a list: the source has
  // changed to the store, or the store was lost or has dropped its history.
  bool list_due_ = false;
  // Calls of RequireList(), and how many of them a list has served.
  std::uint64_t list_requests_ = 0;
  std::uint64_t served_list_requests_ = 0;
  // Lists that failed since the last one that succeeded, and when the next one
  // may be made. Watches are made meanwhile.
  std::uint32_t failed_lists_ = 0;
  TimePoint next_list_at_{};
  net::DeadlineTimer timer_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STORE_WATCHER_H_
