#include "keyspace/range_assigner.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gentianreach::keyspace {
namespace {

using std::chrono::milliseconds;

// Fencing grants to an earlier owner; when all are lost, its leases run out.
constexpr std::uint64_t kMostFences = 3;
// Tokens that one change of owner takes: those that fence the owner before, and
// the new owner's.
constexpr std::uint64_t kTokensPerMove = kMostFences + 1;
// How far tokens jump where a server has seen a higher one than the table has.
constexpr std::uint64_t kTokenJump = 1000;
// The keys are divided for the first time when no server has registered for
// the quiet time, and at the latest after the longest time.
constexpr Duration kRegistrationQuiet = std::chrono::milliseconds(1000);
constexpr Duration kLongestRegistration = std::chrono::milliseconds(3500);
// Ranges that may move for balance at the same time: at least, and as a part of
// the number of servers.
constexpr std::size_t kLeastBalanceMoves = 3;
constexpr std::size_t kServersPerBalanceMove = 6;
// Renewals in a row without an answer after which the owner may have started
// again.
constexpr int kMostUnanswered = 3;

// Returns the `n`-th token, from 1, that fences the owner before the one with
// `token`.
Token FenceToken(Token token, std::uint64_t n) {
  return Token(token.value() - kTokensPerMove + n);
}

// Takes the token for a new owner.
Token TakeToken(OwnershipTable* table) {
  const Token token(table->next_token.value() + kTokensPerMove - 1);
  table->next_token = Token(table->next_token.value() + kTokensPerMove);
  return token;
}

// Cuts `ranges[i]` so that `part` stands alone, and returns its place.
std::size_t Isolate(std::vector<OwnedRange>* ranges,
                    std::size_t i,
                    const KeyRange& part) {
  if (part.first > (*ranges)[i].range.first) {
    OwnedRange before = (*ranges)[i];
    before.range.last = part.first - 1;
    (*ranges)[i].range.first = part.first;
    ranges->insert(ranges->begin() + static_cast<std::ptrdiff_t>(i), before);
    ++i;
  }
  if (part.last < (*ranges)[i].range.last) {
    OwnedRange after = (*ranges)[i];
    after.range.first = part.last + 1;
    (*ranges)[i].range.last = part.last;
    ranges->insert(ranges->begin() + static_cast<std::ptrdiff_t>(i) + 1, after);
  }
  return i;
}

// Gives the keys of `transfer`, which lie in one range, to their new owner.
void Move(const Transfer& transfer, OwnershipTable* plan) {
  for (std::size_t i = 0; i < plan->ranges.size(); ++i) {
    if (!plan->ranges[i].range.Contains(transfer.range.first)) {
      continue;
    }
    OwnedRange& moved = plan->ranges[Isolate(&plan->ranges, i, transfer.range)];
    moved.earlier.push_back(moved.owner);
    moved.owner = {transfer.server, transfer.incarnation, TakeToken(plan)};
    return;
  }
}

}  // namespace

RangeAssigner::RangeAssigner(AssignerOptions options) : options_(options) {}

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
  claimed_ = !has_table_;
  table_ = table ? *std::move(table) : OwnershipTable{};
  states_.clear();
  for (const OwnedRange& it : table_.ranges) {
    RangeState state;
    // Orders of a leader before, and of this one before it read the table
    // again, may be under way.
    state.orders.held_until = HeldUntil(previous_leader_until_);
    state.orders.late_until = state.orders.held_until;
    Clearing clearing;
    clearing.orders = state.orders;
    clearing.inherited = true;
    state.earlier.assign(it.earlier.size(), clearing);
    states_.push_back(std::move(state));
  }
  next_wake_ = now;
  return true;
}

