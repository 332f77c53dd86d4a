#include "entry/store_health.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Longest delay between calls while the store is unreachable.
constexpr Duration kLongestRetryDelay = milliseconds(800);
// Longest delay of the lists after repeated losses of the history. Below the
// time within which a change has to take effect.
constexpr Duration kLongestRelistDelay = milliseconds(800);
// Live servers write their entries again within about two seconds after the
// store has recovered. An entry that is still missing then belongs to a server
// that is gone.
constexpr Duration kReregistrationTime = milliseconds(2000);

}  // namespace

void StoreHealth::OnResponse() {
  suspected_ = false;
  const bool lacked_entries = lost_ && MayLackEntries();
  answered_at_ = loop_.Now();
  OnAnswersKnown(answered_at_, answered_at_);
  retry_delay_ = kFirstRetryDelay;
  next_call_at_ = {};
  if (!std::exchange(lost_, false)) {
    return;
  }
  if (lacked_entries) {
    entries_lacking_until_ = answered_at_ + kReregistrationTime;
  }
  if (on_change) {
    on_change(false);
  }
  may_be_replaced_ = false;
}

void StoreHealth::OnFailure(bool answered) {
  suspected_ = false;
  may_be_replaced_ = may_be_replaced_ || !answered;
  failed_at_ = loop_.Now();
  next_call_at_ = failed_at_ + retry_delay_;
  if (std::exchange(lost_, true)) {
    return;
  }
  if (on_change) {
    on_change(true);
  }
}

void StoreHealth::OnRateLimited() {
  OnFailure(true);
  limited_at_ = failed_at_;
}

void StoreHealth::OnAnswerToOther(TimePoint at, bool may_lack_entries) {
  OnAnswersKnown(at, at);
  if (!may_lack_entries) {
    answered_other_at_ = std::max(answered_other_at_, at);
  }
}

void StoreHealth::OnAnswersKnown(TimePoint since, TimePoint until) {
  if (since >= answered_any_at_ + shortest_expiry_) {
    answers_since_ = since;
  } else if (until + shortest_expiry_ > answers_since_) {
    answers_since_ = std::min(answers_since_, since);
  }
  answered_any_at_ = std::max(answered_any_at_, until);
}

bool StoreHealth::HasAllEntries() const {
  const TimePoint now = loop_.Now();
  return now < answered_any_at_ + shortest_expiry_ &&
         now >= answers_since_ + kReregistrationTime;
}

bool StoreHealth::MayLackEntries() const {
  const TimePoint now = loop_.Now();
  if (HasAllEntries()) {
    return false;
  }
  if (!lost_) {
    return now < entries_lacking_until_;
  }
  const TimePoint answered_at = std::max(answered_at_, answered_other_at_);
  return answered_at < entries_lacking_until_ ||
         now >= answered_at + shortest_expiry_;
}

void StoreHealth::OnHistoryGone() {
  ++history_losses_;
  const TimePoint now = loop_.Now();
  if (now >= deferred_until_ + kLongestRelistDelay) {
    relist_delay_ = kFirstRetryDelay;
    deferred_until_ = now;
  } else {
    deferred_until_ = std::max(deferred_until_, now) + relist_delay_;
    relist_delay_ = std::min(relist_delay_ * 2, kLongestRelistDelay);
  }
  if (on_history_gone) {
    on_history_gone();
  }
}

void StoreHealth::OnRevisionBack(std::uint64_t revision) {
  ++revisions_back_;
  if (on_revision_back) {
    on_revision_back(revision);
  }
}

TimePoint StoreHealth::ReserveNextCall() {
  const TimePoint now = loop_.Now();
  if (now < deferred_until_) {
    return deferred_until_;
  }
  if (!lost_) {
    return now;
  }
  if (now >= next_call_at_) {
    next_call_at_ = now + retry_delay_;
    // Calls that were in flight when the store was lost also fail, but say
    // nothing about how long it will be away.
    retry_delay_ = std::min(retry_delay_ * 2, kLongestRetryDelay);
    return now;
  }
  return next_call_at_;
}

}  // namespace gentianreach::entry
