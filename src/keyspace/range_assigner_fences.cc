// The part of the range assigner that fences servers.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "keyspace/fencing_tokens.h"
#include "keyspace/range_assigner.h"

namespace gentianreach::keyspace {
namespace {

ServerFences::Reply ToFenceReply(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return ServerFences::Reply::kDone;
    case OrderOutcome::kOtherServer:
      return ServerFences::Reply::kOtherServer;
    case OrderOutcome::kConnectionRefused:
    case OrderOutcome::kNotConnected:
    case OrderOutcome::kHigherToken:
    case OrderOutcome::kTokenOutdated:
    case OrderOutcome::kRefused:
    case OrderOutcome::kUnknown:
      return ServerFences::Reply::kUnknown;
  }
  return ServerFences::Reply::kUnknown;
}

}  // namespace

void RangeAssigner::OnConnected(const std::string& address) {
  connected_.insert(address);
  fences_.OnConnected(address);
  next_poll_at_ = TimePoint{};
}

void RangeAssigner::OnUnlisted(const AssignerServer& server,
                               TimePoint until,
                               TimePoint now) {
  const ServerIncarnation incarnation(server.id, server.incarnation);
  if (servers_.contains(server.id) || ended_.contains(incarnation) ||
      until + options_.max_fence_wait <= now) {
    return;
  }
  if (addresses_.try_emplace(incarnation, server.address).second) {
    incarnations_at_[server.address].insert(incarnation);
    // The server may be an earlier owner that can be asked to release its keys.
    PollAllRanges();
  }
  fences_.OnLeaseOver(server.id, server.address,
                      until + options_.max_fence_wait);
  next_poll_at_ = std::min(next_poll_at_, now);
}

void RangeAssigner::FenceAfterLease(const Owner& owner, TimePoint now) {
  if (owner.server.value().empty()) {
    // Any server may have been the owner.
    for (const auto& [id, it] : servers_) {
      connected_.insert(it.address);
    }
  } else if (const std::string address = LastKnownAddress(owner);
             !address.empty()) {
    fences_.OnLeaseOver(owner.server, address, now + options_.max_fence_wait);
  }
}

void RangeAssigner::PollFences(TimePoint now,
                               std::vector<AssignerAction>* actions) {
  for (const auto& [id, it] : servers_) {
    if (connected_.erase(it.address) != 0) {
      fences_.OnConnected(id, it.address, now + options_.max_fence_wait);
    }
  }
  for (const auto& [server, address] : fences_.TakeDue(now)) {
    std::vector<std::uint64_t> orders;
    for (const auto& [range, token] : KeysOfOthers(server, now)) {
      orders.push_back(++last_order_);
      actions->emplace_back(
          SendOrder{.kind = SendOrder::Kind::kRelease,
                    .order = last_order_,
                    .server = server,
                    .address = address,
                    .range = range,
                    .token = token,
                    .fencing = true,
                    .deadline = now + options_.order_timeout});
    }
    fences_.OnSent(server, orders, now + options_.order_timeout);
  }
}

bool RangeAssigner::OnFenceReply(std::uint64_t order,
                                 OrderOutcome outcome,
                                 TimePoint now) {
  const auto server = fences_.OnReply(order, ToFenceReply(outcome));
  if (!server) {
    return false;
  }
  if (!fences_.IsSending(*server)) {
    // Grants to the server may have waited.
    schedule_.AddAll(now);
  }
  return true;
}

std::vector<RangeAssigner::FencedKeys> RangeAssigner::KeysOfOthers(
    const ServerId& server,
    TimePoint now) const {
  std::vector<FencedKeys> keys;
  for (std::size_t i = 0; i < table_.ranges.size(); ++i) {
    const OwnedRange& it = table_.ranges[i];
    const RangeState& state = states_[i];
    bool may_hold = it.owner.server.value().empty();
    for (std::size_t k = 0; k < it.earlier.size(); ++k) {
      const ServerId& earlier = it.earlier[k].server;
      may_hold = may_hold || ((earlier == server || earlier.value().empty()) &&
                              !state.earlier[k].cleared);
    }
    // Above all tokens of the table and below those of later grants.
    Token token(table_.next_token.value() - 1);
    if (it.owner.server == server) {
      // The server is to get the keys, but has not been sent them yet.
      may_hold = may_hold || !it.moving() || state.granted ||
                 HeldUntil(state.orders) > now;
      token = FencingToken(it.owner.token);
    }
    if (may_hold) {
      continue;
    }
    if (!keys.empty() && keys.back().token == token &&
        keys.back().range.last + 1 == it.range.first) {
      keys.back().range.last = it.range.last;
    } else {
      keys.push_back({it.range, token});
    }
  }
  return keys;
}

}  // namespace gentianreach::keyspace
