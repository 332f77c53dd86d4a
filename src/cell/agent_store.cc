#include <algorithm>
#include <utility>

#include "cell/agent_impl.h"
#include "cell/agent_times.h"
#include "gentianreach/check.h"

namespace gentianreach {

using cell::kAssignerReadInterval;
using cell::kCreateJitter;
using cell::kFirstStoreRetry;
using cell::kMaxNonMemberReadDelay;
using cell::kMaxPushDelay;
using cell::kMaxStoreRetry;
using cell::kNonMemberReadDelay;

namespace {

// The platform's store accepts objects of up to 1 MiB.
constexpr std::size_t kMaxObjectBytes = 1 << 20;
constexpr std::uint32_t kMaxBackoffSteps = 16;

Duration Backoff(Duration first, Duration greatest, std::uint32_t steps) {
  return std::min(greatest, first * (1 << std::min(steps, kMaxBackoffSteps)));
}

}  // namespace

bool CellAgent::Impl::WantsRead(TimePoint now) const {
  if (!record_ || !IsMember() || IsAssigner()) {
    return true;
  }
  return (write_ && write_->unknown_since) ||
         (now - AssignerContact(now) > suspicion_ && !MayActForCell(now));
}

void CellAgent::Impl::ReadIfDue(TimePoint now) {
  if (read_ || left_ || now < next_read_ || !WantsRead(now)) {
    return;
  }
  ReadRecord(now);
}

void CellAgent::Impl::ReadRecord(TimePoint now) {
  read_ = PendingRead{NextCallId(), now};
  outbox_.reads.push_back({read_->call_id, object_});
}

void CellAgent::Impl::OnStoreRead(std::uint64_t call_id,
                                  const StoreReadResult& result,
                                  TimePoint now) {
  if (!read_ || read_->call_id != call_id) {
    return;
  }
  const TimePoint began = read_->began;
  read_.reset();
  if (result.status == ReadStatus::kFailed) {
    OnStoreFailure(now);
  } else if (result.status == ReadStatus::kAbsent) {
    OnAbsent(now);
  } else {
    OnFound(result, began, now);
  }
  Step(now);
}

void CellAgent::Impl::OnAbsent(TimePoint now) {
  next_read_ = now + kNonMemberReadDelay;
  if (write_ && write_->unknown_since) {
    write_.reset();
  }
  if (record_) {
    // No daemon deletes a record, so this needs an operator's attention.
    Log("record_absent");
    return;
  }
  if (create_at_ == TimePoint::max()) {
    create_at_ = now + Jitter(kCreateJitter);
  }
}

void CellAgent::Impl::OnFound(const StoreReadResult& result,
                              TimePoint began,
                              TimePoint now) {
  auto record = cell::ParseRecord(result.bytes);
  if (!record) {
    Log("record_malformed",
        {{"version", std::to_string(result.version.value())}});
    next_read_ = now + kMaxStoreRetry;
    return;
  }
  OnStoreSuccess(began);
  create_at_ = TimePoint::max();
  if (write_ && write_->unknown_since && began >= *write_->unknown_since) {
    const bool ours = record->write_id == write_->record->write_id;
    Log("lost_answer", {{"ours", ours ? "true" : "false"}});
    if (ours) {
      FinishWrite(result.version, now);
    } else {
      write_.reset();
    }
  }
  Adopt(std::make_shared<const cell::Record>(std::move(*record)), result.bytes,
        result.version, now);
  if (write_ && write_->unknown_since) {
    next_read_ = now;
    return;
  }
  if (IsAssigner()) {
    next_read_ = now + kAssignerReadInterval;
    return;
  }
  const Duration wait =
      Backoff(kNonMemberReadDelay, kMaxNonMemberReadDelay, non_member_reads_++);
  next_read_ = now + wait + Jitter(wait);
}

void CellAgent::Impl::OnStoreSuccess(TimePoint began) {
  permit_.OnStoreContact(began);
  failing_since_ = TimePoint::max();
  failures_ = 0;
  hand_over_wait_ = cell::kFirstHandOverWait;
}

void CellAgent::Impl::OnStoreFailure(TimePoint now) {
  failing_since_ = std::min(failing_since_, now);
  const Duration wait = Backoff(kFirstStoreRetry, kMaxStoreRetry, failures_++);
  next_write_ = now + wait / 2 + Jitter(wait / 2);
  next_read_ = next_write_;
}

void CellAgent::Impl::CreateRecord(TimePoint now) {
  if (record_ || write_ || now < create_at_) {
    return;
  }
  create_at_ = TimePoint::max();
  cell::Plan plan;
  plan.record.cell = options_.cell;
  plan.record.epoch = 1;
  plan.record.assigner = self_;
  plan.record.view = 1;
  plan.record.members.push_back(
      std::make_unique<stored::MemberT>(SelfAsMember()));
  plan.record.next_token = 1;
  plan.record.lease_ms = options_.timing.lease;
  plan.record.permit_ms = options_.timing.permit;
  plan.record.hold_over_ms = options_.timing.hold_over;
  plan.record.clock_drift = options_.timing.clock_drift;
  plan.audit.push_back({self_, "create", object_, "", self_, "absent", {}});
  Write(std::move(plan), std::nullopt, 0, now);
}

void CellAgent::Impl::Write(cell::Plan plan,
                            std::optional<ObjectVersion> if_match,
                            std::size_t proposals,
                            TimePoint now) {
  plan.record.write_id = self_ + "/" + std::to_string(random_());
  std::vector<std::uint8_t> bytes = cell::SerializeRecord(plan.record);
  if (bytes.size() > kMaxObjectBytes) {
    Log("record_too_large", {{"bytes", std::to_string(bytes.size())}});
    next_write_ = now + kMaxStoreRetry;
    return;
  }
  PendingWrite write;
  write.call_id = NextCallId();
  write.began = now;
  write.record = std::make_shared<const cell::Record>(std::move(plan.record));
  write.bytes = bytes;
  write.audit = std::move(plan.audit);
  write.proposals = proposals;
  outbox_.writes.push_back(
      {write.call_id, object_, if_match, std::move(bytes)});
  write_ = std::move(write);
}

void CellAgent::Impl::OnStoreWrite(std::uint64_t call_id,
                                   const StoreWriteResult& result,
                                   TimePoint now) {
  if (!write_ || write_->call_id != call_id || write_->unknown_since) {
    return;
  }
  switch (result.status) {
    case WriteStatus::kOk:
      OnStoreSuccess(write_->began);
      FinishWrite(result.version, now);
      break;
    case WriteStatus::kConflict:
      write_.reset();
      next_read_ = now;
      ReadRecordUnlessReading(now);
      break;
    case WriteStatus::kFailed:
      write_.reset();
      OnStoreFailure(now);
      break;
    case WriteStatus::kUnknown:
      write_->unknown_since = now;
      OnStoreFailure(now);
      break;
  }
  Step(now);
}

void CellAgent::Impl::ReadRecordUnlessReading(TimePoint now) {
  if (!read_) {
    ReadRecord(now);
  }
}

// Adopts the record of a write that has taken effect. Nothing may act on the
// record before that.
void CellAgent::Impl::FinishWrite(ObjectVersion version, TimePoint now) {
  PendingWrite write = std::move(*write_);
  write_.reset();
  for (auto& it : write.audit) {
    it.version = version;
    outbox_.audit.push_back(std::move(it));
  }
  proposals_.erase(
      proposals_.begin(),
      proposals_.begin() + static_cast<std::ptrdiff_t>(
                               std::min(write.proposals, proposals_.size())));
  CollectDeparted(*write.record);
  const bool urgent = !record_ || record_->view != write.record->view ||
                      HasNewFence(*record_, *write.record);
  Adopt(std::move(write.record), std::move(write.bytes), version, now);
  // A new owner rejects requests until it has its grant, so members should not
  // learn of it earlier.
  push_at_ = !urgent && GrantsMissing() ? now + kMaxPushDelay : now;
}

// Collects the members that the write removes, which are sent the record too. A
// leaving daemon may then exit, and each removed daemon that reports the new
// view helps to retire the older one.
void CellAgent::Impl::CollectDeparted(const cell::Record& after) {
  departed_.clear();
  if (!record_) {
    return;
  }
  for (const auto& it : record_->members) {
    if (cell::FindMember(after, it->daemon) == nullptr) {
      departed_.push_back(*it);
    }
  }
}

bool CellAgent::Impl::HasNewFence(const cell::Record& before,
                                  const cell::Record& after) {
  return std::any_of(after.servers.begin(), after.servers.end(),
                     [&](const auto& it) {
                       const auto* const old = cell::FindServer(before, it->id);
                       return it->state == stored::ServerState::Fenced &&
                              (old == nullptr || old->state != it->state);
                     });
}

void CellAgent::Impl::Adopt(std::shared_ptr<const cell::Record> record,
                            std::vector<std::uint8_t> bytes,
                            ObjectVersion version,
                            TimePoint now) {
  if (record_ && version <= version_) {
    return;
  }
  const bool was_member = IsMember();
  const std::uint64_t old_view = record_ ? record_->view : 0;
  const std::uint64_t old_epoch = record_ ? record_->epoch : 0;
  GENTIANREACH_CHECK(record->epoch >= old_epoch);
  GENTIANREACH_CHECK(record->view >= old_view);
  record_ = std::move(record);
  record_bytes_ = std::move(bytes);
  version_ = version;
  elect_at_ = TimePoint::max();
  ApplyRecordTiming();
  routes_.SetRecord(record_);
  UpdatePeers(now);
  view_retirement_.OnRecord(*record_, self_, now);
  fences_.OnRecord(*record_, version_);
  if (record_->view != old_view) {
    std::vector<std::string> members;
    for (const auto& it : record_->members) {
      members.push_back(it->daemon);
    }
    permit_.SetView(ViewVersion(record_->view), members, self_);
  }
  ChooseRenewedServers();
  UpdateServers(now);
  if (record_->epoch != old_epoch) {
    epoch_seen_at_ = now;
    ResetMoves();
  }
  UpdateWantedGrants(now);
  plan_at_ = now;
  next_orders_ = now;
  if (leaving_ && was_member && !IsMember()) {
    permit_.Revoke();
  }
  AnnounceAdoption(was_member, record_->view != old_view, now);
}

}  // namespace gentianreach
