#include "entry/leader_election.h"

#include <algorithm>
#include <utility>

namespace gentianreach::entry {

LeaderElection::LeaderElection(Member self, ElectionOptions options)
    : self_(std::move(self)), options_(options), pause_(options.first_pause) {}

bool LeaderElection::IsSelf(const Member& member) const {
  return member.name == self_.name && member.incarnation == self_.incarnation;
}

bool LeaderElection::IsLeader(TimePoint now) const {
  return known_ && IsSelf(record_.leader) && !resigning_ &&
         now < verified_at_ + options_.authority;
}

std::optional<ElectionCall> LeaderElection::Poll(TimePoint now) {
  if (in_flight_ || now < next_call_ || resigned_) {
    return std::nullopt;
  }
  std::optional<ElectionCall> call;
  if (!known_) {
    if (!absent_) {
      call = ElectionCall{.kind = ElectionCall::Kind::kRead};
    } else if (!resigning_) {
      call = ElectionCall{.kind = ElectionCall::Kind::kCreate,
                          .record = {Epoch(1), self_}};
    }
  } else if (IsSelf(record_.leader)) {
    if (resigning_) {
      call = ElectionCall{.kind = ElectionCall::Kind::kReplace,
                          .record = {record_.epoch, {}},
                          .revision = revision_};
    } else if (doubted_ || now >= verified_at_ + options_.verify_period) {
      // The same content: the store only confirms that nobody has replaced it.
      call = ElectionCall{.kind = ElectionCall::Kind::kReplace,
                          .record = record_,
                          .revision = revision_};
    }
  } else if (resigning_) {
    resigned_ = true;
  } else if (suspected_ || record_.leader.name.empty() ||
             record_.leader.name == self_.name) {
    // The leader is silent, nobody leads, or an earlier incarnation of this
    // daemon did.
    call = TakeOver();
  } else if (doubted_ || now >= LookTime()) {
    looked_ = true;
    call = ElectionCall{.kind = ElectionCall::Kind::kRead};
  }
  if (call) {
    in_flight_ = call;
    sent_at_ = now;
  }
  return call;
}

TimePoint LeaderElection::Turn() const {
  return heard_at_ + options_.silence + rank_ * options_.rank_delay;
}

TimePoint LeaderElection::LookTime() const {
  if (looked_) {
    return Turn();
  }
  return std::min(Turn(), heard_at_ + options_.silence + options_.look_delay +
                              rank_ * options_.look_rank_delay);
}

ElectionCall LeaderElection::TakeOver() {
  former_ = record_.leader;
  return {.kind = ElectionCall::Kind::kReplace,
          .record = {record_.epoch.Next(), self_},
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
  if (outcome == ElectionOutcome::kUnavailable ||
      outcome == ElectionOutcome::kUnknown) {
    if (outcome == ElectionOutcome::kUnknown) {
      // The write may have taken effect: read before anything else.
      known_ = known_ && IsSelf(record_.leader);
      doubted_ = true;
    }
    next_call_ = now + pause_;
    pause_ = std::min<Duration>(pause_ * 2, options_.longest_pause);
    return;
  }
  pause_ = options_.first_pause;
  if (outcome == ElectionOutcome::kAbsent) {
    absent_ = true;
    known_ = false;
    return;
  }
  if (!record) {
    // A conflict that does not say with what.
    known_ = false;
    absent_ = false;
    return;
  }
  const bool was_known = known_;
  const LeaderRecord before = record_;
  const bool led = was_known && IsSelf(before.leader);
  const bool read_same = call->kind == ElectionCall::Kind::kRead && was_known &&
                         *record == before && !IsSelf(record->leader);
  Adopt(*record, revision, now);
  if (IsSelf(record_.leader)) {
    if (!led) {
      // The leader before acts on proof that it asked for before this call was
      // carried out. An earlier incarnation of this daemon has ended.
      const bool ended = former_.name.empty() || former_.name == self_.name;
      previous_leader_until_ = ended ? now : now + options_.authority;
    }
    verified_at_ = sent_at_;
    return;
  }
  if (resigning_ && led) {
    resigned_ = true;
  }
  suspected_ = read_same && (std::exchange(unfit_, false) || now >= Turn());
  if (!read_same) {
    unfit_ = false;
    // Give a leader that is new here the time to be heard.
    heard_at_ = now;
    looked_ = false;
  }
}

void LeaderElection::Adopt(const LeaderRecord& record,
                           std::uint64_t revision,
                           TimePoint /*now*/) {
  record_ = record;
  revision_ = revision;
  known_ = true;
  absent_ = false;
  doubted_ = false;
  suspected_ = false;
}

void LeaderElection::OnLeaderHeard(const LeaderRecord& record,
                                   std::uint32_t rank,
                                   TimePoint now) {
  if (known_ && record.epoch < record_.epoch) {
    return;
  }
  if (!known_ || record.epoch > record_.epoch) {
    // No write is made under this record before the store was read again.
    Adopt(record, 0, now);
  }
  heard_at_ = now;
  rank_ = rank;
  looked_ = false;
}

void LeaderElection::OnHint(const LeaderRecord& record, TimePoint now) {
  if (record.leader.name == self_.name ||
      (knows_leader() && record.epoch <= record_.epoch)) {
    return;
  }
  Adopt(record, 0, now);
  heard_at_ = now;
  looked_ = false;
}

void LeaderElection::OnLeaderUnfit(TimePoint now) {
  if (!known_ || IsSelf(record_.leader) || unfit_ || suspected_) {
    return;
  }
  unfit_ = true;
  OnNewerEpochSeen(now);
}

void LeaderElection::OnLeaderResigned(TimePoint now) {
  doubted_ = true;
  next_call_ = now + rank_ * options_.resign_delay;
}

void LeaderElection::OnNewerEpochSeen(TimePoint now) {
  doubted_ = true;
  next_call_ = std::min(next_call_, now);
}

void LeaderElection::OnFollower(const std::string& name,
                                Incarnation incarnation,
                                Epoch epoch,
                                TimePoint now) {
  if (name == former_.name &&
      (incarnation != former_.incarnation || epoch == record_.epoch)) {
    former_ = {};
    previous_leader_until_ = std::min(previous_leader_until_, now);
  }
}

}  // namespace gentianreach::entry
