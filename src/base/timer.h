// Timers on the calling thread's GLib main context.
#ifndef SRC_BASE_TIMER_H_
#define SRC_BASE_TIMER_H_

#include <functional>

#include <glib.h>

#include "gentianreach/time.h"

namespace gentianreach {

// Calls a function once at a deadline, unless cancelled or destroyed before.
// Setting it again replaces the previous deadline. Not thread-safe.
class Timer {
 public:
  Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { Cancel(); }

  // Calls `task` at or shortly after `deadline`; at once if it has passed.
  void Set(TimePoint deadline, std::function<void()> task);
  // Cancels the pending call, if any.
  void Cancel();
  // Returns whether a call is pending.
  [[nodiscard]] bool pending() const { return source_ != nullptr; }

 private:
  static gboolean OnDeadline(gpointer self);

  GSource* source_ = nullptr;
  std::function<void()> task_;
};

}  // namespace gentianreach

#endif  // SRC_BASE_TIMER_H_
