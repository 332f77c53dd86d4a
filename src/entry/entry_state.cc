#include "entry/entry_state.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "base/log.h"

namespace gentianreach::entry {
namespace {

// Share of the allowed retries that is used; the rest is a margin, since the
// number of requests differs between daemons and windows.
constexpr double kBudgetShare = 0.75;
// Longest time that a request waits for a connection to a server to open.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// How long an idle connection is kept unless the server states a time.
constexpr Duration kIdleTimeout = std::chrono::seconds(8);
// Limit of the keys kept per service for the next message to the leader; more
// do not fit into a datagram.
constexpr std::size_t kMaxUnsentKeys = 400;
// Connections to a server that each daemon may always use at the same time. If
// the share of each daemon is smaller, few daemons need this many at once.
constexpr std::size_t kMinConnections = 3;
// Share of a server's connections that the daemons use for requests; the leader
// and daemons that are being replaced need some of the rest.
constexpr double kConnectionShare = 0.8;
// Connections to one relay, and how many of them may stay open while idle.
constexpr std::size_t kMaxRelayConnections = 128;
constexpr std::size_t kMaxIdleRelayConnections = 32;
// Longest excerpt of an unusable load report in the log.
constexpr std::size_t kMaxLoggedReport = 100;
// Share of a server's connections that may stay open while idle.
constexpr double kIdleShare = 0.6;

}  // namespace

EntryState::EntryState(net::EventLoop& loop,
                       HeaderNames headers,
                       ZoneName zone,
                       RetryBounds bounds,
                       DrainBound drain_bound,
                       std::string source_ip,
                       std::uint64_t body_bytes,
                       Duration evacuation_time)
    : loop(loop),
      headers(std::move(headers)),
      zone(std::move(zone)),
      drain_bound(drain_bound),
      limits(std::random_device{}()),
      evacuations(evacuation_time),
      hedging(bounds.hedging),
      body_memory(body_bytes),
      bounds_(std::move(bounds)),
      source_ip_(std::move(source_ip)) {}

void EntryState::SetMembers(std::uint32_t members, std::uint32_t cut_members) {
  members_.Set(members, loop.Now());
  cut_members_ = cut_members;
  limits.SetMembers(senders(), members_.value(), loop.Now());
}

std::uint32_t EntryState::senders() const {
  const std::uint32_t members = std::max(1U, members_.value());
  return members - std::min(cut_members_, members - 1);
}

RetryBudget& EntryState::Budget(const std::string& service) {
  const double own_slack =
      std::max(1.0, bounds_.slack * kBudgetShare / std::max(1U, members()));
  const auto found = budgets_.find(service);
  if (found != budgets_.end()) {
    found->second.SetBounds(own_slack / 2, own_slack);
    return found->second;
  }
  const RetryBudgetOptions options{.share = bounds_.ratio * kBudgetShare,
                                   .floor = own_slack / 2,
                                   .floor_refill = std::chrono::seconds(5),
                                   .limit = own_slack};
  return budgets_.emplace(service, RetryBudget(options, loop.Now()))
      .first->second;
}

void EntryState::SetLoadCounting(bool counts) {
  counts_key_load_ = counts;
  if (!counts) {
    key_loads_.clear();
  }
}

void EntryState::CountKey(const std::string& service, std::uint32_t key) {
  if (counts_key_load_) {
    key_loads_[service].Add(key);
    return;
  }
  auto& unsent = unsent_keys_[service];
  if (unsent.size() < kMaxUnsentKeys) {
    unsent.push_back(static_cast<std::uint16_t>(key));
  }
}

std::size_t EntryState::OwnShare(const std::string& service,
                                 double share) const {
  std::size_t connections = 100;
  if (routes) {
    const auto it = routes->config().services.find(service);
    if (it != routes->config().services.end()) {
      connections = it->second.max_connections;
    }
  }
  return static_cast<std::size_t>(static_cast<double>(connections) * share /
                                  senders());
}

proxy::ServerConnectionOptions EntryState::ConnectionOptions() const {
  return {.connect_timeout = kConnectTimeout,
          .idle_timeout = kIdleTimeout,
          .accept_until_end = true,
          .source_ip = source_ip_};
}

std::shared_ptr<proxy::ServerPool> EntryState::Pool(
    const routing::BackendServer& server) {
  PoolEntry& entry = pools_[server.id];
  if (!entry.pool || entry.address != server.address) {
    if (entry.pool) {
      entry.pool->CloseIdle();
    }
    entry.address = server.address;
    entry.pool = std::make_shared<proxy::ServerPool>(
        loop, server.address, std::nullopt, ConnectionOptions());
  }
  entry.pool->SetLimit(
      std::max(kMinConnections, OwnShare(server.service, kConnectionShare)));
  entry.pool->SetIdleLimit(
      std::max<std::size_t>(1, OwnShare(server.service, kIdleShare)));
  return entry.pool;
}

std::shared_ptr<proxy::ServerPool> EntryState::RelayPool(
    const std::string& address) {
  std::shared_ptr<proxy::ServerPool>& pool = relay_pools_[address];
  if (!pool) {
    pool = std::make_shared<proxy::ServerPool>(loop, address, std::nullopt,
                                               ConnectionOptions());
    pool->SetLimit(kMaxRelayConnections);
    pool->SetIdleLimit(kMaxIdleRelayConnections);
  }
  return pool;
}

void EntryState::CloseIdleConnections() {
  for (const auto& [server, it] : pools_) {
    it.pool->CloseIdle();
  }
}

void EntryState::UpdateLimit(const ServerId& server,
                             std::optional<std::string_view> limit) {
  if (!limit) {
    if (limits.Clear(server)) {
      Log(LogLevel::kInfo, "server_limit_ended", {{"server", server.value()}});
    }
    return;
  }
  const auto per_second = ParseLimit(*limit);
  if (!per_second) {
    if (log_budget.Take(loop.Now())) {
      Log(LogLevel::kWarning, "server_limit_unusable",
          {{"server", server.value()}, {"limit", *limit}});
    }
    return;
  }
  if (limits.Set(server, *per_second, loop.Now())) {
    Log(LogLevel::kInfo, "server_limit",
        {{"server", server.value()}, {"per_second", *per_second}});
  }
}

std::optional<LoadReport> EntryState::ReadLoadReport(const ServerId& server,
                                                     std::string_view text) {
  auto report = ParseLoadReport(text);
  if (!report) {
    metrics.Count("load_reports_unusable_total");
    if (garbled_reports_.insert(server).second) {
      Log(LogLevel::kWarning, "load_report_unusable",
          {{"server", server.value()},
           {"report", text.substr(0, kMaxLoggedReport)}});
    }
  }
  return report;
}

void EntryState::OnRestRequested(const ServerId& server, TimePoint until) {
  metrics.Count("rests_requested_total");
  limits.SetRest(server, until);
  if (log_budget.Take(loop.Now())) {
    Log(LogLevel::kInfo, "server_rest",
        {{"server", server.value()},
         {"ms", (until - loop.Now()) / std::chrono::milliseconds(1)}});
  }
}

void EntryState::OnLeaving(const ServerId& server, Incarnation incarnation) {
  if (!directory.MarkLeaving(server, incarnation, loop.Now())) {
    return;
  }
  Log(LogLevel::kInfo, "server_leaving",
      {{"server", server.value()}, {"life", incarnation.value()}});
  if (on_server_leaving) {
    on_server_leaving();
  }
}

void EntryState::OnRemoteRefusals(const std::vector<RefusedRequest>& requests,
                                  std::string_view source) {
  const std::size_t refused = crashes.OnRemoteRefusals(requests, loop.Now());
  if (refused > 0) {
    Log(LogLevel::kWarning, "crashing_requests_learned",
        {{"requests", refused}, {"source", source}});
  }
}

void EntryState::OnInvalidResponse(std::string_view kind,
                                   const std::string& sender,
                                   const proxy::ServerConnection& connection) {
  metrics.Count("invalid_responses_total",
                "sender=\"" + std::string(kind) + "\"");
  if (log_budget.Take(loop.Now())) {
    Log(LogLevel::kWarning, "invalid_response",
        {{"sender", kind},
         {"name", sender},
         {"status", connection.head().status},
         {"version", connection.head().version}});
  }
}

void EntryState::DropRemovedServers() {
  std::erase_if(pools_, [&](auto& it) {
    if (directory.Find(it.first) != nullptr) {
      return false;
    }
    it.second.pool->CloseIdle();
    loads.Forget(it.first);
    garbled_reports_.erase(it.first);
    limits.Forget(it.first);
    reachability.Forget(it.first);
    return true;
  });
  // An entry that was removed not long ago may return.
  for (const ServerId& it : cold.ForgetUnless([&](const ServerId& id) {
         return directory.Find(id) != nullptr ||
                directory.removed().contains(id);
       })) {
    limits.Forget(it);
  }
}

void EntryState::SetServiceMetrics() {
  const TimePoint now = loop.Now();
  metrics.Set("cold_servers", static_cast<double>(limits.CountCold(now)));
  if (!routes) {
    return;
  }
  for (const auto& [name, service] : routes->config().services) {
    const std::string label = "service=\"" + name + "\"";
    const auto& servers = directory.OfService(name);
    double free = 0;
    for (const routing::BackendServer* it : servers) {
      free += it->slots * std::max(0.0, 1 - loads.Utilization(*it, now));
    }
    metrics.Set("servers", static_cast<double>(servers.size()), label);
    metrics.Set("slots_known_free", free, label);
    metrics.Set("retries_left", Budget(name).Left(now), label);
    const auto* table = ownership.Find(name);
    if (table == nullptr) {
      continue;
    }
    metrics.Set("ranges", static_cast<double>(table->ranges.size()), label);
    metrics.Set("ranges_moving",
                static_cast<double>(std::ranges::count_if(
                    table->ranges, [](const auto& it) { return it.moving(); })),
                label);
  }
}

}  // namespace gentianreach::entry
