#include "cell/fence.h"

#include <algorithm>

namespace gentianreach::cell {

void FenceTable::OnRecord(const Record& record, ObjectVersion version) {
  std::map<std::string, Fence> kept;
  for (const auto& it : record.servers) {
    if (it->state != stored::ServerState::Fenced) {
      continue;
    }
    const auto known = fences_.find(it->id);
    if (known != fences_.end() && known->second.generation == it->generation) {
      kept[it->id] = known->second;
      continue;
    }
    kept[it->id] = {it->generation, version, it->watches_deadline, {}};
  }
  fences_ = std::move(kept);
}

void FenceTable::OnReport(const std::string& daemon,
                          ObjectVersion version,
                          const std::string& server,
                          TimePoint base,
                          TimePoint now) {
  const auto it = fences_.find(server);
  if (it == fences_.end() || version < it->second.version) {
    return;
  }
  // Only the first report counts, because the daemon extends no lease of this
  // server after it has adopted the fence.
  const TimePoint last = it->second.watches_deadline ? base : now;
  it->second.expiries.emplace(
      daemon, last == TimePoint::min() ? TimePoint::min() : last + lease_);
}

std::optional<TimePoint> FenceTable::MemberLeaseExpiry(
    const Record& record,
    const std::string& server) const {
  const auto it = fences_.find(server);
  if (it == fences_.end()) {
    return std::nullopt;
  }
  TimePoint expiry = TimePoint::min();
  for (const auto& member : record.members) {
    const auto one = it->second.expiries.find(member->daemon);
    if (one == it->second.expiries.end()) {
      return std::nullopt;
    }
    expiry = std::max(expiry, one->second);
  }
  return expiry;
}

bool FenceTable::AwaitsReport(const std::string& server,
                              const std::string& daemon) const {
  const auto it = fences_.find(server);
  return it != fences_.end() && !it->second.expiries.contains(daemon);
}

}  // namespace gentianreach::cell
