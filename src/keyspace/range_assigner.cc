#include "keyspace/range_assigner.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "keyspace/fencing_tokens.h"

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;

// Consecutive renewals without a reply after which the owner is assumed to have
// restarted.
constexpr int kMaxUnansweredRenewals = 3;

}  // namespace

RangeAssigner::RangeAssigner(AssignerOptions options)
    : options_(options), pacer_(options.renewal_spread) {}

bool RangeAssigner::Begin(std::optional<OwnershipTable> table,
                          Epoch epoch,
                          TimePoint previous_leader_until,
                          TimePoint now) {
  if (table && table->epoch > epoch) {
    begun_ = false;
    return false;
  }
  begun_ = true;
  epoch_ = epoch;
  begun_at_ = now;
  planned_.reset();
  plan_at_ = now;
  previous_leader_until_ = std::max(previous_leader_until, now);
  has_table_ = table.has_value();
  takeover_written_ = !has_table_;
  table_ = table ? *std::move(table) : OwnershipTable{};
  states_.clear();
  for (const OwnedRange& it : table_.ranges) {
    RangeState state;
    state.orders.sent_before = true;
    EarlierOwnerState earlier;
    earlier.orders = state.orders;
    earlier.begun_by_other_leader = true;
    state.earlier.assign(it.earlier.size(), earlier);
    states_.push_back(std::move(state));
  }
  next_poll_at_ = now;
  return true;
}

void RangeAssigner::OnPreviousLeadersEnded(TimePoint ended_at) {
  // This leader itself may have sent orders until it reread the table.
  const TimePoint until = std::max(ended_at, begun_at_);
  if (previous_leader_until_ <= until) {
    return;
  }
  previous_leader_until_ = until;
  next_poll_at_ = begun_at_;
}

void RangeAssigner::SetServers(std::vector<AssignerServer> servers,
                               TimePoint now) {
  servers_.clear();
  for (AssignerServer& it : servers) {
    const ServerId id = it.id;
    std::string& address = addresses_[{id, it.incarnation}];
    if (address.empty()) {
      last_server_at_ = now;
    }
    address = it.address;
    servers_.emplace(id, std::move(it));
  }
  if (!servers_.empty() && first_server_at_ == TimePoint{}) {
    first_server_at_ = now;
  }
  next_poll_at_ = now;
}

void RangeAssigner::OnAddressInUse(const std::string& address,
                                   const ServerId& server,
                                   Incarnation incarnation) {
  for (const auto& [server_incarnation, held] : addresses_) {
    if (held == address && server_incarnation.first != server &&
        server_incarnation.second < incarnation) {
      ended_.insert(server_incarnation);
    }
  }
}

const AssignerServer* RangeAssigner::FindIncarnation(const Owner& owner) const {
  const auto it = servers_.find(owner.server);
  if (it == servers_.end() || it->second.incarnation != owner.incarnation) {
    return nullptr;
  }
  return &it->second;
}

std::string RangeAssigner::LastKnownAddress(const Owner& owner) const {
  const auto it = addresses_.find({owner.server, owner.incarnation});
  return it == addresses_.end() ? std::string() : it->second;
}

bool RangeAssigner::HasEnded(const Owner& owner) const {
  if (ended_.contains({owner.server, owner.incarnation})) {
    return true;
  }
  // A later incarnation with the same id is also proof, if it is known to have
  // another address: orders to the old address cannot reach it.
  const auto it = servers_.find(owner.server);
  const std::string address = LastKnownAddress(owner);
  return it != servers_.end() && owner.incarnation < it->second.incarnation &&
         !address.empty() && it->second.address != address;
}

bool RangeAssigner::MayOwn(const Owner& owner) const {
  const AssignerServer* server = FindIncarnation(owner);
  return server != nullptr && !server->draining && !HasEnded(owner);
}

std::vector<Candidate> RangeAssigner::Candidates() const {
  std::vector<Candidate> candidates;
  for (const auto& [id, it] : servers_) {
    if (!it.draining && !ended_.contains({id, it.incarnation})) {
      candidates.push_back({id, it.incarnation, it.capacity});
    }
  }
  return candidates;
}

TimePoint RangeAssigner::LeaseEnd(TimePoint arrived_at) const {
  return arrived_at + std::chrono::duration_cast<Duration>(
                          options_.lease * options_.max_clock_drift_factor);
}

