// The part of the range assigner that fences servers.
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "keyspace/range_assigner.h"

namespace gentianreach::keyspace {
namespace {

ServerFences::Reply ToFenceReply(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return ServerFences::Reply::kDone;
    case OrderOutcome::kConnectionRefused:
    case OrderOutcome::kNotConnected:
      return ServerFences::Reply::kNotConnected;
    case OrderOutcome::kOtherServer:
      return ServerFences::Reply::kOtherServer;
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

void RangeAssigner::PollFences(TimePoint now,
                               std::vector<AssignerAction>* actions) {
  for (const auto& [id, it] : servers_) {
    if (connected_.erase(it.address) != 0) {
      fences_.OnConnected(id, it.address);
    }
  }
  for (const auto& [server, address] : fences_.TakeDue(now)) {
    std::vector<std::uint64_t> orders;
    for (const KeyRange& it : KeysOfOthers(server)) {
      orders.push_back(++last_order_);
      // Above all tokens of the table and below those of later grants.
      actions->emplace_back(
          SendOrder{.kind = SendOrder::Kind::kRelease,
                    .order = last_order_,
                    .server = server,
                    .address = address,
                    .range = it,
                    .token = Token(table_.next_token.value() - 1),
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

std::vector<KeyRange> RangeAssigner::KeysOfOthers(
    const ServerId& server) const {
  std::vector<KeyRange> keys;
  for (std::size_t i = 0; i < table_.ranges.size(); ++i) {
    const OwnedRange& it = table_.ranges[i];
    bool may_hold = it.owner.server == server;
    for (std::size_t k = 0; k < it.earlier.size(); ++k) {
      may_hold = may_hold || (it.earlier[k].server == server &&
                              !states_[i].earlier[k].cleared);
    }
    if (may_hold) {
      continue;
    }
    if (!keys.empty() && keys.back().last + 1 == it.range.first) {
      keys.back().last = it.range.last;
    } else {
      keys.push_back(it.range);
    }
  }
  return keys;
}

}  // namespace gentianreach::keyspace
