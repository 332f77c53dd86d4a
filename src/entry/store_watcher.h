// Follows the objects of one kind in the platform's store.
#ifndef SRC_ENTRY_STORE_WATCHER_H_
#define SRC_ENTRY_STORE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "gentianreach/time.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

// Whether the store answers, for all watchers of a daemon. While it does not,
// one of them tries at a time, since every call has its price.
class StoreHealth {
 public:
  explicit StoreHealth(net::EventLoop& loop) : loop_(loop) {}

  void OnAnswer();
  void OnFailure();
  // Returns when the next call may be made; takes that turn where it is now.
  [[nodiscard]] TimePoint NextTurn();
  [[nodiscard]] bool lost() const { return lost_; }

  // Called when the store stops and when it begins to answer.
  std::function<void(bool lost)> on_change;

 private:
  net::EventLoop& loop_;
  bool lost_ = false;
  Duration pause_{};
  TimePoint next_turn_{};
};

class StoreWatcher {
 public:
  // `on_list` takes all objects, `on_events` what changed since; an object is
  // marked as deleted there.
  struct Sink {
    std::function<void(const std::vector<platform::Object>&)> on_list;
    std::function<void(const std::vector<platform::Object>&)> on_events;
  };

  StoreWatcher(net::EventLoop& loop,
               platform::PlatformClient& platform,
               StoreHealth& health,
               platform::ObjectKind kind,
               Sink sink);

  // Begins, not before `at`.
  void Start(TimePoint at) { timer_.Set(at); }

 private:
  void Continue();
  void List();
  void Watch();
  void OnReply(const platform::ListReply& reply, bool listed);

  net::EventLoop& loop_;
  platform::PlatformClient& platform_;
  StoreHealth& health_;
  const platform::ObjectKind kind_;
  const Sink sink_;
  bool listed_ = false;
  // The first list may be stale: the watch from its revision brings the rest.
  bool first_ = true;
  std::uint64_t revision_ = 0;
  net::DeadlineTimer timer_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STORE_WATCHER_H_
