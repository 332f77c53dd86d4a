#include "entry/entry_state.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gentianreach::entry {
namespace {

// The part of the allowed repeats that is used: requests differ between
// daemons and windows.
constexpr double kBudgetShare = 0.75;
// Connections to a server opened in vain block no request for longer.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// How long an unused connection is kept where the server does not say.
constexpr Duration kIdleTimeout = std::chrono::seconds(8);
// Keys kept for the next message to the leader; more fit into no datagram.
constexpr std::size_t kMostUnsentKeys = 400;
// Connections that each daemon may use to a server at the same time at least.
// Few daemons use that many, where a server's connections are few for each.
constexpr std::size_t kLeastConnections = 3;
// The part of a server's connections that is used: some are its leader's and
// of daemons that are being replaced.
constexpr double kConnectionShare = 0.8;
// The part that may stay open without being used.
constexpr double kIdleShare = 0.6;

}  // namespace

EntryState::EntryState(net::EventLoop& loop,
                       HeaderNames headers,
                       ZoneName zone,
                       RetryBounds bounds)
    : loop(loop),
      headers(std::move(headers)),
      zone(std::move(zone)),
      bounds_(bounds) {}

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

void EntryState::SetCountsLoad(bool counts) {
  counts_load_ = counts;
  if (!counts) {
    key_loads_.clear();
  }
}

void EntryState::CountKey(const std::string& service, std::uint32_t key) {
  if (counts_load_) {
    key_loads_[service].Add(key);
    return;
  }
  auto& unsent = unsent_keys_[service];
  if (unsent.size() < kMostUnsentKeys) {
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
                                  std::max(1U, members()));
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
        loop, server.address, std::nullopt,
        proxy::ServerConnectionOptions{.connect_timeout = kConnectTimeout,
                                       .idle_timeout = kIdleTimeout,
                                       .accept_until_end = true});
  }
  entry.pool->SetLimit(
      std::max(kLeastConnections, OwnShare(server.service, kConnectionShare)));
  entry.pool->SetIdleLimit(
      std::max<std::size_t>(1, OwnShare(server.service, kIdleShare)));
  return entry.pool;
}

void EntryState::ForgetAbsentServers() {
  std::erase_if(pools_, [&](auto& it) {
    if (directory.Find(it.first) != nullptr) {
      return false;
    }
    it.second.pool->CloseIdle();
    loads.Forget(it.first);
    return true;
  });
}

}  // namespace gentianreach::entry
