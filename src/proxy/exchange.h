// Processes one request of a caller, from its head to its response or verdict.
//
// The exchange finds the route and the owner, makes attempts until a server
// responds or no further attempt is allowed, and forwards the bodies in both
// directions with bounded memory. It lives until Finish(): its caller's session
// and the callbacks that it waits for hold references to it.
#ifndef SRC_PROXY_EXCHANGE_H_
#define SRC_PROXY_EXCHANGE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gentianreach/router.h"
#include "http/serializer.h"
#include "proxy/caller_connection.h"
#include "proxy/exchange_rules.h"
#include "proxy/message_builder.h"
#include "proxy/proxy_state.h"
#include "proxy/server_connection.h"
#include "proxy/server_pool.h"
#include "proxy/used_connections.h"

namespace gentianreach::proxy {

template <typename State>
class Exchange : public std::enable_shared_from_this<Exchange<State>> {
 public:
  Exchange(std::shared_ptr<State> state,
           std::shared_ptr<CallerConnection> caller)
      : state_(std::move(state)), caller_(std::move(caller)) {
    ++state_->in_flight;
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Returns whether the request has ended with a response or a verdict.
  [[nodiscard]] bool done() const { return done_; }

  // Events of the caller's connection; see CallerEvent.
  void OnHead() {
    BeginRecord();
    const http::MessageHead& head = caller_->head();
    record_.method = head.method;
    record_.target = head.target;
    routes_ = state_->routes;
    rule_ = routes_
                ? routes_->Match(head.method, *head.Get(http::FieldId::host),
                                 head.target)
                : nullptr;
    if (rule_ == nullptr) {
      GiveUp(Verdict::NotRun(Reason::kNoRoute));
      return;
    }
    record_.route = rule_->name;
    record_.service = rule_->service.name;
    record_.deadline = record_.started + internal::Timeout(*rule_, head);
    caller_->SetDeadline(record_.deadline);
    state_->policies.Budget(rule_->service).OnRequest(record_.started);
    if (!state_->MayServe(rule_->idempotent)) {
      GiveUp(Verdict::NotRun(Reason::kCutOff));
      return;
    }
    record_.key = internal::KeyOf(*rule_, head);
    if (rule_->service.keyed && !record_.key) {
      GiveUp(Verdict::NotRun(Reason::kBadRequest), "the request has no key");
      return;
    }
    if (head.content_length > rule_->max_body) {
      GiveUp(Verdict::NotRun(Reason::kTooLarge));
      return;
    }
    if (!caller_->request_complete() && head.Get(http::FieldId::expect)) {
      caller_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void OnBody() {
    if (done_) {
      return;
    }
    const std::string_view data = caller_->body();
    received_ += data.size();
    if (received_ > rule_->max_body) {
      GiveUp(AttemptVerdict(Reason::kTooLarge));
      return;
    }
    KeepForReplay(data);
    if (connection_) {
      ForwardBody(data);
    } else if (replay_.size() >= internal::kMaxReplayBytes) {
      caller_->PauseReading();
      if (record_.attempts == 0 && !waiting()) {
        Attempt();
      }
    }
  }

  void OnBodyEnd() {
    if (done_) {
      return;
    }
    body_complete_ = true;
    if (connection_) {
      std::string end;
      http::AppendBodyEnd(end, request_framing_);
      connection_->SendBody(std::move(end), true);
    } else if (!waiting()) {
      Attempt();
    }
  }

  void OnRefused() {
    if (record_.id.empty()) {
      BeginRecord();
    }
    const http::Refusal& refusal = caller_->refusal();
    refused_status_ = refusal.status;
    GiveUp(AttemptVerdict(Reason::kBadRequest), refusal.reason);
  }

  void OnDeadline() { GiveUp(AttemptVerdict(Reason::kDeadline)); }

  void OnCallerGone() {
    caller_gone_ = true;
    GiveUp(AttemptVerdict(Reason::kCallerGone));
  }

  void OnCallerDrained() {
    if (connection_) {
      connection_->ResumeReading();
    }
  }

 private:
  // The destination of one attempt.
  struct Target {
    ServerId server;
    std::string address;
    Incarnation incarnation;
    Token token;
    HashRange range;
    // The attempt ends at this point even without a response.
    TimePoint deadline = TimePoint::max();
  };

  void BeginRecord() {
    record_.id = state_->NextRequestId();
    record_.started = state_->loop.Now();
    record_.deadline = record_.started;
  }

  [[nodiscard]] bool waiting() const {
    return queued_ || hold_id_ != 0 || timer_ || pool_waiter_;
  }

  void KeepForReplay(std::string_view data) {
    if (!replayable_) {
      return;
    }
    if (connection_ &&
        replay_.size() + data.size() > internal::kMaxReplayBytes) {
      replayable_ = false;
      replay_ = std::string();
      return;
    }
    replay_.append(data);
  }

  void ForwardBody(std::string_view data) {
    std::string bytes;
    http::AppendBody(bytes, request_framing_, data);
    connection_->SendBody(std::move(bytes), false);
    if (connection_ && connection_->unsent() > internal::kMaxWaitingBytes) {
      caller_->PauseReading();
    }
  }

  // Starts the next attempt, or waits until one is possible.
  void Attempt() {
    if (done_) {
      return;
    }
    if (state_->loop.Now() >= record_.deadline) {
      GiveUp(Verdict::NotRun(Reason::kDeadline));
      return;
    }
    caller_->SetDeadline(record_.deadline);
    if (rule_->service.keyed) {
      AttemptAtOwner();
    } else {
      AttemptAtPickedServer();
    }
  }

  void AttemptAtOwner() {
    const KeyRoute route = state_->router.Route(
        rule_->service.name, *record_.key, state_->loop.Now());
    switch (route.state) {
      case RouteState::kServe:
        Send(TargetOf(route));
        return;
      case RouteState::kHold:
        Hold(internal::kMaxRetryPause);
        return;
      case RouteState::kNone:
        GiveUp(Verdict::NotRun(Reason::kNoOwner));
        return;
      case RouteState::kCutOff:
        GiveUp(Verdict::NotRun(Reason::kCutOff));
        return;
    }
  }

  static Target TargetOf(const KeyRoute& route) {
    return {route.server, route.address, route.incarnation,
            route.token,  route.range,   route.deadline};
  }

  [[nodiscard]] TimePoint AttemptDeadline() const {
    return std::min(record_.deadline, target_.deadline);
  }

  void AttemptAtPickedServer() {
    const auto choice =
        state_->picker.Pick(rule_->service.name, tried_, state_->loop.Now());
    if (!choice) {
      GiveUp(last_failure_.value_or(Verdict::NotRun(Reason::kNoServer)));
      return;
    }
    picked_ = true;
    Send({choice->server,
          choice->address,
          choice->incarnation,
          {},
          {},
          TimePoint::max()});
  }

  // Holds the request until the owner changes, for at most `pause`.
  void Hold(Duration pause) {
    if (state_->held.size() >= internal::kMaxHeldRequests) {
      GiveUp(Verdict::NotRun(Reason::kOverload));
      return;
    }
    const auto self = this->shared_from_this();
    const auto wake = [self] {
      self->StopWaiting();
      self->Attempt();
    };
    hold_id_ = state_->held.Add(wake);
    timer_ = state_->loop.AddTimer(state_->loop.Now() + pause, wake);
  }

  // Cancels every wait of the request.
  void StopWaiting() {
    state_->held.Remove(std::exchange(hold_id_, 0));
    if (timer_) {
      state_->loop.CancelTimer(*timer_);
    }
    timer_.reset();
    if (pool_waiter_) {
      pool_->RemoveWaiter(*pool_waiter_);
    }
    pool_waiter_.reset();
    queued_ = false;
  }

  void Send(Target target) {
    target_ = std::move(target);
    if (!PassesQuarantine()) {
      return;
    }
    tracker_.emplace(state_->policies);
    const auto decision = tracker_->Offer(
        state_->Gate(target_.server, rule_->service),
        {.caller = caller_->peer_hash(),
         .priority = rule_->priority,
         .deadline = record_.deadline},
        [self = this->shared_from_this()](const AdmissionDecision& it) {
          self->OnAdmission(it);
        });
    queued_ = decision.state == AdmissionState::kQueued;
    if (!queued_) {
      OnAdmission(decision);
    }
  }

  void OnAdmission(const AdmissionDecision& decision) {
    if (done_) {
      return;
    }
    queued_ = false;
    if (decision.state == AdmissionState::kRefused) {
      retry_at_ = decision.retry_at;
      GiveUp(Verdict::NotRun(decision.reason));
      return;
    }
    pool_ = state_->pools.Get(target_.server, target_.address);
    pool_->SetLimit(state_->ConnectionShare(rule_->service));
    if (pool_->waiting() > 0) {
      WaitForConnection();
      return;
    }
    SendNow();
  }

  // Returns whether the quarantine allows sending the request to the target
  // now. Otherwise the request has been refused or put on hold.
  bool PassesQuarantine() {
    Quarantine* quarantine = state_->policies.quarantine();
    if (quarantine == nullptr) {
      return true;
    }
    fingerprint_ = MakeFingerprint(rule_->service.name, record_.method,
                                   record_.target, DigestBody(replay_));
    switch (
        quarantine->Check(fingerprint_, target_.server, state_->loop.Now())) {
      case QuarantineState::kAllowed:
        return true;
      case QuarantineState::kWait:
        ReleasePickedServer();
        Hold(internal::kInitialRetryPause);
        return false;
      case QuarantineState::kRefused:
        GiveUp(Verdict::NotRun(Reason::kQuarantined));
        return false;
    }
    return false;
  }

  void WaitForConnection() {
    if (pool_->waiting() >= internal::kMaxWaitingRequests) {
      GiveUp(Verdict::NotRun(Reason::kOverload));
      return;
    }
    pool_waiter_ = pool_->AddWaiter([self = this->shared_from_this()] {
      self->pool_waiter_.reset();
      // The owner may have changed while the request waited.
      if (self->rule_->service.keyed) {
        self->AttemptAfterPoolWait();
      } else {
        self->SendNow();
      }
    });
  }

  void AttemptAfterPoolWait() {
    const KeyRoute route = state_->router.Route(
        rule_->service.name, *record_.key, state_->loop.Now());
    if (route.state == RouteState::kServe && route.address == target_.address) {
      target_ = TargetOf(route);
      SendNow();
      return;
    }
    EndAttempt(Verdict::NotRun(Reason::kNotOwner));
    Attempt();
  }

  void SendNow() {
    connection_ = pool_->Acquire([this](const ServerConnection& it) {
      return !used_connections_.Contains(it);
    });
    if (!connection_) {
      WaitForConnection();
      return;
    }
    used_connections_.Add(connection_);
    const TimePoint now = state_->loop.Now();
    ++record_.attempts;
    record_.server = target_.server;
    record_.token = target_.token;
    record_.range = target_.range;
    attempt_started_ = now;
    // A server that does not check its own lease relies on the attempt ending
    // before the lease does.
    caller_->SetDeadline(AttemptDeadline());
    pool_->OnStart(connection_.get());
    tracker_->Sent(fingerprint_, target_.server, target_.incarnation, now);
    const std::uint32_t attempt = record_.attempts;
    connection_->Start(
        RequestBytes(now), record_.method == "HEAD", body_complete_,
        [self = this->shared_from_this(), attempt](ServerEvent event) {
          if (!self->done_ && self->connection_ &&
              self->record_.attempts == attempt) {
            self->OnServerEvent(event);
          }
        });
    caller_->ResumeReading();
  }

  std::string RequestBytes(TimePoint now) {
    const http::MessageHead& head = caller_->head();
    request_framing_ = head.framing;
    std::uint64_t length = head.content_length;
    if (body_complete_ && request_framing_ == http::BodyFraming::kChunked) {
      request_framing_ = http::BodyFraming::kLength;
      length = replay_.size();
    }
    const auto left =
        std::chrono::floor<std::chrono::milliseconds>(AttemptDeadline() - now);
    std::string bytes = BuildRequestHead(
        head, {.id = record_.id,
               .key = record_.key,
               .token = target_.token,
               .timeout = std::max(left, std::chrono::milliseconds(1)),
               .framing = request_framing_,
               .content_length = length});
    http::AppendBody(bytes, request_framing_, replay_);
    return bytes;
  }

  void OnServerEvent(ServerEvent event) {
    switch (event) {
      case ServerEvent::kHead:
        OnResponseHead();
        return;
      case ServerEvent::kBody:
        OnResponseBody();
        return;
      case ServerEvent::kEnd:
        OnResponseEnd();
        return;
      case ServerEvent::kDrained:
        caller_->ResumeReading();
        return;
      case ServerEvent::kFailed:
        OnFailed();
        return;
    }
  }

  void OnResponseHead() {
    const http::MessageHead& head = connection_->head();
    if (internal::IsNotRunResponse(head)) {
      OnServerRefused(internal::RefusalVerdict(head));
      return;
    }
    record_.status = head.status;
    response_framing_ = head.framing;
    hold_response_ = head.framing == http::BodyFraming::kNone ||
                     (head.framing == http::BodyFraming::kLength &&
                      head.content_length <= internal::kMaxHeldResponseBytes);
    keep_alive_ = KeepsAlive();
    response_ = BuildResponseHead(head, record_.id, keep_alive_);
  }

  void OnServerRefused(Verdict verdict) {
    const auto connection = std::move(connection_);
    connection_.reset();
    connection->Discard(
        [pool = pool_, connection] { pool->Release(connection); });
    ++record_.sent;
    EndAttempt(verdict);
    RetryOrGiveUp(verdict, true);
  }

  void OnResponseBody() {
    http::AppendBody(response_, response_framing_, connection_->body());
    if (hold_response_) {
      return;
    }
    committed_ = true;
    caller_->Write(std::exchange(response_, std::string()));
    if (connection_ && caller_->unsent() > internal::kMaxWaitingBytes) {
      connection_->PauseReading();
    }
  }

  void OnResponseEnd() {
    ++record_.sent;
    http::AppendBodyEnd(response_, response_framing_);
    const auto connection = std::move(connection_);
    connection_.reset();
    pool_->Release(connection);
    EndAttempt(Verdict::Answered());
    caller_->Write(std::exchange(response_, std::string()));
    Finish(Verdict::Answered());
    caller_->FinishResponse(keep_alive_ && caller_->request_complete());
  }

  void OnFailed() {
    const auto connection = std::move(connection_);
    connection_.reset();
    const bool written = connection->written();
    record_.sent += written ? 1 : 0;
    const Verdict verdict =
        internal::FailureVerdict(connection->failure(), written);
    EndAttempt(verdict, connection->failure());
    if (committed_) {
      AbortResponse(verdict);
      return;
    }
    RetryOrGiveUp(verdict, written);
  }

  // Releases the picked server. Nothing was sent to it, so it does not count
  // as tried.
  void ReleasePickedServer() {
    if (std::exchange(picked_, false)) {
      state_->picker.Finished(rule_->service.name, target_.server,
                              Verdict::NotRun(Reason::kNone), Duration(0),
                              state_->loop.Now());
    }
  }

  // Reports the outcome of an attempt to the policies, the picker and the
  // daemon.
  void EndAttempt(Verdict verdict,
                  ServerFailure failure = ServerFailure::kNone) {
    const TimePoint now = state_->loop.Now();
    if (tracker_) {
      tracker_->End(verdict, failure, now);
      tracker_.reset();
    }
    if (std::exchange(picked_, false)) {
      tried_.push_back(target_.server);
      state_->picker.Finished(rule_->service.name, target_.server, verdict,
                              now - attempt_started_, now);
    }
    if (!state_->hooks.on_contact) {
      return;
    }
    if (const auto kind = internal::ContactKindOf(verdict)) {
      state_->hooks.on_contact(
          {target_.server, rule_->service.name, *kind, now});
    }
  }

  // Retries after a failed attempt, or ends the request.
  void RetryOrGiveUp(Verdict verdict, bool sent) {
    response_.clear();
    last_failure_ = verdict;
    if (verdict.outcome() == Outcome::kMayHaveRun) {
      may_have_run_ = verdict;
    }
    if (!verdict.SafeToRetry(rule_->idempotent) || !replayable_) {
      GiveUp(verdict);
      return;
    }
    // A not-owner refusal does not count against the retry budget: the server
    // has done no work, and retries at the owner are paced by pauses. A
    // slightly stale ownership table would otherwise exhaust the budget.
    const bool takes_budget = sent && verdict.reason() != Reason::kNotOwner;
    if (takes_budget &&
        !state_->policies.Budget(rule_->service).TryRetry(state_->loop.Now())) {
      GiveUp(verdict.outcome() == Outcome::kNotRun
                 ? Verdict::NotRun(Reason::kRetryBudget)
                 : verdict);
      return;
    }
    if (rule_->service.keyed) {
      RetryAtOwner();
    } else if (tried_.size() < internal::kMaxPlainAttempts) {
      Attempt();
    } else {
      GiveUp(verdict);
    }
  }

  // Looks up the owner again. Retries at once if it has changed, otherwise
  // after a pause, since the same owner would most likely fail again.
  void RetryAtOwner() {
    const KeyRoute route = state_->router.Route(
        rule_->service.name, *record_.key, state_->loop.Now());
    if (route.state == RouteState::kServe &&
        (route.server != target_.server || route.token != target_.token)) {
      Attempt();
      return;
    }
    Hold(retry_pause_);
    retry_pause_ = std::min(retry_pause_ * 2, internal::kMaxRetryPause);
  }

  // Returns the verdict for the current attempt if it ends now for `reason`.
  [[nodiscard]] Verdict AttemptVerdict(Reason reason) const {
    if (connection_ && connection_->written()) {
      return Verdict::MayHaveRun(reason);
    }
    return Verdict::NotRun(reason);
  }

  // Ends the request without a response from a server.
  void GiveUp(Verdict verdict, std::string_view detail = {}) {
    if (done_) {
      return;
    }
    StopWaiting();
    AbandonAttempt(verdict);
    if (may_have_run_ && verdict.outcome() == Outcome::kNotRun) {
      verdict = *may_have_run_;
    }
    if (committed_) {
      AbortResponse(verdict);
      return;
    }
    if (caller_gone_) {
      Finish(verdict);
      return;
    }
    record_.status = verdict.outcome() == Outcome::kNotRun
                         ? refused_status_.value_or(verdict.HttpStatus())
                         : verdict.HttpStatus();
    const bool keep_alive = KeepsAlive();
    caller_->Write(
        BuildLocalResponse({.id = record_.id,
                            .verdict = verdict,
                            .status = record_.status,
                            .detail = detail,
                            .retry_after = internal::RetryAfter(
                                verdict, retry_at_, state_->loop.Now()),
                            .keep_alive = keep_alive,
                            .head_only = record_.method == "HEAD"}));
    Finish(verdict);
    caller_->FinishResponse(keep_alive);
  }

  void AbandonAttempt(Verdict verdict) {
    if (!connection_) {
      if (picked_ || tracker_) {
        EndAttempt(verdict);
      }
      return;
    }
    const auto connection = std::move(connection_);
    connection_.reset();
    record_.sent += connection->written() ? 1 : 0;
    connection->Abandon();
    EndAttempt(verdict);
  }

  // Ends a request whose response has been partly sent: resets the caller's
  // connection, since the response can no longer be replaced.
  void AbortResponse(Verdict verdict) {
    Finish(verdict);
    caller_->Abort();
  }

  [[nodiscard]] bool KeepsAlive() const {
    return caller_->head().keep_alive && caller_->request_complete() &&
           !refused_status_ && !state_->stopping;
  }

  void Finish(Verdict verdict) {
    done_ = true;
    --state_->in_flight;
    record_.verdict = verdict;
    record_.finished = state_->loop.Now();
    replay_ = std::string();
    if (state_->hooks.on_finished) {
      state_->hooks.on_finished(record_);
    }
  }

  std::shared_ptr<State> state_;
  std::shared_ptr<CallerConnection> caller_;
  RequestRecord record_;
  std::shared_ptr<const RouteTable> routes_;
  const RouteRule* rule_ = nullptr;
  bool done_ = false;
  bool caller_gone_ = false;
  std::optional<int> refused_status_;

  // The request's body.
  std::uint64_t received_ = 0;
  bool body_complete_ = false;
  bool replayable_ = true;
  std::string replay_;
  http::BodyFraming request_framing_ = http::BodyFraming::kNone;

  // The current attempt.
  Target target_;
  std::shared_ptr<ServerPool> pool_;
  std::shared_ptr<ServerConnection> connection_;
  TimePoint attempt_started_;
  Fingerprint fingerprint_;
  std::optional<AttemptTracker> tracker_;
  std::optional<TimePoint> retry_at_;
  bool picked_ = false;
  bool queued_ = false;

  // Earlier attempts.
  std::vector<ServerId> tried_;
  UsedConnections used_connections_;
  std::optional<Verdict> last_failure_;
  std::optional<Verdict> may_have_run_;
  Duration retry_pause_ = internal::kInitialRetryPause;

  // What the request waits for.
  std::uint64_t hold_id_ = 0;
  std::optional<net::EventLoop::TimerId> timer_;
  std::optional<ServerPool::WaiterId> pool_waiter_;

  // The response.
  http::BodyFraming response_framing_ = http::BodyFraming::kNone;
  bool hold_response_ = false;
  bool committed_ = false;
  bool keep_alive_ = true;
  std::string response_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_EXCHANGE_H_
