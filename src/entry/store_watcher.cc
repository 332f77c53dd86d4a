#include "entry/store_watcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// How long one watch waits. A watch that went silent is noticed after that.
constexpr milliseconds kWatchWait{8000};
// Pause after a watch that brought changes, so that changes in quick
// succession come with one call. Well below what a change may take to be in
// force.
constexpr Duration kGatherTime = milliseconds(250);
// Time for the answer to a list.
constexpr Duration kListTimeout = milliseconds(1500);
// Pauses while the store does not answer.
constexpr Duration kFirstPause = milliseconds(200);
constexpr Duration kLongestPause = milliseconds(1000);

const char* Name(platform::ObjectKind kind) {
  switch (kind) {
    case platform::ObjectKind::kServers:
      return "servers";
    case platform::ObjectKind::kConfig:
      return "config";
    case platform::ObjectKind::kLeadership:
      return "leadership";
    case platform::ObjectKind::kOwnership:
      return "ownership";
  }
  return "";
}

}  // namespace

void StoreHealth::OnAnswer() {
  pause_ = Duration(0);
  next_turn_ = {};
  if (!std::exchange(lost_, false)) {
    return;
  }
  Log(LogLevel::kWarning, "store_back", {});
  if (on_change) {
    on_change(false);
  }
}

void StoreHealth::OnFailure() {
  pause_ = std::clamp<Duration>(pause_ * 2, kFirstPause, kLongestPause);
  next_turn_ = loop_.Now() + pause_;
  if (std::exchange(lost_, true)) {
    return;
  }
  if (on_change) {
    on_change(true);
  }
}

TimePoint StoreHealth::NextTurn() {
  const TimePoint now = loop_.Now();
  if (!lost_) {
    return now;
  }
  if (now >= next_turn_) {
    next_turn_ = now + pause_;
    return now;
  }
  return next_turn_;
}

StoreWatcher::StoreWatcher(net::EventLoop& loop,
                           platform::PlatformClient& platform,
                           StoreHealth& health,
                           platform::ObjectKind kind,
                           Sink sink)
    : loop_(loop),
      platform_(platform),
      health_(health),
      kind_(kind),
      sink_(std::move(sink)),
      timer_(loop, [this] { Continue(); }) {}

void StoreWatcher::Continue() {
  const TimePoint turn = health_.NextTurn();
  if (turn > loop_.Now()) {
    timer_.Set(turn);
    return;
  }
  if (listed_) {
    Watch();
  } else {
    List();
  }
}

void StoreWatcher::List() {
  const auto freshness = std::exchange(first_, false)
                             ? platform::Freshness::kMayBeStale
                             : platform::Freshness::kCurrent;
  platform_.List(kind_, freshness, loop_.Now() + kListTimeout,
                 [this](const platform::ListReply& reply) {
                   OnReply(reply, true);
                 });
}

void StoreWatcher::Watch() {
  // While the store is in doubt a short wait tells soon whether it is back.
  constexpr milliseconds kProbeWait{1};
  platform_.Watch(kind_, revision_, health_.lost() ? kProbeWait : kWatchWait,
                  [this](const platform::ListReply& reply) {
                    OnReply(reply, false);
                  });
}

void StoreWatcher::OnReply(const platform::ListReply& reply, bool listed) {
  const TimePoint now = loop_.Now();
  switch (reply.status) {
    case platform::CallStatus::kOk:
      health_.OnAnswer();
      revision_ = reply.revision;
      if (listed) {
        listed_ = true;
        sink_.on_list(reply.objects);
        timer_.Set(now);
        return;
      }
      if (!reply.objects.empty()) {
        sink_.on_events(reply.objects);
      }
      timer_.Set(reply.objects.empty() ? now : now + kGatherTime);
      return;
    case platform::CallStatus::kHistoryGone:
      health_.OnAnswer();
      Log(LogLevel::kWarning, "store_history_gone",
          {{"kind", Name(kind_)}, {"revision", revision_}});
      listed_ = false;
      timer_.Set(now);
      return;
    default:
      Log(LogLevel::kWarning, "store_call_failed",
          {{"kind", Name(kind_)},
           {"call", listed ? "list" : "watch"},
           {"error", reply.error}});
      health_.OnFailure();
      timer_.Set(health_.NextTurn() + kFirstPause / 10);
  }
}

}  // namespace gentianreach::entry
