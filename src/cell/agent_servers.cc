#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "cell/agent_impl.h"
#include "cell/agent_times.h"

namespace gentianreach {

using cell::kOrderLifetime;

namespace {

// Number of members that renew the lease of each server. With two, the loss of
// one member does not interrupt the renewals.
constexpr std::size_t kRenewingMembersPerServer = 2;

std::uint64_t Weight(const std::string& daemon, const std::string& server) {
  const XXH64_hash_t seed = XXH3_64bits(daemon.data(), daemon.size());
  return XXH3_64bits_withSeed(server.data(), server.size(), seed);
}

std::uint64_t AgeOrMax(TimePoint at, TimePoint now) {
  if (at == TimePoint::min()) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const auto age = std::chrono::floor<std::chrono::milliseconds>(now - at);
  return static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
}

}  // namespace

// Uses rendezvous hashing: the members with the greatest weight for a server
// renew its lease, so that a change of the members reassigns few servers.
void CellAgent::Impl::ChooseRenewedServers() {
  renewed_servers_.clear();
  if (!IsMember()) {
    return;
  }
  for (const auto& server : record_->servers) {
    const std::uint64_t own = Weight(self_, server->id);
    const auto heavier = std::count_if(
        record_->members.begin(), record_->members.end(),
        [&](const auto& it) { return Weight(it->daemon, server->id) > own; });
    if (static_cast<std::size_t>(heavier) < kRenewingMembersPerServer) {
      renewed_servers_.insert(server->id);
    }
  }
}

void CellAgent::Impl::UpdateServers(TimePoint now) {
  std::map<std::string, TimePoint> contacts;
  for (const auto& it : record_->servers) {
    const auto known = relayed_contact_.find(it->id);
    contacts[it->id] = known == relayed_contact_.end() ? now : known->second;
    leases_.try_emplace(it->id);
  }
  relayed_contact_ = std::move(contacts);
  std::erase_if(leases_, [this](const auto& it) {
    return !relayed_contact_.contains(it.first);
  });
  std::erase_if(inconsistent_servers_, [this](const auto& it) {
    return !relayed_contact_.contains(it);
  });
}

TimePoint CellAgent::Impl::LatestContact(const std::string& server) const {
  const auto relayed = relayed_contact_.find(server);
  const auto own = leases_.find(server);
  return std::max(
      relayed == relayed_contact_.end() ? TimePoint::min() : relayed->second,
      own == leases_.end() ? TimePoint::min() : own->second.contact_time());
}

bool CellAgent::Impl::ShouldSendOrders(const stored::ServerT& server,
                                       TimePoint now) const {
  if (!IsMember()) {
    // Contacts the servers to learn whether their leases are still renewed.
    return !left_ && now - AssignerContact(now) > suspicion_ / 2;
  }
  if (renewed_servers_.contains(server.id) || !permit_.Valid(now)) {
    return true;
  }
  if (now - LatestContact(server.id) > suspicion_ * 3 / 4) {
    return true;
  }
  return IsAssigner() &&
         (server.generation == 0 || inconsistent_servers_.contains(server.id) ||
          server.state == stored::ServerState::Fenced ||
          NeededForMoves(server.id));
}

bool CellAgent::Impl::MayRenew(const stored::ServerT& server,
                               TimePoint now) const {
  const auto lease = leases_.find(server.id);
  return IsMember() && permit_.Valid(now) && server.generation != 0 &&
         server.state != stored::ServerState::Fenced &&
         lease != leases_.end() && lease->second.HasReply() &&
         lease->second.last_reply().generation.value() == server.generation &&
         lease->second.last_reply().incarnation.value() == server.incarnation;
}

void CellAgent::Impl::SendOrders(TimePoint now) {
  if (!record_ || now < next_orders_) {
    return;
  }
  next_orders_ = now + renewal_ / 2;
  for (const auto& it : record_->servers) {
    cell::ServerLease& lease = leases_[it->id];
    if (!ShouldSendOrders(*it, now)) {
      continue;
    }
    if (now >= lease.next_order) {
      SendPeriodicOrder(*it, now);
    }
    next_orders_ = std::min(next_orders_, lease.next_order);
  }
  std::erase_if(orders_, [now](const auto& it) {
    return now - it.second.sent > kOrderLifetime;
  });
}

void CellAgent::Impl::SendPeriodicOrder(const stored::ServerT& server,
                                        TimePoint now) {
  cell::ServerLease& lease = leases_[server.id];
  lease.next_order = now + renewal_;
  if (!MayRenew(server, now)) {
    SendOrder(NewOrder(server, OrderKind::kProbe), now);
    return;
  }
  ServerOrder order = NewOrder(server, OrderKind::kRenew);
  lease.Extend(order, lease_, permit_.Deadline(now), drift_);
  SendOrder(std::move(order), now);
}

// Renews the lease based on the response that just arrived if the order that it
// responds to did not extend the lease far enough.
void CellAgent::Impl::RenewIfNeeded(const stored::ServerT& server,
                                    const PendingOrder& order,
                                    TimePoint now) {
  const bool extended =
      order.extends_fully && leases_[server.id].Remaining() >= lease_ / 2;
  if (!extended && MayRenew(server, now)) {
    SendPeriodicOrder(server, now);
  }
}

ServerOrder CellAgent::Impl::NewOrder(const stored::ServerT& server,
                                      OrderKind kind) {
  ServerOrder order;
  order.server = ServerId(server.id);
  order.address = server.address;
  order.kind = kind;
  order.issuer = options_.self;
  order.epoch = Epoch(record_->epoch);
  order.generation = LeaseGeneration(server.generation);
  order.deadline = cell::kNoOrderDeadline;
  order.service = ServiceName(server.service);
  return order;
}

void CellAgent::Impl::SendOrder(ServerOrder order, TimePoint now) {
  order.call_id = NextCallId();
  const bool extends =
      order.kind == OrderKind::kRenew || order.kind == OrderKind::kGrant;
  const bool fresh =
      now - leases_[order.server.value()].contact_time() < 2 * renewal_;
  orders_[order.call_id] = {order.kind,       order.server.value(),
                            order.generation, order.service.value(),
                            order.grants,     now,
                            extends && fresh};
  outbox_.orders.push_back(std::move(order));
}

void CellAgent::Impl::OnServerReply(std::uint64_t call_id,
                                    const ServerReply& reply,
                                    TimePoint sent,
                                    TimePoint now) {
  const auto it = orders_.find(call_id);
  if (it == orders_.end()) {
    return;
  }
  const PendingOrder order = std::move(it->second);
  orders_.erase(it);
  const auto* const server = routes_.Server(order.server);
  if (server == nullptr) {
    return;
  }
  cell::ServerLease& lease = leases_[order.server];
  lease.OnReply(reply, sent, now);
  inconsistent_servers_.erase(order.server);
  const bool as_recorded =
      server->state != stored::ServerState::Fenced &&
      reply.incarnation.value() == server->incarnation &&
      reply.draining == (server->state == stored::ServerState::Draining);
  if (!as_recorded) {
    plan_at_ = std::min(plan_at_, now);
  }
  if (IsAssigner()) {
    DetectLostGrants(order.server, reply, sent);
    if (order.kind == OrderKind::kGrant) {
      OnGrantReply(order, reply, now);
    } else if (order.kind == OrderKind::kRelease) {
      OnReleaseReply(order, reply, now);
    }
  }
  if (order.kind == OrderKind::kProbe) {
    RetryPendingMoves(*server, now);
  }
  RenewIfNeeded(*server, order, now);
  Step(now);
}

std::vector<std::unique_ptr<peer::ServerContactT>>
CellAgent::Impl::ServerContacts(TimePoint now) const {
  const Duration horizon = 2 * (lease_ + suspicion_);
  std::vector<std::unique_ptr<peer::ServerContactT>> contacts;
  for (const auto& [server, lease] : leases_) {
    const TimePoint latest =
        std::max(lease.contact_time(), lease.extension_base());
    if (!lease.HasReply() || now - latest > horizon) {
      continue;
    }
    auto contact = std::make_unique<peer::ServerContactT>();
    contact->server = server;
    contact->generation = lease.last_reply().generation.value();
    contact->age_ms = AgeOrMax(lease.contact_time(), now);
    contact->renewal_age_ms = AgeOrMax(lease.extension_base(), now);
    contacts.push_back(std::move(contact));
  }
  return contacts;
}

void CellAgent::Impl::ReportOwnFences(TimePoint now) {
  for (const auto& it : record_->servers) {
    if (it->state == stored::ServerState::Fenced &&
        fences_.AwaitsReport(it->id, self_)) {
      fences_.OnReport(self_, version_, it->id,
                       leases_[it->id].extension_base(), now);
    }
  }
}

}  // namespace gentianreach
