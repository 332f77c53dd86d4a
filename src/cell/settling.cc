#include "cell/settling.h"

#include <algorithm>

#include "cell/stretch.h"

namespace gentianreach::cell {

void Settling::SetTiming(Duration permit,
                         Duration lease,
                         Duration hold_over,
                         double drift) {
  permit_and_lease_ = Stretch(permit + lease, drift);
  hold_over_ = Stretch(hold_over, drift);
}

void Settling::OnRecord(const Record& record,
                        const std::string& self,
                        TimePoint now) {
  std::map<std::uint64_t, OlderView> kept;
  for (const auto& it : record.previous_views) {
    const auto known = older_.find(it->version);
    kept[it->version] = known != older_.end() ? known->second : OlderView{now};
  }
  older_ = std::move(kept);
  ForgetStrangers(record);
  running_[self] = std::max(running_[self], record.view);
  Count(record, now);
}

// Drops daemons that are in neither the current nor a previous view.
void Settling::ForgetStrangers(const Record& record) {
  std::erase_if(running_, [&record](const auto& it) {
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

void Settling::OnDaemonView(const Record& record,
                            const std::string& daemon,
                            std::uint64_t view,
                            TimePoint now) {
  std::uint64_t& running = running_[daemon];
  if (view <= running) {
    return;
  }
  running = view;
  Count(record, now);
}

void Settling::ConfirmGone(const Record& record, TimePoint now) {
  for (const auto& it : record.previous_views) {
    OlderView& view = older_[it->version];
    view.dead_at = std::min(view.dead_at, now);
  }
}

void Settling::Count(const Record& record, TimePoint now) {
  for (const auto& it : record.previous_views) {
    OlderView& view = older_[it->version];
    if (view.dead_at != TimePoint::max()) {
      continue;
    }
    const auto gone_over = std::count_if(
        it->members.begin(), it->members.end(), [&](const auto& member) {
          const auto running = running_.find(member);
          return running != running_.end() && running->second > it->version;
        });
    if (static_cast<std::size_t>(gone_over) >
        TolerableLosses(it->members.size())) {
      view.dead_at = now;
    }
  }
}

TimePoint Settling::DeadAt(const stored::ViewT& view) const {
  const auto it = older_.find(view.version);
  if (it == older_.end()) {
    return TimePoint::max();
  }
  return std::min(it->second.dead_at, it->second.first_seen + hold_over_);
}

std::optional<TimePoint> Settling::Lapse(const Record& record,
                                         const stored::ViewT& view) const {
  const TimePoint dead_at = DeadAt(view);
  if (dead_at == TimePoint::max()) {
    return std::nullopt;
  }
  const bool all_listed =
      std::all_of(view.members.begin(), view.members.end(),
                  [&](const auto& it) { return FindMember(record, it); });
  // Current members report their own lease extensions.
  return all_listed ? dead_at : dead_at + permit_and_lease_;
}

std::optional<TimePoint> Settling::RemovedLapse(const Record& record) const {
  TimePoint lapse = TimePoint::min();
  for (const auto& it : record.previous_views) {
    const auto one = Lapse(record, *it);
    if (!one) {
      return std::nullopt;
    }
    lapse = std::max(lapse, *one);
  }
  return lapse;
}

bool Settling::Droppable(const Record& record,
                         const stored::ViewT& view,
                         TimePoint now) const {
  const auto lapse = Lapse(record, view);
  return lapse && *lapse <= now;
}

bool Settling::Settled(const Record& record, TimePoint now) const {
  return std::all_of(record.previous_views.begin(), record.previous_views.end(),
                     [&](const auto& it) { return DeadAt(*it) <= now; });
}

}  // namespace gentianreach::cell
