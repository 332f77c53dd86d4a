#include "entry/evacuation_objects.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace gentianreach::entry {

std::size_t EvacuationObjects::CountServers(const ZoneName& zone) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      state_.directory.servers(),
      [&](const auto& it) { return it.second.zone == zone; }));
}

void EvacuationObjects::Put(const platform::Object& object,
                            TimePoint current_at,
                            std::string_view source) {
  const ZoneName zone(object.name);
  if (!state_.evacuations.Put(zone, current_at)) {
    return;
  }
  unchecked_.insert(zone);
  const TimePoint now = state_.loop.Now();
  Log(LogLevel::kWarning, "evacuation",
      {{"zone", object.name},
       {"servers", CountServers(zone)},
       {"revision", object.revision},
       {"source", source},
       {"age_known", current_at != TimePoint{}},
       {"send_ms",
        MillisecondsBetween(now, state_.evacuations.SendUntil(zone))}});
}

void EvacuationObjects::Remove(const ZoneName& zone, std::uint64_t revision) {
  if (!state_.evacuations.Remove(zone, state_.loop.Now())) {
    return;
  }
  unchecked_.erase(zone);
  // The servers may have become cold meanwhile, before their entries say so.
  state_.OnZoneEvacuationEnded(zone, state_.evacuations.ended_at(zone));
  Log(LogLevel::kWarning, "evacuation_ended",
      {{"zone", zone.value()},
       {"servers", CountServers(zone)},
       {"revision", revision}});
}

void EvacuationObjects::ApplyList(const std::vector<platform::Object>& objects,
                                  TimePoint current_at,
                                  std::string_view source) {
  std::set<ZoneName> present;
  for (const platform::Object& it : objects) {
    if (!it.deleted) {
      present.emplace(it.name);
      Put(it, current_at, source);
    }
  }
  for (const ZoneName& it : state_.evacuations.Zones()) {
    if (!present.contains(it)) {
      Remove(it, 0);
    }
  }
}

void EvacuationObjects::ApplyEvents(
    const std::vector<platform::Object>& objects,
    TimePoint current_at,
    std::string_view source) {
  for (const platform::Object& it : objects) {
    if (it.deleted) {
      Remove(ZoneName(it.name), it.revision);
    } else {
      Put(it, current_at, source);
    }
  }
}

void EvacuationObjects::CheckZones() {
  for (const ZoneName& it : std::exchange(unchecked_, {})) {
    if (CountServers(it) == 0) {
      Log(LogLevel::kWarning, "evacuation_without_servers",
          {{"zone", it.value()}});
    }
  }
}

void EvacuationObjects::SetMetrics() {
  const auto zones = state_.evacuations.Zones();
  state_.metrics.Set("evacuated_zones", static_cast<double>(zones.size()));
  state_.metrics.Set("evacuated_zones_without_servers",
                     static_cast<double>(std::ranges::count_if(
                         zones, [this](const ZoneName& it) {
                           return CountServers(it) == 0;
                         })));
}

}  // namespace gentianreach::entry
