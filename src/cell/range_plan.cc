#include "cell/range_plan.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

namespace gentianreach::cell {

namespace {

// Draining moves at most this many ranges at a time, to limit how many requests
// are held at once.
constexpr std::size_t kMaxMovesInProgress = 32;

double Share(const stored::RangeT& range) {
  return HashRange{KeyHash(range.first), KeyHash(range.last)}.Share();
}

std::string RangeName(const stored::RangeT& range) {
  return range.service + "/" + std::to_string(range.first) + "-" +
         std::to_string(range.last);
}

}  // namespace

RangePlanner::RangePlanner(Plan& plan, const PlanInput& input)
    : plan_(plan), input_(input) {
  for (const auto& it : plan_.record.ranges) {
    share_[it->moving_to.empty() ? it->owner : it->moving_to] += Share(*it);
    moves_in_progress_ += it->moving_to.empty() ? 0 : 1;
  }
}

bool RangePlanner::Run() {
  for (const auto& it : input_.services) {
    if (it.keyed && input_.first_ranges) {
      FirstRanges(it);
    }
  }
  for (const auto& proposal : input_.proposals) {
    std::visit([this](const auto& it) { Apply(it); }, proposal);
  }
  for (const auto& it : plan_.record.ranges) {
    if (it->moving_to.empty()) {
      PlanOwned(*it);
    } else {
      PlanMoving(*it);
    }
  }
  return changed_;
}

void RangePlanner::FirstRanges(const CellService& service) {
  Record& record = plan_.record;
  if (FindRange(record, service.name.value(), KeyHash(0)) != nullptr) {
    return;
  }
  std::vector<std::string> owners;
  for (const auto& it : record.servers) {
    if (it->service == service.name.value() && Usable(*it)) {
      owners.push_back(it->id);
    }
  }
  if (owners.empty()) {
    return;
  }
  const std::size_t n =
      owners.size() * std::max<std::size_t>(input_.ranges_per_server, 1);
  const std::uint64_t width = std::numeric_limits<std::uint64_t>::max() / n;
  for (std::size_t i = 0; i < n; ++i) {
    auto range = std::make_unique<stored::RangeT>();
    range->service = service.name.value();
    range->first = i * width;
    range->last = i + 1 == n ? std::numeric_limits<std::uint64_t>::max()
                             : (i + 1) * width - 1;
    Assign(*range, owners[i % owners.size()], record.next_token++,
           "first ranges");
    record.ranges.push_back(std::move(range));
  }
  std::sort(record.ranges.begin(), record.ranges.end(),
            [](const auto& a, const auto& b) {
              return std::tie(a->service, a->first) <
                     std::tie(b->service, b->first);
            });
}

void RangePlanner::Apply(const ProposedMove& proposal) {
  stored::RangeT* const range =
      FindExactRange(proposal.service, proposal.range);
  const stored::ServerT* const to =
      FindServer(plan_.record, proposal.to.value());
  if (range == nullptr || to == nullptr || !range->moving_to.empty() ||
      range->owner == to->id || to->service != range->service || !Usable(*to) ||
      Lost(range->owner)) {
    return;
  }
  StartMove(*range, to->id, proposal.actor, proposal.why);
}

void RangePlanner::Apply(const ProposedSplit& proposal) {
  stored::RangeT* const range =
      FindExactRange(proposal.service, proposal.range);
  if (range == nullptr || !range->moving_to.empty() ||
      proposal.at <= proposal.range.first ||
      !proposal.range.Contains(proposal.at)) {
    return;
  }
  AddAuditEvent(*range, proposal.actor, "split", "",
                std::to_string(proposal.at.value()), "");
  auto second = std::make_unique<stored::RangeT>(*range);
  range->last = proposal.at.value() - 1;
  second->first = proposal.at.value();
  auto& ranges = plan_.record.ranges;
  const auto place =
      std::find_if(ranges.begin(), ranges.end(),
                   [range](const auto& it) { return it.get() == range; });
  ranges.insert(std::next(place), std::move(second));
  changed_ = true;
}

void RangePlanner::Apply(const ProposedMerge& proposal) {
  stored::RangeT* const first =
      FindExactRange(proposal.service, proposal.first);
  stored::RangeT* const second =
      FindExactRange(proposal.service, proposal.second);
  if (first == nullptr || second == nullptr || !first->moving_to.empty() ||
      !second->moving_to.empty() || first->owner != second->owner ||
      second->first == 0 || first->last != second->first - 1 ||
      Lost(first->owner)) {
    return;
  }
  AddAuditEvent(*first, proposal.actor, "merge", "",
                std::to_string(second->last), "");
  first->last = second->last;
  first->token = plan_.record.next_token++;
  std::erase_if(plan_.record.ranges,
                [second](const auto& it) { return it.get() == second; });
  changed_ = true;
}

void RangePlanner::Apply(const ProposedDrain& proposal) {
  stored::ServerT* const server = FindServer(plan_.record, proposal.server);
  const auto from = proposal.drain ? stored::ServerState::Live
                                   : stored::ServerState::Draining;
  if (server == nullptr || server->state != from) {
    return;
  }
  server->state = proposal.drain ? stored::ServerState::Draining
                                 : stored::ServerState::Live;
  plan_.audit.push_back({proposal.actor, proposal.drain ? "drain" : "undrain",
                         server->id, "", "", "operator", ObjectVersion()});
  changed_ = true;
}

void RangePlanner::PlanMoving(stored::RangeT& range) {
  if (input_.completed_moves.contains(range.moving_token)) {
    Assign(range, range.moving_to, range.moving_token, "planned move");
    return;
  }
  const bool from_lost = Lost(range.owner);
  const bool to_lost = Lost(range.moving_to);
  if (!from_lost && !to_lost) {
    return;
  }
  // Either server may hold the range by now, so the leases of a lost server
  // must expire before the range is assigned.
  if ((from_lost && !Facts(range.owner).leases_expired) ||
      (to_lost && !Facts(range.moving_to).leases_expired)) {
    return;
  }
  if (!to_lost) {
    Assign(range, range.moving_to, range.moving_token, "old owner lost");
    return;
  }
  const std::string to = from_lost ? LeastLoaded(range.service) : range.owner;
  if (!to.empty()) {
    Assign(range, to, plan_.record.next_token++, "new owner lost");
  }
}

void RangePlanner::PlanOwned(stored::RangeT& range) {
  const stored::ServerT* const owner = FindServer(plan_.record, range.owner);
  if (owner == nullptr || Lost(range.owner)) {
    const std::string to = LeastLoaded(range.service);
    const bool may_assign =
        owner == nullptr || Facts(range.owner).leases_expired;
    if (may_assign && !to.empty()) {
      Assign(range, to, plan_.record.next_token++, "takeover");
    }
    return;
  }
  if (owner->state != stored::ServerState::Draining ||
      moves_in_progress_ >= kMaxMovesInProgress) {
    return;
  }
  const std::string to = LeastLoaded(range.service);
  if (!to.empty()) {
    StartMove(range, to, input_.self, "drain");
  }
}

void RangePlanner::StartMove(stored::RangeT& range,
                             const std::string& to,
                             const std::string& actor,
                             const std::string& why) {
  AddAuditEvent(range, actor, "move_started", range.owner, to, why);
  share_[range.owner] -= Share(range);
  share_[to] += Share(range);
  range.moving_to = to;
  range.moving_token = plan_.record.next_token++;
  ++moves_in_progress_;
  changed_ = true;
}

void RangePlanner::Assign(stored::RangeT& range,
                          const std::string& to,
                          std::uint64_t token,
                          const std::string& why) {
  AddAuditEvent(range, input_.self, "owner", range.owner, to, why);
  share_[range.moving_to.empty() ? range.owner : range.moving_to] -=
      Share(range);
  share_[to] += Share(range);
  range.owner = to;
  range.token = token;
  range.moving_to.clear();
  range.moving_token = 0;
  changed_ = true;
}

stored::RangeT* RangePlanner::FindExactRange(const ServiceName& service,
                                             const HashRange& range) const {
  stored::RangeT* const it =
      FindRange(plan_.record, service.value(), range.first);
  const bool exact = it != nullptr && it->first == range.first.value() &&
                     it->last == range.last.value();
  return exact ? it : nullptr;
}

ServerFacts RangePlanner::Facts(const std::string& server) const {
  const auto it = input_.servers.find(server);
  return it == input_.servers.end() ? ServerFacts{} : it->second;
}

bool RangePlanner::Lost(const std::string& server) const {
  const stored::ServerT* const it = FindServer(plan_.record, server);
  return it == nullptr || it->state == stored::ServerState::Fenced;
}

bool RangePlanner::Usable(const stored::ServerT& server) const {
  const ServerFacts facts = Facts(server.id);
  return server.state == stored::ServerState::Live && server.generation != 0 &&
         !facts.silent && !facts.draining;
}

std::string RangePlanner::LeastLoaded(const std::string& service) const {
  std::string best;
  double least = std::numeric_limits<double>::max();
  for (const auto& it : plan_.record.servers) {
    if (it->service != service || !Usable(*it)) {
      continue;
    }
    const auto share = share_.find(it->id);
    const double n = share == share_.end() ? 0 : share->second;
    if (n < least) {
      least = n;
      best = it->id;
    }
  }
  return best;
}

void RangePlanner::AddAuditEvent(const stored::RangeT& range,
                                 std::string actor,
                                 std::string what,
                                 std::string from,
                                 std::string to,
                                 std::string why) {
  plan_.audit.push_back({std::move(actor), std::move(what), RangeName(range),
                         std::move(from), std::move(to), std::move(why),
                         ObjectVersion()});
}

}  // namespace gentianreach::cell
