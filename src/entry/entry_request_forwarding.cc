// The part of EntryRequest that sends requests through other daemons.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "entry/entry_request.h"
#include "entry/message_writer.h"
#include "http/status.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

using http::status::kBadGateway;
using http::status::kUnavailable;

// Relays that are tried per request.
constexpr std::size_t kMaxRelays = 3;
// A relay's deadline is this much earlier than the caller's, so that the
// relay's own verdict arrives in time.
constexpr Duration kRelayMargin = milliseconds(20);

}  // namespace

Reason EntryRequest::ReasonNotToRelay() const {
  if (state_->stopping) {
    return Reason::kDraining;
  }
  const auto text = caller_->head().Get(kConfigVersionField);
  const std::uint64_t version = text ? ParseNumber(*text).value_or(0) : 0;
  const bool is_outdated = !routes_ || routes_->config().version < version;
  return is_outdated || state_->reachability.lost() ? Reason::kCutOff
                                                    : Reason::kNone;
}

const Relay* EntryRequest::ChooseRelay() const {
  return tried_relays_.size() >= kMaxRelays
             ? nullptr
             : state_->relays.Choose(state_->zone, tried_relays_,
                                     state_->loop.Now());
}

void EntryRequest::Forward() {
  if (origin_ == RequestOrigin::kCaller && !state_->relays.known()) {
    Hold({.reason = Reason::kCutOff, .retry_after = kNotReadyRetryAfter});
    return;
  }
  const Relay* relay =
      origin_ == RequestOrigin::kCaller ? ChooseRelay() : nullptr;
  if (relay == nullptr) {
    Refuse(kUnavailable, Reason::kCutOff, kNotReadyRetryAfter);
    return;
  }
  ForwardThrough(*relay);
}

void EntryRequest::ForwardThrough(const Relay& relay) {
  pool_ = state_->RelayPool(relay.address);
  auto connection = pool_->Acquire();
  if (!connection) {
    Refuse(kUnavailable, Reason::kOverload, kRejectedRetryAfter);
    return;
  }
  connection_ = std::move(connection);
  relay_ = relay.name;
  tried_relays_.push_back(relay.name);
  response_body_.clear();
  attempt_started_ = state_->loop.Now();
  state_->relays.OnSent(relay_);
  connection_->Start(
      RequestHead(
          caller_->head(), state_->headers,
          {.id = id_,
           .forward = ForwardFields{routes_->config().version, attempts_},
           .key = key_,
           .time_left =
               std::max<Duration>(TimeLeft() - kRelayMargin, milliseconds(1)),
           .body_size = body_.size()}) +
          body_,
      caller_->head().method == "HEAD", true,
      [self = shared_from_this()](proxy::ServerEvent event) {
        self->OnServerEvent(event);
      });
}

void EntryRequest::OnRelayEvent(proxy::ServerEvent event) {
  switch (event) {
    case proxy::ServerEvent::kHead:
      OnRelayHead();
      break;
    case proxy::ServerEvent::kBody:
      OnResponseBody();
      break;
    case proxy::ServerEvent::kEnd:
      OnRelayEnd();
      break;
    case proxy::ServerEvent::kDrained:
      break;
    case proxy::ServerEvent::kFailed:
      OnRelayFailed();
      break;
  }
}

void EntryRequest::OnRelayHead() {
  const http::MessageHead& head = connection_->head();
  const auto id = head.Get(std::string_view(state_->headers.request_id));
  if (id.value_or("") == id_ && head.Get(kVerdictField)) {
    response_head_ = head;
    OnRelayedServer();
    return;
  }
  // Not the response of a daemon to this request.
  const auto connection = std::exchange(connection_, nullptr);
  connection->Abandon();
  may_have_run_ = true;
  EndForward(RelayResult::kFailed);
  Refuse(kBadGateway, Reason::kTruncated, {});
}

void EntryRequest::OnRelayedServer() {
  const auto server = response_head_.Get(kServerField);
  const auto text = response_head_.Get(kIncarnationField);
  const auto incarnation = text ? ParseNumber(*text) : std::nullopt;
  if (!server || !incarnation) {
    return;
  }
  server_ = ServerId(std::string(*server));
  incarnation_ = Incarnation(*incarnation);
  if (IsLeaving(response_head_, state_->headers)) {
    state_->OnLeaving(server_, incarnation_);
  }
}

void EntryRequest::OnRelayEnd() {
  const auto connection = std::exchange(connection_, nullptr);
  pool_->Release(connection);
  if (response_head_.Get(kVerdictField) == ToString(Outcome::kAnswered)) {
    EndForward(RelayResult::kAnswered);
    Deliver();
    return;
  }
  const auto reason = response_head_.Get(kReasonField);
  const bool unable = reason == ToString(Reason::kCutOff) ||
                      reason == ToString(Reason::kDraining);
  const std::uint32_t attempts = StatedAttempts(response_head_);
  const bool sent = attempts > attempts_;
  attempts_ = std::max(attempts_, attempts);
  if (response_head_.status == kUnavailable && unable &&
      (!sent || MayRetry(true))) {
    EndForward(RelayResult::kUnable);
    Attempt();
    return;
  }
  EndForward(RelayResult::kAnswered);
  if (may_have_run_ && http::status::PromisesNotRun(response_head_.status)) {
    Refuse(kBadGateway, Reason::kConnectionLost, {});
    return;
  }
  SendResponse("refused_by_relay");
}

void EntryRequest::OnRelayFailed() {
  const auto connection = std::exchange(connection_, nullptr);
  if (connection->failure() == proxy::ServerFailure::kMalformed) {
    state_->OnInvalidResponse("relay", relay_, *connection);
  }
  EndForward(RelayResult::kFailed);
  if (committed_) {
    Finish(0, "broken_off");
    caller_->Abort();
    return;
  }
  if (!connection->written()) {
    Attempt();
    return;
  }
  // The relay may have made all the attempts that the route allows.
  may_have_run_ = true;
  Refuse(kBadGateway, Reason::kConnectionLost, {});
}

void EntryRequest::OnServersLost() {
  if (done_ || committed_ || !connection_ || !relay_.empty()) {
    return;
  }
  const auto self = shared_from_this();
  // Connections that are older than the loss may live on, so a request that was
  // sent is sent again only if no server has answered since.
  const bool sent =
      connection_->written() || (hedge_ && hedge_->connection()->written());
  if (sent && (origin_ == RequestOrigin::kDaemon || !route_->idempotent ||
               state_->reachability.last_answer() >= attempt_started_ ||
               attempts_ + AttemptsUnderWay() >= route_->max_attempts ||
               !MayRetry(true))) {
    return;
  }
  SendAnotherWay();
}

void EntryRequest::SendAnotherWay() {
  if (hedge_) {
    CancelHedge(hedge_->connection()->written() ? AttemptResult::kBroken
                                                : AttemptResult::kUnreachable);
  }
  const bool sent = AbandonAttempt();
  EndAttempt(sent ? AttemptResult::kBroken : AttemptResult::kUnreachable);
  Attempt();
}

void EntryRequest::EndForward(RelayResult result) {
  response_timer_.Clear();
  state_->relays.OnEnd(relay_, result, state_->loop.Now());
  state_->metrics.Count("forwards_total",
                        "outcome=\"" + std::string(ToString(result)) + "\"");
}

}  // namespace gentianreach::entry
