// An event loop for one thread, built on a GLib main context.
//
// A GLib context polls every descriptor in each iteration, which costs time per
// open connection. An EventLoop therefore attaches a single source whose
// descriptor is an epoll set; the same source handles timers. All methods
// except Post() must be called on the loop's own thread.
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

  // Attaches to `context`, or to the thread-default context if null.
  explicit EventLoop(GMainContext* context = nullptr);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the GLib context, for other sources of the same thread.
  [[nodiscard]] GMainContext* context() const { return context_; }
  // Returns the current time.
  [[nodiscard]] TimePoint Now() const { return clock_.Now(); }

  // Calls `on_ready` whenever the state of `fd` changes (edge-triggered): the
  // callee must read until the call would block, or remember that data may be
  // left. The callback and the objects that it owns are kept until Unwatch().
  WatchId Watch(int fd, std::function<void(ReadyEvents)> on_ready);
  // Ends a watch. Must be called before the descriptor is closed; may be called
  // within the callback.
  void Unwatch(WatchId id, int fd);

  // Calls `fn` once, at `at` or later.
  TimerId AddTimer(TimePoint at, std::function<void()> fn);
  // Cancels a timer that has not fired yet; no effect otherwise.
  void CancelTimer(TimerId id);

  // Calls `fn` in a later iteration of the loop. Thread-safe.
  void Post(std::function<void()> fn);

  // Calls `fn` at the end of this iteration, after the current callback has
  // returned. Cheaper than Post(), but only for the loop's own thread.
  void Defer(std::function<void()> fn) { deferred_.push_back(std::move(fn)); }

  // Runs one iteration; waits for an event only if `may_block` is set.
  void RunOnce(bool may_block);
  // Runs iterations until `done` returns true.
  void RunUntil(const std::function<bool()>& done);

  // Returns a receive buffer shared by all users of the loop. Its content is
  // valid only until the current callback returns.
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