void RangeAssigner::OnPreviousLeadersEnded(TimePoint ended_at) {
  // This leader itself may have sent orders until it read the table.
  const TimePoint until = std::max(ended_at, begun_at_);
  if (previous_leader_until_ <= until) {
    return;
  }
  const TimePoint before = HeldUntil(previous_leader_until_);
  const TimePoint after = HeldUntil(until);
  previous_leader_until_ = until;
  const auto shorten = [&](OrderState* state) {
    if (state->held_until == before) {
      state->held_until = after;
    }
    if (state->late_until == before) {
      state->late_until = after;
    }
  };
  for (RangeState& it : states_) {
    shorten(&it.orders);
    for (Clearing& clearing : it.earlier) {
      shorten(&clearing.orders);
    }
  }
  next_wake_ = begun_at_;
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
  next_wake_ = now;
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

const AssignerServer* RangeAssigner::FindLife(const Owner& owner) const {
  const auto it = servers_.find(owner.server);
  if (it == servers_.end() || it->second.incarnation != owner.incarnation) {
    return nullptr;
  }
  return &it->second;
}

std::string RangeAssigner::AddressOf(const Owner& owner) const {
  const auto it = addresses_.find({owner.server, owner.incarnation});
  return it == addresses_.end() ? std::string() : it->second;
}

bool RangeAssigner::HasEnded(const Owner& owner) const {
  if (ended_.contains({owner.server, owner.incarnation})) {
    return true;
  }
  // Another incarnation under the same id proves it too.
  const auto it = servers_.find(owner.server);
  return it != servers_.end() && it->second.incarnation != owner.incarnation &&
         it->second.address != AddressOf(owner);
}

bool RangeAssigner::MayOwn(const Owner& owner) const {
  const AssignerServer* server = FindLife(owner);
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

TimePoint RangeAssigner::HeldUntil(TimePoint sent_at) const {
  return sent_at + options_.transit +
         std::chrono::duration_cast<Duration>(options_.lease *
                                              options_.clock_slack);
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
  claimed_ = true;
  next_wake_ = now;
}

// Returns what is known of `range` of the planned table from the ranges of the
// present one. A planned range lies within one present range, or joins several
// that have the same owner.
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
        // The joined range is as good as the worst of its parts.
        OrderState& orders = state.orders;
        orders.held_until =
            std::max(orders.held_until, known.orders.held_until);
        orders.late_until =
            std::max(orders.late_until, known.orders.late_until);
        orders.renewed_at =
            std::min(orders.renewed_at, known.orders.renewed_at);
        if (known.orders.in_flight != 0) {
          // Its reply is not waited for any more.
          orders.late_until =
              std::max(orders.late_until, HeldUntil(known.orders.sent_at));
        }
      }
      first = false;
      continue;
    }
    if (old.owner.IsServerIncarnation(range.owner.server,
                                      range.owner.incarnation)) {
      // The same server under another token.
      state.orders.held_until = known.orders.held_until;
      state.orders.late_until = known.orders.late_until;
      if (known.orders.in_flight != 0) {
        state.orders.late_until =
            std::max(state.orders.late_until, HeldUntil(known.orders.sent_at));
      }
    }
    // Owners are told apart by their incarnations: a token may have changed in
    // the same write.
    for (const Owner& owner : range.earlier) {
      Clearing clearing;
      if (old.owner.IsServerIncarnation(owner.server, owner.incarnation)) {
        // A renewal under way is waited for: it could arrive after a release.
        clearing.orders = known.orders;
        clearing.orders.next_try = {};
      } else {
        for (std::size_t k = 0; k < old.earlier.size(); ++k) {
          if (old.earlier[k].IsServerIncarnation(owner.server,
                                                 owner.incarnation)) {
            clearing = known.earlier[k];
          }
        }
      }
      state.earlier.push_back(clearing);
    }
  }
  return state;
}

void RangeAssigner::OnOrderReply(std::uint64_t order,
                                 OrderOutcome outcome,
                                 const std::string& handover,
                                 TimePoint now) {
  const auto settle = [&](OrderState* state) {
    if (state->in_flight != order) {
      return false;
    }
    state->in_flight = 0;
    if (outcome == OrderOutcome::kUnknown) {
      // A connection that is reset ends long before the order's deadline.
      state->next_try = std::max(now, state->sent_at + options_.order_timeout);
      if (state->purpose != OrderPurpose::kRelease) {
        state->late_until =
            std::max(state->late_until, HeldUntil(state->sent_at));
      }
    } else if (outcome != OrderOutcome::kDone) {
      state->next_try = now + options_.order_timeout;
    }
    return true;
  };
  for (std::size_t i = 0; i < states_.size(); ++i) {
    RangeState& it = states_[i];
    if (settle(&it.orders)) {
      OnGrantReply(table_.ranges[i].owner, outcome, &it);
    }
    for (std::size_t k = 0; k < it.earlier.size(); ++k) {
      Clearing& clearing = it.earlier[k];
      if (!settle(&clearing.orders)) {
        continue;
      }
      if (outcome == OrderOutcome::kOtherServer) {
        const Owner& owner = table_.ranges[i].earlier[k];
        ended_.insert({owner.server, owner.incarnation});
      }
      if (outcome != OrderOutcome::kDone) {
        continue;
      }
      if (clearing.orders.purpose == OrderPurpose::kFence) {
        // The release follows.
        clearing.fenced = true;
      }
      if (clearing.orders.purpose != OrderPurpose::kRelease) {
        continue;
      }
      clearing.cleared = true;
      if (!handover.empty()) {
        it.handover = handover;
      }
    }
  }
  next_wake_ = now;
}

