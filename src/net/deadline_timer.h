// A timer whose deadline is often moved and seldom reached.
#ifndef SRC_NET_DEADLINE_TIMER_H_
#define SRC_NET_DEADLINE_TIMER_H_

#include <functional>
#include <optional>
#include <utility>

#include "gentianreach/time.h"
#include "net/event_loop.h"

namespace gentianreach::net {

// Calls a function once its deadline has passed. Moving the deadline later, as
// every request on a persistent connection does, leaves the loop's timer
// unchanged: it fires at the earlier deadline and is then set again.
//
// Meant as a member of the object that `on_expired` uses; the destructor
// cancels the timer.
class DeadlineTimer {
 public:
  DeadlineTimer(EventLoop& loop, std::function<void()> on_expired)
      : loop_(loop), on_expired_(std::move(on_expired)) {}
  ~DeadlineTimer() { Cancel(); }
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  // Replaces the deadline.
  void Set(TimePoint deadline) {
    deadline_ = deadline;
    if (armed_ && armed_->first <= deadline) {
      return;
    }
    Cancel();
    Arm();
  }
  // Removes the deadline.
  void Clear() { deadline_.reset(); }
  // Returns the deadline, or nothing if none is set.
  [[nodiscard]] std::optional<TimePoint> deadline() const { return deadline_; }

 private:
  void Arm() {
    armed_ = loop_.AddTimer(*deadline_, [this] { Fire(); });
  }
  void Cancel() {
    if (armed_) {
      loop_.CancelTimer(*armed_);
    }
    armed_.reset();
  }
  void Fire() {
    armed_.reset();
    if (!deadline_) {
      return;
    }
    if (loop_.Now() < *deadline_) {
      Arm();
      return;
    }
    deadline_.reset();
    // Copied because the call may destroy this object.
    const auto on_expired = on_expired_;
    on_expired();
  }

  EventLoop& loop_;
  std::function<void()> on_expired_;
  std::optional<TimePoint> deadline_;
  std::optional<EventLoop::TimerId> armed_;
};

}  // namespace gentianreach::net

#endif  // SRC_NET_DEADLINE_TIMER_H_
