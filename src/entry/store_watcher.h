// Keeps a copy of the objects of one kind in the platform's store.
#ifndef SRC_ENTRY_STORE_WATCHER_H_
#define SRC_ENTRY_STORE_WATCHER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gentianreach/time.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

// Whether the store answers this daemon. While it does not, one watcher tries
// at a time, since every call has its price.
class StoreHealth {
 public:
  explicit StoreHealth(net::EventLoop& loop) : loop_(loop) {}

  void OnResponse();
  void OnFailure();
  // The store has dropped its history: what watches were told may be old.
  void OnHistoryGone();
  // Returns when the next call may be made; takes that call_at where it is now.
  [[nodiscard]] TimePoint ReserveNextCall();
  [[nodiscard]] bool lost() const { return lost_; }
  // Returns when the store last answered.
  [[nodiscard]] TimePoint answered_at() const { return answered_at_; }
  // Returns whether entries of live servers may be missing: while the store
  // does not answer, and until servers have had the time to write them again.
  [[nodiscard]] bool MayLackEntries() const;

  // Called when the store stops and when it begins to answer.
  std::function<void(bool lost)> on_change;
  std::function<void()> on_history_gone;

 private:
  net::EventLoop& loop_;
  bool lost_ = false;
  Duration retry_delay_{};
  TimePoint next_call_at_{};
  TimePoint answered_at_{};
  TimePoint recovered_at_{};
};

// Where a watcher gets its changes from.
enum class WatchSource : std::uint8_t {
  kStore,
  // Another daemon passes them on; see ApplyChanges().
  kLeader,
};

class StoreWatcher {
 public:
  // `on_list` takes all objects, `on_events` what changed since; an object is
  // marked as deleted there.
  struct Sink {
    std::function<void(const std::vector<platform::Object>&)> on_list;
    std::function<void(const std::vector<platform::Object>&)> on_events;
  };

  // `first_list` says whether the list at the start may be stale.
  StoreWatcher(net::EventLoop& loop,
               platform::PlatformClient& platform,
               StoreHealth& health,
               platform::ObjectKind kind,
               platform::Freshness first_list,
               Sink sink);

  // Begins, not before `at`.
  void Start(TimePoint at) { timer_.Set(at); }
  // Chooses where changes come from, and for how long a watch waits; a watch
  // that went silent is noticed only after that.
  void SetSource(WatchSource source, std::chrono::milliseconds watch_wait);
  // Reads everything anew where the store is the source.
  void Relist();
  // Takes in an object that this daemon has just written.
  void Put(const platform::Object& object);

  // Returns what has changed after `since`, compressed, for another daemon's
  // ApplyChanges(), or everything where that is not known any more.
  [[nodiscard]] const std::string& ChangesSince(std::uint64_t since);
  // Takes what ChangesSince() of another daemon returned. Returns false where
  // it cannot be used.
  bool ApplyChanges(const std::string& changes);

  // Returns the store's revision up to which the copy is complete; 0: nothing
  // is known yet.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // Returns since when this copy needs the changes of another daemon's.
  [[nodiscard]] std::uint64_t relay_since() const {
    return needs_full_copy_ ? 0 : revision_;
  }
  // Returns the revision at which the copy last changed.
  [[nodiscard]] std::uint64_t changed_at() const { return changed_at_; }
  [[nodiscard]] bool listed() const { return listed_; }

 private:
  // A change that was taken in when the copy reached `revision`, as it is
  // passed on.
  struct Change {
    std::uint64_t revision = 0;
    nlohmann::json entry;
  };

  void MakeNextCall();
  void Call(bool list);
  void OnReply(const platform::ListReply& reply, bool list);
  void ApplyList(const std::vector<platform::Object>& objects,
                 std::uint64_t revision);
  void ApplyEvents(const std::vector<platform::Object>& objects,
                   std::uint64_t revision);
  void RecordChange(const platform::Object& object, std::uint64_t revision);
  bool ApplyDecodedChanges(const nlohmann::json& changes);
  // Returns whether the copy does not have `object` yet.
  [[nodiscard]] bool IsNewer(const platform::Object& object) const;
  // Returns the object that `entry` of another daemon's changes describes;
  // nothing where it does not fit the copy.
  [[nodiscard]] std::optional<platform::Object> DecodeEntry(
      const nlohmann::json& entry) const;

  net::EventLoop& loop_;
  platform::PlatformClient& platform_;
  StoreHealth& health_;
  const platform::ObjectKind kind_;
  const Sink sink_;
  platform::Freshness next_list_;
  WatchSource source_ = WatchSource::kStore;
  std::chrono::milliseconds watch_wait_;
  bool listed_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t changed_at_ = 0;
  std::map<std::string, platform::Object> objects_;
  std::deque<Change> changes_;
  // Changes after this revision are in `changes_`.
  std::uint64_t changes_from_ = 0;
  // A change that was passed on did not fit the copy.
  bool needs_full_copy_ = false;
  // The last answer of ChangesSince(), which many ask for at the same time.
  std::string response_;
  std::uint64_t response_since_ = 0;
  std::uint64_t response_at_ = 0;
  // Replies to calls of an earlier generation come too late.
  std::uint64_t generation_ = 0;
  bool in_flight_ = false;
  // The store has just become the source.
  bool switched_to_store_ = false;
  net::DeadlineTimer timer_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STORE_WATCHER_H_
