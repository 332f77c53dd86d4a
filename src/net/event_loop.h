// One thread's event loop: a GLib main context with what the data path needs
// on top of it.
//
// A GLib context polls every descriptor again in each turn, which costs time
// per open connection. An EventLoop therefore attaches a single source whose
// descriptor is an epoll set; timers live in the same source. All calls but
// Post() belong to the loop's own thread.
#ifndef SRC_NET_EVENT_LOOP_H_
#define SRC_NET_EVENT_LOOP_H_

#include <glib.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach::net {

// What happened on a descriptor.
struct ReadyEvents {
  bool readable = false;
  bool writable = false;
  bool hung_up = false;  // The peer closed its side, or an error is pending.
};

class EventLoop {
 public:
  using WatchId = std::uint64_t;
  using TimerId = std::pair<TimePoint, std::uint64_t>;

  // Attaches to `context`, or to the thread-default context where null.
  explicit EventLoop(GMainContext* context = nullptr);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the GLib context, for other sources of the same thread.
  [[nodiscard]] GMainContext* context() const { return context_; }
  // Returns the current time.
  [[nodiscard]] TimePoint Now() const { return clock_.Now(); }

  // Calls `on_ready` whenever the state of `fd` changes (edge-triggered): the
  // callee reads until it would block, or remembers that it did not. The
  // callback is kept, and with it what it owns, until Unwatch().
  WatchId Watch(int fd, std::function<void(ReadyEvents)> on_ready);
  // Ends a watch; call it before closing the descriptor. Allowed inside the
  // callback.
  void Unwatch(WatchId id, int fd);

  // Calls `fn` once, not before `at`.
  TimerId AddTimer(TimePoint at, std::function<void()> fn);
  // Cancels a timer that has not fired yet; no effect otherwise.
  void CancelTimer(TimerId id);

  // Calls `fn` in a later turn of the loop. Any thread may call this.
  void Post(std::function<void()> fn);

  // Calls `fn` at the end of this turn, outside of whatever runs now. Cheaper
  // than Post(), for the loop's own thread only.
  void Defer(std::function<void()> fn) { deferred_.push_back(std::move(fn)); }

  // Runs one turn; waits for an event only where `may_block`.
  void RunOnce(bool may_block);
  // Runs turns until `done` returns true.
  void RunUntil(const std::function<bool()>& done);

  // Returns scratch space for receiving, shared by all users of the loop: its
  // content is valid only until the caller returns to the loop.
  [[nodiscard]] std::span<char> scratch() { return scratch_; }

 private:
  struct Source;
  struct SourceFunctions;

  [[nodiscard]] int TimeoutMs() const;
  void Dispatch();
  void DispatchReady();
  void DispatchTimers();
  void DispatchPosted();
  void DispatchDeferred();

  MonotonicClock clock_;
  GMainContext* context_;
  int epoll_fd_;
  Source* source_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<WatchId, std::shared_ptr<std::function<void(ReadyEvents)>>>
      watches_;
  std::map<TimerId, std::function<void()>> timers_;
  mutable std::mutex posted_mutex_;
  std::vector<std::function<void()>> posted_;
  std::vector<std::function<void()>> deferred_;
  std::vector<char> scratch_;
};

}  // namespace gentianreach::net

#endif  // SRC_NET_EVENT_LOOP_H_
