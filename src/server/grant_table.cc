#include "server/grant_table.h"

#include <algorithm>
#include <utility>

#include "gentianreach/check.h"

namespace gentianreach {
namespace {

bool Covers(const HashRange& outer, const HashRange& inner) {
  return outer.first <= inner.first && inner.last <= outer.last;
}

// Appends the parts of `grant` outside `removed`: none, one or two ranges.
void AppendRemainder(std::vector<GrantedRange>& remainder,
                     const GrantedRange& grant,
                     const HashRange& removed) {
  if (!grant.range.Overlaps(removed)) {
    remainder.push_back(grant);
    return;
  }
  if (grant.range.first < removed.first) {
    remainder.push_back(
        {{grant.range.first, KeyHash(removed.first.value() - 1)}, grant.token});
  }
  if (removed.last < grant.range.last) {
    remainder.push_back(
        {{KeyHash(removed.last.value() + 1), grant.range.last}, grant.token});
  }
}

}  // namespace

GrantTable::GrantTable(ServerId server,
                       Incarnation incarnation,
                       ServerChecks checks)
    : server_(std::move(server)), incarnation_(incarnation), checks_(checks) {}

ServerReply GrantTable::Handle(const ServerOrder& order, ServerTime now) {
  ServerReply reply;
  reply.reason = RefusalReason(order, now);
  reply.ok = reply.reason.empty();
  if (reply.ok && order.kind != OrderKind::kProbe) {
    epoch_ = std::max(epoch_, order.epoch);
  }
  if (reply.ok && order.kind == OrderKind::kRenew) {
    lease_until_ = std::max(lease_until_, order.until);
  }
  if (reply.ok && order.kind == OrderKind::kGrant) {
    ApplyGrant(order);
  }
  if (reply.ok && order.kind == OrderKind::kRelease) {
    reply.released = ApplyRelease(order);
  }
  reply.server = server_;
  reply.incarnation = incarnation_;
  reply.clock = now;
  reply.generation = generation_;
  reply.lease_until = lease_until_;
  reply.grants = grants_.size();
  return reply;
}

std::string GrantTable::RefusalReason(const ServerOrder& order,
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
                  [this](const GrantedRange& it) { return HasStaleToken(it); });
  return stale ? "older token" : "";
}

bool GrantTable::Holds(KeyHash hash, Token token, ServerTime now) const {
  if (checks_.lease_end && now >= lease_until_) {
    return false;
  }
  return std::any_of(grants_.begin(), grants_.end(),
                     [&](const GrantedRange& it) {
                       return it.range.Contains(hash) && it.token == token;
                     });
}

void GrantTable::BeginRequest(KeyHash hash) {
  ++running_requests_[hash];
}

void GrantTable::EndRequest(KeyHash hash) {
  const auto it = running_requests_.find(hash);
  GENTIANREACH_CHECK(it != running_requests_.end());
  if (--it->second == 0) {
    running_requests_.erase(it);
  }
}

bool GrantTable::HasStaleToken(const GrantedRange& grant) const {
  return std::any_of(
      min_tokens_.begin(), min_tokens_.end(), [&grant](const GrantedRange& it) {
        return it.range.Overlaps(grant.range) && grant.token < it.token;
      });
}

bool GrantTable::HasRunningRequests(const HashRange& range) const {
  const auto it = running_requests_.lower_bound(range.first);
  return it != running_requests_.end() && it->first <= range.last;
}

void GrantTable::RaiseMinToken(const GrantedRange& grant) {
  std::erase_if(min_tokens_, [&grant](const GrantedRange& it) {
    return Covers(grant.range, it.range) && it.token <= grant.token;
  });
  min_tokens_.push_back(grant);
}

void GrantTable::RemoveRange(const HashRange& range) {
  std::vector<GrantedRange> remainder;
  for (const GrantedRange& it : grants_) {
    AppendRemainder(remainder, it, range);
  }
  grants_ = std::move(remainder);
}

void GrantTable::ApplyGrant(const ServerOrder& order) {
  if (generation_ < order.generation) {
    generation_ = order.generation;
    grants_.clear();
  }
  lease_until_ = std::max(lease_until_, order.until);
  for (const GrantedRange& it : order.grants) {
    RemoveRange(it.range);
    RaiseMinToken(it);
    grants_.push_back(it);
  }
}

bool GrantTable::ApplyRelease(const ServerOrder& order) {
  bool released = true;
  for (const GrantedRange& it : order.grants) {
    // A grant with a higher token supersedes this release.
    const bool superseded = HasStaleToken(it);
    if (!superseded) {
      RemoveRange(it.range);
      RaiseMinToken(it);
    }
    released = released && !superseded && !HasRunningRequests(it.range);
  }
  return released;
}

}  // namespace gentianreach
