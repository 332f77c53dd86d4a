// The part of EntryRequest that makes a second attempt against slow responses.
#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "entry/entry_request.h"
#include "entry/message_writer.h"

namespace gentianreach::entry {

using std::chrono::milliseconds;

void EntryRequest::AwaitSlowness() {
  hedge_role_ = {};
  if (!state_->hedging.Covers(service_->name)) {
    return;
  }
  if (tried_.size() == 1) {
    state_->hedging.OnRequest(service_->name);
  }
  if (!route_->idempotent || service_->keyed || hedged_ ||
      origin_ != RequestOrigin::kCaller ||
      attempts_ + 2 > route_->max_attempts) {
    return;
  }
  const auto delay = state_->hedging.Delay(kind(), attempt_started_);
  if (!delay) {
    state_->metrics.Count(
        "hedges_refused_total",
        "reason=\"" + std::string(ToString(HedgeRefusal::kNoQuantile)) + "\"");
    return;
  }
  hedge_timer_.Set(attempt_started_ + *delay);
}

void EntryRequest::OnSlow() {
  if (done_ || committed_ || hedge_ || !connection_ || !relay_.empty()) {
    return;
  }
  const auto self = shared_from_this();
  // The event loop may be late, so that this has not been reported yet.
  if (caller_->HasLeft()) {
    caller_->Abort();
    return;
  }
  const HedgeRefusal refusal = StartHedge();
  if (refusal == HedgeRefusal::kNone) {
    return;
  }
  if (!std::exchange(hedge_refused_, true)) {
    state_->metrics.Count("hedges_refused_total",
                          "reason=\"" + std::string(ToString(refusal)) + "\"");
  }
  // The slowest attempts still run when there is room for a second one.
  const TimePoint now = state_->loop.Now();
  hedge_timer_.Set(now + HedgePolicy::RecheckDelay(now - attempt_started_));
}

HedgeRefusal EntryRequest::StartHedge() {
  if (state_->stopping) {
    return HedgeRefusal::kStopping;
  }
  if (state_->reachability.path() != ServerPath::kOpen) {
    return HedgeRefusal::kPath;
  }
  const TimePoint now = state_->loop.Now();
  RetryBudget& budget = state_->Budget(service_->name);
  if (const auto refusal = state_->hedging.Check(service_->name, budget, now);
      refusal != HedgeRefusal::kNone) {
    return refusal;
  }
  const ServerChoice choice =
      ChooseSecond({.route = *route_,
                    .service = *service_,
                    .key = key_,
                    .tried = tried_,
                    .time_left = TimeLeft(),
                    .zone = state_->zone,
                    .zone_crossing = state_->zone_crossing},
                   state_->known_servers(), now);
  if (choice.server == nullptr) {
    return HedgeRefusal::kNoCapacity;
  }
  const routing::BackendServer& server = *choice.server;
  const auto pool = state_->Pool(server);
  auto connection = Acquire(*pool);
  if (!connection) {
    return HedgeRefusal::kNoConnection;
  }
  if (const auto refusal = state_->hedging.TryTake(service_->name, budget, now);
      refusal != HedgeRefusal::kNone) {
    pool->Release(connection);
    return refusal;
  }
  hedged_ = true;
  hedge_role_ = "first";
  tried_.push_back(server.id);
  used_connections_.Add(connection);
  state_->metrics.Count("hedges_total", "service=\"" + service_->name + "\"");
  RecordEntriesAge(now);
  state_->reachability.OnSent(AnswerDue(server, now));
  hedge_response_due_ = ResponseDue(server, now);
  hedge_ = std::make_unique<HedgedAttempt>(
      state_,
      HedgedAttempt::Request{.id = id_,
                             .fingerprint = fingerprint_,
                             .kind = kind(),
                             .max_buffered_bytes = kMaxBufferedBytes,
                             .max_skipped_responses = kMaxSkippedResponses},
      server, pool, connection);
  hedge_->Start(
      RequestHead(caller_->head(), state_->headers,
                  {.id = id_,
                   .server = server.id,
                   .key = key_,
                   .time_left = std::max<Duration>(TimeLeft(), milliseconds(1)),
                   .body_size = body_.size()}) +
          body_,
      caller_->head().method == "HEAD",
      [self = shared_from_this(), it = connection.get()](
          proxy::ServerEvent event) { self->OnHedgeEvent(it, event); },
      choice.send_until);
  return HedgeRefusal::kNone;
}

void EntryRequest::OnHedgeEvent(const proxy::ServerConnection* connection,
                                proxy::ServerEvent event) {
  const auto self = shared_from_this();
  if (done_) {
    return;
  }
  if (!hedge_ || hedge_->connection() != connection) {
    if (connection_.get() == connection) {
      OnServerEvent(event);
    }
    return;
  }
  switch (hedge_->OnEvent(event)) {
    case HedgeStatus::kRunning:
      break;
    case HedgeStatus::kFailed:
      CountHedge(*std::exchange(hedge_, nullptr));
      break;
    case HedgeStatus::kAnswered:
    case HedgeStatus::kLarge:
      EndBeatenAttempt();
      ContinueHedge();
      OnServerEvent(event);
      break;
  }
}

void EntryRequest::EndBeatenAttempt() {
  const TimePoint now = state_->loop.Now();
  if (!state_->reachability.WasLostSince(attempt_started_)) {
    RecordForHedging(now);
    if (const auto* server = state_->directory.Find(server_)) {
      state_->loads.OnBeaten(*server, now - attempt_started_, now, kind());
    }
  }
  if (!has_response_head_) {
    AbandonAttempt();
    EndAttempt(AttemptResult::kCancelled);
    return;
  }
  // The server has done its work: as in HedgedAttempt::EndBeaten().
  const auto connection = std::exchange(connection_, nullptr);
  connection->Discard(
      [pool = pool_, connection] { pool->Release(connection); });
  ++attempts_;
  may_have_run_ = true;
  EndAttempt(AttemptResult::kCancelled);
}

void EntryRequest::ContinueHedge() {
  ContinuedAttempt second = std::exchange(hedge_, nullptr)->Continue();
  pool_ = std::move(second.pool);
  connection_ = std::move(second.connection);
  server_ = std::move(second.server);
  incarnation_ = second.incarnation;
  attempt_started_ = second.started;
  send_delay_recorded_ = second.send_delay_recorded;
  report_ = second.report;
  skipped_responses_ = second.skipped_responses;
  has_response_head_ = second.kind.has_value();
  response_kind_ = second.kind.value_or(ResponseKind::kUnusable);
  response_head_ = std::move(second.head);
  response_body_ = std::move(second.body);
  hedge_role_ = "second";
  if (!has_response_head_) {
    response_timer_.Set(hedge_response_due_);
  }
}

void EntryRequest::EndBeatenHedge() {
  if (hedge_) {
    const auto hedge = std::exchange(hedge_, nullptr);
    hedge->EndBeaten();
    CountHedge(*hedge);
  }
}

void EntryRequest::CancelHedge(AttemptResult result) {
  if (!hedge_) {
    return;
  }
  const auto hedge = std::exchange(hedge_, nullptr);
  hedge->Cancel(result);
  CountHedge(*hedge);
}

void EntryRequest::CountHedge(const HedgedAttempt& hedge) {
  attempts_ += hedge.sent() ? 1 : 0;
  may_have_run_ = may_have_run_ || hedge.may_have_run();
}

void EntryRequest::RecordForHedging(TimePoint now) {
  // The second attempt is no sample: it starts only when the first is slow.
  if (hedge_role_ != "second" && route_->idempotent && !service_->keyed &&
      state_->hedging.Covers(service_->name)) {
    state_->hedging.OnResponse(kind(), now - attempt_started_, now);
  }
}

}  // namespace gentianreach::entry
