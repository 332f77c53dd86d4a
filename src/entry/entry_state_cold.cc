// The part of EntryState that handles the signs that servers are cold.
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "base/log.h"
#include "entry/entry_state.h"

namespace gentianreach::entry {

void EntryState::SetRoutes(std::shared_ptr<routing::HostRoutes> new_routes) {
  routes = std::move(new_routes);
  const auto& ignored = routes->config().ignored_values;
  if (!ignored.empty()) {
    std::string why;
    for (const std::string& it : ignored) {
      why += (why.empty() ? "" : "; ") + it;
    }
    Log(LogLevel::kWarning, "config_values_ignored",
        {{"version", routes->config().version}, {"why", why}});
    metrics.Count("config_values_ignored_total", {}, ignored.size());
  }
  for (const auto& [id, it] : directory.servers()) {
    UpdateWarmup(id);
  }
}

void EntryState::OnServerEntry(const routing::BackendServer& server) {
  cold.OnEntry(server, loop.Now());
  UpdateWarmup(server.id);
}

void EntryState::OnWarmupStated(const ServerId& server, std::string_view text) {
  const auto left = ParseWarmupLeft(text);
  if (!left) {
    metrics.Count("warmup_statements_unusable_total");
    if (log_budget.Take(loop.Now())) {
      Log(LogLevel::kWarning, "server_warmup_unusable",
          {{"server", server.value()}, {"warmup", text}});
    }
    return;
  }
  cold.OnStated(server, *left, loop.Now());
  UpdateWarmup(server);
}

void EntryState::OnConnectionRefused(const ServerId& server,
                                     Incarnation incarnation) {
  cold.OnRefused(server, incarnation, loop.Now());
  UpdateWarmup(server);
}

void EntryState::OnZoneEvacuationEnded(const ZoneName& evacuated,
                                       TimePoint ended_at) {
  cold.OnZoneEvacuationEnded(evacuated, ended_at);
  for (const auto& [id, it] : directory.servers()) {
    if (it.zone == evacuated) {
      UpdateWarmup(id);
    }
  }
}

double EntryState::Capacity(const routing::BackendServer& server,
                            TimePoint now) const {
  const double capacity = loads.Capacity(server, now);
  return std::min(capacity,
                  limits.WarmupRate(server.id, now).value_or(capacity));
}

void EntryState::UpdateWarmup(const ServerId& id) {
  const routing::BackendServer* const server = directory.Find(id);
  if (server == nullptr || !routes) {
    return;
  }
  const auto& services = routes->config().services;
  const auto service = services.find(server->service);
  if (service == services.end()) {
    return;
  }
  const double warmup_rate = service->second.warmup_rate;
  const TimePoint now = loop.Now();
  const ColdServers::Cold found =
      cold.Find(*server, service->second.warmup_time);
  const bool is_news = limits.SetWarmup(id, warmup_rate, found.until, now);
  if (warmup_rate > 0 && found.until > now) {
    directory.SetWarmAt(id, found.until);
  }
  if (!is_news) {
    return;
  }
  metrics.Count("warmups_total",
                "sign=\"" + std::string(ToString(found.sign)) + "\"");
  Log(LogLevel::kInfo, "server_cold",
      {{"server", id.value()},
       {"service", server->service},
       {"sign", ToString(found.sign)},
       {"ms", MillisecondsBetween(now, found.until)},
       {"per_second", warmup_rate},
       {"senders", senders()}});
}

}  // namespace gentianreach::entry
