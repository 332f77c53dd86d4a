#include "base/timer.h"

#include <algorithm>
#include <utility>

namespace gentianreach {

void Timer::Set(TimePoint deadline, std::function<void()> task) {
  Cancel();
  task_ = std::move(task);
  const Duration left = deadline - MonotonicClock().Now();
  // Rounded up, so that the deadline has passed when the task runs.
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  source_ = g_timeout_source_new(
      static_cast<guint>(std::clamp<std::int64_t>(ms, 0, G_MAXINT)));
  g_source_set_callback(source_, &Timer::OnDeadline, this, nullptr);
  g_source_attach(source_, g_main_context_get_thread_default());
}

void Timer::Cancel() {
  if (source_ == nullptr) {
    return;
  }
  g_source_destroy(source_);
  g_source_unref(source_);
  source_ = nullptr;
}

gboolean Timer::OnDeadline(gpointer self) {
  auto* timer = static_cast<Timer*>(self);
  g_source_unref(timer->source_);
  timer->source_ = nullptr;
  // The task may set or destroy this timer, so it is moved out first.
  const std::function<void()> task = std::move(timer->task_);
  task();
  return G_SOURCE_REMOVE;
}

}  // namespace gentianreach
