#include "entry/server_directory.h"

#include <algorithm>
#include <utility>

namespace gentianreach::entry {

void ServerDirectory::Put(routing::BackendServer server, TimePoint current_at) {
  const routing::BackendServer* before = Find(server.id);
  if (server.draining) {
    server.draining_since = before != nullptr && before->draining
                                ? before->draining_since
                                : current_at;
  }
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

void ServerDirectory::RemoveOthers(const std::vector<ServerId>& present) {
  std::vector<ServerId> absent;
  for (const auto& [id, server] : servers_) {
    if (std::find(present.begin(), present.end(), id) == present.end()) {
      absent.push_back(id);
    }
  }
  for (const ServerId& it : absent) {
    Remove(it);
  }
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
