#include "entry/server_directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gentianreach::entry {
namespace {

// How long the statement of a server that is gone is kept.
constexpr Duration kLeavingKept = std::chrono::minutes(10);

}  // namespace

void ServerDirectory::Put(routing::BackendServer server, TimePoint current_at) {
  const routing::BackendServer* before = Find(server.id);
  if (server.draining) {
    server.draining_since = before != nullptr && before->draining
                                ? before->draining_since
                                : current_at;
  }
  if (const auto it = leaving_.find(server.id); it != leaving_.end()) {
    if (it->second.incarnation == server.incarnation) {
      it->second.entry_drains = server.draining;
    } else {
      leaving_.erase(it);
    }
  }
  ApplyLeaving(server);
  deferred_removals_.erase(server.id);
  ++changes_;
  servers_[server.id] = std::move(server);
}

void ServerDirectory::Remove(const ServerId& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  if (!it->second.draining && removals_deferred_) {
    deferred_removals_.insert(id);
    return;
  }
  servers_.erase(it);
  ++changes_;
  deferred_removals_.erase(id);
}

bool ServerDirectory::MarkLeaving(const ServerId& id,
                                  Incarnation incarnation,
                                  TimePoint now) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || it->second.incarnation != incarnation ||
      !leaving_.try_emplace(id, Leaving{incarnation, now}).second) {
    return false;
  }
  ApplyLeaving(it->second);
  ++changes_;
  // Entries of servers that have left may come back after an outage of the
  // store, but not much later.
  std::erase_if(leaving_, [&](const auto& it) {
    return !servers_.contains(it.first) && it.second.since + kLeavingKept < now;
  });
  return true;
}

void ServerDirectory::ApplyLeaving(routing::BackendServer& server) const {
  const auto it = leaving_.find(server.id);
  if (it == leaving_.end()) {
    return;
  }
  server.draining_since =
      server.draining ? std::min(server.draining_since, it->second.since)
                      : it->second.since;
  server.draining = true;
}

std::vector<ServerId> ServerDirectory::RemoveOthers(
    const std::vector<ServerId>& present) {
  std::vector<ServerId> absent;
  for (const auto& [id, server] : servers_) {
    if (std::find(present.begin(), present.end(), id) == present.end()) {
      absent.push_back(id);
    }
  }
  for (const ServerId& it : absent) {
    Remove(it);
  }
  return absent;
}

bool ServerDirectory::SetRemovalsDeferred(bool deferred) {
  removals_deferred_ = deferred;
  if (deferred || deferred_removals_.empty()) {
    return false;
  }
  for (const ServerId& it : deferred_removals_) {
    servers_.erase(it);
  }
  deferred_removals_.clear();
  ++changes_;
  return true;
}

const routing::BackendServer* ServerDirectory::Find(const ServerId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

}  // namespace gentianreach::entry
