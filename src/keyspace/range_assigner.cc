#include "keyspace/range_assigner.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
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
  wrote_table_ = false;
  table_ = table ? *std::move(table) : OwnershipTable{};
  states_.clear();
  for (const OwnedRange& it : table_.ranges) {
    RangeState state;
    state.orders.sent_before = true;
    EarlierOwnerState earlier;
    earlier.orders = state.orders;
    state.earlier.assign(it.earlier.size(), earlier);
    states_.push_back(std::move(state));
  }
  OnNewTable();
  return true;
}

void RangeAssigner::OnNewTable() {
  schedule_.Reset(states_.size());
  pacer_.Reset(states_.size());
  waiting_ranges_.clear();
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const RangeState& it = states_[i];
    if (it.orders.in_flight != 0) {
      waiting_ranges_.emplace(it.orders.in_flight, i);
    }
    for (const EarlierOwnerState& earlier : it.earlier) {
      if (earlier.orders.in_flight != 0) {
        waiting_ranges_.emplace(earlier.orders.in_flight, i);
      }
    }
  }
  PollAllRanges();
}

void RangeAssigner::PollAllRanges() {
  schedule_.AddAll(TimePoint{});
  plan_due_ = true;
  next_poll_at_ = TimePoint{};
}

void RangeAssigner::OnEnded(const ServerIncarnation& incarnation) {
  if (ended_.insert(incarnation).second) {
    if (const auto it = servers_.find(incarnation.first);
        it == servers_.end() || it->second.incarnation == incarnation.second) {
      fences_.Remove(incarnation.first);
    }
    PollAllRanges();
  }
}

void RangeAssigner::OnPreviousLeadersEnded(TimePoint ended_at) {
  // This leader itself may have sent orders until it reread the table.
  const TimePoint until = std::max(ended_at, begun_at_);
  if (previous_leader_until_ <= until) {
    return;
  }
  previous_leader_until_ = until;
  PollAllRanges();
}

void RangeAssigner::SetServers(std::vector<AssignerServer> servers,
                               TimePoint now) {
  const auto before = std::exchange(servers_, {});
  for (AssignerServer& it : servers) {
    const ServerIncarnation incarnation(it.id, it.incarnation);
    std::string& address = addresses_[incarnation];
    if (address.empty()) {
      last_server_at_ = now;
    }
    if (address != it.address) {
      incarnations_at_[address].erase(incarnation);
      incarnations_at_[it.address].insert(incarnation);
      address = it.address;
    }
    servers_.emplace(it.id, std::move(it));
  }
  if (!servers_.empty() && first_server_at_ == TimePoint{}) {
    first_server_at_ = now;
  }
  // A change of the capacity alone matters only to the next round of balancing.
  const bool same =
      std::ranges::equal(before, servers_, [](const auto& a, const auto& b) {
        return a.first == b.first &&
               a.second.incarnation == b.second.incarnation &&
               a.second.address == b.second.address &&
               a.second.draining == b.second.draining &&
               a.second.move_until == b.second.move_until;
      });
  if (!same) {
    PollAllRanges();
  }
}