void RangeAssigner::OnGrantReply(const Owner& owner,
                                 OrderOutcome outcome,
                                 RangeState* state) {
  const int unanswered = std::exchange(state->unanswered, 0);
  switch (outcome) {
    case OrderOutcome::kDone:
      state->orders.renewed_at = state->orders.sent_at;
      state->granted = true;
      break;
    case OrderOutcome::kHigherToken:
      state->needs_token = true;
      break;
    case OrderOutcome::kOtherServer:
      ended_.insert({owner.server, owner.incarnation});
      break;
    case OrderOutcome::kNobodyThere:
      state->needs_token = state->granted;
      break;
    case OrderOutcome::kUnknown:
      state->unanswered = unanswered + 1;
      state->needs_token =
          state->granted && state->unanswered >= kMostUnanswered;
      break;
    case OrderOutcome::kRefused:
      break;
  }
}

std::vector<AssignerAction> RangeAssigner::Poll(const KeyLoad& load,
                                                TimePoint now) {
  std::vector<AssignerAction> actions;
  next_wake_ = TimePoint::max();
  if (!begun_) {
    return actions;
  }
  for (std::size_t i = 0; claimed_ && i < table_.ranges.size(); ++i) {
    PollRange(i, now, &actions);
  }
  if (!planned_ && now >= plan_at_) {
    planned_ = Plan(load, now);
    if (planned_) {
      actions.emplace_back(WriteTable{*planned_});
    }
  }
  WakeAt(now + options_.balance_period);
  return actions;
}

void RangeAssigner::PollRange(std::size_t i,
                              TimePoint now,
                              std::vector<AssignerAction>* actions) {
  const OwnedRange& range = table_.ranges[i];
  RangeState& state = states_[i];
  bool cleared = true;
  for (std::size_t k = 0; k < range.earlier.size(); ++k) {
    cleared = PollEarlier(i, k, now, actions) && cleared;
  }
  const AssignerServer* server = FindLife(range.owner);
  if (!cleared || server == nullptr || HasEnded(range.owner) ||
      state.needs_token || state.orders.in_flight != 0) {
    return;
  }
  const TimePoint due =
      state.granted ? state.orders.renewed_at + options_.renew_period : now;
  const TimePoint at = std::max(due, state.orders.next_try);
  if (at > now) {
    WakeAt(at);
    return;
  }
  SendGrant(range, range.owner, range.owner.token, server->address,
            state.granted ? std::string() : state.handover,
            OrderPurpose::kRenewal, &state.orders, now, actions);
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
  state->held_until = std::max(state->held_until, HeldUntil(now));
  actions->emplace_back(SendOrder{.kind = SendOrder::Kind::kGrant,
                                  .order = state->in_flight,
                                  .server = to.server,
                                  .address = address,
                                  .range = range.range,
                                  .token = token,
                                  .lease = options_.lease,
                                  .handover = handover,
                                  .deadline = now + options_.order_timeout});
}

