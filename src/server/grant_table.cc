#include "server/grant_table.h"

#include <algorithm>
#include <utility>

#include "gentianreach/check.h"

namespace gentianreach {
namespace {

bool Covers(const HashRange& outer, const HashRange& inner) {
  return outer.first <= inner.first && inner.last <= outer.last;
}

// Appends what `cut` leaves of `grant`: nothing, one piece or two.
void AppendRest(std::vector<GrantedRange>& rest,
                const GrantedRange& grant,
                const HashRange& cut) {
  if (!grant.range.Overlaps(cut)) {
    rest.push_back(grant);
    return;
  }
  if (grant.range.first < cut.first) {
    rest.push_back(
        {{grant.range.first, KeyHash(cut.first.value() - 1)}, grant.token});
  }
  if (cut.last < grant.range.last) {
    rest.push_back(
        {{KeyHash(cut.last.value() + 1), grant.range.last}, grant.token});
  }
}

}  // namespace

GrantTable::GrantTable(ServerId server,
                       Incarnation incarnation,
                       ServerChecks checks)
    : server_(std::move(server)), incarnation_(incarnation), checks_(checks) {}

ServerReply GrantTable::Handle(const ServerOrder& order, ServerTime now) {
  ServerReply reply;
  reply.reason = Refusal(order, now);
  reply.ok = reply.reason.empty();
  if (reply.ok && order.kind != OrderKind::kProbe) {
    epoch_ = std::max(epoch_, order.epoch);
  }
  if (reply.ok && order.kind == OrderKind::kRenew) {
    lease_until_ = std::max(lease_until_, order.until);
  }
  if (reply.ok && order.kind == OrderKind::kGrant) {
    Grant(order);
  }
  if (reply.ok && order.kind == OrderKind::kRelease) {
    reply.released = Release(order);
  }
  reply.server = server_;
  reply.incarnation = incarnation_;
  reply.clock = now;
  reply.generation = generation_;
  reply.lease_until = lease_until_;
  reply.grants = grants_.size();
  return reply;
}

std::string GrantTable::Refusal(const ServerOrder& order,
                                ServerTime now) const {
  if (order.kind == OrderKind::kProbe) {
    return "";
  }
  if (now > order.deadline) {
    return "order past its deadline";
  }
  if (order.incarnation.value() != 0 && order.incarnation != incarnation_) {
    return "other incarnation";
  }
  if (order.generation < generation_) {
    return "older generation";
  }
  if (order.kind != OrderKind::kGrant && order.generation != generation_) {
    return "unknown generation";
  }
  if (checks_.issuer && order.epoch < epoch_) {
    return "older epoch";
  }
  if (order.kind != OrderKind::kGrant) {
    return "";
  }
  const bool stale =
      std::any_of(order.grants.begin(), order.grants.end(),
                  [this](const GrantedRange& it) { return BelowFloor(it); });
  return stale ? "older token" : "";
}

bool GrantTable::Holds(KeyHash hash, Token token, ServerTime now) const {
  if (checks_.deadline && now >= lease_until_) {
    return false;
  }
  return std::any_of(grants_.begin(), grants_.end(),
                     [&](const GrantedRange& it) {
                       return it.range.Contains(hash) && it.token == token;
                     });
}

void GrantTable::BeginRequest(KeyHash hash) {
  ++running_[hash];
}

void GrantTable::EndRequest(KeyHash hash) {
  const auto it = running_.find(hash);
  GENTIANREACH_CHECK(it != running_.end());
  if (--it->second == 0) {
    running_.erase(it);
  }
}

bool GrantTable::BelowFloor(const GrantedRange& grant) const {
  return std::any_of(
      floors_.begin(), floors_.end(), [&grant](const GrantedRange& it) {
        return it.range.Overlaps(grant.range) && grant.token < it.token;
      });
}

bool GrantTable::AnyRunning(const HashRange& range) const {
  const auto it = running_.lower_bound(range.first);
  return it != running_.end() && it->first <= range.last;
}

void GrantTable::RaiseFloor(const GrantedRange& grant) {
  std::erase_if(floors_, [&grant](const GrantedRange& it) {
    return Covers(grant.range, it.range) && it.token <= grant.token;
  });
  floors_.push_back(grant);
}

void GrantTable::Remove(const HashRange& range) {
  std::vector<GrantedRange> rest;
  for (const GrantedRange& it : grants_) {
    AppendRest(rest, it, range);
  }
  grants_ = std::move(rest);
}

void GrantTable::Grant(const ServerOrder& order) {
  if (generation_ < order.generation) {
    generation_ = order.generation;
    grants_.clear();
  }
  lease_until_ = std::max(lease_until_, order.until);
  for (const GrantedRange& it : order.grants) {
    Remove(it.range);
    RaiseFloor(it);
    grants_.push_back(it);
  }
}

bool GrantTable::Release(const ServerOrder& order) {
  bool released = true;
  for (const GrantedRange& it : order.grants) {
    // A grant under a higher token came after this release was meant.
    const bool overtaken = BelowFloor(it);
    if (!overtaken) {
      Remove(it.range);
      RaiseFloor(it);
    }
    released = released && !overtaken && !AnyRunning(it.range);
  }
  return released;
}

}  // namespace gentianreach