void RangeAssigner::OnAddressInUse(const std::string& address,
                                   const ServerId& server,
                                   Incarnation incarnation) {
  const auto known = incarnations_at_.find(address);
  if (known == incarnations_at_.end()) {
    return;
  }
  for (const ServerIncarnation& it : known->second) {
    if (it.first != server && it.second < incarnation) {
      OnEnded(it);
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

TimePoint RangeAssigner::LeaseEnd(TimePoint arrived_at) const {
  return arrived_at + std::chrono::duration_cast<Duration>(
                          options_.lease * options_.max_clock_drift_factor);
}

TimePoint RangeAssigner::LatestArrival(TimePoint sent_at) const {
  return sent_at + options_.order_timeout + options_.max_transit_time;
}

TimePoint RangeAssigner::LatestLeaseEnd(TimePoint sent_at) const {
  return LeaseEnd(LatestArrival(sent_at));
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

void RangeAssigner::MergeOrders(const OrderState& part,
                                OrderState* orders) const {
  orders->held_until = std::max(orders->held_until, part.held_until);
  orders->in_transit_until =
      std::max(orders->in_transit_until, part.in_transit_until);
  orders->sent_before = orders->sent_before || part.sent_before;
  if (part.in_flight != 0) {
    // The reply to this order will be ignored.
    orders->in_transit_until =
        std::max(orders->in_transit_until, LatestArrival(part.sent_at));
    orders->held_until =
        std::max(orders->held_until, LatestLeaseEnd(part.sent_at));
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
  wrote_table_ = true;
  plan_at_ = now + std::chrono::floor<milliseconds>(
                       options_.table_pause_per_range * std::ssize(states_));
  OnNewTable();
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
      if (!known.granted) {
        state.handover = known.handover;
      }
      state.orders.next_attempt_at =
          std::max(state.orders.next_attempt_at, state.orders.in_transit_until);
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
  next_poll_at_ = std::min(next_poll_at_, now);
  if (OnFenceReply(order, outcome, now)) {
    return;
  }
  const auto [first, last] = waiting_ranges_.equal_range(order);
  std::vector<std::size_t> ranges;
  for (auto it = first; it != last; ++it) {
    ranges.push_back(it->second);
  }
  waiting_ranges_.erase(first, last);
  for (const std::size_t it : ranges) {
    OnRangeReply(it, order, outcome, handover, now);
    schedule_.Add(it, now);
  }
}

bool RangeAssigner::RecordReply(std::uint64_t order,
                                OrderOutcome outcome,
                                TimePoint now,
                                OrderState* state) const {
  if (state->in_flight != order) {
    return false;
  }
  const bool sent = outcome != OrderOutcome::kNotConnected &&
                    outcome != OrderOutcome::kTokenOutdated;
  const bool grant = state->purpose != OrderPurpose::kRelease;
  const bool answered = outcome != OrderOutcome::kUnknown &&
                        outcome != OrderOutcome::kConnectionRefused;
  // An answered order has arrived before its reply; of one that was given up
  // nothing is sent any more.
  const TimePoint arrived_at = answered ? now : now + options_.max_transit_time;
  const TimePoint lease_end = LeaseEnd(arrived_at);
  if (grant && sent) {
    state->held_until = std::max(state->held_until, lease_end);
  }
  state->in_flight = 0;
  if (outcome == OrderOutcome::kNotConnected) {
    state->next_attempt_at =
        std::max(now, state->sent_at + options_.order_timeout);
  } else if (outcome == OrderOutcome::kUnknown) {
    state->in_transit_until = std::max(state->in_transit_until, arrived_at);
    // A reset connection is reported long before the order's deadline, so the
    // retry waits for the full time-out.
    state->next_attempt_at =
        std::max(now, state->sent_at + options_.order_timeout);
  } else if (outcome != OrderOutcome::kDone) {
    state->next_attempt_at = now + options_.order_timeout;
  }
  return true;
}

void RangeAssigner::OnRangeReply(std::size_t i,
                                 std::uint64_t order,
                                 OrderOutcome outcome,
                                 const std::string& handover,
                                 TimePoint now) {
  RangeState& state = states_[i];
  if (RecordReply(order, outcome, now, &state.orders)) {
    OnGrantReply(table_.ranges[i].owner, outcome, &state);
    plan_due_ = plan_due_ || state.needs_new_token ||
                (state.granted && table_.ranges[i].moving());
  }
  for (std::size_t k = 0; k < state.earlier.size(); ++k) {
    EarlierOwnerState& earlier = state.earlier[k];
    if (!RecordReply(order, outcome, now, &earlier.orders)) {
      continue;
    }
    if (outcome == OrderOutcome::kOtherServer) {
      const Owner& owner = table_.ranges[i].earlier[k];
      OnEnded({owner.server, owner.incarnation});
    }
    if (outcome != OrderOutcome::kDone ||
        earlier.orders.purpose != OrderPurpose::kRelease) {
      continue;
    }
    earlier.cleared = Clearance::kReleased;
    if (!handover.empty()) {
      state.handover = handover;
    }
  }
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
    case OrderOutcome::kTokenOutdated:
      state->needs_new_token = true;
      break;
    case OrderOutcome::kOtherServer:
      OnEnded({owner.server, owner.incarnation});
      break;
    case OrderOutcome::kConnectionRefused:
      state->needs_new_token = state->granted;
      break;
    case OrderOutcome::kNotConnected:
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
  if (takeover_written_) {
    for (const std::size_t it : schedule_.TakeDue(now)) {
      PollRange(it, now, &actions);
    }
    for (const std::size_t it : pacer_.Take(now)) {
      schedule_.Remove(it);
      SendOwnerGrant(it, now, &actions);
    }
    if (has_table_) {
      PollFences(now, &actions);
    }
  }
  if (!planned_ && now >= plan_at_ && (plan_due_ || now >= next_balance_)) {
    ++work_.tables_planned;
    // The first table waits for servers that have not registered yet.
    plan_due_ = !has_table_;
    planned_ = Plan(load, now);
    if (planned_) {
      actions.emplace_back(WriteTable{*planned_});
    }
  }
  next_poll_at_ = DeadlineAfterPoll(now);
  return actions;
}

TimePoint RangeAssigner::DeadlineAfterPoll(TimePoint now) const {
  TimePoint at = now + options_.balance_period;
  if (takeover_written_) {
    at = std::min({at, schedule_.next_at(), pacer_.next_at()});
  }
  if (takeover_written_ && has_table_) {
    at = std::min(at, fences_.next_at());
  }
  const TimePoint plan_at = std::max(plan_at_, FirstTableTime());
  if (!planned_ && plan_due_ && plan_at > now) {
    at = std::min(at, plan_at);
  }
  return at;
}

void RangeAssigner::PollRange(std::size_t i,
                              TimePoint now,
                              std::vector<AssignerAction>* actions) {
  ++work_.ranges_polled;
  pacer_.Remove(i);
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
    schedule_.Add(i, due_at);
    return;
  }
  // A fence that arrives after the grant would take the keys away again.
  if (range.moving() && fences_.IsSending(range.owner.server)) {
    return;
  }
  // Only renewals can wait: no server holds the other keys.
  const TimePoint held_until = HeldUntil(state.orders);
  if (range.moving() || held_until <= now) {
    SendOwnerGrant(i, now, actions);
    return;
  }
  pacer_.Add(i, due_at);
  schedule_.Add(i, held_until);
}

void RangeAssigner::SendOwnerGrant(std::size_t i,
                                   TimePoint now,
                                   std::vector<AssignerAction>* actions) {
  const OwnedRange& range = table_.ranges[i];
  RangeState& state = states_[i];
  StartOrder(i, OrderPurpose::kGrant, now, &state.orders);
  actions->emplace_back(
      SendOrder{.kind = SendOrder::Kind::kGrant,
                .order = state.orders.in_flight,
                .server = range.owner.server,
                .address = FindIncarnation(range.owner)->address,
                .range = range.range,
                .token = range.owner.token,
                .lease = options_.lease,
                .handover = state.granted ? std::string() : state.handover,
                .deadline = now + options_.order_timeout});
  if (state.granted) {
    return;
  }
  auto& order = std::get<SendOrder>(actions->back());
  for (std::size_t k = 0; k < range.earlier.size(); ++k) {
    order.cleared.push_back(
        {range.earlier[k].server, state.earlier[k].cleared.value()});
  }
}

void RangeAssigner::StartOrder(std::size_t i,
                               OrderPurpose purpose,
                               TimePoint now,
                               OrderState* state) {
  state->in_flight = ++last_order_;
  state->purpose = purpose;
  state->sent_at = now;
  waiting_ranges_.emplace(state->in_flight, i);
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
    FenceAfterLease(owner, now);
  }
  if (earlier.cleared) {
    return true;
  }
  schedule_.Add(i, HeldUntil(orders));
  const std::string address = LastKnownAddress(owner);
  if (orders.in_flight != 0 || address.empty()) {
    return false;
  }
  const TimePoint next_at =
      std::max(orders.next_attempt_at, orders.in_transit_until);
  if (next_at > now) {
    schedule_.Add(i, next_at);
    return false;
  }
  StartOrder(i, OrderPurpose::kRelease, now, &orders);
  orders.next_attempt_at = now + options_.order_timeout;
  actions->emplace_back(SendOrder{.kind = SendOrder::Kind::kRelease,
                                  .order = orders.in_flight,
                                  .server = owner.server,
                                  .address = address,
                                  .range = range.range,
                                  .token = FencingToken(range.owner.token),
                                  .deadline = now + options_.release_timeout});
  return false;
}

}  // namespace gentianreach::keyspace
