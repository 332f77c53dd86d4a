// Tracks whether a daemon can reach the platform's store, and paces its calls.
#ifndef SRC_ENTRY_STORE_HEALTH_H_
#define SRC_ENTRY_STORE_HEALTH_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>

#include "gentianreach/time.h"
#include "net/event_loop.h"

namespace gentianreach::entry {

// Tracks whether this daemon can reach the store. While it cannot, only one
// watcher at a time makes a call, since every call has a cost.
class StoreHealth {
 public:
  // While the store cannot be reached for less than `shortest_expiry`, no entry
  // of a live server expires.
  StoreHealth(net::EventLoop& loop, Duration shortest_expiry)
      : loop_(loop), shortest_expiry_(shortest_expiry) {}

  // Another daemon has lost the store: the next call is to find out soon
  // whether this one has, too.
  void Suspect() { suspected_ = !lost_; }
  void OnResponse();
  // `answered` is false if no response has arrived.
  void OnFailure(bool answered = false);
  // The store has answered another daemon at `at`, and entries of live servers
  // may have been missing then or not. Without that, a daemon that makes no
  // calls for a while would take a loss to last until its next call.
  void OnAnswerToOther(TimePoint at, bool may_lack_entries = false);
  // The store has refused a call as one too many: it is there, though no copies
  // are read and servers may be refused, too.
  void OnRateLimited();
  // Another daemon knows of answers of the store from `since` until `until`,
  // with no gap between them in which entries expire.
  void OnAnswersKnown(TimePoint since, TimePoint until);
  // The store has dropped the history that a watch needs, so all copies may be
  // out of date. They are read again at once, or after a growing delay if that
  // goes on: a store that keeps no history would be listed without a pause.
  void OnHistoryGone();
  // The store's counter is at `revision`, lower than before, so revisions above
  // that cannot be compared with its present ones.
  void OnRevisionBack(std::uint64_t revision);
  // Returns how often each has happened.
  [[nodiscard]] std::uint64_t history_losses() const { return history_losses_; }
  [[nodiscard]] std::uint64_t revisions_back() const { return revisions_back_; }
  // Returns when the next call may be made. If that is now, the call is
  // reserved for the caller, and while the store is unreachable further calls
  // are deferred by the retry delay. All calls are deferred after repeated
  // losses of the history.
  [[nodiscard]] TimePoint ReserveNextCall();
  [[nodiscard]] bool lost() const { return lost_; }
  // Returns whether another daemon has lost the store, and no call of this one
  // has ended since.
  [[nodiscard]] bool suspected() const { return suspected_; }
  // Returns when a call last failed; TimePoint{}: never.
  [[nodiscard]] TimePoint failed_at() const { return failed_at_; }
  // Returns the time of the last response of the store to this daemon.
  [[nodiscard]] TimePoint answered_at() const { return answered_at_; }
  // Returns when the store last answered this daemon or, as far as it has
  // heard, another one; TimePoint{}: never.
  [[nodiscard]] TimePoint answered_any_at() const { return answered_any_at_; }
  // Returns when the store last showed that it is there.
  [[nodiscard]] TimePoint seen_at() const {
    return std::max(answered_any_at_, limited_at_);
  }
  // Returns when it last refused a call of this daemon as one too many.
  [[nodiscard]] TimePoint limited_at() const { return limited_at_; }
  // Returns since when answers are known without a gap in which entries expire.
  [[nodiscard]] TimePoint answers_since() const { return answers_since_; }
  // Returns whether no entry of a live server can be missing, as no such gap is
  // known since servers have had time to register again after the last one.
  [[nodiscard]] bool HasAllEntries() const;
  // Returns whether another store may have taken the place of this one since
  // the last call that succeeded: a call got no response.
  [[nodiscard]] bool may_be_replaced() const { return may_be_replaced_; }
  // Returns whether entries of live servers may be missing: while the store is
  // unreachable for so long that they expire, and after that until servers have
  // had time to register again.
  [[nodiscard]] bool MayLackEntries() const;

  // Called when the store becomes unreachable and when it recovers.
  std::function<void(bool lost)> on_change;
  std::function<void()> on_history_gone;
  std::function<void(std::uint64_t revision)> on_revision_back;

 private:
  static constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(200);

  net::EventLoop& loop_;
  const Duration shortest_expiry_;
  bool lost_ = false;
  bool suspected_ = false;
  bool may_be_replaced_ = false;
  // Delay between calls while the store is unreachable; doubles with each call.
  Duration retry_delay_ = kFirstRetryDelay;
  TimePoint next_call_at_{};
  TimePoint answered_at_{};
  TimePoint answered_other_at_{};
  TimePoint answered_any_at_{};
  TimePoint answers_since_{};
  TimePoint failed_at_{};
  TimePoint limited_at_{};
  std::uint64_t history_losses_ = 0;
  std::uint64_t revisions_back_ = 0;
  // No call is made before this time since the history was lost. The delay
  // doubles with each further loss shortly after it.
  TimePoint deferred_until_{};
  Duration relist_delay_ = kFirstRetryDelay;
  // Until when servers may not have registered again after a loss.
  TimePoint entries_lacking_until_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STORE_HEALTH_H_
