#include "net/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <limits>

#include "gentianreach/check.h"

namespace gentianreach::net {
namespace {

constexpr std::size_t kScratchBytes = 64 * 1024;
// Maximum number of descriptors handled before timers and other sources.
constexpr int kMaxEventsPerTurn = 256;

}  // namespace

struct EventLoop::Source {
  GSource base;
  EventLoop* loop;
  gpointer tag;
};

struct EventLoop::SourceFunctions {
  static gboolean Prepare(GSource* source, gint* timeout_ms) {
    *timeout_ms = reinterpret_cast<Source*>(source)->loop->TimeoutMs();
    return static_cast<gboolean>(*timeout_ms == 0);
  }
  static gboolean Check(GSource* source) {
    auto* self = reinterpret_cast<Source*>(source);
    return static_cast<gboolean>(g_source_query_unix_fd(source, self->tag) !=
                                     0 ||
                                 self->loop->TimeoutMs() == 0);
  }
  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer) {
    reinterpret_cast<Source*>(source)->loop->Dispatch();
    return G_SOURCE_CONTINUE;
  }
};

EventLoop::EventLoop(GMainContext* context)
    : context_(context != nullptr ? g_main_context_ref(context)
                                  : g_main_context_ref_thread_default()),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      scratch_(kScratchBytes) {
  GENTIANREACH_CHECK(epoll_fd_ >= 0);
  static GSourceFuncs functions = {SourceFunctions::Prepare,
                                   SourceFunctions::Check,
                                   SourceFunctions::Dispatch,
                                   nullptr,
                                   nullptr,
                                   nullptr};
  auto* source = g_source_new(&functions, sizeof(Source));
  source_ = reinterpret_cast<Source*>(source);
  source_->loop = this;
  source_->tag = g_source_add_unix_fd(source, epoll_fd_, G_IO_IN);
  g_source_attach(source, context_);
}

EventLoop::~EventLoop() {
  // Deferred calls mostly release closed connections.
  while (!deferred_.empty()) {
    DispatchDeferred();
  }
  auto* source = reinterpret_cast<GSource*>(source_);
  g_source_destroy(source);
  g_source_unref(source);
  // Objects owned by the callbacks may use the loop in their destructors.
  timers_.clear();
  auto watches = std::move(watches_);
  watches_.clear();
  watches.clear();
  close(epoll_fd_);
  g_main_context_unref(context_);
}

EventLoop::WatchId EventLoop::Watch(int fd,
                                    std::function<void(ReadyEvents)> on_ready) {
  const WatchId id = next_id_++;
  watches_.emplace(id, std::make_shared<std::function<void(ReadyEvents)>>(
                           std::move(on_ready)));
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = id;
  GENTIANREACH_CHECK(epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) == 0);
  return id;
}

void EventLoop::Unwatch(WatchId id, int fd) {
  const auto it = watches_.find(id);
  if (it == watches_.end()) {
    return;
  }
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  // The callback may own the last reference to the object that registered it,
  // so it is destroyed last.
  const auto keep = std::move(it->second);
  watches_.erase(it);
}

EventLoop::TimerId EventLoop::AddTimer(TimePoint at, std::function<void()> fn) {
  const TimerId id(at, next_id_++);
  timers_.emplace(id, std::move(fn));
  return id;
}

void EventLoop::CancelTimer(TimerId id) {
  timers_.erase(id);
}

void EventLoop::Post(std::function<void()> fn) {
  {
    const std::lock_guard lock(posted_mutex_);
    posted_.push_back(std::move(fn));
  }
  g_main_context_wakeup(context_);
}

void EventLoop::RunOnce(bool may_block) {
  g_main_context_iteration(context_, static_cast<gboolean>(may_block));
}

void EventLoop::RunUntil(const std::function<bool()>& done) {
  while (!done()) {
    RunOnce(true);
  }
}

int EventLoop::TimeoutMs() const {
  {
    const std::lock_guard lock(posted_mutex_);
    if (!posted_.empty() || !deferred_.empty()) {
      return 0;
    }
  }
  if (timers_.empty()) {
    return -1;
  }
  const Duration left = timers_.begin()->first.first - clock_.Now();
  if (left <= Duration::zero()) {
    return 0;
  }
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  return static_cast<int>(
      std::min<std::int64_t>(ms, std::numeric_limits<int>::max()));
}

void EventLoop::Dispatch() {
  DispatchReady();
  DispatchTimers();
  DispatchPosted();
  DispatchDeferred();
}

void EventLoop::DispatchReady() {
  std::array<epoll_event, kMaxEventsPerTurn> events;
  const int n = epoll_wait(epoll_fd_, events.data(), kMaxEventsPerTurn, 0);
  for (int i = 0; i < n; ++i) {
    const auto it = watches_.find(events[i].data.u64);
    if (it == watches_.end()) {
      continue;
    }
    const auto on_ready = it->second;
    const std::uint32_t flags = events[i].events;
    (*on_ready)({.readable = (flags & EPOLLIN) != 0,
                 .writable = (flags & EPOLLOUT) != 0,
                 .hung_up = (flags & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0});
  }
}

void EventLoop::DispatchTimers() {
  const TimePoint now = clock_.Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    const auto node = timers_.extract(timers_.begin());
    node.mapped()();
  }
}

void EventLoop::DispatchPosted() {
  std::vector<std::function<void()>> posted;
  {
    const std::lock_guard lock(posted_mutex_);
    posted.swap(posted_);
  }
  for (auto& fn : posted) {
    fn();
  }
}

void EventLoop::DispatchDeferred() {
  std::vector<std::function<void()>> deferred;
  deferred.swap(deferred_);
  for (auto& fn : deferred) {
    fn();
  }
}

}  // namespace gentianreach::net