bool RangeAssigner::PollEarlier(std::size_t i,
                                std::size_t k,
                                TimePoint now,
                                std::vector<AssignerAction>* actions) {
  const OwnedRange& range = table_.ranges[i];
  const Owner& owner = range.earlier[k];
  Clearing& clearing = states_[i].earlier[k];
  OrderState& orders = clearing.orders;
  if (clearing.cleared || HasEnded(owner) || orders.held_until <= now) {
    clearing.cleared = true;
    return true;
  }
  WakeAt(orders.held_until);
  const std::string address = AddressOf(owner);
  if (orders.in_flight != 0 || address.empty()) {
    return false;
  }
  if (orders.next_try > now) {
    WakeAt(orders.next_try);
    return false;
  }
  if (!clearing.fenced && orders.late_until > now) {
    // With several earlier owners it is not known which of them holds the
    // keys, and a grant to one that does not would make a second holder.
    if (range.earlier.size() > 1 || clearing.inherited ||
        clearing.fences_sent >= kMostFences) {
      return false;
    }
    ++clearing.fences_sent;
    clearing.fence = FenceToken(range.owner.token, clearing.fences_sent);
    SendGrant(range, owner, clearing.fence, address, "", OrderPurpose::kFence,
              &orders, now, actions);
    return false;
  }
  orders.in_flight = ++last_order_;
  orders.purpose = OrderPurpose::kRelease;
  orders.sent_at = now;
  orders.next_try = now + options_.order_timeout;
  const Token token = clearing.fenced ? clearing.fence : owner.token;
  actions->emplace_back(SendOrder{.kind = SendOrder::Kind::kRelease,
                                  .order = orders.in_flight,
                                  .server = owner.server,
                                  .address = address,
                                  .range = range.range,
                                  .token = token,
                                  .deadline = now + options_.release_timeout});
  return false;
}

std::optional<OwnershipTable> RangeAssigner::Plan(const KeyLoad& load,
                                                  TimePoint now) {
  if (!has_table_) {
    const bool settled = now >= last_server_at_ + kRegistrationQuiet ||
                         now >= first_server_at_ + kLongestRegistration;
    if (servers_.empty() || !settled) {
      return std::nullopt;
    }
    const std::vector<Candidate> candidates = Candidates();
    if (candidates.empty()) {
      return std::nullopt;
    }
    OwnershipTable plan;
    plan.epoch = epoch_;
    for (const Transfer& it : PartitionByCapacity(candidates)) {
      plan.ranges.push_back(
          {it.range, {it.server, it.incarnation, TakeToken(&plan)}, {}});
    }
    return plan;
  }
  OwnershipTable plan = table_;
  if (!claimed_) {
    plan.epoch = epoch_;
    plan.next_token = plan.next_token.Next();
    return plan;
  }
  PlanSettled(&plan);
  PlanMoves(load, &plan);
  PlanBalance(load, &plan, now);
  if (plan == table_) {
    return std::nullopt;
  }
  plan.JoinNeighbours();
  return plan;
}

// Takes the earlier owners off the ranges whose new owner has its grant, and
// gives a new token to those whose token was refused.
void RangeAssigner::PlanSettled(OwnershipTable* plan) const {
  for (std::size_t i = 0; i < table_.ranges.size(); ++i) {
    if (states_[i].granted) {
      plan->ranges[i].earlier.clear();
    }
    if (states_[i].needs_token) {
      plan->next_token =
          Token(std::max(plan->next_token.value(),
                         table_.ranges[i].owner.token.value() + kTokenJump));
      plan->ranges[i].owner.token = TakeToken(plan);
    }
  }
}

void RangeAssigner::PlanMoves(const KeyLoad& load, OwnershipTable* plan) const {
  const std::vector<Candidate> candidates = Candidates();
  if (candidates.empty()) {
    return;
  }
  for (std::size_t i = 0; i < plan->ranges.size(); ++i) {
    const OwnedRange range = plan->ranges[i];
    if (MayOwn(range.owner)) {
      continue;
    }
    for (const Transfer& it :
         ReassignRange(range.range, *plan, candidates, load)) {
      i = Isolate(&plan->ranges, i, it.range);
      OwnedRange& moved = plan->ranges[i];
      moved.earlier.push_back(moved.owner);
      moved.owner = {it.server, it.incarnation, TakeToken(plan)};
      ++i;
    }
    --i;
  }
}

void RangeAssigner::PlanBalance(const KeyLoad& load,
                                OwnershipTable* plan,
                                TimePoint now) {
  if (now < next_balance_) {
    return;
  }
  next_balance_ = now + options_.balance_period;
  const std::vector<Candidate> candidates = Candidates();
  const std::size_t most =
      std::max(kLeastBalanceMoves, candidates.size() / kServersPerBalanceMove);
  const auto moving = static_cast<std::size_t>(
      std::count_if(plan->ranges.begin(), plan->ranges.end(),
                    [](const auto& it) { return it.moving(); }));
  if (moving >= most) {
    return;
  }
  for (const Transfer& it : Rebalance(*plan, candidates, load, most - moving)) {
    Move(it, plan);
  }
}

}  // namespace gentianreach::keyspace
