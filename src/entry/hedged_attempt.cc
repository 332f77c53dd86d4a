#include "entry/hedged_attempt.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "entry/server_statements.h"

namespace gentianreach::entry {

using std::chrono::milliseconds;

HedgedAttempt::HedgedAttempt(
    std::shared_ptr<EntryState> state,
    Request request,
    const routing::BackendServer& server,
    std::shared_ptr<proxy::ServerPool> pool,
    std::shared_ptr<proxy::ServerConnection> connection)
    : state_(std::move(state)), request_(std::move(request)) {
  attempt_.pool = std::move(pool);
  attempt_.connection = std::move(connection);
  attempt_.server = server.id;
  attempt_.incarnation = server.incarnation;
  attempt_.started = state_->loop.Now();
}

void HedgedAttempt::Start(std::string bytes,
                          bool head_only,
                          proxy::ServerConnection::Sink sink,
                          TimePoint send_until) {
  state_->loads.OnSent(attempt_.server);
  state_->limits.OnSent(attempt_.server, attempt_.started);
  attempt_.pool->OnStart(attempt_.connection.get());
  attempt_.connection->Start(std::move(bytes), head_only, true, std::move(sink),
                             send_until);
}

HedgeStatus HedgedAttempt::OnEvent(proxy::ServerEvent event) {
  switch (event) {
    case proxy::ServerEvent::kHead:
      return OnHead();
    case proxy::ServerEvent::kBody:
      return OnBody();
    case proxy::ServerEvent::kEnd:
      return OnEnd();
    case proxy::ServerEvent::kDrained:
      RecordSendDelay();
      return HedgeStatus::kRunning;
    case proxy::ServerEvent::kFailed:
      return OnFailed();
  }
  return HedgeStatus::kRunning;
}

HedgeStatus HedgedAttempt::OnHead() {
  const proxy::ServerConnection& connection = *attempt_.connection;
  const http::MessageHead& head = connection.head();
  state_->reachability.OnAnswer(attempt_.server, connection.opened_at(),
                                state_->loop.Now());
  const ResponseKind kind =
      ClassifyResponse(head, state_->headers,
                       {.request_id = request_.id,
                        .is_first = connection.responses() == 1,
                        .idempotent = true});
  if (kind == ResponseKind::kWrongRequestId &&
      ++attempt_.skipped_responses <= request_.max_skipped_responses) {
    attempt_.connection->SkipResponse();
    return HedgeStatus::kRunning;
  }
  if (kind == ResponseKind::kNotRun) {
    attempt_.report = TakeServerStatements(*state_, attempt_.server,
                                           attempt_.incarnation, head);
    if (const auto limit =
            head.Get(std::string_view(state_->headers.server_limit))) {
      state_->UpdateLimit(attempt_.server, limit);
    }
    const auto rejected = TakeConnection();
    rejected->Discard(
        [pool = attempt_.pool, rejected] { pool->Release(rejected); });
    End(AttemptResult::kRejected);
    return HedgeStatus::kFailed;
  }
  if (kind != ResponseKind::kFinal && kind != ResponseKind::kServerError) {
    TakeConnection()->Abandon();
    may_have_run_ = true;
    End(AttemptResult::kBroken);
    return HedgeStatus::kFailed;
  }
  attempt_.report = TakeServerStatements(*state_, attempt_.server,
                                         attempt_.incarnation, head);
  state_->UpdateLimit(attempt_.server,
                      head.Get(std::string_view(state_->headers.server_limit)));
  attempt_.kind = kind;
  attempt_.head = head;
  return HedgeStatus::kRunning;
}

HedgeStatus HedgedAttempt::OnBody() {
  const std::string& part = attempt_.connection->body();
  if (attempt_.body.size() + part.size() <= request_.max_buffered_bytes) {
    attempt_.body.append(part);
    return HedgeStatus::kRunning;
  }
  if (attempt_.kind == ResponseKind::kFinal) {
    return HedgeStatus::kLarge;
  }
  TakeConnection()->Abandon();
  may_have_run_ = true;
  End(AttemptResult::kServerError);
  return HedgeStatus::kFailed;
}

HedgeStatus HedgedAttempt::OnEnd() {
  if (attempt_.kind == ResponseKind::kFinal) {
    return HedgeStatus::kAnswered;
  }
  const auto connection = TakeConnection();
  attempt_.pool->Release(connection);
  may_have_run_ = true;
  state_->crashes.OnAnswered(request_.fingerprint);
  End(AttemptResult::kServerError);
  return HedgeStatus::kFailed;
}

HedgeStatus HedgedAttempt::OnFailed() {
  const auto connection = TakeConnection();
  if (connection->failure() == proxy::ServerFailure::kTooLate) {
    // The server is as good as before, but it may have left.
    End(AttemptResult::kCancelled);
    return HedgeStatus::kFailed;
  }
  const bool malformed =
      connection->failure() == proxy::ServerFailure::kMalformed;
  if (malformed) {
    state_->OnInvalidResponse("server", attempt_.server.value(), *connection);
  }
  if (connection->failure() == proxy::ServerFailure::kRefused) {
    state_->OnConnectionRefused(attempt_.server, attempt_.incarnation);
  }
  state_->reachability.OnFailure(attempt_.server, connection->opened_at());
  may_have_run_ = sent_;
  if (sent_ && !malformed) {
    // After a malformed response the server is up.
    state_->crashes.OnLost(request_.fingerprint, state_->loop.Now());
  }
  End(sent_ ? AttemptResult::kBroken : AttemptResult::kUnreachable);
  return HedgeStatus::kFailed;
}

void HedgedAttempt::Cancel(AttemptResult result) {
  TakeConnection()->Abandon();
  may_have_run_ = sent_;
  End(result);
}

void HedgedAttempt::EndBeaten() {
  if (!attempt_.kind) {
    Cancel(AttemptResult::kCancelled);
    return;
  }
  // The server has done its work. Discard() closes the connection if the rest
  // is large.
  const auto connection = TakeConnection();
  connection->Discard(
      [pool = attempt_.pool, connection] { pool->Release(connection); });
  may_have_run_ = true;
  End(AttemptResult::kCancelled);
}

std::shared_ptr<proxy::ServerConnection> HedgedAttempt::TakeConnection() {
  sent_ = attempt_.connection->written();
  return std::exchange(attempt_.connection, nullptr);
}

void HedgedAttempt::RecordSendDelay() {
  if (!std::exchange(attempt_.send_delay_recorded, true)) {
    state_->metrics.RecordSendDelay(state_->loop.Now() - attempt_.started);
  }
}

void HedgedAttempt::End(AttemptResult result) {
  const TimePoint now = state_->loop.Now();
  const bool path_was_lost =
      state_->reachability.WasLostSince(attempt_.started);
  state_->loads.OnEnd(
      attempt_.server, result,
      path_was_lost ? std::nullopt : std::optional(now - attempt_.started),
      attempt_.report, now, request_.kind);
  if (result == AttemptResult::kCancelled) {
    return;
  }
  state_->metrics.Count("attempts_failed_total");
  if (state_->log_budget.Take(now)) {
    Log(LogLevel::kInfo, "attempt_failed",
        {{"request", request_.id},
         {"server", attempt_.server.value()},
         {"result", ToString(result)},
         {"may_have_run", may_have_run_},
         {"second", true},
         {"ms", (now - attempt_.started) / milliseconds(1)}});
  }
}

}  // namespace gentianreach::entry
