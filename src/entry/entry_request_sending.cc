// The part of EntryRequest that sends requests to servers.
#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "entry/entry_request.h"
#include "entry/message_writer.h"
#include "http/status.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

using http::status::kUnavailable;

// An idempotent request is retried at another server if there is no response
// within this multiple of the server's processing time, or within the minimum
// time if that is longer.
constexpr int kResponseTimeoutFactor = 5;
constexpr Duration kMinResponseTimeout = milliseconds(800);
// A request should be answered within this multiple of the server's expected
// latency, and within the minimum time if that is longer. Otherwise the path to
// the servers is in question.
constexpr int kSilenceFactor = 2;
constexpr Duration kMinSilence = milliseconds(250);

// Time from the choice of a server to the first byte above which it is logged.
constexpr Duration kLoggedSendDelay = milliseconds(200);

}  // namespace

std::shared_ptr<proxy::ServerConnection> EntryRequest::Acquire(
    proxy::ServerPool& pool) const {
  return pool.Acquire(
      [this](const proxy::ServerConnection& it) {
        // Without an id, every earlier response could be the expected one.
        return !id_.empty() && !used_connections_.Contains(it);
      },
      [this] { return !state_->descriptors.IsReserveReached(); });
}

void EntryRequest::Send(const ServerChoice& choice) {
  auto connection = Acquire(*state_->Pool(*choice.server));
  if (!connection) {
    Refuse(kUnavailable, Reason::kOverload, kRejectedRetryAfter);
    return;
  }
  SendOver(std::move(connection), choice);
}

void EntryRequest::SendOver(std::shared_ptr<proxy::ServerConnection> connection,
                            const ServerChoice& choice) {
  const routing::BackendServer& server = *choice.server;
  pool_ = state_->Pool(server);
  relay_.clear();
  connection_ = std::move(connection);
  used_connections_.Add(connection_);
  server_ = server.id;
  incarnation_ = server.incarnation;
  tried_.push_back(server.id);
  report_.reset();
  skipped_responses_ = 0;
  response_body_.clear();
  has_response_head_ = false;
  attempt_started_ = state_->loop.Now();
  send_delay_recorded_ = false;
  if (server.draining) {
    state_->metrics.Count("requests_to_draining_total");
  }
  if (state_->limits.WarmupRate(server.id, attempt_started_)) {
    state_->metrics.Count("requests_to_cold_total");
  }
  if (server.zone != state_->zone) {
    state_->metrics.Count("zone_crossings_total");
  }
  RecordEntriesAge(attempt_started_);
  state_->loads.OnSent(server_);
  state_->limits.OnSent(server_, attempt_started_);
  pool_->OnStart(connection_.get());
  state_->reachability.OnSent(AnswerDue(server, attempt_started_));
  if (route_->idempotent) {
    response_timer_.Set(ResponseDue(server, attempt_started_));
  }
  AwaitSlowness();
  const auto left = std::max<Duration>(TimeLeft(), milliseconds(1));
  connection_->Start(
      RequestHead(caller_->head(), state_->headers,
                  {.id = id_,
                   .server = server.id,
                   .key = key_,
                   .time_left = left,
                   .body_size = body_.size()}) +
          body_,
      caller_->head().method == "HEAD", true,
      [self = shared_from_this()](proxy::ServerEvent event) {
        self->OnServerEvent(event);
      },
      choice.send_until);
}

TimePoint EntryRequest::ResponseDue(const routing::BackendServer& server,
                                    TimePoint now) const {
  return now + std::max(kMinResponseTimeout, state_->loads.ProcessingTime(
                                                 server, now, route_->name) *
                                                 kResponseTimeoutFactor);
}

TimePoint EntryRequest::AnswerDue(const routing::BackendServer& server,
                                  TimePoint now) const {
  return now + std::max(kMinSilence, state_->loads.ExpectedLatency(
                                         server, now, route_->name) *
                                         kSilenceFactor);
}

void EntryRequest::RecordEntriesAge(TimePoint now) {
  const EntriesStatus entries = state_->entries_status();
  const Duration age = now - entries.current_at;
  state_->metrics.RecordEntriesAge(entries.source, age);
  const bool lifted = state_->drain_bound.IsLifted(entries, now);
  state_->send_ages.Record(lifted ? "lifted" : entries.source, age);
  if (lifted) {
    state_->metrics.Count("sends_without_drain_bound_total");
  }
}

void EntryRequest::RecordSendDelay() {
  if (std::exchange(send_delay_recorded_, true)) {
    return;
  }
  const TimePoint now = state_->loop.Now();
  const Duration delay = now - attempt_started_;
  state_->metrics.RecordSendDelay(delay);
  if (delay >= kLoggedSendDelay && state_->log_budget.Take(now)) {
    Log(LogLevel::kWarning, "sent_late",
        {{"request", id_},
         {"server", server_.value()},
         {"ms", delay / milliseconds(1)}});
  }
}

}  // namespace gentianreach::entry
