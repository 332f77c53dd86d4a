#include "cell/settling.h"

#include <algorithm>

#include "cell/stretch.h"

namespace gentianreach::cell {

void ViewRetirement::SetTiming(Duration permit,
                               Duration lease,
                               Duration hold_over,
                               double drift) {
  permit_and_lease_ = Stretch(permit + lease, drift);
  hold_over_ = Stretch(hold_over, drift);
}

void ViewRetirement::OnRecord(const Record& record,
                              const std::string& self,
                              TimePoint now) {
  std::map<std::uint64_t, OlderView> kept;
  for (const auto& it : record.previous_views) {
    const auto known = older_.find(it->version);
    kept[it->version] = known != older_.end() ? known->second : OlderView{now};
  }
  older_ = std::move(kept);
  DropUnlistedDaemons(record);
  running_views_[self] = std::max(running_views_[self], record.view);
  Count(record, now);
}

// Drops daemons that are in neither the current nor a previous view.
void ViewRetirement::DropUnlistedDaemons(const Record& record) {
  std::erase_if(running_views_, [&record](const auto& it) {
    const bool listed =
        FindMember(record, it.first) != nullptr ||
        std::any_of(record.previous_views.begin(), record.previous_views.end(),
                    [&it](const auto& view) {
                      return std::find(view->members.begin(),
                                       view->members.end(),
                                       it.first) != view->members.end();
                    });
    return !listed;
  });
}

void ViewRetirement::OnDaemonView(const Record& record,
                                  const std::string& daemon,
                                  std::uint64_t view,
                                  TimePoint now) {
  std::uint64_t& running = running_views_[daemon];
  if (view <= running) {
    return;
  }
  running = view;
  Count(record, now);
}

void ViewRetirement::ConfirmStopped(const Record& record, TimePoint now) {
  for (const auto& it : record.previous_views) {
    OlderView& view = older_[it->version];
    view.retired_at = std::min(view.retired_at, now);
  }
}

void ViewRetirement::Count(const Record& record, TimePoint now) {
  for (const auto& it : record.previous_views) {
    OlderView& view = older_[it->version];
    if (view.retired_at != TimePoint::max()) {
      continue;
    }
    const auto moved_on = std::count_if(
        it->members.begin(), it->members.end(), [&](const auto& member) {
          const auto running = running_views_.find(member);
          return running != running_views_.end() &&
                 running->second > it->version;
        });
    if (static_cast<std::size_t>(moved_on) >
        TolerableLosses(it->members.size())) {
      view.retired_at = now;
    }
  }
}

TimePoint ViewRetirement::RetiredAt(const stored::ViewT& view) const {
  const auto it = older_.find(view.version);
  if (it == older_.end()) {
    return TimePoint::max();
  }
  return std::min(it->second.retired_at, it->second.first_seen + hold_over_);
}

std::optional<TimePoint> ViewRetirement::LeaseExpiry(
    const Record& record,
    const stored::ViewT& view) const {
  const TimePoint retired_at = RetiredAt(view);
  if (retired_at == TimePoint::max()) {
    return std::nullopt;
  }
  const bool all_listed =
      std::all_of(view.members.begin(), view.members.end(),
                  [&](const auto& it) { return FindMember(record, it); });
  // Current members report their own lease extensions.
  return all_listed ? retired_at : retired_at + permit_and_lease_;
}

std::optional<TimePoint> ViewRetirement::RemovedMemberLeaseExpiry(
    const Record& record) const {
  TimePoint expiry = TimePoint::min();
  for (const auto& it : record.previous_views) {
    const auto one = LeaseExpiry(record, *it);
    if (!one) {
      return std::nullopt;
    }
    expiry = std::max(expiry, *one);
  }
  return expiry;
}

bool ViewRetirement::CanDelete(const Record& record,
                               const stored::ViewT& view,
                               TimePoint now) const {
  const auto expiry = LeaseExpiry(record, view);
  return expiry && *expiry <= now;
}

bool ViewRetirement::AllRetired(const Record& record, TimePoint now) const {
  return std::all_of(record.previous_views.begin(), record.previous_views.end(),
                     [&](const auto& it) { return RetiredAt(*it) <= now; });
}

}  // namespace gentianreach::cell