TimePoint RangeAssigner::LatestLeaseEnd(TimePoint sent_at) const {
  return LeaseEnd(sent_at + options_.order_timeout + options_.max_transit_time);
}

TimePoint RangeAssigner::HeldUntil(const OrderState& orders) const {
  TimePoint until = orders.held_until;
  if (orders.sent_before) {
    until = std::max(until, LatestLeaseEnd(previous_leader_until_));
  }
  if (orders.in_flight != 0 && orders.purpose != OrderPurpose::kRelease) {
    until = std::max(until, LatestLeaseEnd(orders.sent_at));
  }
  return until;
}

TimePoint RangeAssigner::MayExecuteUntil(const OrderState& orders) const {
  return orders.sent_before ? std::max(orders.may_execute_until,
                                       LatestLeaseEnd(previous_leader_until_))
                            : orders.may_execute_until;
}

void RangeAssigner::MergeOrders(const OrderState& part,
                                OrderState* orders) const {
  orders->held_until = std::max(orders->held_until, part.held_until);
  orders->may_execute_until =
      std::max(orders->may_execute_until, part.may_execute_until);
  orders->sent_before = orders->sent_before || part.sent_before;
  if (part.in_flight != 0) {
    // The reply to this order will be ignored.
    const TimePoint lease_end = LatestLeaseEnd(part.sent_at);
    orders->held_until = std::max(orders->held_until, lease_end);
    orders->may_execute_until = std::max(orders->may_execute_until, lease_end);
  }
}

void RangeAssigner::OnWritten(TimePoint now) {
  if (!planned_) {
    return;
  }
  std::vector<RangeState> states;
  states.reserve(planned_->ranges.size());
  for (const OwnedRange& it : planned_->ranges) {
    states.push_back(StateAfterWrite(it));
  }
  table_ = *std::move(planned_);
  planned_.reset();
  states_ = std::move(states);
  has_table_ = true;
  takeover_written_ = true;
  next_poll_at_ = now;
}

// Returns the state of `range` of the planned table, derived from the ranges of
// the current one. A planned range lies within one current range or merges
// several that have the same owner.
RangeAssigner::RangeState RangeAssigner::StateAfterWrite(
    const OwnedRange& range) const {
  RangeState state;
  bool first = true;
  for (std::size_t i = 0; i < table_.ranges.size(); ++i) {
    const OwnedRange& old = table_.ranges[i];
    if (old.range.last < range.range.first ||
        old.range.first > range.range.last) {
      continue;
    }
    const RangeState& known = states_[i];
    if (old.owner == range.owner) {
      if (first) {
        state = known;
        state.earlier.resize(range.earlier.size());
      } else {
        // A merged range takes the most conservative state of its parts.
        MergeOrders(known.orders, &state.orders);
        state.orders.renewed_at =
            std::min(state.orders.renewed_at, known.orders.renewed_at);
      }
      first = false;
      continue;
    }
    if (old.owner.IsServerIncarnation(range.owner.server,
                                      range.owner.incarnation)) {
      // Same owner with a new token.
      MergeOrders(known.orders, &state.orders);
    }
    // The same write may have changed the token of the current owner, but not
    // those of earlier ones.
    for (const Owner& owner : range.earlier) {
      EarlierOwnerState earlier;
      // A server to which the keys were to return is listed twice.
      const auto listed = std::ranges::find(old.earlier, owner);
      if (listed != old.earlier.end()) {
        earlier = known.earlier[static_cast<std::size_t>(listed -
                                                         old.earlier.begin())];
      } else if (old.owner.IsServerIncarnation(owner.server,
                                               owner.incarnation)) {
        // The state keeps the renewal in flight so that the release waits for
        // its reply. Otherwise the renewal could arrive after the release.
        earlier.orders = known.orders;
        earlier.orders.next_attempt_at = {};
      }
      state.earlier.push_back(earlier);
    }
  }
  return state;
}

