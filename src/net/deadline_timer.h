// A deadline that is often moved and seldom reached.
#ifndef SRC_NET_DEADLINE_TIMER_H_
#define SRC_NET_DEADLINE_TIMER_H_

#include <functional>
#include <optional>
#include <utility>

#include "gentianreach/time.h"
#include "net/event_loop.h"

namespace gentianreach::net {

// Calls a function once its deadline has passed. Moving the deadline later, as
// every request on a kept connection does, costs no change to the loop's
// timers: the loop's timer fires at the older point and is set anew.
//
// A member of the object that `on_expired` belongs to; its destructor cancels.
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
  // Takes the deadline away.
  void Clear() { deadline_.reset(); }
  // Returns the deadline, if there is one.
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
    // The call may destroy this object.
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
