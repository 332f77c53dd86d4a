#include "cell/permit.h"

#include <algorithm>
#include <functional>

#include "cell/record.h"

namespace gentianreach::cell {

namespace {
constexpr std::size_t kMaxRememberedHeartbeats = 64;
}  // namespace

void Permit::SetTiming(Duration permit, Duration hold_over) {
  permit_ = permit;
  hold_over_ = hold_over;
}

void Permit::SetView(ViewVersion view,
                     const std::vector<std::string>& members,
                     const std::string& self) {
  if (view == view_ && is_member_) {
    return;
  }
  view_ = view;
  self_ = self;
  accepted_.clear();
  is_member_ = std::find(members.begin(), members.end(), self) != members.end();
  if (!is_member_) {
    deadline_ = TimePoint::min();
    return;
  }
  for (const auto& it : members) {
    if (it != self) {
      accepted_[it] = TimePoint::min();
    }
  }
}

void Permit::Revoke() {
  is_member_ = false;
  deadline_ = TimePoint::min();
}

void Permit::OnSent(std::uint64_t seq, TimePoint now) {
  sent_.push_back({seq, now, view_});
  if (sent_.size() > kMaxRememberedHeartbeats) {
    sent_.pop_front();
  }
}

TimePoint Permit::SentAt(std::uint64_t seq) const {
  for (const auto& it : sent_) {
    if (it.seq == seq) {
      return it.at;
    }
  }
  return TimePoint::min();
}

void Permit::OnAccepted(const std::string& from,
                        ViewVersion view,
                        std::uint64_t seq) {
  const auto peer = accepted_.find(from);
  if (view != view_ || peer == accepted_.end()) {
    return;
  }
  for (const auto& it : sent_) {
    if (it.seq == seq && it.view == view_) {
      peer->second = std::max(peer->second, it.at);
    }
  }
  Extend();
}

void Permit::Extend() {
  if (!is_member_) {
    return;
  }
  std::vector<TimePoint> newest;
  for (const auto& [member, at] : accepted_) {
    newest.push_back(at);
  }
  std::sort(newest.begin(), newest.end(), std::greater<>());
  const std::size_t n = accepted_.size() + 1;
  const std::size_t others = n - TolerableLosses(n) - 1;
  if (others == 0 || newest[others - 1] == TimePoint::min()) {
    return;
  }
  deadline_ = std::max(deadline_, newest[others - 1] + permit_);
}

void Permit::OnStoreContact(TimePoint began) {
  store_contact_ = std::max(store_contact_, began);
}

TimePoint Permit::Deadline(TimePoint now) const {
  if (!is_member_ || store_contact_ == TimePoint::min()) {
    return TimePoint::min();
  }
  const bool alone = accepted_.empty();
  const TimePoint deadline = alone ? now + permit_ : deadline_;
  return std::min(deadline, store_contact_ + hold_over_);
}

}  // namespace gentianreach::cell
