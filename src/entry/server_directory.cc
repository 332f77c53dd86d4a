#include "entry/server_directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gentianreach::entry {
namespace {

// Live servers write their entries again within about two seconds of the
// store's return; one that is missing then is gone.
constexpr Duration kReturnTime = std::chrono::milliseconds(2000);

}  // namespace

void ServerDirectory::Put(routing::BackendServer server, TimePoint now) {
  const routing::BackendServer* before = Find(server.id);
  if (server.draining) {
    server.draining_since = before != nullptr && before->draining
                                ? before->draining_since
                                : now;
  }
  lapsed_.erase(server.id);
  servers_[server.id] = std::move(server);
}

void ServerDirectory::Remove(const ServerId& id, TimePoint now) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  if (!it->second.draining && (store_lost_ || now < trusted_from_)) {
    lapsed_.emplace(id, store_lost_ ? TimePoint::max() : trusted_from_);
    return;
  }
  servers_.erase(it);
  lapsed_.erase(id);
}

void ServerDirectory::RemoveOthers(const std::vector<ServerId>& present,
                                   TimePoint now) {
  std::vector<ServerId> absent;
  for (const auto& [id, server] : servers_) {
    if (std::find(present.begin(), present.end(), id) == present.end()) {
      absent.push_back(id);
    }
  }
  for (const ServerId& it : absent) {
    Remove(it, now);
  }
}

void ServerDirectory::OnStoreBack(TimePoint now) {
  if (!store_lost_) {
    return;
  }
  store_lost_ = false;
  trusted_from_ = now + kReturnTime;
  for (auto& [id, until] : lapsed_) {
    until = trusted_from_;
  }
}

bool ServerDirectory::Expire(TimePoint now) {
  return std::erase_if(lapsed_, [&](const auto& it) {
           if (it.second > now) {
             return false;
           }
           servers_.erase(it.first);
           return true;
         }) > 0;
}

const routing::BackendServer* ServerDirectory::Find(const ServerId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

}  // namespace gentianreach::entry
