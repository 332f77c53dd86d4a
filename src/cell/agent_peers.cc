#include <algorithm>
#include <limits>
#include <utility>

#include "cell/agent_impl.h"
#include "cell/agent_times.h"
#include "cell/stretch.h"

namespace gentianreach {

using cell::kJoinerLifetime;
using cell::kLeaveTimeout;
using cell::kRecordRequestInterval;

namespace {

constexpr std::uint64_t kNoAge = std::numeric_limits<std::uint64_t>::max();

// Returns the age of `at` in whole milliseconds, rounded down, or `kNoAge` if
// there is none.
std::uint64_t AgeMs(TimePoint at, TimePoint now) {
  if (at == TimePoint::min()) {
    return kNoAge;
  }
  const auto age =
      std::chrono::floor<std::chrono::milliseconds>(std::max(now - at, {}));
  return static_cast<std::uint64_t>(age.count());
}

// Returns the time point of the given age, or TimePoint::min() if the age is
// too large to represent.
TimePoint AtAge(std::uint64_t age_ms, TimePoint now) {
  constexpr std::uint64_t kGreatestAgeMs = 1'000'000'000'000;
  if (age_ms > kGreatestAgeMs) {
    return TimePoint::min();
  }
  return now - std::chrono::milliseconds(age_ms);
}

}  // namespace

void CellAgent::Impl::SendTo(const std::string& daemon,
                             const std::string& address,
                             peer::MessageUnion message) {
  outbox_.sends.push_back({DaemonId(daemon), address, std::move(message)});
}

stored::MemberT CellAgent::Impl::SelfAsMember() const {
  stored::MemberT member;
  member.daemon = self_;
  member.peer_address = options_.peer_address;
  member.zone = options_.zone.value();
  return member;
}

void CellAgent::Impl::OnPeer(const std::string& from,
                             const peer::MessageUnion& message,
                             TimePoint now) {
  if (!started_ || from == self_) {
    return;
  }
  peers_[from].last_received = now;
  last_contact_ = now;
  if (const auto* const it = message.AsHeartbeat()) {
    Handle(from, *it, now);
  } else if (const auto* const it = message.AsHeartbeatAck()) {
    Handle(from, *it, now);
  } else if (const auto* const it = message.AsRecordUpdate()) {
    Handle(from, *it, now);
  } else if (const auto* const it = message.AsRecordRequest()) {
    Handle(from, *it, now);
  } else if (const auto* const it = message.AsJoinRequest()) {
    Handle(from, *it, now);
  } else if (const auto* const it = message.AsLeaveRequest()) {
    Handle(from, *it, now);
  } else if (const auto* const it = message.AsStepDownRequest()) {
    Handle(from, *it, now);
  } else if (const auto* const it = message.AsDrainRequest()) {
    Handle(from, *it, now);
  }
  Step(now);
}

// Drops the state of daemons that are no longer members and adds new members.
void CellAgent::Impl::UpdatePeers(TimePoint now) {
  std::map<std::string, Peer> kept;
  for (const auto& it : record_->members) {
    const auto known = peers_.find(it->daemon);
    Peer& peer = kept[it->daemon];
    peer = known == peers_.end() ? Peer{} : known->second;
    if (peer.first_seen == TimePoint::min()) {
      peer.first_seen = now;
    }
  }
  peers_ = std::move(kept);
  std::erase_if(leavers_, [this](const auto& it) {
    return cell::FindMember(*record_, it) == nullptr;
  });
}

void CellAgent::Impl::AnnounceAdoption(bool was_member,
                                       bool new_view,
                                       TimePoint now) {
  ReportOwnFences(now);
  const bool member = IsMember();
  if (new_view && (member || was_member)) {
    // Collects acknowledgements for the new view. A removed member sends its
    // heartbeat to report that it knows the new view.
    next_heartbeat_ = now;
    SendHeartbeats(now, /*leaver=*/!member);
    return;
  }
  const auto* const assigner = cell::FindMember(*record_, record_->assigner);
  if (member && assigner != nullptr && !IsAssigner()) {
    permit_.OnSent(++heartbeat_seq_, now);
    SendHeartbeat(*assigner, heartbeat_seq_, now);
  }
}

void CellAgent::Impl::SendHeartbeats(TimePoint now, bool leaver) {
  if (now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now + heartbeat_;
  if (!record_ || (!leaver && !IsMember())) {
    return;
  }
  permit_.OnSent(++heartbeat_seq_, now);
  for (const auto& it : record_->members) {
    if (it->daemon != self_) {
      SendHeartbeat(*it, heartbeat_seq_, now);
    }
  }
}

void CellAgent::Impl::SendHeartbeat(const stored::MemberT& to,
                                    std::uint64_t seq,
                                    TimePoint now) {
  peer::HeartbeatT message;
  message.seq = seq;
  message.view = record_->view;
  message.epoch = record_->epoch;
  message.record = version_.value();
  message.store_age_ms = AgeMs(permit_.store_contact(), now);
  message.contacts = ServerContacts(now);
  message.leaving = leaving_;
  const auto assigner = peers_.find(record_->assigner);
  message.assigner_age_ms = assigner == peers_.end()
                                ? kNoAge
                                : AgeMs(assigner->second.last_ack_sent, now);
  if (IsAssigner()) {
    message.completed_moves.assign(completed_moves_.begin(),
                                   completed_moves_.end());
  }
  SendTo(to, std::move(message));
}

void CellAgent::Impl::PushIfDue(TimePoint now) {
  if (push_at_ == TimePoint::max() || (now < push_at_ && GrantsMissing())) {
    return;
  }
  push_at_ = TimePoint::max();
  PushRecord();
}

void CellAgent::Impl::PushRecord() {
  for (const auto& it : record_->members) {
    if (it->daemon != self_) {
      SendRecord(*it);
    }
  }
  for (const auto& it : departed_) {
    SendRecord(it);
  }
  departed_.clear();
}

void CellAgent::Impl::SendRecord(const stored::MemberT& to) {
  peer::RecordUpdateT message;
  message.version = version_.value();
  message.record = record_bytes_;
  SendTo(to, std::move(message));
}

void CellAgent::Impl::RequestRecord(const std::string& from, TimePoint now) {
  const auto* const member =
      record_ ? cell::FindMember(*record_, from) : nullptr;
  if (member == nullptr || now < next_record_request_) {
    return;
  }
  next_record_request_ = now + kRecordRequestInterval;
  peer::RecordRequestT message;
  message.have = version_.value();
  SendTo(*member, message);
}

void CellAgent::Impl::Acknowledge(const std::string& from,
                                  std::uint64_t seq,
                                  bool accepted,
                                  TimePoint now) {
  peer::HeartbeatAckT message;
  message.seq = seq;
  message.accepted = accepted;
  message.view = record_->view;
  message.epoch = record_->epoch;
  message.record = version_.value();
  message.store_age_ms = AgeMs(permit_.store_contact(), now);
  peer::MessageUnion u;
  u.Set(message);
  const auto* const member = cell::FindMember(*record_, from);
  SendTo(from, member == nullptr ? "" : member->peer_address, std::move(u));
}

void CellAgent::Impl::Handle(const std::string& from,
                             const peer::HeartbeatT& message,
                             TimePoint now) {
  if (!record_) {
    return;
  }
  view_retirement_.OnDaemonView(*record_, from, message.view, now);
  const bool listed = cell::FindMember(*record_, from) != nullptr;
  const bool accepted = listed && IsMember() && message.view == record_->view;
  Acknowledge(from, message.seq, accepted, now);
  if (listed) {
    Peer& peer = peers_[from];
    peer.record = std::max(peer.record, ObjectVersion(message.record));
    peer.leaving = message.leaving;
    peer.assigner_contact =
        std::max(peer.assigner_contact, AtAge(message.assigner_age_ms, now));
    UpdateServerContacts(from, message, now);
  }
  if (from == record_->assigner && message.epoch == record_->epoch &&
      !IsAssigner()) {
    routes_.SetCompletedMoves(
        {message.completed_moves.begin(), message.completed_moves.end()});
  }
  if (message.record > version_.value()) {
    RequestRecord(from, now);
  }
}

void CellAgent::Impl::UpdateServerContacts(const std::string& from,
                                           const peer::HeartbeatT& message,
                                           TimePoint now) {
  std::map<std::string, const peer::ServerContactT*> contacts;
  for (const auto& it : message.contacts) {
    contacts[it->server] = it.get();
    const auto known = relayed_contact_.find(it->server);
    if (known == relayed_contact_.end()) {
      continue;
    }
    known->second = std::max(known->second, AtAge(it->age_ms, now));
    const auto* const server = routes_.Server(it->server);
    if (IsAssigner() && server->generation != it->generation) {
      // The server may have restarted: contact it directly to check.
      leases_[it->server].next_order = now;
      next_orders_ = now;
      inconsistent_servers_.insert(it->server);
    }
  }
  for (const auto& it : record_->servers) {
    if (it->state != stored::ServerState::Fenced ||
        !fences_.AwaitsReport(it->id, from)) {
      continue;
    }
    const auto contact = contacts.find(it->id);
    TimePoint base = TimePoint::min();
    if (contact != contacts.end() &&
        contact->second->renewal_age_ms != kNoAge) {
      const auto age =
          std::chrono::milliseconds(contact->second->renewal_age_ms);
      base = now - cell::Shrink(age, drift_);
    }
    fences_.OnReport(from, ObjectVersion(message.record), it->id, base, now);
    plan_at_ = now;
  }
}

void CellAgent::Impl::UpdateStoreContact(std::uint64_t age_ms, TimePoint at) {
  if (age_ms == kNoAge) {
    return;
  }
  const Duration age = std::chrono::milliseconds(age_ms + 1);
  permit_.OnStoreContact(at - cell::Stretch(age, drift_));
}

void CellAgent::Impl::Handle(const std::string& from,
                             const peer::HeartbeatAckT& message,
                             TimePoint now) {
  const TimePoint sent = permit_.SentAt(message.seq);
  if (!record_ || sent == TimePoint::min() ||
      cell::FindMember(*record_, from) == nullptr) {
    return;
  }
  Peer& peer = peers_[from];
  peer.last_ack_sent = std::max(peer.last_ack_sent, sent);
  peer.record = std::max(peer.record, ObjectVersion(message.record));
  view_retirement_.OnDaemonView(*record_, from, message.view, now);
  // The heartbeat was sent before the peer computed the age, so counting back
  // from the send time never makes the store contact too recent.
  UpdateStoreContact(message.store_age_ms, sent);
  if (message.accepted && message.view == record_->view) {
    permit_.OnAccepted(from, ViewVersion(message.view), message.seq);
    non_member_reads_ = 0;
  }
  if (message.record > version_.value()) {
    RequestRecord(from, now);
  }
}

void CellAgent::Impl::Handle(const std::string& /*from*/,
                             const peer::RecordUpdateT& message,
                             TimePoint now) {
  if (!record_ || message.version <= version_.value()) {
    // A daemon without a record must read the store first, so that an outdated
    // record cannot return it to a view that it has left.
    return;
  }
  auto record = cell::ParseRecord(message.record);
  if (!record || record->cell != options_.cell) {
    Log("record_malformed", {{"version", std::to_string(message.version)}});
    return;
  }
  Adopt(std::make_shared<const cell::Record>(std::move(*record)),
        message.record, ObjectVersion(message.version), now);
}

void CellAgent::Impl::Handle(const std::string& from,
                             const peer::RecordRequestT& message,
                             TimePoint /*now*/) {
  if (!record_ || message.have >= version_.value()) {
    return;
  }
  peer::RecordUpdateT update;
  update.version = version_.value();
  update.record = record_bytes_;
  peer::MessageUnion u;
  u.Set(std::move(update));
  const auto* const member = cell::FindMember(*record_, from);
  SendTo(from, member == nullptr ? "" : member->peer_address, std::move(u));
}

void CellAgent::Impl::Handle(const std::string& from,
                             const peer::JoinRequestT& message,
                             TimePoint now) {
  if (!IsAssigner()) {
    return;
  }
  if (cell::FindMember(*record_, from) != nullptr) {
    peer::RecordRequestT request;
    Handle(from, request, now);
    return;
  }
  stored::MemberT& joiner = joiners_[from];
  joiner.daemon = from;
  joiner.peer_address = message.peer_address;
  joiner.zone = message.zone;
  joiner_until_[from] = now + kJoinerLifetime;
  plan_at_ = now;
  peer::HeartbeatAckT ack;
  ack.view = record_->view;
  ack.epoch = record_->epoch;
  ack.record = version_.value();
  ack.store_age_ms = kNoAge;
  peer::MessageUnion u;
  u.Set(ack);
  SendTo(from, message.peer_address, std::move(u));
}

void CellAgent::Impl::Handle(const std::string& from,
                             const peer::LeaveRequestT& /*message*/,
                             TimePoint now) {
  if (!IsAssigner()) {
    return;
  }
  if (cell::FindMember(*record_, from) == nullptr) {
    peer::RecordRequestT request;
    Handle(from, request, now);
    return;
  }
  leavers_.insert(from);
  plan_at_ = now;
}

void CellAgent::Impl::Handle(const std::string& from,
                             const peer::StepDownRequestT& message,
                             TimePoint now) {
  if (!IsMember() || leaving_ || from != record_->assigner ||
      message.epoch != record_->epoch || write_) {
    return;
  }
  ElectSelf(/*abdicated=*/true, now);
}

void CellAgent::Impl::Handle(const std::string& /*from*/,
                             const peer::DrainRequestT& message,
                             TimePoint now) {
  if (IsAssigner()) {
    Drain({message.server, message.drain, message.actor}, now);
  }
}

void CellAgent::Impl::Drain(const cell::ProposedDrain& proposal,
                            TimePoint now) {
  if (IsAssigner()) {
    AddProposal(proposal, now);
    return;
  }
  const auto* const assigner =
      record_ ? cell::FindMember(*record_, record_->assigner) : nullptr;
  if (assigner == nullptr) {
    return;
  }
  peer::DrainRequestT message;
  message.server = proposal.server;
  message.drain = proposal.drain;
  message.actor = proposal.actor;
  SendTo(*assigner, std::move(message));
}

void CellAgent::Impl::JoinIfDue(TimePoint now) {
  if (!record_ || leaving_ || left_ || IsMember() || now < next_join_) {
    return;
  }
  next_join_ = now + heartbeat_;
  const auto* const assigner = cell::FindMember(*record_, record_->assigner);
  if (assigner == nullptr) {
    return;
  }
  peer::JoinRequestT message;
  message.peer_address = options_.peer_address;
  message.zone = options_.zone.value();
  SendTo(*assigner, std::move(message));
}

void CellAgent::Impl::Leave(TimePoint now) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  leave_by_ = now + kLeaveTimeout;
  next_heartbeat_ = now;
  Step(now);
}

void CellAgent::Impl::LeaveIfDue(TimePoint now) {
  if (!leaving_ || left_) {
    return;
  }
  if (!IsMember() || now >= leave_by_) {
    permit_.Revoke();
    left_ = true;
    return;
  }
  if (IsAssigner() || now < next_join_) {
    return;
  }
  next_join_ = now + heartbeat_;
  const auto* const assigner = cell::FindMember(*record_, record_->assigner);
  if (assigner != nullptr) {
    SendTo(*assigner, peer::LeaveRequestT());
  }
}

}  // namespace gentianreach
