#include "entry/server_entries.h"

#include <algorithm>
#include <string>

#include "base/log.h"
#include "platform/decode.h"

namespace gentianreach::entry {

void ServerEntries::Put(const platform::Object& object,
                        TimePoint current_at,
                        std::string_view source) {
  std::string why;
  const TimePoint now = state_.loop.Now();
  const auto server =
      platform::DecodeServer(object.name, object.document, now, &why);
  if (!server) {
    const ServerId id(object.name);
    if (unusable_.insert(id).second) {
      Log(LogLevel::kWarning, "server_entry_unusable",
          {{"server", object.name},
           {"why", why},
           {"revision", object.revision}});
    }
    state_.directory.Remove(id, now);
    return;
  }
  unusable_.erase(server->id);
  const routing::BackendServer* before = state_.directory.Find(server->id);
  const bool restarted =
      before != nullptr && before->incarnation != server->incarnation;
  const bool changed = before == nullptr || restarted ||
                       before->draining != server->draining ||
                       before->address != server->address;
  if (!state_.directory.Put(*server, current_at)) {
    Log(LogLevel::kWarning, "server_report_outdated",
        {{"server", object.name},
         {"draining", server->draining},
         {"life", server->incarnation.value()},
         {"report", server->report_number.value_or(0)},
         {"revision", object.revision}});
    return;
  }
  if (restarted) {
    state_.limits.Forget(server->id);
  }
  state_.OnServerEntry(*server);
  if (!changed) {
    return;
  }
  const routing::BackendServer& after = *state_.directory.Find(server->id);
  Log(LogLevel::kInfo, "server",
      {{"server", object.name},
       {"service", server->service},
       {"address", server->address},
       {"draining", server->draining},
       {"draining_ms",
        after.draining ? MillisecondsBetween(after.draining_since, now) : 0},
       {"life", server->incarnation.value()},
       {"revision", object.revision},
       {"source", source},
       {"copy_age_ms", MillisecondsBetween(current_at, now)}});
}

void ServerEntries::LogRemoval(const ServerId& id,
                               std::uint64_t revision) const {
  const auto& deferred = state_.directory.deferred_removals();
  Log(LogLevel::kInfo, "server_removed",
      {{"server", id.value()},
       {"revision", revision},
       {"deferred", deferred.contains(id)}});
}

void ServerEntries::ApplyList(const std::vector<platform::Object>& objects,
                              TimePoint current_at,
                              std::string_view source) {
  std::vector<ServerId> present;
  for (const platform::Object& it : objects) {
    if (it.deleted) {
      continue;
    }
    present.emplace_back(it.name);
    Put(it, current_at, source);
  }
  std::erase_if(unusable_, [&present](const ServerId& id) {
    return std::find(present.begin(), present.end(), id) == present.end();
  });
  for (const ServerId& it :
       state_.directory.RemoveOthers(present, state_.loop.Now())) {
    LogRemoval(it, 0);
  }
}

void ServerEntries::ApplyEvents(const std::vector<platform::Object>& objects,
                                TimePoint current_at,
                                std::string_view source) {
  for (const platform::Object& it : objects) {
    if (!it.deleted) {
      Put(it, current_at, source);
      continue;
    }
    const ServerId id(it.name);
    unusable_.erase(id);
    state_.directory.Remove(id, state_.loop.Now());
    LogRemoval(id, it.revision);
  }
}

}  // namespace gentianreach::entry