void RangeAssigner::OnOrderReply(std::uint64_t order,
                                 OrderOutcome outcome,
                                 const std::string& handover,
                                 TimePoint now) {
  const auto record_reply = [&](OrderState* state) {
    if (state->in_flight != order) {
      return false;
    }
    const bool grant = state->purpose != OrderPurpose::kRelease;
    const bool answered = outcome != OrderOutcome::kUnknown &&
                          outcome != OrderOutcome::kConnectionRefused;
    // An answered order has arrived before its reply; of one that was given up
    // nothing is sent any more.
    const TimePoint lease_end =
        LeaseEnd(answered ? now : now + options_.max_transit_time);
    if (grant) {
      state->held_until = std::max(state->held_until, lease_end);
    }
    state->in_flight = 0;
    if (outcome == OrderOutcome::kUnknown) {
      // A reset connection is reported long before the order's deadline, so
      // the retry waits for the full time-out.
      state->next_attempt_at =
          std::max(now, state->sent_at + options_.order_timeout);
      if (grant) {
        state->may_execute_until =
            std::max(state->may_execute_until, lease_end);
      }
    } else if (outcome != OrderOutcome::kDone) {
      state->next_attempt_at = now + options_.order_timeout;
    }
    return true;
  };
  for (std::size_t i = 0; i < states_.size(); ++i) {
    RangeState& it = states_[i];
    if (record_reply(&it.orders)) {
      OnGrantReply(table_.ranges[i].owner, outcome, &it);
    }
    for (std::size_t k = 0; k < it.earlier.size(); ++k) {
      EarlierOwnerState& earlier = it.earlier[k];
      if (!record_reply(&earlier.orders)) {
        continue;
      }
      if (outcome == OrderOutcome::kOtherServer) {
        const Owner& owner = table_.ranges[i].earlier[k];
        ended_.insert({owner.server, owner.incarnation});
      }
      if (outcome != OrderOutcome::kDone) {
        continue;
      }
      if (earlier.orders.purpose == OrderPurpose::kFencingGrant) {
        earlier.fenced = true;
      }
      if (earlier.orders.purpose != OrderPurpose::kRelease) {
        continue;
      }
      earlier.cleared = Clearance::kReleased;
      if (!handover.empty()) {
        it.handover = handover;
      }
    }
  }
  next_poll_at_ = now;
}

void RangeAssigner::OnGrantReply(const Owner& owner,
                                 OrderOutcome outcome,
                                 RangeState* state) {
  const int unanswered_renewals = std::exchange(state->unanswered_renewals, 0);
  switch (outcome) {
    case OrderOutcome::kDone:
      state->orders.renewed_at = state->orders.sent_at;
      state->granted = true;
      break;
    case OrderOutcome::kHigherToken:
      state->needs_new_token = true;
      break;
    case OrderOutcome::kOtherServer:
      ended_.insert({owner.server, owner.incarnation});
      break;
    case OrderOutcome::kConnectionRefused:
      state->needs_new_token = state->granted;
      break;
    case OrderOutcome::kUnknown:
      state->unanswered_renewals = unanswered_renewals + 1;
      state->needs_new_token = state->granted && state->unanswered_renewals >=
                                                     kMaxUnansweredRenewals;
      break;
    case OrderOutcome::kRefused:
      break;
  }
}

std::vector<AssignerAction> RangeAssigner::Poll(const KeyLoad& load,
                                                TimePoint now) {
  std::vector<AssignerAction> actions;
  next_poll_at_ = TimePoint::max();
  if (!begun_) {
    return actions;
  }
  std::vector<DueRenewal> due;
  for (std::size_t i = 0; takeover_written_ && i < table_.ranges.size(); ++i) {
    PollRange(i, now, &due, &actions);
  }
  SendRenewals(std::move(due), now, &actions);
  if (!planned_ && now >= plan_at_) {
    planned_ = Plan(load, now);
    if (planned_) {
      actions.emplace_back(WriteTable{*planned_});
    }
  }
  SchedulePoll(now + options_.balance_period);
  return actions;
}

void RangeAssigner::PollRange(std::size_t i,
                              TimePoint now,
                              std::vector<DueRenewal>* due,
                              std::vector<AssignerAction>* actions) {
  const OwnedRange& range = table_.ranges[i];
  RangeState& state = states_[i];
  bool cleared = true;
  for (std::size_t k = 0; k < range.earlier.size(); ++k) {
    cleared = PollEarlier(i, k, now, actions) && cleared;
  }
  if (!cleared || FindIncarnation(range.owner) == nullptr ||
      HasEnded(range.owner) || state.needs_new_token ||
      state.orders.in_flight != 0) {
    return;
  }
  const TimePoint due_at = std::max(
      state.granted ? state.orders.renewed_at + options_.renew_period : now,
      state.orders.next_attempt_at);
  if (due_at > now) {
    SchedulePoll(due_at);
    return;
  }
  // Only renewals can wait: no server holds the other keys.
  if (range.moving() || HeldUntil(state.orders) <= now) {
    SendOwnerGrant(i, now, actions);
    return;
  }
  due->push_back({due_at, i});
}

