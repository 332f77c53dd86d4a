#include "placement/server_history.h"

#include <algorithm>

namespace gentianreach::internal {

void ServerHistory::Update(std::span<const PlacementServer> servers,
                           TimePoint now) {
  for (auto& [id, record] : records_) {
    record.seen = false;
  }
  for (const PlacementServer& it : servers) {
    const auto [entry, added] = records_.try_emplace(it.id);
    Record& record = entry->second;
    const bool live = it.state == PlacementServerState::kLive;
    const bool restarted = record.first_seen != it.first_seen;
    if (!added && live && (!record.live || restarted)) {
      RecordReturn(record, now);
    }
    if (it.state != PlacementServerState::kDraining) {
      record.draining_since = TimePoint::max();
    } else {
      record.draining_since = std::min(record.draining_since, now);
    }
    record.live = live;
    record.first_seen = it.first_seen;
    record.seen = true;
    record.record_expires_at = now + kRetention;
  }
  for (auto& [id, record] : records_) {
    if (!record.seen) {
      record.live = false;
      record.draining_since = TimePoint::max();
    }
  }
  std::erase_if(records_, [now](const auto& it) {
    return !it.second.seen && it.second.record_expires_at <= now;
  });
}

bool ServerHistory::IsStable(const ServerId& server, TimePoint now) const {
  const auto it = records_.find(server);
  return it == records_.end() || it->second.stable_at <= now;
}

TimePoint ServerHistory::DrainingSince(const ServerId& server) const {
  const auto it = records_.find(server);
  return it == records_.end() ? TimePoint::max() : it->second.draining_since;
}

double ServerHistory::WarmUpShare(const PlacementServer& server,
                                  Duration warm_up,
                                  TimePoint now) {
  if (warm_up <= Duration::zero()) {
    return 1;
  }
  const double passed =
      std::chrono::duration<double>(now - server.first_seen).count();
  const double whole = std::chrono::duration<double>(warm_up).count();
  return std::clamp(passed / whole, kMinWarmUpShare, 1.0);
}

// A single return is an ordinary restart; from the second on, the server is
// flapping.
void ServerHistory::RecordReturn(Record& record, TimePoint now) {
  if (record.returns_expire_at <= now) {
    record.returns = 0;
  }
  record.returns = std::min(record.returns + 1, kMaxReturns);
  record.returns_expire_at = now + kRetention;
  if (record.returns >= 2) {
    record.stable_at = now + kInitialWait * (1 << (record.returns - 2));
  }
}

}  // namespace gentianreach::internal
