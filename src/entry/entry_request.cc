#include "entry/entry_request.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "entry/message_writer.h"
#include "entry/server_statements.h"
#include "http/serializer.h"
#include "http/status.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

using http::status::kBadGateway;
using http::status::kBadRequest;
using http::status::kMisdirected;
using http::status::kNotFound;
using http::status::kTooLarge;
using http::status::kUnavailable;

// Unsent bytes for the caller above which reading from the server is paused.
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;
// Failed connections after which the request is refused.
constexpr std::uint32_t kMaxFailedConnects = 4;
// Longest time that a request waits while its key moves to a new owner.
constexpr Duration kMaxHold = milliseconds(400);
// Delay before a retry after a server that does not own the key yet. A change
// of the ownership table ends it early.
constexpr Duration kMisdirectedRetryDelay = milliseconds(60);
// A request waits for an owner for at least the latency objective divided by
// this, and longer if it could still be answered within the objective.
constexpr int kMinHoldDivisor = 2;

}  // namespace

EntryRequest::EntryRequest(std::shared_ptr<EntryState> state,
                           std::shared_ptr<proxy::CallerConnection> caller,
                           RequestOrigin origin)
    : state_(std::move(state)),
      caller_(std::move(caller)),
      origin_(origin),
      routes_(state_->routes),
      started_(state_->loop.Now()),
      deadline_(TimePoint::max()),
      response_timer_(state_->loop, [this] { OnResponseTimeout(); }),
      hedge_timer_(state_->loop, [this] { OnSlow(); }),
      hold_timer_(state_->loop, [this] {
        StopWaiting();
        RetryOrRefuse(false, Reason::kNoOwner, kNotReadyRetryAfter);
      }) {
  ++state_->in_flight;
}

EntryRequest::~EntryRequest() {
  StopWaiting();
  state_->body_memory.Release(reserved_body_);
}

Duration EntryRequest::TimeLeft() const {
  return deadline_ - state_->loop.Now();
}

void EntryRequest::OnCallerEvent(proxy::CallerEvent event) {
  const auto self = shared_from_this();
  switch (event) {
    case proxy::CallerEvent::kHead:
      OnHead();
      break;
    case proxy::CallerEvent::kBody:
      OnBody();
      break;
    case proxy::CallerEvent::kBodyEnd:
      OnBodyEnd();
      break;
    case proxy::CallerEvent::kRefused:
      OnRefused();
      break;
    case proxy::CallerEvent::kDeadline:
      OnDeadline();
      break;
    case proxy::CallerEvent::kDrained:
      if (connection_) {
        connection_->ResumeReading();
      }
      break;
    case proxy::CallerEvent::kDisconnected:
      CancelHedge(AttemptResult::kCancelled);
      if (connection_) {
        const auto connection = std::exchange(connection_, nullptr);
        connection->Abandon();
        EndAttempt(AttemptResult::kCancelled);
      }
      Finish(0, "caller_gone");
      break;
    case proxy::CallerEvent::kClosed:
      break;
  }
}

