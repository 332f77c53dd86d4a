#include "entry/balancing/zone_evacuations.h"

#include <algorithm>

#include "entry/balancing/drain_bound.h"

namespace gentianreach::entry {

bool ZoneEvacuations::Put(const ZoneName& zone, TimePoint current_at) {
  if (zone.empty()) {
    return false;
  }
  const auto [it, inserted] = evacuated_.emplace(zone, current_at);
  if (!inserted && it->second <= current_at) {
    return false;
  }
  it->second = current_at;
  ++changes_;
  return inserted;
}

bool ZoneEvacuations::Remove(const ZoneName& zone, TimePoint now) {
  if (evacuated_.erase(zone) == 0) {
    return false;
  }
  ended_[zone] = now;
  ++changes_;
  return true;
}

TimePoint ZoneEvacuations::After(const ZoneName& zone, Duration share) const {
  const auto it = evacuated_.find(zone);
  if (it == evacuated_.end()) {
    return TimePoint::max();
  }
  return it->second == TimePoint{} ? TimePoint{} : it->second + share;
}

TimePoint ZoneEvacuations::SendUntil(const ZoneName& zone) const {
  return After(
      zone, std::max(Duration(0), evacuation_time_ - DrainBound::kTransitTime));
}

TimePoint ZoneEvacuations::MoveUntil(const ZoneName& zone) const {
  return After(zone, evacuation_time_ / 2);
}

TimePoint ZoneEvacuations::ended_at(const ZoneName& zone) const {
  const auto it = ended_.find(zone);
  return it == ended_.end() ? TimePoint{} : it->second;
}

std::vector<ZoneName> ZoneEvacuations::Zones() const {
  std::vector<ZoneName> zones;
  zones.reserve(evacuated_.size());
  for (const auto& [zone, since] : evacuated_) {
    zones.push_back(zone);
  }
  return zones;
}

}  // namespace gentianreach::entry
