#include <algorithm>
#include <utility>

#include "cell/agent_impl.h"
#include "cell/agent_times.h"

namespace gentianreach {

using cell::kGrantRetry;
using cell::kMaxGrantsPerOrder;
using cell::kMaxHoldWait;
using cell::kMaxReleaseRetry;

// A new assigner does not know which orders of its predecessor took effect. All
// orders are idempotent, so it sends them again.
void CellAgent::Impl::ResetMoves() {
  grants_.clear();
  releases_.clear();
  completed_moves_.clear();
  routes_.SetCompletedMoves({});
}

void CellAgent::Impl::UpdateReleases(TimePoint now) {
  std::map<std::uint64_t, Release> kept;
  for (const auto& it : record_->ranges) {
    if (it->moving_to.empty()) {
      continue;
    }
    const auto known = releases_.find(it->moving_token);
    kept[it->moving_token] = known != releases_.end()
                                 ? known->second
                                 : Release{false, version_, now + kMaxHoldWait};
  }
  releases_ = std::move(kept);
}

void CellAgent::Impl::UpdateWantedGrants(TimePoint now) {
  if (!IsAssigner()) {
    grants_.clear();
    releases_.clear();
    completed_moves_.clear();
    return;
  }
  UpdateReleases(now);
  std::map<std::string, ServerGrants> kept;
  for (const auto& it : record_->servers) {
    ServerGrants& grants = kept[it->id];
    const auto known = grants_.find(it->id);
    if (known != grants_.end() && known->second.generation == it->generation) {
      grants = std::move(known->second);
    }
    grants.generation = it->generation;
    grants.wanted.clear();
  }
  grants_ = std::move(kept);
  for (const auto& it : record_->ranges) {
    const bool moving = !it->moving_to.empty();
    if (moving && !releases_[it->moving_token].released) {
      continue;
    }
    const auto holder = grants_.find(moving ? it->moving_to : it->owner);
    if (holder == grants_.end()) {
      continue;
    }
    holder->second.wanted.emplace(it->service, it->first, it->last,
                                  moving ? it->moving_token : it->token);
  }
  for (auto& [server, grants] : grants_) {
    const std::set<Grant>& wanted = grants.wanted;
    std::erase_if(grants.held,
                  [&wanted](const Grant& it) { return !wanted.contains(it); });
    const auto* const it = routes_.Server(server);
    grants.missing = it->generation != 0 &&
                     it->state != stored::ServerState::Fenced &&
                     grants.held.size() != grants.wanted.size();
  }
  UpdateCompletedMoves(now);
}

bool CellAgent::Impl::GrantsMissing() const {
  return std::any_of(grants_.begin(), grants_.end(),
                     [](const auto& it) { return it.second.missing; });
}

bool CellAgent::Impl::NeededForMoves(const std::string& server) const {
  const auto grants = grants_.find(server);
  if (grants != grants_.end() && grants->second.missing) {
    return true;
  }
  return std::any_of(record_->ranges.begin(), record_->ranges.end(),
                     [&server](const auto& it) {
                       return !it->moving_to.empty() &&
                              (it->owner == server || it->moving_to == server);
                     });
}

void CellAgent::Impl::SendGrants(TimePoint now) {
  if (!IsAssigner() || !permit_.Valid(now)) {
    return;
  }
  for (auto& [server, grants] : grants_) {
    if (grants.missing && now >= grants.retry) {
      SendGrant(*routes_.Server(server), grants, now);
    }
  }
}

bool CellAgent::Impl::ClockUsable(const stored::ServerT& server,
                                  TimePoint now) const {
  const auto it = leases_.find(server.id);
  return it != leases_.end() && it->second.HasReply() &&
         now - it->second.contact_time() < lease_ / 2 &&
         it->second.last_reply().incarnation.value() == server.incarnation;
}

void CellAgent::Impl::SendGrant(const stored::ServerT& server,
                                ServerGrants& grants,
                                TimePoint now) {
  grants.retry = now + kGrantRetry;
  cell::ServerLease& lease = leases_[server.id];
  if (!ClockUsable(server, now)) {
    SendOrder(NewOrder(server, OrderKind::kProbe), now);
    return;
  }
  ServerOrder order = NewOrder(server, OrderKind::kGrant);
  for (const auto& [service, first, last, token] : grants.wanted) {
    if (order.grants.size() == kMaxGrantsPerOrder) {
      break;
    }
    if (!grants.held.contains({service, first, last, token})) {
      order.grants.push_back({{KeyHash(first), KeyHash(last)}, Token(token)});
    }
  }
  lease.Extend(order, lease_, permit_.Deadline(now), drift_);
  SendOrder(std::move(order), now);
}

void CellAgent::Impl::OnGrantReply(const PendingOrder& order,
                                   const ServerReply& reply,
                                   TimePoint now) {
  const auto it = grants_.find(order.server);
  if (it == grants_.end() ||
      it->second.generation != order.generation.value()) {
    return;
  }
  ServerGrants& grants = it->second;
  if (!reply.ok) {
    Log("grant_refused", {{"server", order.server}, {"reason", reply.reason}});
    return;
  }
  for (const auto& grant : order.grants) {
    Grant held(order.service, grant.range.first.value(),
               grant.range.last.value(), grant.token.value());
    if (grants.wanted.contains(held)) {
      grants.held.insert(std::move(held));
    }
  }
  grants.missing = grants.held.size() != grants.wanted.size();
  grants.retry = now;
  grants.acked_at = now;
  UpdateCompletedMoves(now);
}

// A server that reports no grants after it acknowledged some has lost them.
void CellAgent::Impl::DetectLostGrants(const std::string& server,
                                       const ServerReply& reply,
                                       TimePoint sent) {
  const auto it = grants_.find(server);
  if (it == grants_.end() || it->second.held.empty() || reply.grants > 0 ||
      sent <= it->second.acked_at) {
    return;
  }
  Log("grants_lost", {{"server", server}});
  it->second.held.clear();
  it->second.missing = true;
}

void CellAgent::Impl::UpdateCompletedMoves(TimePoint now) {
  std::set<std::uint64_t> done;
  for (const auto& it : record_->ranges) {
    if (it->moving_to.empty() || !releases_[it->moving_token].released) {
      continue;
    }
    const auto holder = grants_.find(it->moving_to);
    if (holder != grants_.end() &&
        holder->second.held.contains(
            {it->service, it->first, it->last, it->moving_token})) {
      done.insert(it->moving_token);
    }
  }
  const bool has_new =
      !std::includes(completed_moves_.begin(), completed_moves_.end(),
                     done.begin(), done.end());
  completed_moves_ = std::move(done);
  routes_.SetCompletedMoves({completed_moves_.begin(), completed_moves_.end()});
  if (has_new) {
    // The next heartbeat tells members to forward the held requests. The record
    // is written afterwards.
    next_heartbeat_ = now;
    plan_at_ = now;
  }
}

// All members should hold requests before the old owner starts to reject them,
// so that no request is sent to it and rejected.
bool CellAgent::Impl::AllMembersHold(const Release& release,
                                     TimePoint now) const {
  return now >= release.hold_deadline ||
         std::all_of(record_->members.begin(), record_->members.end(),
                     [&](const auto& it) {
                       const auto peer = peers_.find(it->daemon);
                       return it->daemon == self_ ||
                              (peer != peers_.end() &&
                               peer->second.record >= release.version);
                     });
}

void CellAgent::Impl::SendReleases(TimePoint now) {
  if (!IsAssigner() || releases_.empty() || !permit_.Valid(now)) {
    return;
  }
  for (const auto& it : record_->ranges) {
    const auto release = releases_.find(it->moving_token);
    if (it->moving_to.empty() || release == releases_.end() ||
        release->second.released || now < release->second.retry ||
        !AllMembersHold(release->second, now)) {
      continue;
    }
    SendRelease(*it, release->second, now);
  }
}

void CellAgent::Impl::SendRelease(const stored::RangeT& range,
                                  Release& release,
                                  TimePoint now) {
  release.retry = now + release.wait;
  release.wait = std::min(2 * release.wait, kMaxReleaseRetry);
  const auto* const owner = routes_.Server(range.owner);
  if (owner == nullptr || owner->state == stored::ServerState::Fenced) {
    return;
  }
  const cell::ServerLease& lease = leases_[owner->id];
  if (!ClockUsable(*owner, now)) {
    SendOrder(NewOrder(*owner, OrderKind::kProbe), now);
    return;
  }
  ServerOrder order = NewOrder(*owner, OrderKind::kRelease);
  lease.SetDeadline(order, lease_, permit_.Deadline(now), drift_);
  order.grants.push_back(
      {{KeyHash(range.first), KeyHash(range.last)}, Token(range.moving_token)});
  SendOrder(std::move(order), now);
}

// Makes orders that waited for the server's clock due now that it is known.
void CellAgent::Impl::RetryPendingMoves(const stored::ServerT& server,
                                        TimePoint now) {
  if (!ClockUsable(server, now)) {
    return;
  }
  const auto grants = grants_.find(server.id);
  if (grants != grants_.end()) {
    grants->second.retry = now;
  }
  for (const auto& it : record_->ranges) {
    const auto release = releases_.find(it->moving_token);
    if (it->owner == server.id && release != releases_.end()) {
      release->second.retry = now;
    }
  }
}

void CellAgent::Impl::OnReleaseReply(const PendingOrder& order,
                                     const ServerReply& reply,
                                     TimePoint now) {
  if (!reply.ok || !reply.released) {
    return;
  }
  const auto* const owner = routes_.Server(order.server);
  for (const auto& it : order.grants) {
    const auto release = releases_.find(it.token.value());
    if (release == releases_.end() ||
        owner->generation != order.generation.value()) {
      continue;
    }
    release->second.released = true;
  }
  UpdateWantedGrants(now);
}

}  // namespace gentianreach
