#include "keyspace/server_fences.h"

#include <algorithm>
#include <utility>

namespace gentianreach::keyspace {

void ServerFences::OnConnected(const ServerId& server,
                               const std::string& address,
                               TimePoint give_up_at) {
  State& state = states_[server];
  state.address = address;
  state.give_up_at = give_up_at;
  state.OnConnected();
}

void ServerFences::OnConnected(const std::string& address) {
  for (auto& [server, it] : states_) {
    if (it.address == address) {
      it.OnConnected();
    }
  }
}

void ServerFences::State::OnConnected() {
  connected = true;
  due_at = sent_connected ? retry_at : TimePoint{};
}

void ServerFences::OnLeaseOver(const ServerId& server,
                               const std::string& address,
                               TimePoint give_up_at) {
  const auto [it, added] = states_.try_emplace(server);
  State& state = it->second;
  if (added) {
    state.address = address;
  }
  state.give_up_at = give_up_at;
  state.lease_over = true;
  state.due_at = state.retry_at;
}

void ServerFences::Remove(const ServerId& server) {
  const auto it = states_.find(server);
  if (it == states_.end()) {
    return;
  }
  for (const std::uint64_t order : it->second.in_flight) {
    orders_.erase(order);
  }
  states_.erase(it);
}

std::vector<ServerFences::Fence> ServerFences::TakeDue(TimePoint now) {
  std::erase_if(states_, [&](const auto& it) {
    return it.second.in_flight.empty() && it.second.give_up_at <= now;
  });
  std::vector<Fence> due;
  for (auto& [server, it] : states_) {
    if (it.give_up_at <= now) {
      it.due_at = TimePoint::max();
    }
    if (it.due_at <= now) {
      due.push_back({server, it.address});
    }
  }
  return due;
}

void ServerFences::OnSent(const ServerId& server,
                          const std::vector<std::uint64_t>& orders,
                          TimePoint retry_at) {
  State& state = states_[server];
  state.due_at = TimePoint::max();
  if (orders.empty()) {
    state.lease_over = false;
    if (state.in_flight.empty()) {
      states_.erase(server);
    }
    return;
  }
  state.retry_at = retry_at;
  state.sent_connected = std::exchange(state.connected, false);
  state.first_order = orders.front();
  state.in_flight.insert(orders.begin(), orders.end());
  for (const std::uint64_t it : orders) {
    orders_.emplace(it, server);
  }
}

std::optional<ServerId> ServerFences::OnReply(std::uint64_t order,
                                              Reply reply) {
  const auto found = orders_.find(order);
  if (found == orders_.end()) {
    return std::nullopt;
  }
  const ServerId server = found->second;
  orders_.erase(found);
  if (reply == Reply::kOtherServer) {
    Remove(server);
    return server;
  }
  State& state = states_.at(server);
  state.in_flight.erase(order);
  if (reply == Reply::kUnknown && order >= state.first_order) {
    state.due_at = std::min(state.due_at, state.retry_at);
  }
  if (state.in_flight.empty() && state.due_at == TimePoint::max()) {
    states_.erase(server);
  }
  return server;
}

bool ServerFences::IsSending(const ServerId& server) const {
  const auto it = states_.find(server);
  return it != states_.end() && !it->second.in_flight.empty();
}

std::set<std::string> ServerFences::Addresses() const {
  std::set<std::string> addresses;
  for (const auto& [server, it] : states_) {
    if (it.lease_over) {
      addresses.insert(it.address);
    }
  }
  return addresses;
}

TimePoint ServerFences::next_at() const {
  TimePoint at = TimePoint::max();
  for (const auto& [server, it] : states_) {
    at = std::min(at, it.due_at);
  }
  return at;
}

}  // namespace gentianreach::keyspace
