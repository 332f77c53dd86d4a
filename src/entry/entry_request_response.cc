// The part of EntryRequest that sends responses and ends requests.
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "entry/entry_request.h"
#include "entry/message_writer.h"
#include "http/serializer.h"
#include "http/status.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

using http::status::kBadGateway;
using http::status::kGatewayTimeout;
using http::status::kUnavailable;

}  // namespace

void EntryRequest::GiveUp(Reason reason) {
  if (hedge_) {
    const bool unresponsive =
        state_->loads.last_response(hedge_->server()) < hedge_->started();
    CancelHedge(unresponsive ? AttemptResult::kBroken
                             : AttemptResult::kCancelled);
  }
  if (committed_) {
    // Part of the response has been sent, so no other status can follow.
    if (const auto connection = std::exchange(connection_, nullptr)) {
      connection->Abandon();
      EndAttempt(AttemptResult::kCancelled);
    }
    Finish(0, "broken_off");
    caller_->Abort();
    return;
  }
  if (!connection_) {
    Refuse(may_have_run_ ? kGatewayTimeout : kUnavailable, reason, {});
    return;
  }
  const bool sent = connection_->written();
  const auto connection = std::exchange(connection_, nullptr);
  connection->Abandon();
  may_have_run_ = may_have_run_ || sent;
  const bool unresponsive =
      state_->loads.last_response(server_) < attempt_started_;
  EndAttempt(unresponsive ? AttemptResult::kBroken : AttemptResult::kCancelled);
  Refuse(may_have_run_ ? kGatewayTimeout : kUnavailable, reason, {});
}

void EntryRequest::CommitResponse() {
  // No part of another response may follow.
  EndBeatenHedge();
  hedge_timer_.Clear();
  std::string out =
      BeginForwardedResponse(response_head_, state_->headers, Relayed());
  http::AppendFraming(out, http::BodyFraming::kChunked, 0);
  EndResponseHead(out, KeepsAlive());
  caller_->Write(std::move(out));
  committed_ = true;
}

void EntryRequest::Deliver() {
  state_->metrics.RecordLatency(route_->name, service_->name,
                                state_->loop.Now() - started_);
  SendResponse("answered");
}

void EntryRequest::SendResponse(std::string_view outcome) {
  const bool keep_alive = KeepsAlive();
  std::string out;
  if (committed_) {
    http::AppendBodyEnd(out, http::BodyFraming::kChunked);
  } else {
    out = ForwardedResponse(response_head_, state_->headers, response_body_,
                            caller_->head().method == "HEAD", keep_alive,
                            Relayed());
  }
  caller_->Write(std::move(out));
  Finish(response_head_.status, outcome);
  caller_->FinishResponse(keep_alive);
}

void EntryRequest::Refuse(int status, Reason reason, Duration retry_after) {
  if (done_) {
    return;
  }
  StopWaiting();
  if (may_have_run_ && http::status::PromisesNotRun(status)) {
    status = kBadGateway;
  }
  const bool keep_alive = KeepsAlive();
  std::optional<Outcome> outcome;
  if (origin_ == RequestOrigin::kDaemon) {
    outcome = may_have_run_ ? Outcome::kMayHaveRun : Outcome::kNotRun;
  }
  const bool has_retry_after =
      status == kUnavailable && retry_after > Duration(0);
  std::string out = RefusalResponse(
      {.status = status,
       .reason = reason,
       .request_id = id_,
       .retry_after = has_retry_after ? std::optional(ClampRetryAfter(
                                            retry_after, TimeLeft()))
                                      : std::nullopt,
       .head_only = caller_->head().method == "HEAD",
       .keep_alive = keep_alive,
       .outcome = outcome,
       .attempts = attempts_},
      state_->headers);
  caller_->Write(std::move(out));
  Finish(status, ToString(reason));
  caller_->FinishResponse(keep_alive);
}

void EntryRequest::RefuseByConfig(int status, Reason reason) {
  if (state_->loop.Now() < state_->routes_current_until()) {
    Refuse(status, reason, {});
    return;
  }
  Refuse(kUnavailable, Reason::kOutdated, kNotReadyRetryAfter);
}

std::optional<RelayedServer> EntryRequest::Relayed() const {
  if (origin_ == RequestOrigin::kCaller) {
    return std::nullopt;
  }
  return RelayedServer{server_, incarnation_};
}

bool EntryRequest::KeepsAlive() const {
  return caller_->head().keep_alive && caller_->request_complete() &&
         !state_->stopping && origin_ != RequestOrigin::kTurnedAway;
}

void EntryRequest::Finish(int status, std::string_view outcome) {
  if (done_) {
    return;
  }
  done_ = true;
  --state_->in_flight;
  StopWaiting();
  response_timer_.Clear();
  hedge_timer_.Clear();
  EndBeatenHedge();
  const TimePoint now = state_->loop.Now();
  state_->metrics.Count("requests_total",
                        "outcome=\"" + std::string(outcome) + "\"");
  const std::string_view won = outcome == "answered" ? hedge_role_ : "";
  if (!won.empty()) {
    state_->metrics.Count("hedges_decided_total",
                          "won=\"" + std::string(won) + "\"");
  }
  if (state_->log_budget.Take(now)) {
    Log(LogLevel::kInfo, "request",
        {{"request", id_},
         {"route", route_ == nullptr ? "" : route_->name},
         {"service", service_ == nullptr ? "" : service_->name},
         {"config", routes_ ? routes_->config().version : 0},
         {"key", key_ ? static_cast<std::int64_t>(*key_) : -1},
         {"server", server_.value()},
         {"relay", relay_},
         {"forwarded", origin_ == RequestOrigin::kDaemon},
         {"attempts", attempts_},
         {"connects_failed", failed_connects_},
         {"may_have_run", may_have_run_},
         {"hedged", hedged_},
         {"won", won},
         {"status", status},
         {"outcome", outcome},
         {"ms", (now - started_) / milliseconds(1)},
         {"left_ms",
          route_ == nullptr ? 0 : (deadline_ - now) / milliseconds(1)}});
  }
  body_ = std::string();
  state_->body_memory.Release(std::exchange(reserved_body_, 0));
  response_body_ = std::string();
}

}  // namespace gentianreach::entry
