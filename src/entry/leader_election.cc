#include "entry/leader_election.h"

#include <algorithm>
#include <utility>

namespace gentianreach::entry {

LeaderElection::LeaderElection(Member self, ElectionOptions options)
    : self_(std::move(self)),
      options_(options),
      retry_delay_(options.first_retry_delay) {}

bool LeaderElection::IsSelf(const Member& member) const {
  return member.name == self_.name && member.incarnation == self_.incarnation;
}

bool LeaderElection::IsLeader(TimePoint now) const {
  return record_known_ && IsSelf(record_.leader) && !resigning_ &&
         now < verified_at_ + options_.leader_lease;
}

std::optional<ElectionCall> LeaderElection::Poll(TimePoint now) {
  if (in_flight_ || now < next_call_ || resigned_) {
    return std::nullopt;
  }
  std::optional<ElectionCall> call;
  if (unreadable_revision_ != 0 && !resigning_) {
    if (now >= ReplaceUnreadableTime()) {
      call = ReplaceUnreadable();
    }
  } else if (!record_known_) {
    if (!record_absent_) {
      call = ElectionCall{.kind = ElectionCall::Kind::kRead};
    } else if (!resigning_) {
      call = CreateRecord();
    }
  } else if (IsSelf(record_.leader)) {
    if (resigning_) {
      call = Rewrite({}, now);
    } else if (must_verify_ || now >= verified_at_ + options_.verify_period) {
      // Succeeds only if no other daemon has replaced the record.
      call = Rewrite(record_.leader, now);
    }
  } else if (resigning_) {
    resigned_ = true;
  } else if (takeover_due_ || record_.leader.name.empty() ||
             record_.leader.name == self_.name) {
    // The leader has to be replaced, there is none, or the record names an
    // earlier incarnation of this daemon.
    call = TakeOver(now);
  } else if (must_verify_ || now >= ReadTime()) {
    read_since_last_seen_ = true;
    call = ElectionCall{.kind = ElectionCall::Kind::kRead};
  }
  if (call) {
    in_flight_ = call;
    term_heard_in_flight_ = false;
    sent_at_ = now;
  }
  return call;
}

TimePoint LeaderElection::TakeoverTime() const {
  return leader_last_seen_ + options_.leader_timeout +
         rank_ * options_.rank_delay;
}

TimePoint LeaderElection::ReadTime() const {
  if (read_since_last_seen_) {
    return TakeoverTime();
  }
  return std::min(TakeoverTime(), leader_last_seen_ + options_.leader_timeout +
                                      options_.read_delay +
                                      rank_ * options_.read_rank_delay);
}

ElectionCall LeaderElection::TakeOver(TimePoint now) const {
  LeaderRecord next{LatestEpoch().Next(), self_};
  // Once the known term has lasted for a lease, no leader before it acts.
  if (now < term_known_since_ + options_.leader_lease) {
    next.earlier_leaders = record_.earlier_leaders;
  }
  // Earlier incarnations of the replaced leader and of this daemon have ended,
  // and a daemon does not wait for earlier terms of its own.
  std::erase_if(next.earlier_leaders, [&](const Member& it) {
    return !it.name.empty() &&
           (it.name == record_.leader.name || it.name == self_.name);
  });
  if (!record_.leader.name.empty() && record_.leader.name != self_.name) {
    next.earlier_leaders.push_back(record_.leader);
  }
  if (record_.epoch < LatestEpoch()) {
    // The store has lost a later record, and its leader may still act.
    next.earlier_leaders.push_back(Member{});
  }
  return {.kind = ElectionCall::Kind::kReplace,
          .record = std::move(next),
          .revision = revision_};
}

Epoch LeaderElection::LatestEpoch() const {
  return std::max(record_.epoch, latest_known_epoch_);
}

ElectionCall LeaderElection::CreateRecord() const {
  LeaderRecord first{LatestEpoch().Next(), self_};
  if (LatestEpoch() != Epoch()) {
    // The store has lost a record, and its leader may still act.
    first.earlier_leaders = {Member{}};
  }
  return {.kind = ElectionCall::Kind::kCreate, .record = std::move(first)};
}

TimePoint LeaderElection::ReplaceUnreadableTime() const {
  if (!knows_leader()) {
    // A leader may be heard of before that, and replaces the record itself.
    return unreadable_since_ + options_.leader_timeout;
  }
  return IsSelf(record_.leader) || leader_unfit_ ? unreadable_since_
                                                 : TakeoverTime();
}

ElectionCall LeaderElection::ReplaceUnreadable() const {
  // Each term costs at least one revision, so no record before this revision
  // can have had a later epoch.
  const Epoch latest = std::max(LatestEpoch(), Epoch(unreadable_revision_));
  LeaderRecord next{latest.Next(), self_, {Member{}}};
  // The leader is named, too, so that it is told of its replacement.
  if (knows_leader() && record_.leader.name != self_.name) {
    next.earlier_leaders.push_back(record_.leader);
  }
  return {.kind = ElectionCall::Kind::kReplace,
          .record = std::move(next),
          .revision = unreadable_revision_,
          .replaces_unreadable = true};
}

ElectionCall LeaderElection::Rewrite(const Member& leader,
                                     TimePoint now) const {
  LeaderRecord record{record_.epoch, leader};
  if (now < previous_leader_until_) {
    record.earlier_leaders = replaced_leaders_;
  }
  return {.kind = ElectionCall::Kind::kReplace,
          .record = std::move(record),
          .revision = revision_};
}

void LeaderElection::OnReply(ElectionOutcome outcome,
                             const std::optional<LeaderRecord>& record,
                             std::uint64_t revision,
                             TimePoint now) {
  const auto call = std::exchange(in_flight_, std::nullopt);
  if (!call) {
    return;
  }
  const bool doubt_after_call = std::exchange(doubt_after_call_, false);
  if (outcome == ElectionOutcome::kUnreadable) {
    OnUnreadable(revision, now);
    return;
  }
  if (outcome == ElectionOutcome::kUnavailable ||
      outcome == ElectionOutcome::kUnknown) {
    if (outcome == ElectionOutcome::kUnknown) {
      // The write may have taken effect, so the record is checked first.
      record_known_ = record_known_ && IsSelf(record_.leader);
      unreadable_revision_ = 0;
      must_verify_ = true;
    }
    DelayNextCall(now);
    return;
  }
  retry_delay_ = options_.first_retry_delay;
  unreadable_revision_ = 0;
  if (outcome == ElectionOutcome::kAbsent) {
    record_absent_ = true;
    record_known_ = false;
    return;
  }
  if (!record) {
    // A conflict without the current record.
    record_known_ = false;
    record_absent_ = false;
    return;
  }
  if (term_heard_in_flight_ && record->epoch < record_.epoch) {
    // The store may have the later term by now.
    must_verify_ = true;
    return;
  }
  const bool was_known = record_known_;
  const LeaderRecord previous = record_;
  const bool was_leader = was_known && IsSelf(previous.leader);
  const bool unchanged_read = call->kind == ElectionCall::Kind::kRead &&
                              was_known && record->IsSameTerm(previous) &&
                              !IsSelf(record->leader);
  Adopt(*record, revision, now);
  if (IsSelf(record_.leader)) {
    if (!was_leader || !record_.IsSameTerm(previous)) {
      // The leases of previous leaders count from calls that were sent before
      // this one took effect.
      replaced_leaders_ = record_.earlier_leaders;
      previous_leader_until_ =
          replaced_leaders_.empty() ? now : now + options_.leader_lease;
      leader_unfit_ = false;
    } else if (now >= previous_leader_until_) {
      replaced_leaders_.clear();
    }
    verified_at_ = sent_at_;
    if (doubt_after_call) {
      term_in_doubt_ = true;
      must_verify_ = true;
    } else if (record_.epoch < latest_known_epoch_) {
      // The record was deleted, or put back to an earlier content.
      unreadable_revision_ = revision_;
      unreadable_since_ = now;
    }
    return;
  }
  if (resigning_ && was_leader) {
    resigned_ = true;
  }
  takeover_due_ = unchanged_read && (std::exchange(leader_unfit_, false) ||
                                     now >= TakeoverTime());
  if (!unchanged_read) {
    leader_unfit_ = false;
    // Give the new leader the whole timeout for its first heartbeat.
    leader_last_seen_ = now;
    read_since_last_seen_ = false;
  }
}

void LeaderElection::OnUnreadable(std::uint64_t revision, TimePoint now) {
  if (resigning_) {
    resigned_ = true;
    return;
  }
  if (std::exchange(unreadable_revision_, revision) == 0) {
    unreadable_since_ = now;
    return;
  }
  // The write that was to replace the record has not made it readable.
  DelayNextCall(now);
}

void LeaderElection::DelayNextCall(TimePoint now) {
  next_call_ = now + retry_delay_;
  retry_delay_ =
      std::min<Duration>(retry_delay_ * 2, options_.longest_retry_delay);
}

void LeaderElection::Adopt(const LeaderRecord& record,
                           std::uint64_t revision,
                           TimePoint now) {
  if (!record_known_ || !record.IsSameTerm(record_)) {
    term_known_since_ = now;
  }
  latest_known_epoch_ = LatestEpoch();
  record_ = record;
  revision_ = revision;
  record_known_ = true;
  record_absent_ = false;
  unreadable_revision_ = 0;
  must_verify_ = false;
  term_in_doubt_ = false;
  takeover_due_ = false;
}

void LeaderElection::AdoptHeard(const LeaderRecord& record, TimePoint now) {
  // The record's revision is not known, so nothing is written on its basis
  // before the store has been read again.
  Adopt(record, 0, now);
  term_heard_in_flight_ = in_flight_.has_value();
}

void LeaderElection::OnLeaderHeartbeat(const LeaderRecord& record,
                                       std::uint32_t rank,
                                       TimePoint now) {
  if (record_known_ && record.epoch < record_.epoch) {
    return;
  }
  if (!record_known_ || record.epoch > record_.epoch) {
    AdoptHeard(record, now);
  }
  leader_last_seen_ = now;
  rank_ = rank;
  read_since_last_seen_ = false;
}

void LeaderElection::OnHint(const LeaderRecord& record, TimePoint now) {
  if (record.leader.name == self_.name ||
      (knows_leader() && record.epoch <= record_.epoch)) {
    return;
  }
  AdoptHeard(record, now);
  leader_last_seen_ = now;
  read_since_last_seen_ = false;
}

void LeaderElection::OnLeaderUnfit(TimePoint now) {
  if (!record_known_ || IsSelf(record_.leader) || leader_unfit_ ||
      takeover_due_) {
    return;
  }
  leader_unfit_ = true;
  OnNewerEpochSeen(now);
}

void LeaderElection::OnLeaderResigned(TimePoint now) {
  must_verify_ = true;
  next_call_ = now + rank_ * options_.resign_delay;
}

void LeaderElection::OnNewerEpochSeen(TimePoint now) {
  must_verify_ = true;
  next_call_ = std::min(next_call_, now);
}

void LeaderElection::OnStoredEpoch(Epoch epoch, TimePoint now) {
  if (!record_known_ || epoch <= record_.epoch) {
    return;
  }
  term_in_doubt_ = true;
  latest_known_epoch_ = std::max(latest_known_epoch_, epoch);
  doubt_after_call_ = in_flight_.has_value();
  OnNewerEpochSeen(now);
}

void LeaderElection::OnFollowerMessage(const std::string& name,
                                       Epoch epoch,
                                       TimePoint now) {
  const auto removed = std::erase_if(replaced_leaders_, [&](const Member& it) {
    return name == it.name && epoch == record_.epoch;
  });
  if (removed > 0 && replaced_leaders_.empty()) {
    previous_leader_until_ = std::min(previous_leader_until_, now);
  }
}

}  // namespace gentianreach::entry