void EntryRequest::OnHead() {
  const http::MessageHead& head = caller_->head();
  const HeaderNames& names = state_->headers;
  id_ = head.Get(std::string_view(names.request_id)).value_or("");
  if (origin_ == RequestOrigin::kDaemon) {
    state_->metrics.Count("forwarded_requests_total");
    attempts_ = StatedAttempts(head);
    not_relayed_ = ReasonNotToRelay();
    if (not_relayed_ != Reason::kNone) {
      // Refused once its body has been read, so that the connection can stay.
      deadline_ = started_ + kNotReadyRetryAfter * 4;
      return;
    }
  }
  if (!routes_ || origin_ == RequestOrigin::kTurnedAway) {
    deadline_ = started_ + kNotReadyRetryAfter * 4;
    Refuse(kUnavailable, Reason::kNone, kNotReadyRetryAfter);
    return;
  }
  const TimePoint now = state_->loop.Now();
  if (now >= state_->routes_usable_until()) {
    deadline_ = started_ + kNotReadyRetryAfter * 4;
    Refuse(kUnavailable, Reason::kOutdated, kNotReadyRetryAfter);
    return;
  }
  if (now >= state_->routes_current_until()) {
    state_->metrics.Count("requests_by_outdated_config_total");
  }
  routing::RouteEntry* entry =
      routes_->Find(*head.Get(http::FieldId::host), head.target);
  if (entry == nullptr) {
    RefuseByConfig(kNotFound, Reason::kNoRoute);
    return;
  }
  route_ = &entry->route;
  deadline_ = RequestDeadline(head, names, *route_, started_);
  if (head.content_length > MaxBodyBytes()) {
    RefuseByConfig(kTooLarge, Reason::kTooLarge);
    return;
  }
  service_ = &routes_->config().services.at(
      route_->split[entry->split.Next()].service);
  if (service_->keyed) {
    const auto text = head.Get(std::string_view(names.key));
    const auto key =
        text ? ParseNumber(*text, keyspace::kKeyCount - 1) : std::nullopt;
    if (!key) {
      RefuseByConfig(kBadRequest, Reason::kBadRequest);
      return;
    }
    key_ = static_cast<std::uint32_t>(*key);
  }
  if (!ReserveBody(head.content_length)) {
    return;
  }
  caller_->SetDeadline(deadline_);
  if (!caller_->request_complete() && head.Get(http::FieldId::expect)) {
    caller_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void EntryRequest::OnRefused() {
  const http::Refusal& refusal = caller_->refusal();
  Refuse(refusal.status, Reason::kBadRequest, {});
}

void EntryRequest::OnDeadline() {
  if (done_) {
    return;
  }
  GiveUp(Reason::kDeadline);
}

void EntryRequest::OnStopDeadline() {
  const auto self = shared_from_this();
  if (!done_) {
    GiveUp(Reason::kDraining);
  }
}

void EntryRequest::Attempt() {
  if (done_) {
    return;
  }
  // The event loop may be late, so that neither has been reported yet.
  if (caller_->HasLeft()) {
    caller_->Abort();
    return;
  }
  if (TimeLeft() <= Duration(0)) {
    GiveUp(Reason::kDeadline);
    return;
  }
  if (state_->reachability.lost()) {
    Forward();
    return;
  }
  CountOnce();
  const ServerChoice choice = Choose();
  if (choice.wait) {
    Hold(choice);
    return;
  }
  if (choice.server == nullptr) {
    if (choice.reason == Reason::kOverload ||
        choice.reason == Reason::kOverLimit) {
      state_->hedging.OnShortage(service_->name, state_->loop.Now());
    }
    Refuse(kUnavailable, choice.reason, choice.retry_after);
    return;
  }
  Send(choice);
}

void EntryRequest::CountOnce() {
  if (std::exchange(counted_, true)) {
    return;
  }
  state_->Budget(service_->name).OnRequest(started_);
  if (key_) {
    state_->CountKey(service_->name, *key_);
  }
}

ServerChoice EntryRequest::Choose() const {
  return ChooseServer({.route = *route_,
                       .service = *service_,
                       .key = key_,
                       .tried = tried_,
                       .time_left = TimeLeft(),
                       .zone = state_->zone,
                       .zone_crossing = state_->zone_crossing},
                      state_->known_servers(), state_->loop.Now());
}

void EntryRequest::Hold(const ServerChoice& choice) {
  const TimePoint now = state_->loop.Now();
  if (hold_until_ == TimePoint{}) {
    const Duration objective = route_->latency_objective;
    const Duration hold =
        std::max(objective - state_->loads.AverageProcessingTime(now),
                 objective / kMinHoldDivisor);
    hold_until_ = std::min(now + std::min(hold, kMaxHold), deadline_);
  }
  if (now >= hold_until_) {
    Refuse(kUnavailable, choice.reason, choice.retry_after);
    return;
  }
  hold_id_ = state_->held.Add([self = shared_from_this()] {
    self->hold_id_ = 0;
    self->hold_timer_.Clear();
    self->Attempt();
  });
  // A new owner may just not have received its grant yet.
  hold_timer_.Set(choice.reason == Reason::kNotOwner
                      ? std::min(hold_until_, now + kMisdirectedRetryDelay)
                      : hold_until_);
}

void EntryRequest::StopWaiting() {
  if (hold_id_ != 0) {
    state_->held.Remove(std::exchange(hold_id_, 0));
  }
  hold_timer_.Clear();
}

void EntryRequest::OnServerEvent(proxy::ServerEvent event) {
  const auto self = shared_from_this();
  if (done_ || !connection_) {
    return;
  }
  if (!relay_.empty()) {
    OnRelayEvent(event);
    return;
  }
  switch (event) {
    case proxy::ServerEvent::kHead:
      OnResponseHead();
      break;
    case proxy::ServerEvent::kBody:
      OnResponseBody();
      break;
    case proxy::ServerEvent::kEnd:
      OnResponseEnd();
      break;
    case proxy::ServerEvent::kDrained:
      RecordSendDelay();
      break;
    case proxy::ServerEvent::kFailed:
      OnConnectionFailed();
      break;
  }
}

void EntryRequest::OnResponseHead() {
  const http::MessageHead& head = connection_->head();
  state_->reachability.OnAnswer(server_, connection_->opened_at(),
                                state_->loop.Now());
  response_kind_ = ClassifyResponse(head, state_->headers,
                                    {.request_id = id_,
                                     .is_first = connection_->responses() == 1,
                                     .idempotent = route_->idempotent});
  switch (response_kind_) {
    case ResponseKind::kWrongRequestId:
      if (++skipped_responses_ <= kMaxSkippedResponses) {
        connection_->SkipResponse();
        return;
      }
      [[fallthrough]];
    case ResponseKind::kUnusable: {
      const auto connection = std::exchange(connection_, nullptr);
      connection->Abandon();
      may_have_run_ = true;
      ++attempts_;
      EndAttempt(AttemptResult::kBroken);
      RetryOrRefuse(true, Reason::kTruncated, {});
      return;
    }
    case ResponseKind::kNotRun:
      OnNotRun(head);
      return;
    case ResponseKind::kFalsePromise:
      DiscardResponse(head);
      may_have_run_ = true;
      state_->crashes.OnAnswered(fingerprint_);
      EndAttempt(AttemptResult::kServerError);
      Refuse(kBadGateway, Reason::kOverload, {});
      return;
    case ResponseKind::kFinal:
    case ResponseKind::kServerError:
      break;
  }
  OnServerStatements(head);
  state_->UpdateLimit(server_,
                      head.Get(std::string_view(state_->headers.server_limit)));
  response_timer_.Clear();
  response_head_ = head;
  has_response_head_ = true;
}

void EntryRequest::OnServerStatements(const http::MessageHead& head) {
  if (const auto report =
          TakeServerStatements(*state_, server_, incarnation_, head)) {
    report_ = report;
  }
}

void EntryRequest::DiscardResponse(const http::MessageHead& head) {
  OnServerStatements(head);
  if (const auto limit =
          head.Get(std::string_view(state_->headers.server_limit))) {
    state_->UpdateLimit(server_, limit);
  }
  const auto connection = std::exchange(connection_, nullptr);
  connection->Discard(
      [pool = pool_, connection] { pool->Release(connection); });
  ++attempts_;
}

void EntryRequest::OnNotRun(const http::MessageHead& head) {
  const bool misdirected = head.status == kMisdirected;
  DiscardResponse(head);
  EndAttempt(AttemptResult::kRejected);
  if (misdirected && service_->keyed) {
    // The ownership table is outdated, or the owner has no grant yet.
    tried_.clear();
    if (MayRetry(true)) {
      Hold({.reason = Reason::kNotOwner, .retry_after = kNotReadyRetryAfter});
      return;
    }
    Refuse(kUnavailable, Reason::kNotOwner, kNotReadyRetryAfter);
    return;
  }
  RetryOrRefuse(true, misdirected ? Reason::kNotOwner : Reason::kOverload,
                kRejectedRetryAfter);
}

void EntryRequest::OnResponseBody() {
  response_body_.append(connection_->body());
  if (!committed_ && response_body_.size() > kMaxBufferedBytes) {
    CommitResponse();
  }
  if (committed_) {
    std::string bytes;
    http::AppendBody(bytes, http::BodyFraming::kChunked,
                     std::exchange(response_body_, {}));
    caller_->Write(std::move(bytes));
    if (connection_ && caller_->unsent() > kMaxUnsentBytes) {
      connection_->PauseReading();
    }
  }
}

void EntryRequest::OnResponseEnd() {
  const auto connection = std::exchange(connection_, nullptr);
  pool_->Release(connection);
  ++attempts_;
  state_->crashes.OnAnswered(fingerprint_);
  const bool server_error = response_kind_ == ResponseKind::kServerError;
  EndAttempt(server_error ? AttemptResult::kServerError
                          : AttemptResult::kAnswered);
  if (server_error && hedge_) {
    may_have_run_ = true;
    ContinueHedge();
    return;
  }
  if (server_error && !committed_ && route_->idempotent &&
      !state_->reachability.lost() && MayRetry(true)) {
    may_have_run_ = true;
    const ServerChoice choice = service_->keyed ? ServerChoice{} : Choose();
    if (choice.server != nullptr) {
      Send(choice);
      return;
    }
  }
  Deliver();
}

void EntryRequest::OnConnectionFailed() {
  const auto connection = std::exchange(connection_, nullptr);
  const bool sent = connection->written();
  if (connection->failure() == proxy::ServerFailure::kTooLate) {
    // The server is as good as before, but it may have left.
    EndAttempt(AttemptResult::kCancelled);
    RetryOrRefuse(false, Reason::kOutdated, kNotReadyRetryAfter);
    return;
  }
  const bool malformed =
      connection->failure() == proxy::ServerFailure::kMalformed;
  if (malformed) {
    state_->OnInvalidResponse("server", server_.value(), *connection);
  }
  state_->reachability.OnFailure(server_, connection->opened_at());
  if (connection->failure() == proxy::ServerFailure::kRefused) {
    state_->OnConnectionRefused(server_, incarnation_);
  }
  response_timer_.Clear();
  if (committed_) {
    EndAttempt(AttemptResult::kBroken);
    Finish(0, "broken_off");
    caller_->Abort();
    return;
  }
  if (!sent) {
    ++failed_connects_;
    EndAttempt(AttemptResult::kUnreachable);
    RetryOrRefuse(false, Reason::kConnectFailed, kRejectedRetryAfter);
    return;
  }
  ++attempts_;
  may_have_run_ = true;
  if (!malformed) {
    // Otherwise the server is up, so the request has not taken it down.
    state_->crashes.OnLost(fingerprint_, state_->loop.Now());
  }
  EndAttempt(AttemptResult::kBroken);
  RetryOrRefuse(true, Reason::kConnectionLost, {});
}

// Retries the request at another server, unless the current one has answered
// other requests since the attempt started: then only this request is slow.
void EntryRequest::OnResponseTimeout() {
  if (done_ || !connection_ || service_->keyed || state_->stopping ||
      state_->loads.last_response(server_) >= attempt_started_) {
    return;
  }
  const auto self = shared_from_this();
  if (hedge_ && !state_->reachability.lost()) {
    // The request is at another server already.
    state_->reachability.OnFailure(server_, connection_->opened_at());
    AbandonAttempt();
    EndAttempt(AttemptResult::kBroken);
    ContinueHedge();
    return;
  }
  if (attempts_ + AttemptsUnderWay() >= route_->max_attempts) {
    return;
  }
  if (state_->reachability.lost()) {
    if (MayRetry(true)) {
      SendAnotherWay();
    }
    return;
  }
  const ServerChoice choice = Choose();
  // The current attempt is abandoned only if another can start at once.
  auto next = choice.server == nullptr ? nullptr
                                       : Acquire(*state_->Pool(*choice.server));
  if (!next) {
    return;
  }
  if (!MayRetry(true)) {
    state_->Pool(*choice.server)->Release(next);
    return;
  }
  state_->reachability.OnFailure(server_, connection_->opened_at());
  AbandonAttempt();
  EndAttempt(AttemptResult::kBroken);
  SendOver(std::move(next), choice);
}

bool EntryRequest::AbandonAttempt() {
  const auto connection = std::exchange(connection_, nullptr);
  const bool sent = connection->written();
  connection->Abandon();
  attempts_ += sent ? 1 : 0;
  may_have_run_ = may_have_run_ || sent;
  return sent;
}

void EntryRequest::EndAttempt(AttemptResult result) {
  response_timer_.Clear();
  hedge_timer_.Clear();
  if (!relay_.empty()) {
    EndForward(result == AttemptResult::kCancelled ? RelayResult::kCancelled
                                                   : RelayResult::kFailed);
    return;
  }
  const TimePoint now = state_->loop.Now();
  const bool path_was_lost =
      state_->reachability.WasLostSince(attempt_started_);
  state_->loads.OnEnd(
      server_, result,
      path_was_lost ? std::nullopt : std::optional(now - attempt_started_),
      report_, now, kind());
  if (result == AttemptResult::kAnswered && !path_was_lost) {
    RecordForHedging(now);
  }
  if (result == AttemptResult::kAnswered ||
      result == AttemptResult::kCancelled) {
    return;
  }
  state_->metrics.Count("attempts_failed_total");
  if (state_->log_budget.Take(now)) {
    Log(LogLevel::kInfo, "attempt_failed",
        {{"request", id_},
         {"server", server_.value()},
         {"result", ToString(result)},
         {"may_have_run", may_have_run_},
         {"attempts", attempts_},
         {"ms", (now - attempt_started_) / milliseconds(1)}});
  }
}

bool EntryRequest::MayRetry(bool sent) {
  if (may_have_run_ && !route_->idempotent) {
    return false;
  }
  if (attempts_ >= route_->max_attempts ||
      failed_connects_ >= kMaxFailedConnects || TimeLeft() <= Duration(0)) {
    return false;
  }
  return !sent || state_->Budget(service_->name).TryRetry(state_->loop.Now());
}

void EntryRequest::RetryOrRefuse(bool sent,
                                 Reason reason,
                                 Duration retry_after) {
  if (done_) {
    return;
  }
  if (hedge_) {
    ContinueHedge();
    return;
  }
  if (MayRetry(sent)) {
    Attempt();
    return;
  }
  Refuse(may_have_run_ ? kBadGateway : kUnavailable, reason, retry_after);
}

}  // namespace gentianreach::entry
