// The part of the range assigner that plans the next ownership table.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "keyspace/fencing_tokens.h"
#include "keyspace/range_assigner.h"
#include "keyspace/replacement_table.h"

namespace gentianreach::keyspace {
namespace {

// Tokens skipped if a server has seen a higher token than the table's.
constexpr std::uint64_t kTokenSkip = 1000;
// One table allocates tokens for owners that need a new one, for reassigned and
// for rebalanced ranges.
static_assert(kTokenSkip + 3 * kTokensPerMove * kKeyCount <=
              kMaxTokensPerTable);
// The first table is planned when no server has registered for the quiet
// period, and at the latest when the maximum period has passed since the first
// registration.
constexpr Duration kRegistrationQuietPeriod = std::chrono::milliseconds(1000);
constexpr Duration kMaxRegistrationPeriod = std::chrono::milliseconds(3500);
// Ranges that may move for balance at the same time: one for each
// kServersPerBalanceMove servers, but at least kMinConcurrentBalanceMoves.
constexpr std::size_t kMinConcurrentBalanceMoves = 3;
constexpr std::size_t kServersPerBalanceMove = 6;
// Usual time from the plan of a move until its next owner has the keys: a table
// is written, the work on the keys ends, and a grant is answered.
constexpr Duration kUsualMoveTime = std::chrono::milliseconds(500);

// Returns the index of `part` after splitting `ranges[i]` so that `part` is a
// range of its own.
std::size_t SplitOut(std::vector<OwnedRange>* ranges,
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

// Changes the owner of the keys of `transfer`, which must lie in one range.
void ApplyTransfer(const Transfer& transfer, OwnershipTable* plan) {
  for (std::size_t i = 0; i < plan->ranges.size(); ++i) {
    if (!plan->ranges[i].range.Contains(transfer.range.first)) {
      continue;
    }
    OwnedRange& moved =
        plan->ranges[SplitOut(&plan->ranges, i, transfer.range)];
    moved.earlier.push_back(moved.owner);
    moved.owner = {transfer.server, transfer.incarnation, AllocateToken(plan)};
    return;
  }
}

// Gives all owners new tokens: they may have restarted since they got theirs.
void ReplaceTokens(OwnershipTable* plan) {
  // Parts of a range that was split keep a common token.
  std::map<std::pair<ServerId, Token>, Token> tokens;
  for (OwnedRange& it : plan->ranges) {
    const auto [known, added] =
        tokens.try_emplace({it.owner.server, it.owner.token});
    if (added) {
      known->second = AllocateToken(plan);
    }
    it.owner.token = known->second;
  }
}

}  // namespace

bool RangeAssigner::MayOwn(const Owner& owner) const {
  const AssignerServer* server = FindIncarnation(owner);
  return server != nullptr && !server->draining && !server->is_evacuated() &&
         !HasEnded(owner);
}

const AssignerServer* RangeAssigner::FindEvacuated(const Owner& owner) const {
  const AssignerServer* server = FindIncarnation(owner);
  const bool runs_on = server != nullptr && !server->draining &&
                       server->is_evacuated() && !HasEnded(owner);
  return runs_on ? server : nullptr;
}

std::vector<Candidate> RangeAssigner::Candidates() const {
  std::vector<Candidate> candidates;
  for (const auto& [id, it] : servers_) {
    if (!it.draining && !it.is_evacuated() &&
        !ended_.contains({id, it.incarnation})) {
      candidates.push_back({id, it.incarnation, it.capacity});
    }
  }
  return candidates;
}

void RangeAssigner::BeginWithoutTable(const OwnershipTable* copy,
                                      std::uint64_t revision,
                                      Token seen,
                                      Epoch epoch,
                                      TimePoint previous_leader_until,
                                      TimePoint now) {
  begun_ = Begin(ReplacementTable(copy, revision, seen, epoch), epoch,
                 previous_leader_until, now);
}

bool RangeAssigner::WriteAgain(TimePoint now) {
  if (!begun_ || !wrote_table_) {
    return false;
  }
  planned_.reset();
  takeover_written_ = false;
  plan_at_ = now;
  PollAllRanges();
  return true;
}

TimePoint RangeAssigner::FirstTableTime() const {
  return has_table_ ? TimePoint{}
                    : std::min(last_server_at_ + kRegistrationQuietPeriod,
                               first_server_at_ + kMaxRegistrationPeriod);
}

std::optional<OwnershipTable> RangeAssigner::Plan(const KeyLoad& load,
                                                  TimePoint now) {
  if (!has_table_) {
    if (servers_.empty() || now < FirstTableTime()) {
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
          {it.range, {it.server, it.incarnation, AllocateToken(&plan)}, {}});
    }
    return plan;
  }
  OwnershipTable plan = table_;
  if (!takeover_written_) {
    plan.epoch = epoch_;
    if (!wrote_table_) {
      ReplaceTokens(&plan);
    }
    plan.next_token = plan.next_token.Next();
    return plan;
  }
  PlanCompletions(&plan);
  PlanReassignments(load, &plan, now);
  PlanRebalancing(load, &plan, now);
  if (plan == table_) {
    return std::nullopt;
  }
  plan.MergeAdjacentRanges();
  return plan;
}

// Removes the earlier owners of ranges whose new owner has its grant, and
// allocates a new token for owners that need one.
void RangeAssigner::PlanCompletions(OwnershipTable* plan) const {
  for (std::size_t i = 0; i < table_.ranges.size(); ++i) {
    if (states_[i].granted) {
      plan->ranges[i].earlier.clear();
    }
    if (states_[i].needs_new_token) {
      plan->next_token =
          Token(std::max(plan->next_token.value(),
                         table_.ranges[i].owner.token.value() + kTokenSkip));
      plan->ranges[i].owner.token = AllocateToken(plan);
    }
  }
}

// While a range moves, nobody owns its keys. An evacuated owner still serves
// them until its time is over, so that its ranges move a few at a time: as many
// as are needed to be done in time, those with the most load first.
std::set<std::uint32_t> RangeAssigner::RangesToMoveLater(
    const KeyLoad& load,
    const OwnershipTable& plan,
    TimePoint now) const {
  struct Group {
    std::vector<std::pair<double, std::uint32_t>> waiting;  // Load, first key.
    std::size_t moving = 0;
  };
  std::map<TimePoint, Group> groups;
  for (const OwnedRange& it : plan.ranges) {
    if (it.moving()) {
      if (const auto* from = FindEvacuated(it.earlier.back())) {
        ++groups[from->move_until].moving;
      }
      continue;
    }
    if (const auto* owner = FindEvacuated(it.owner)) {
      groups[owner->move_until].waiting.emplace_back(load.In(it.range),
                                                     it.range.first);
    }
  }
  std::set<std::uint32_t> later;
  for (auto& [move_until, it] : groups) {
    const auto rounds = static_cast<std::size_t>(std::max<std::int64_t>(
        1, (std::max(move_until, now) - now) / kUsualMoveTime));
    const std::size_t at_once =
        (it.waiting.size() + it.moving + rounds - 1) / rounds;
    const std::size_t first_later =
        std::min(it.waiting.size(), at_once - std::min(at_once, it.moving));
    std::ranges::sort(it.waiting, std::greater<>());
    for (std::size_t i = first_later; i < it.waiting.size(); ++i) {
      later.insert(it.waiting[i].second);
    }
  }
  return later;
}

void RangeAssigner::PlanReassignments(const KeyLoad& load,
                                      OwnershipTable* plan,
                                      TimePoint now) const {
  const std::vector<Candidate> candidates = Candidates();
  if (candidates.empty()) {
    return;
  }
  const std::set<std::uint32_t> later = RangesToMoveLater(load, *plan, now);
  std::vector<double> loads;
  for (std::size_t i = 0; i < plan->ranges.size(); ++i) {
    const OwnedRange range = plan->ranges[i];
    if (MayOwn(range.owner) || later.contains(range.range.first)) {
      continue;
    }
    if (loads.empty()) {
      loads = LoadsOf(candidates, *plan, load);
    }
    for (const Transfer& it :
         ReassignRange(range.range, candidates, load, &loads)) {
      i = SplitOut(&plan->ranges, i, it.range);
      OwnedRange& moved = plan->ranges[i];
      moved.earlier.push_back(moved.owner);
      moved.owner = {it.server, it.incarnation, AllocateToken(plan)};
      ++i;
    }
    --i;
  }
}

void RangeAssigner::PlanRebalancing(const KeyLoad& load,
                                    OwnershipTable* plan,
                                    TimePoint now) {
  if (now < next_balance_) {
    return;
  }
  next_balance_ = now + options_.balance_period;
  const std::vector<Candidate> candidates = Candidates();
  const std::size_t max_moves = std::max(
      kMinConcurrentBalanceMoves, candidates.size() / kServersPerBalanceMove);
  const auto moving = static_cast<std::size_t>(
      std::count_if(plan->ranges.begin(), plan->ranges.end(),
                    [](const auto& it) { return it.moving(); }));
  if (moving >= max_moves) {
    return;
  }
  for (const Transfer& it :
       Rebalance(*plan, candidates, load, max_moves - moving)) {
    ApplyTransfer(it, plan);
  }
}

}  // namespace gentianreach::keyspace
