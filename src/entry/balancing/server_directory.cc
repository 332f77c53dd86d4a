#include "entry/balancing/server_directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gentianreach::entry {
namespace {

// How long the last report of a removed server is kept. Its entry may come back
// after an outage of the store, but not much later.
constexpr Duration kRemovedKept = std::chrono::minutes(10);
// How much later than newer ones a report may reach the store. Later reports
// count, since the clock by which a server numbers its incarnations may have
// been set back.
constexpr Duration kMaxReportDelay = std::chrono::seconds(30);

}  // namespace

bool ServerDirectory::Put(routing::BackendServer server, TimePoint current_at) {
  if (IsOutdated(server)) {
    return false;
  }
  const routing::BackendServer* before = Find(server.id);
  if (server.draining) {
    server.draining_since = before != nullptr && before->draining
                                ? before->draining_since
                                : current_at;
  }
  if (const auto it = leaving_.find(server.id);
      it != leaving_.end() && it->second.incarnation != server.incarnation) {
    leaving_.erase(it);
  }
  // A server of unknown incarnation may have started again since.
  if (server.draining && server.incarnation != Incarnation{}) {
    leaving_.try_emplace(server.id,
                         Leaving{server.incarnation, server.draining_since});
  }
  if (const auto it = leaving_.find(server.id); it != leaving_.end()) {
    it->second.entry_drains = server.draining;
  }
  ApplyLeaving(server);
  deferred_removals_.erase(server.id);
  removed_.erase(server.id);
  ++changes_;
  servers_[server.id] = std::move(server);
  return true;
}

void ServerDirectory::Remove(const ServerId& id, TimePoint now) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  if (!it->second.draining && removals_deferred_) {
    deferred_removals_.insert(id);
    return;
  }
  Erase(id, now);
  deferred_removals_.erase(id);
}

std::optional<ServerDirectory::Report> ServerDirectory::LastReport(
    const ServerId& id) const {
  if (const routing::BackendServer* it = Find(id)) {
    return Report{it->incarnation, it->report_number, it->reported_at};
  }
  const auto it = removed_.find(id);
  if (it == removed_.end()) {
    return std::nullopt;
  }
  const auto& [server, at] = it->second;
  return Report{server.incarnation, server.report_number, at};
}

bool ServerDirectory::IsOutdated(const routing::BackendServer& server) const {
  const auto last = LastReport(server.id);
  if (!last || last->incarnation == Incarnation{} ||
      server.incarnation == Incarnation{} ||
      last->known_at + kMaxReportDelay < server.reported_at) {
    return false;
  }
  if (server.incarnation != last->incarnation) {
    return server.incarnation < last->incarnation;
  }
  return server.report_number && last->number &&
         *server.report_number < *last->number;
}

void ServerDirectory::Erase(const ServerId& id, TimePoint now) {
  const auto it = servers_.find(id);
  removed_.insert_or_assign(id, Removed{std::move(it->second), now});
  servers_.erase(it);
  ++changes_;
  std::erase_if(removed_, [&](const auto& removed) {
    return removed.second.at + kRemovedKept < now;
  });
  std::erase_if(leaving_, [&](const auto& leaving) {
    return !servers_.contains(leaving.first) &&
           !removed_.contains(leaving.first);
  });
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
    const std::vector<ServerId>& present,
    TimePoint now) {
  const std::set<ServerId> kept(present.begin(), present.end());
  std::vector<ServerId> absent;
  for (const auto& [id, server] : servers_) {
    if (!kept.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const ServerId& it : absent) {
    Remove(it, now);
  }
  return absent;
}

std::set<ServerId> ServerDirectory::SetRemovalsDeferred(bool deferred,
                                                        TimePoint now) {
  removals_deferred_ = deferred;
  if (deferred) {
    return {};
  }
  std::set<ServerId> removed = std::exchange(deferred_removals_, {});
  for (const ServerId& it : removed) {
    Erase(it, now);
  }
  return removed;
}

const std::vector<const routing::BackendServer*>& ServerDirectory::OfService(
    const std::string& service) const {
  if (std::exchange(indexed_changes_, changes_) != changes_) {
    index_.clear();
    for (const auto& [id, it] : servers_) {
      index_[it.service].push_back(&it);
    }
  }
  return index_[service];
}

const routing::BackendServer* ServerDirectory::Find(const ServerId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

}  // namespace gentianreach::entry
