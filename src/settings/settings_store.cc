#include "settings/settings_store.h"

#include <algorithm>
#include <utility>

namespace gentianreach::settings {
namespace {

// Timeout of one store call.
constexpr Duration kCallTimeout = std::chrono::seconds(2);

store::Call ReadCall(std::string name) {
  return {store::CallKind::kRead, std::move(name)};
}

store::Call WriteCall(std::string name,
                      std::optional<ObjectVersion> expected,
                      std::string bytes) {
  return {store::CallKind::kWrite, std::move(name), expected, std::move(bytes)};
}

}  // namespace

SettingsChange::SettingsChange(ChangeRequest request, TimePoint deadline)
    : request_(std::move(request)),
      deadline_(deadline),
      base_number_(request_.base) {}

std::optional<store::Call> SettingsChange::Poll(TimePoint now) {
  if (result_ || reply_pending_) {
    return std::nullopt;
  }
  if (now >= deadline_) {
    Finish(
        pending_ != 0 ? ChangeOutcome::kUnknown : ChangeOutcome::kUnavailable,
        "no reply from the store before the deadline");
    return std::nullopt;
  }
  if (now < backoff_.until()) {
    return std::nullopt;
  }
  store::Call call;
  switch (step_) {
    case Step::kReadCurrent:
      call = ReadCall(std::string(kCurrentName));
      break;
    case Step::kReadRestored:
      call = ReadCall(HistoryName(request_.restore));
      break;
    case Step::kReadBase:
      call = ReadCall(HistoryName(*base_number_));
      break;
    case Step::kReadHistory:
      call = ReadCall(HistoryName(current_.version.number));
      break;
    case Step::kWriteHistory:
      call = WriteCall(HistoryName(current_.version.number), history_object_,
                       Encode(current_.version));
      break;
    case Step::kWriteCurrent:
      call = WriteCall(std::string(kCurrentName), current_.object,
                       Encode(NextVersion()));
      break;
    case Step::kReadOutcome:
      call = ReadCall(HistoryName(pending_));
      break;
  }
  call.deadline = std::min(deadline_, now + kCallTimeout);
  reply_pending_ = true;
  return call;
}

void SettingsChange::OnReply(const store::Reply& reply, TimePoint now) {
  reply_pending_ = false;
  switch (step_) {
    case Step::kReadCurrent:
      return OnCurrent(reply, now);
    case Step::kReadRestored:
      return OnRestored(reply, now);
    case Step::kReadBase:
      return OnBase(reply, now);
    case Step::kReadHistory:
      return OnHistory(reply, now);
    case Step::kWriteHistory:
      return OnHistoryWritten(reply, now);
    case Step::kWriteCurrent:
      return OnCurrentWritten(reply, now);
    case Step::kReadOutcome:
      return OnOutcome(reply, now);
  }
}

void SettingsChange::OnCurrent(const store::Reply& reply, TimePoint now) {
  if (reply.status == store::Status::kAbsent) {
    current_ = Current();
  } else if (reply.status == store::Status::kOk) {
    auto version = Decode(reply.bytes);
    if (!version) {
      Finish(ChangeOutcome::kUnavailable, "settings/current is damaged");
      return;
    }
    current_ = {reply.version, *std::move(version)};
  } else {
    backoff_.Fail(now);
    return;
  }
  if (ResolvePendingWrite()) {
    return;
  }
  if (request_.restore != 0 && !requested_text_) {
    step_ = Step::kReadRestored;
    return;
  }
  Plan();
}

bool SettingsChange::ResolvePendingWrite() {
  if (pending_ == 0) {
    return false;
  }
  if (current_.version.write_id == request_.write_id) {
    Finish(ChangeOutcome::kAccepted);
    return true;
  }
  if (current_.version.number > pending_) {
    // The writer that replaced version `pending_` copied it to the history
    // first.
    step_ = Step::kReadOutcome;
    return true;
  }
  if (current_.version.number == pending_) {
    // Another change has this version number, so the write can no longer take
    // effect.
    pending_ = 0;
  }
  return false;
}

void SettingsChange::OnOutcome(const store::Reply& reply, TimePoint now) {
  const bool completed = reply.status == store::Status::kOk ||
                         reply.status == store::Status::kAbsent;
  if (!completed) {
    backoff_.Fail(now);
    return;
  }
  const auto version = Decode(reply.bytes);
  if (!version || version->number != pending_) {
    Finish(ChangeOutcome::kUnknown,
           "the outcome of the write is unknown: its version is no longer in "
           "the history");
    return;
  }
  if (version->write_id == request_.write_id) {
    current_.version = *version;
    Finish(ChangeOutcome::kAccepted);
    return;
  }
  pending_ = 0;
  Plan();
}

void SettingsChange::OnRestored(const store::Reply& reply, TimePoint now) {
  if (request_.restore == current_.version.number) {
    requested_text_ = current_.version.text;
  } else {
    requested_text_ = TextFromHistory(reply, request_.restore, now);
  }
  if (requested_text_) {
    Plan();
  }
}

void SettingsChange::OnBase(const store::Reply& reply, TimePoint now) {
  base_text_ = TextFromHistory(reply, *base_number_, now);
  if (base_text_) {
    Plan();
  }
}

std::optional<std::string> SettingsChange::TextFromHistory(
    const store::Reply& reply,
    std::uint64_t number,
    TimePoint now) {
  const bool completed = reply.status == store::Status::kOk ||
                         reply.status == store::Status::kAbsent;
  if (!completed) {
    backoff_.Fail(now);
    return std::nullopt;
  }
  const auto version = Decode(reply.bytes);
  if (!version || version->number != number) {
    Finish(ChangeOutcome::kNoVersion,
           "version " + std::to_string(number) + " is not kept");
    return std::nullopt;
  }
  return version->text;
}

void SettingsChange::Plan() {
  const std::uint64_t number = current_.version.number;
  if (!base_number_) {
    base_number_ = number;
  }
  if (*base_number_ == number || *base_number_ == 0) {
    base_text_ = *base_number_ == 0 ? "" : current_.version.text;
  }
  if (*base_number_ > number) {
    Finish(ChangeOutcome::kNoVersion,
           "version " + std::to_string(*base_number_) + " does not exist");
    return;
  }
  if (!base_text_) {
    step_ = Step::kReadBase;
    return;
  }
  if (!requested_text_) {
    requested_text_ =
        request_.path.empty()
            ? request_.text
            : SetValue(*base_text_, request_.path, request_.value);
  }
  text_ = *requested_text_;
  merged_ = false;
  if (*base_number_ != number && !Reconcile()) {
    return;
  }
  PlanWrite(text_);
}

bool SettingsChange::Reconcile() {
  if (text_ == current_.version.text) {
    return true;
  }
  MergeResult merge =
      Merge(*base_text_, current_.version.text, *requested_text_);
  if (request_.merge && merge.text) {
    text_ = *std::move(merge.text);
    merged_ = true;
    return true;
  }
  Finish(ChangeOutcome::kConflict, "the settings changed from version " +
                                       std::to_string(*base_number_) + " to " +
                                       std::to_string(current_.version.number));
  result_->mine = Compare(*base_text_, *requested_text_);
  result_->theirs = Compare(*base_text_, current_.version.text);
  result_->conflicts = std::move(merge.conflicts);
  return false;
}

void SettingsChange::PlanWrite(std::string text) {
  text_ = std::move(text);
  changes_ = Compare(current_.version.text, text_);
  LoadResult loaded = LoadSettings(text_, request_.file);
  if (!loaded.ok()) {
    Finish(ChangeOutcome::kInvalid);
    result_->errors = std::move(loaded.errors);
    return;
  }
  if (current_.object && text_ == current_.version.text) {
    Finish(ChangeOutcome::kUnchanged);
    return;
  }
  if (request_.dry_run) {
    Finish(ChangeOutcome::kWouldAccept);
    return;
  }
  step_ = current_.object ? Step::kReadHistory : Step::kWriteCurrent;
}

void SettingsChange::OnHistory(const store::Reply& reply, TimePoint now) {
  if (reply.status == store::Status::kAbsent) {
    history_object_.reset();
    step_ = Step::kWriteHistory;
    return;
  }
  if (reply.status != store::Status::kOk) {
    backoff_.Fail(now);
    return;
  }
  const auto kept = Decode(reply.bytes);
  if (kept && kept->number > current_.version.number) {
    // The history slot was reused for a newer version since the current version
    // was read.
    step_ = Step::kReadCurrent;
    return;
  }
  history_object_ = reply.version;
  const bool complete = kept && kept->number == current_.version.number;
  step_ = complete ? Step::kWriteCurrent : Step::kWriteHistory;
}

void SettingsChange::OnHistoryWritten(const store::Reply& reply,
                                      TimePoint now) {
  if (reply.status == store::Status::kOk) {
    step_ = Step::kWriteCurrent;
    return;
  }
  // Read the history slot again before the next attempt.
  step_ = Step::kReadHistory;
  if (reply.status != store::Status::kConflict) {
    backoff_.Fail(now);
  }
}

void SettingsChange::OnCurrentWritten(const store::Reply& reply,
                                      TimePoint now) {
  if (reply.status == store::Status::kOk) {
    current_.version = NextVersion();
    Finish(ChangeOutcome::kAccepted);
    return;
  }
  if (reply.status != store::Status::kUnavailable) {
    pending_ = current_.version.number + 1;
  }
  step_ = Step::kReadCurrent;
  if (reply.status != store::Status::kConflict) {
    backoff_.Fail(now);
  }
}

stored::SettingsVersionT SettingsChange::NextVersion() const {
  stored::SettingsVersionT next;
  next.number = current_.version.number + 1;
  next.text = text_;
  next.digest = DigestOf(text_);
  next.write_id = request_.write_id;
  next.author = request_.author;
  next.time_ms = request_.time.time_since_epoch().count();
  next.reason = request_.reason;
  next.restored_from = request_.restore;
  return next;
}

void SettingsChange::Finish(ChangeOutcome outcome, std::string detail) {
  result_.emplace();
  result_->outcome = outcome;
  result_->version = current_.version.number;
  result_->detail = std::move(detail);
  result_->merged = merged_;
  const bool planned = outcome == ChangeOutcome::kWouldAccept ||
                       outcome == ChangeOutcome::kUnchanged;
  const bool written = outcome == ChangeOutcome::kAccepted;
  if (planned || written) {
    result_->text = written ? current_.version.text : text_;
  }
  result_->changes = changes_;
}

}  // namespace gentianreach::settings