void RangeAssigner::SendRenewals(std::vector<DueRenewal> due,
                                 TimePoint now,
                                 std::vector<AssignerAction>* actions) {
  const std::size_t n = due.size();
  const std::vector<std::size_t> ranges =
      pacer_.Take(std::move(due), table_.ranges.size(), now);
  for (const std::size_t it : ranges) {
    SendOwnerGrant(it, now, actions);
  }
  if (ranges.size() < n) {
    SchedulePoll(pacer_.next_at());
  }
}

void RangeAssigner::SendOwnerGrant(std::size_t i,
                                   TimePoint now,
                                   std::vector<AssignerAction>* actions) {
  const OwnedRange& range = table_.ranges[i];
  RangeState& state = states_[i];
  SendGrant(range, range.owner, range.owner.token,
            FindIncarnation(range.owner)->address,
            state.granted ? std::string() : state.handover,
            OrderPurpose::kRenewal, &state.orders, now, actions);
  if (state.granted) {
    return;
  }
  auto& order = std::get<SendOrder>(actions->back());
  for (std::size_t k = 0; k < range.earlier.size(); ++k) {
    order.cleared.push_back(
        {range.earlier[k].server, state.earlier[k].cleared.value()});
  }
}

void RangeAssigner::SendGrant(const OwnedRange& range,
                              const Owner& to,
                              Token token,
                              const std::string& address,
                              const std::string& handover,
                              OrderPurpose purpose,
                              OrderState* state,
                              TimePoint now,
                              std::vector<AssignerAction>* actions) {
  state->in_flight = ++last_order_;
  state->purpose = purpose;
  state->sent_at = now;
  actions->emplace_back(
      SendOrder{.kind = SendOrder::Kind::kGrant,
                .order = state->in_flight,
                .server = to.server,
                .address = address,
                .range = range.range,
                .token = token,
                .lease = options_.lease,
                .handover = handover,
                .fencing = purpose == OrderPurpose::kFencingGrant,
                .deadline = now + options_.order_timeout});
}

bool RangeAssigner::PollEarlier(std::size_t i,
                                std::size_t k,
                                TimePoint now,
                                std::vector<AssignerAction>* actions) {
  const OwnedRange& range = table_.ranges[i];
  const Owner& owner = range.earlier[k];
  EarlierOwnerState& earlier = states_[i].earlier[k];
  OrderState& orders = earlier.orders;
  if (!earlier.cleared && HasEnded(owner)) {
    earlier.cleared = Clearance::kEnded;
  } else if (!earlier.cleared && HeldUntil(orders) <= now) {
    earlier.cleared = Clearance::kLeaseOver;
  }
  if (earlier.cleared) {
    return true;
  }
  SchedulePoll(HeldUntil(orders));
  const std::string address = LastKnownAddress(owner);
  if (orders.in_flight != 0 || address.empty()) {
    return false;
  }
  if (orders.next_attempt_at > now) {
    SchedulePoll(orders.next_attempt_at);
    return false;
  }
  if (!earlier.fenced && MayExecuteUntil(orders) > now) {
    // With several earlier owners it is not known which of them holds the
    // keys. A fencing grant to any other would create a second holder.
    if (range.earlier.size() > 1 || earlier.begun_by_other_leader ||
        earlier.fencing_grants_sent >= kMaxFencingGrants) {
      return false;
    }
    ++earlier.fencing_grants_sent;
    earlier.fencing_token =
        FencingToken(range.owner.token, earlier.fencing_grants_sent);
    SendGrant(range, owner, earlier.fencing_token, address, "",
              OrderPurpose::kFencingGrant, &orders, now, actions);
    return false;
  }
  orders.in_flight = ++last_order_;
  orders.purpose = OrderPurpose::kRelease;
  orders.sent_at = now;
  orders.next_attempt_at = now + options_.order_timeout;
  const Token token = earlier.fenced ? earlier.fencing_token : owner.token;
  actions->emplace_back(SendOrder{.kind = SendOrder::Kind::kRelease,
                                  .order = orders.in_flight,
                                  .server = owner.server,
                                  .address = address,
                                  .range = range.range,
                                  .token = token,
                                  .deadline = now + options_.release_timeout});
  return false;
}

}  // namespace gentianreach::keyspace
