#include <algorithm>
#include <utility>

#include "cell/agent_impl.h"
#include "cell/agent_times.h"

namespace gentianreach {

using cell::kElectionStagger;
using cell::kFirstRangesWait;
using cell::kMaxHandOverWait;
using cell::kMaxStoreFailureTime;
using cell::kMostServersSilentWait;
using cell::kNonMemberElectionJitter;
using cell::kNoServerElectionWait;
using cell::kPlanInterval;

bool CellAgent::Impl::InContact(const std::string& daemon,
                                TimePoint now) const {
  if (daemon == self_) {
    return true;
  }
  const auto it = peers_.find(daemon);
  if (it == peers_.end()) {
    return false;
  }
  const TimePoint since =
      std::max({it->second.last_ack_sent, it->second.first_seen, grace_start_});
  return now - since <= suspicion_;
}

std::size_t CellAgent::Impl::MembersInContact(TimePoint now) const {
  std::size_t n = 0;
  for (const auto& it : record_->members) {
    const auto peer = peers_.find(it->daemon);
    const bool in_contact =
        it->daemon == self_ || (peer != peers_.end() &&
                                now - peer->second.last_ack_sent <= suspicion_);
    n += in_contact ? 1 : 0;
  }
  return n;
}

TimePoint CellAgent::Impl::AssignerContact(TimePoint now) const {
  TimePoint contact = std::max(epoch_seen_at_, grace_start_);
  const auto assigner = peers_.find(record_->assigner);
  if (assigner != peers_.end()) {
    contact = std::max(contact, IsMember() ? assigner->second.last_ack_sent
                                           : assigner->second.last_received);
  }
  for (const auto& [daemon, peer] : peers_) {
    if (now - peer.last_ack_sent <= suspicion_) {
      contact = std::max(contact, peer.assigner_contact);
    }
  }
  return contact;
}

bool CellAgent::Impl::MayActForCell(TimePoint now) const {
  if (IsMember()) {
    const std::size_t n = 2 * MembersInContact(now);
    const std::size_t all = record_->members.size();
    if (n > all || (n == all && IsAssigner())) {
      return true;
    }
  }
  return LeasesExpired(now);
}

bool CellAgent::Impl::LeasesExpired(TimePoint now) const {
  if (permit_.Valid(now)) {
    return false;
  }
  bool any_recent_reply = false;
  for (const auto& [server, lease] : leases_) {
    if (!lease.HasReply() || now - lease.contact_time() > suspicion_) {
      continue;
    }
    if (lease.Live()) {
      return false;
    }
    any_recent_reply = true;
  }
  return any_recent_reply || now - AssignerContact(now) > kNoServerElectionWait;
}

void CellAgent::Impl::ElectIfDue(TimePoint now) {
  if (!record_ || IsAssigner() || write_ || leaving_ || left_) {
    return;
  }
  const bool vacant = cell::FindMember(*record_, record_->assigner) == nullptr;
  const bool silent = now - AssignerContact(now) > suspicion_;
  if (!vacant && (!silent || !MayActForCell(now))) {
    elect_at_ = TimePoint::max();
    return;
  }
  if (elect_at_ == TimePoint::max()) {
    Duration wait = Jitter(kNonMemberElectionJitter);
    if (IsMember()) {
      const auto rank = std::count_if(
          record_->members.begin(), record_->members.end(),
          [&](const auto& it) {
            return it->daemon < self_ && it->daemon != record_->assigner &&
                   InContact(it->daemon, now);
          });
      wait = rank * kElectionStagger;
    }
    elect_at_ = now + wait;
  }
  if (now >= elect_at_ && now >= next_write_) {
    elect_at_ = now + cell::kMaxStoreRetry;
    ElectSelf(/*abdicated=*/false, now);
  }
}

void CellAgent::Impl::ElectSelf(bool abdicated, TimePoint now) {
  cell::PlanInput input = MakePlanInput(now);
  const auto assigner = peers_.find(record_->assigner);
  if (abdicated) {
    input.members_to_remove.clear();
    if (assigner != peers_.end() && assigner->second.leaving) {
      input.members_to_remove.insert(record_->assigner);
    }
  } else {
    input.members_to_remove.insert(record_->assigner);
  }
  input.may_remove_members = true;
  if (!IsMember()) {
    input.joiners.push_back(SelfAsMember());
  }
  Log("candidate", {{"epoch", std::to_string(record_->epoch + 1)},
                    {"abdicated", abdicated ? "true" : "false"}});
  Write(cell::MakeElection(*record_, input), version_, 0, now);
}

// If this assigner is leaving, or its store calls fail, asks the other members
// in turn to be elected in its place. Only its own calls may be failing.
void CellAgent::Impl::HandOver(TimePoint now) {
  if (!IsAssigner() || now < next_hand_over_) {
    return;
  }
  const bool failing = failing_since_ != TimePoint::max() &&
                       now - failing_since_ > kMaxStoreFailureTime;
  if (!leaving_ && !failing) {
    return;
  }
  std::vector<const stored::MemberT*> candidates;
  for (const auto& it : record_->members) {
    const auto peer = peers_.find(it->daemon);
    const bool eligible = it->daemon != self_ && InContact(it->daemon, now) &&
                          peer != peers_.end() && !peer->second.leaving;
    if (eligible) {
      candidates.push_back(it.get());
    }
  }
  next_hand_over_ = now + (leaving_ ? heartbeat_ : hand_over_wait_);
  hand_over_wait_ = std::min(2 * hand_over_wait_, kMaxHandOverWait);
  if (candidates.empty()) {
    return;
  }
  peer::StepDownRequestT message;
  message.epoch = record_->epoch;
  SendTo(*candidates[next_candidate_++ % candidates.size()], message);
}

bool CellAgent::Impl::AddProposal(cell::Proposal proposal, TimePoint now) {
  if (!IsAssigner()) {
    return false;
  }
  proposals_.push_back(std::move(proposal));
  plan_at_ = now;
  Step(now);
  return true;
}

bool CellAgent::Impl::ConfirmOldMembersGone(const std::string& actor,
                                            TimePoint now) {
  if (!IsAssigner()) {
    return false;
  }
  view_retirement_.ConfirmStopped(*record_, now);
  outbox_.audit.push_back(
      {actor, "old_members_gone", object_, "", "", "operator", version_});
  plan_at_ = now;
  Step(now);
  return true;
}

void CellAgent::Impl::PlanIfDue(TimePoint now) {
  if (!IsAssigner() || write_ || now < next_write_ || now < plan_at_) {
    return;
  }
  plan_at_ = now + kPlanInterval;
  for (const auto& it : record_->servers) {
    const TimePoint expiry = FencedLeaseExpiry(it->id);
    if (expiry > now) {
      plan_at_ = std::min(plan_at_, expiry);
    }
  }
  std::erase_if(joiners_, [&](const auto& it) {
    return joiner_until_[it.first] < now ||
           cell::FindMember(*record_, it.first) != nullptr;
  });
  const std::size_t proposals = proposals_.size();
  auto plan = cell::MakePlan(*record_, MakePlanInput(now));
  if (plan) {
    Write(std::move(*plan), version_, proposals, now);
    return;
  }
  if (!proposals_.empty()) {
    Log("wishes_without_effect", {{"count", std::to_string(proposals)}});
    proposals_.clear();
  }
}

cell::PlanInput CellAgent::Impl::MakePlanInput(TimePoint now) const {
  cell::PlanInput input;
  input.self = self_;
  input.may_remove_members = MayActForCell(now);
  input.may_fence = input.may_remove_members && permit_.Valid(now);
  for (const auto& it : record_->members) {
    const auto peer = peers_.find(it->daemon);
    const bool leaving = leavers_.contains(it->daemon) ||
                         (peer != peers_.end() && peer->second.leaving);
    if (it->daemon != self_ && (leaving || !InContact(it->daemon, now))) {
      input.members_to_remove.insert(it->daemon);
    }
  }
  for (const auto& [daemon, joiner] : joiners_) {
    input.joiners.push_back(joiner);
  }
  for (const auto& it : record_->previous_views) {
    if (view_retirement_.CanDelete(*record_, *it, now)) {
      input.droppable_views.insert(it->version);
    }
  }
  const bool most_silent = MostServersSilent(now);
  bool all_known = true;
  for (const auto& it : record_->servers) {
    const cell::ServerFacts facts = GetServerFacts(*it, most_silent, now);
    all_known = all_known && it->generation != 0 && facts.reachable;
    input.servers[it->id] = facts;
  }
  input.completed_moves = completed_moves_;
  input.listed_servers = listed_servers_;
  input.services = options_.services;
  input.ranges_per_server = options_.ranges_per_server;
  input.first_ranges = all_known || now - epoch_seen_at_ > kFirstRangesWait;
  input.proposals = proposals_;
  return input;
}

bool CellAgent::Impl::MostServersSilent(TimePoint now) const {
  const auto silent = std::count_if(
      record_->servers.begin(), record_->servers.end(), [&](const auto& it) {
        return it->generation != 0 &&
               it->state != stored::ServerState::Fenced &&
               now - std::max(LatestContact(it->id), grace_start_) > suspicion_;
      });
  return 2 * static_cast<std::size_t>(silent) > record_->servers.size();
}

cell::ServerFacts CellAgent::Impl::GetServerFacts(const stored::ServerT& server,
                                                  bool most_servers_silent,
                                                  TimePoint now) const {
  cell::ServerFacts facts;
  const Duration limit =
      suspicion_ +
      (most_servers_silent ? kMostServersSilentWait : Duration::zero());
  facts.silent = now - std::max(LatestContact(server.id), grace_start_) > limit;
  const auto lease = leases_.find(server.id);
  if (lease != leases_.end() && lease->second.HasReply()) {
    facts.reachable = now - lease->second.contact_time() <= suspicion_;
    facts.incarnation = lease->second.last_reply().incarnation;
    facts.draining = lease->second.last_reply().draining;
  }
  for (const auto& it : listed_servers_) {
    facts.draining =
        facts.draining || (it.leaving && it.id.value() == server.id);
  }
  facts.leases_expired = FencedLeaseExpiry(server.id) <= now;
  return facts;
}

TimePoint CellAgent::Impl::FencedLeaseExpiry(const std::string& server) const {
  const auto members = fences_.MemberLeaseExpiry(*record_, server);
  const auto removed = view_retirement_.RemovedMemberLeaseExpiry(*record_);
  if (!members || !removed) {
    return TimePoint::max();
  }
  return std::max(*members, *removed);
}

}  // namespace gentianreach
