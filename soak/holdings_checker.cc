#include "soak/holdings_checker.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gentianreach::soak {

HoldingsChecker::HoldingsChecker(const std::vector<std::uint32_t>& keys) {
  for (const std::uint32_t it : keys) {
    holds_[it];
  }
}

void HoldingsChecker::OnOrder(const ObservedOrder& order) {
  pending_.emplace(order.at, order);
}

void HoldingsChecker::OnEnd(const std::string& server, TimePoint at) {
  pending_.emplace(
      at, ObservedOrder{.server = server, .first = 1, .last = 0, .at = at});
}

void HoldingsChecker::Check(TimePoint until) {
  const auto end = pending_.lower_bound(until);
  for (auto it = pending_.begin(); it != end; ++it) {
    Apply(it->second);
  }
  pending_.erase(pending_.begin(), end);
  for (auto& [key, holds] : holds_) {
    Expire(key, holds, until);
    for (const auto& [server, hold] : holds) {
      CheckOverlap(key, holds, server, until);
    }
  }
}

void HoldingsChecker::Apply(const ObservedOrder& order) {
  const bool ended = order.last < order.first;
  orders_ += ended ? 0 : 1;
  delayed_orders_ += order.delayed ? 1 : 0;
  for (auto& [key, holds] : holds_) {
    if (!ended && (key < order.first || key > order.last)) {
      continue;
    }
    Expire(key, holds, order.at);
    if (ended || order.token == 0) {
      Remove(key, holds, order.server, order.at);
    } else {
      Grant(key, holds, order);
    }
  }
}

void HoldingsChecker::Span::Extend(const ObservedOrder& order) {
  if (until <= order.at) {
    since = order.at;
  }
  until = order.until;
}

void HoldingsChecker::Grant(std::uint32_t key,
                            Holds& holds,
                            const ObservedOrder& order) {
  const auto [it, is_new] = holds.try_emplace(order.server);
  Hold& hold = it->second;
  auto& [highest, server] = highest_[key];
  if (order.token != hold.token && order.token <= highest &&
      order.server != server && !order.delayed) {
    violations_.push_back("a server took key " + std::to_string(key) +
                          " with a token that is not higher: " + order.server +
                          " with token " + std::to_string(order.token) +
                          " after " + server + " with token " +
                          std::to_string(highest));
  }
  if (order.token > highest) {
    highest = order.token;
    server = order.server;
  }
  hold.token = order.token;
  hold.any.Extend(order);
  if (order.delayed) {
    return;
  }
  if (!is_new && hold.judged.until <= order.at) {
    CheckOverlap(key, holds, order.server, order.at);
  }
  hold.judged.Extend(order);
}

void HoldingsChecker::Expire(std::uint32_t key, Holds& holds, TimePoint now) {
  std::vector<std::pair<TimePoint, std::string>> ended;
  for (const auto& [server, hold] : holds) {
    if (hold.any.until <= now) {
      ended.emplace_back(hold.any.until, server);
    }
  }
  std::ranges::sort(ended);
  for (const auto& [at, server] : ended) {
    Remove(key, holds, server, at);
  }
}

void HoldingsChecker::Remove(std::uint32_t key,
                             Holds& holds,
                             const std::string& server,
                             TimePoint at) {
  if (holds.contains(server)) {
    CheckOverlap(key, holds, server, at);
    holds.erase(server);
  }
}

void HoldingsChecker::CheckOverlap(std::uint32_t key,
                                   const Holds& holds,
                                   const std::string& server,
                                   TimePoint end) {
  const Hold& hold = holds.at(server);
  const auto overlap = [end](const Span& a, const Span& b) {
    return std::min({end, a.until, b.until}) - std::max(a.since, b.since);
  };
  for (const auto& [other, it] : holds) {
    if (other == server || overlap(hold.any, it.any) <= kTolerance) {
      continue;
    }
    const Duration both = overlap(hold.judged, it.judged);
    const auto pair = std::minmax(server, other);
    if (both <= kTolerance) {
      excused_.insert(pair);
      continue;
    }
    if (!reported_.insert(pair).second) {
      continue;
    }
    std::string text = "two servers held key " + std::to_string(key) + " for ";
    text += std::to_string(both / std::chrono::milliseconds(1)) + " ms: ";
    text += server + " with token " + std::to_string(hold.token) + " and ";
    text += other + " with token " + std::to_string(it.token);
    violations_.push_back(std::move(text));
  }
}

}  // namespace gentianreach::soak
