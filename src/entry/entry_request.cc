#include "entry/entry_request.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <random>
#include <utility>

#include "base/log.h"
#include "http/serializer.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Answers up to this size are held until they are whole.
constexpr std::size_t kMostHeldBytes = 256 * 1024;
// Largest request body; it is held until it has been sent for the last time.
constexpr std::uint64_t kMostBodyBytes = 16 * 1024 * 1024;
// Bytes that may wait for the caller before the server is no longer read.
constexpr std::size_t kMostUnsentBytes = 64 * 1024;
// Answers to other requests that are skipped on one connection.
constexpr int kMostSkippedAnswers = 4;
// Connections that may fail before the request is given up.
constexpr std::uint32_t kMostFailedConnects = 4;
// How long a request waits for an owner whose keys are just moving.
constexpr Duration kLongestHold = milliseconds(400);
// How long the owner of keys is still used after it has announced to leave: its
// keys have usually moved by then. Servers may expect nothing after two
// seconds.
constexpr Duration kLongestUseOfDraining = milliseconds(1500);
// Pause after an owner that does not hold the key, unless the table changes.
constexpr Duration kMisdirectedPause = milliseconds(60);
// The least part of the objective that a request waits for an owner. It waits
// longer where it could still be answered within the objective.
constexpr int kHoldObjectiveParts = 2;
// A repeatable request goes to another server when its own has been silent for
// this multiple of its usual time, and at least for the shortest time.
constexpr int kSilenceFactor = 5;
constexpr Duration kShortestSilence = milliseconds(800);
// Retry-After while there is no configuration, owner or server.
constexpr Duration kNotReadyRetryAfter = milliseconds(300);
// Retry-After when the server rejected the request for lack of room.
constexpr Duration kRejectedRetryAfter = milliseconds(120);
// Random part of the latencies that are compared, so that daemons with the
// same view do not all choose the same server.
constexpr double kChoiceNoise = 0.15;

// A server in another zone is taken when it is faster by this factor: what
// crosses zones is paid for.
constexpr double kOtherZoneFactor = 1.5;

// Servers of a large service of which the best is chosen. Daemons that all
// chose from all servers would all choose the same few.
constexpr std::size_t kSampleSize = 8;
// Those of them that are in the daemon's own zone, where there are as many.
constexpr std::size_t kNearSample = 6;

std::minstd_rand& Generator() {
  static std::minstd_rand generator{std::random_device{}()};
  return generator;
}

double Noise() {
  return std::uniform_real_distribution<double>(1,
                                                1 + kChoiceNoise)(Generator());
}

// Returns up to kSampleSize servers, most of them of `zone` where it has
// enough.
std::vector<const routing::BackendServer*> Sample(
    const std::vector<const routing::BackendServer*>& servers,
    const ZoneName& zone) {
  std::vector<const routing::BackendServer*> near;
  std::vector<const routing::BackendServer*> far;
  for (const routing::BackendServer* it : servers) {
    (it->zone == zone ? near : far).push_back(it);
  }
  std::vector<const routing::BackendServer*> sample;
  std::sample(near.begin(), near.end(), std::back_inserter(sample), kNearSample,
              Generator());
  std::sample(far.begin(), far.end(), std::back_inserter(sample),
              kSampleSize - sample.size(), Generator());
  return sample;
}

}  // namespace

EntryRequest::EntryRequest(std::shared_ptr<EntryState> state,
                           std::shared_ptr<proxy::CallerConnection> caller)
    : state_(std::move(state)),
      caller_(std::move(caller)),
      routes_(state_->routes),
      started_(state_->loop.Now()),
      deadline_(TimePoint::max()),
      silence_timer_(state_->loop, [this] { OnSilence(); }),
      hold_timer_(state_->loop, [this] {
        StopWaiting();
        RetryOrEnd(false, Reason::kNoOwner, kNotReadyRetryAfter);
      }) {
  ++state_->in_flight;
}

EntryRequest::~EntryRequest() {
  StopWaiting();
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
    case proxy::CallerEvent::kGone:
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
  if (!routes_) {
    deadline_ = started_ + kNotReadyRetryAfter * 4;
    End(kUnavailable, Reason::kNone, kNotReadyRetryAfter);
    return;
  }
  routing::RouteEntry* entry =
      routes_->Find(*head.Get(http::FieldId::host), head.target);
  if (entry == nullptr) {
    End(kNotFound, Reason::kNoRoute, {});
    return;
  }
  route_ = &entry->route;
  deadline_ = RequestDeadline(head, names, *route_, started_);
  const std::uint64_t most =
      std::min(routes_->config().limits.max_body_bytes, kMostBodyBytes);
  if (head.content_length > most) {
    End(kTooLarge, Reason::kTooLarge, {});
    return;
  }
  service_ = &routes_->config().services.at(
      route_->split[entry->split.Next()].service);
  state_->Budget(service_->name).OnRequest(started_);
  if (service_->keyed) {
    const auto text = head.Get(std::string_view(names.key));
    key_ = text ? ParseNumber(*text, keyspace::kKeyCount - 1) : std::nullopt;
    if (!key_) {
      End(400, Reason::kBadRequest, {});
      return;
    }
    state_->CountKey(service_->name, *key_);
  }
  caller_->SetDeadline(deadline_);
  if (!caller_->request_complete() && head.Get(http::FieldId::expect)) {
    caller_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void EntryRequest::OnBody() {
  if (done_) {
    return;
  }
  body_.append(caller_->body());
  const std::uint64_t most =
      std::min(routes_->config().limits.max_body_bytes, kMostBodyBytes);
  if (body_.size() > most) {
    End(kTooLarge, Reason::kTooLarge, {});
  }
}

void EntryRequest::OnBodyEnd() {
  if (done_) {
    return;
  }
  const http::MessageHead& head = caller_->head();
  fingerprint_ = MakeFingerprint(ServiceName(service_->name), head.method,
                                 head.target, DigestBody(body_));
  if (state_->crashes.IsRefused(fingerprint_, started_)) {
    End(kUnavailable, Reason::kQuarantined, {});
    return;
  }
  Attempt();
}

void EntryRequest::OnRefused() {
  const http::Refusal& refusal = caller_->refusal();
  End(refusal.status, Reason::kBadRequest, {});
}

void EntryRequest::OnDeadline() {
  if (done_) {
    return;
  }
  if (route_ == nullptr || !connection_) {
    End(may_have_run_ ? kGatewayTimeout : kUnavailable, Reason::kDeadline, {});
    return;
  }
  const bool sent = connection_->written();
  const auto connection = std::exchange(connection_, nullptr);
  connection->Abandon();
  may_have_run_ = may_have_run_ || sent;
  const bool silent = state_->loads.last_answer(server_) < attempt_started_;
  EndAttempt(silent ? AttemptResult::kBroken : AttemptResult::kCancelled);
  End(may_have_run_ ? kGatewayTimeout : kUnavailable, Reason::kDeadline, {});
}

void EntryRequest::Attempt() {
  if (done_) {
    return;
  }
  const Choice choice = service_->keyed ? ChooseOwner() : ChooseAny();
  if (choice.wait) {
    HoldForOwner(choice);
    return;
  }
  if (choice.server == nullptr) {
    End(kUnavailable, choice.reason, choice.retry_after);
    return;
  }
  Send(*choice.server);
}

EntryRequest::Choice EntryRequest::ChooseOwner() {
  const keyspace::OwnershipTable* table =
      state_->ownership.Find(service_->name);
  if (table == nullptr) {
    return {.reason = Reason::kNoOwner, .retry_after = kNotReadyRetryAfter};
  }
  const keyspace::OwnedRange& range = table->Find(*key_);
  const routing::BackendServer* server =
      state_->directory.Find(range.owner.server);
  const bool known =
      server != nullptr && server->incarnation == range.owner.incarnation;
  const bool leaves =
      known && server->draining &&
      state_->loop.Now() > server->draining_since + kLongestUseOfDraining;
  if (range.moving() || !known || leaves) {
    return {.reason = Reason::kNoOwner,
            .retry_after = kNotReadyRetryAfter,
            .wait = true};
  }
  if (state_->loads.IsAvoided(server->id, state_->loop.Now())) {
    // Its queue is full, or it is gone: more requests would only be lost.
    return {.reason = Reason::kOverload, .retry_after = kRejectedRetryAfter};
  }
  return Admit(*server);
}

EntryRequest::Choice EntryRequest::ChooseAny() {
  const TimePoint now = state_->loop.Now();
  std::vector<const routing::BackendServer*> sound;
  std::vector<const routing::BackendServer*> avoided;
  for (const auto& [id, it] : state_->directory.servers()) {
    if (it.service != service_->name || it.draining ||
        std::find(tried_.begin(), tried_.end(), id) != tried_.end()) {
      continue;
    }
    (state_->loads.IsAvoided(id, now) ? avoided : sound).push_back(&it);
  }
  const auto& servers = sound.empty() ? avoided : sound;
  if (servers.empty()) {
    return {.reason = Reason::kNoServer, .retry_after = kNotReadyRetryAfter};
  }
  const routing::BackendServer* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (const routing::BackendServer* it : Sample(servers, state_->zone)) {
    const double score = Score(*it, now);
    if (score < best_score) {
      best_score = score;
      best = it;
    }
  }
  return Admit(*best);
}

double EntryRequest::Score(const routing::BackendServer& server,
                           TimePoint now) const {
  const ServerLoads& loads = state_->loads;
  const bool is_near = server.zone == state_->zone;
  return std::chrono::duration<double>(loads.ExpectedLatency(server, now))
             .count() *
         (1 + loads.Utilization(server, now)) *
         loads.FailurePenalty(server.id, now) *
         (is_near ? 1 : kOtherZoneFactor) * Noise();
}

EntryRequest::Choice EntryRequest::Admit(
    const routing::BackendServer& server) const {
  const TimePoint now = state_->loop.Now();
  const Duration expected = state_->loads.ExpectedLatency(server, now);
  const Duration longest = LongestLatency(
      *route_, state_->loads.ProcessingTime(server, now), TimeLeft());
  if (expected > longest || !state_->loads.HasRoom(server, now)) {
    return {.reason = Reason::kOverload,
            .retry_after =
                std::max<Duration>(expected - longest, kRejectedRetryAfter)};
  }
  return {.server = &server};
}

void EntryRequest::HoldForOwner(const Choice& choice) {
  const TimePoint now = state_->loop.Now();
  if (hold_until_ == TimePoint{}) {
    const Duration objective = route_->latency_objective;
    const Duration hold = std::max(objective - state_->loads.UsualTime(),
                                   objective / kHoldObjectiveParts);
    hold_until_ = std::min(now + std::min(hold, kLongestHold), deadline_);
  }
  if (now >= hold_until_) {
    End(kUnavailable, choice.reason, choice.retry_after);
    return;
  }
  hold_ = state_->held.Add([self = shared_from_this()] {
    self->hold_ = 0;
    self->hold_timer_.Clear();
    self->Attempt();
  });
  // A server that is to hold the key may just not have its grant yet.
  hold_timer_.Set(choice.reason == Reason::kNotOwner
                      ? std::min(hold_until_, now + kMisdirectedPause)
                      : hold_until_);
}

void EntryRequest::StopWaiting() {
  if (hold_ != 0) {
    state_->held.Remove(std::exchange(hold_, 0));
  }
  hold_timer_.Clear();
}

void EntryRequest::Send(const routing::BackendServer& server) {
  auto connection = state_->Pool(server)->Acquire();
  if (!connection) {
    End(kUnavailable, Reason::kOverload, kRejectedRetryAfter);
    return;
  }
  SendOver(std::move(connection), server);
}

void EntryRequest::SendOver(std::shared_ptr<proxy::ServerConnection> connection,
                            const routing::BackendServer& server) {
  pool_ = state_->Pool(server);
  connection_ = std::move(connection);
  server_ = server.id;
  tried_.push_back(server.id);
  report_.reset();
  skipped_answers_ = 0;
  answer_body_.clear();
  attempt_started_ = state_->loop.Now();
  state_->loads.OnSent(server_);
  pool_->OnStart(connection_.get());
  if (route_->idempotent) {
    const Duration usual =
        state_->loads.ProcessingTime(server, attempt_started_);
    silence_timer_.Set(attempt_started_ +
                       std::max(kShortestSilence, usual * kSilenceFactor));
  }
  connection_->Start(BuildRequest(server) + body_,
                     caller_->head().method == "HEAD", true,
                     [self = shared_from_this()](proxy::ServerEvent event) {
                       self->OnServerEvent(event);
                     });
}

std::string EntryRequest::BuildRequest(
    const routing::BackendServer& server) const {
  const http::MessageHead& head = caller_->head();
  const HeaderNames& names = state_->headers;
  const auto left = std::max<std::int64_t>(
      1, std::chrono::duration_cast<milliseconds>(TimeLeft()).count());
  std::string out;
  http::AppendRequestLine(out, head);
  http::AppendPassedFields(out, head);
  if (!id_.empty()) {
    http::AppendField(out, names.request_id, id_);
  }
  http::AppendField(out, names.deadline_ms, static_cast<std::uint64_t>(left));
  http::AppendField(out, names.expected_server, server.id.value());
  if (key_) {
    http::AppendField(out, names.key, *key_);
  }
  const bool has_length = head.Count(http::FieldId::content_length) != 0;
  if (!body_.empty() || has_length ||
      head.framing == http::BodyFraming::kChunked) {
    http::AppendField(out, "Content-Length", body_.size());
  }
  http::AppendHeadEnd(out);
  return out;
}

void EntryRequest::OnServerEvent(proxy::ServerEvent event) {
  const auto self = shared_from_this();
  if (done_ || !connection_) {
    return;
  }
  switch (event) {
    case proxy::ServerEvent::kHead:
      OnAnswerHead();
      break;
    case proxy::ServerEvent::kBody:
      OnAnswerBody();
      break;
    case proxy::ServerEvent::kEnd:
      OnAnswerEnd();
      break;
    case proxy::ServerEvent::kDrained:
      break;
    case proxy::ServerEvent::kFailed:
      OnConnectionFailed();
      break;
  }
}

void EntryRequest::OnAnswerHead() {
  const http::MessageHead& head = connection_->head();
  switch (JudgeAnswer(head, state_->headers, id_)) {
    case AnswerKind::kForeign:
      if (++skipped_answers_ <= kMostSkippedAnswers) {
        connection_->SkipAnswer();
        return;
      }
      [[fallthrough]];
    case AnswerKind::kUnusable: {
      const auto connection = std::exchange(connection_, nullptr);
      connection->Abandon();
      may_have_run_ = true;
      ++attempts_;
      EndAttempt(AttemptResult::kBroken);
      RetryOrEnd(true, Reason::kTruncated, {});
      return;
    }
    case AnswerKind::kNotRun:
      OnNotRun(head);
      return;
    case AnswerKind::kFinal:
    case AnswerKind::kServerError:
      break;
  }
  silence_timer_.Clear();
  if (const auto load =
          head.Get(std::string_view(state_->headers.server_load))) {
    report_ = ParseLoadReport(*load);
  }
  answer_head_ = head;
}

void EntryRequest::OnNotRun(const http::MessageHead& head) {
  if (const auto load =
          head.Get(std::string_view(state_->headers.server_load))) {
    report_ = ParseLoadReport(*load);
  }
  constexpr int kMisdirected = 421;
  const bool misdirected = head.status == kMisdirected;
  const auto connection = std::exchange(connection_, nullptr);
  connection->Discard(
      [pool = pool_, connection] { pool->Release(connection); });
  ++attempts_;
  EndAttempt(AttemptResult::kRejected);
  if (misdirected && service_->keyed) {
    // The table that was used is old, or the grant has not arrived yet.
    tried_.clear();
    if (MayRetry(true)) {
      HoldForOwner(
          {.reason = Reason::kNotOwner, .retry_after = kNotReadyRetryAfter});
      return;
    }
    End(kUnavailable, Reason::kNotOwner, kNotReadyRetryAfter);
    return;
  }
  RetryOrEnd(true, misdirected ? Reason::kNotOwner : Reason::kOverload,
             kRejectedRetryAfter);
}

void EntryRequest::OnAnswerBody() {
  answer_body_.append(connection_->body());
  if (!committed_ && answer_body_.size() > kMostHeldBytes) {
    CommitAnswer();
  }
  if (committed_) {
    std::string bytes;
    http::AppendBody(bytes, http::BodyFraming::kChunked,
                     std::exchange(answer_body_, {}));
    caller_->Write(std::move(bytes));
    if (connection_ && caller_->unsent() > kMostUnsentBytes) {
      connection_->PauseReading();
    }
  }
}

void EntryRequest::OnAnswerEnd() {
  const auto connection = std::exchange(connection_, nullptr);
  pool_->Release(connection);
  ++attempts_;
  state_->crashes.OnAnswered(fingerprint_);
  const bool server_error = JudgeAnswer(answer_head_, state_->headers, id_) ==
                            AnswerKind::kServerError;
  EndAttempt(server_error ? AttemptResult::kServerError
                          : AttemptResult::kAnswered);
  if (server_error && !committed_ && route_->idempotent && MayRetry(true)) {
    may_have_run_ = true;
    const Choice choice = service_->keyed ? Choice{} : ChooseAny();
    if (choice.server != nullptr) {
      Send(*choice.server);
      return;
    }
  }
  Deliver();
}

void EntryRequest::OnConnectionFailed() {
  const auto connection = std::exchange(connection_, nullptr);
  const bool sent = connection->written();
  silence_timer_.Clear();
  if (committed_) {
    EndAttempt(AttemptResult::kBroken);
    Finish(0, "broken_off");
    caller_->Abort();
    return;
  }
  if (!sent) {
    ++failed_connects_;
    EndAttempt(AttemptResult::kUnreachable);
    RetryOrEnd(false, Reason::kConnectFailed, kRejectedRetryAfter);
    return;
  }
  ++attempts_;
  may_have_run_ = true;
  state_->crashes.OnLost(fingerprint_, state_->loop.Now());
  EndAttempt(AttemptResult::kBroken);
  RetryOrEnd(true, Reason::kConnectionLost, {});
}

// Nothing has come from the server for long. Where it has answered others
// meanwhile, the request is merely slow.
void EntryRequest::OnSilence() {
  if (done_ || !connection_ || service_->keyed || state_->stopping ||
      state_->loads.last_answer(server_) >= attempt_started_) {
    return;
  }
  const auto self = shared_from_this();
  if (attempts_ + 1 >= route_->max_attempts) {
    return;
  }
  const Choice choice = ChooseAny();
  // The attempt under way is given up only for another that can begin.
  auto next = choice.server == nullptr
                  ? nullptr
                  : state_->Pool(*choice.server)->Acquire();
  if (!next) {
    return;
  }
  if (!MayRetry(true)) {
    state_->Pool(*choice.server)->Release(next);
    return;
  }
  const bool sent = connection_->written();
  const auto connection = std::exchange(connection_, nullptr);
  connection->Abandon();
  attempts_ += sent ? 1 : 0;
  may_have_run_ = may_have_run_ || sent;
  EndAttempt(AttemptResult::kBroken);
  SendOver(std::move(next), *choice.server);
}

void EntryRequest::EndAttempt(AttemptResult result) {
  silence_timer_.Clear();
  const TimePoint now = state_->loop.Now();
  state_->loads.OnEnd(server_, result, now - attempt_started_, report_, now);
  if (result == AttemptResult::kAnswered ||
      result == AttemptResult::kCancelled) {
    return;
  }
  state_->metrics.Count("attempts_failed_total");
  if (state_->log_budget.Take(now)) {
    Log(LogLevel::kInfo, "attempt_failed",
        {{"request", id_},
         {"server", server_.value()},
         {"result", static_cast<int>(result)},
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
      failed_connects_ >= kMostFailedConnects || TimeLeft() <= Duration(0)) {
    return false;
  }
  return !sent || state_->Budget(service_->name).TryRetry(state_->loop.Now());
}

void EntryRequest::RetryOrEnd(bool sent, Reason reason, Duration retry_after) {
  if (done_) {
    return;
  }
  if (MayRetry(sent)) {
    Attempt();
    return;
  }
  End(may_have_run_ ? kBadGateway : kUnavailable, reason, retry_after);
}

void EntryRequest::CommitAnswer() {
  std::string out;
  http::AppendStatusLine(out, answer_head_.status, answer_head_.reason);
  http::AppendPassedFields(out, answer_head_);
  const HeaderNames& names = state_->headers;
  for (const std::string* it : {&names.request_id, &names.response_stamp}) {
    if (const auto value = answer_head_.Get(std::string_view(*it))) {
      http::AppendField(out, *it, *value);
    }
  }
  http::AppendFraming(out, http::BodyFraming::kChunked, 0);
  if (!KeepsAlive()) {
    http::AppendField(out, "Connection", "close");
  }
  http::AppendHeadEnd(out);
  caller_->Write(std::move(out));
  committed_ = true;
}

void EntryRequest::Deliver() {
  const bool keep_alive = KeepsAlive();
  if (committed_) {
    std::string end;
    http::AppendBodyEnd(end, http::BodyFraming::kChunked);
    caller_->Write(std::move(end));
    Finish(answer_head_.status, "answered");
    caller_->FinishAnswer(keep_alive);
    return;
  }
  std::string out;
  out.reserve(answer_body_.size() + 512);
  http::AppendStatusLine(out, answer_head_.status, answer_head_.reason);
  http::AppendPassedFields(out, answer_head_);
  const HeaderNames& names = state_->headers;
  for (const std::string* it : {&names.request_id, &names.response_stamp}) {
    if (const auto value = answer_head_.Get(std::string_view(*it))) {
      http::AppendField(out, *it, *value);
    }
  }
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const bool head_only = caller_->head().method == "HEAD";
  const auto length = answer_head_.Get(http::FieldId::content_length);
  if (head_only || answer_head_.status == kNotModified) {
    if (length) {
      http::AppendField(out, "Content-Length", *length);
    }
  } else if (answer_head_.status != kNoContent) {
    http::AppendField(out, "Content-Length", answer_body_.size());
  }
  if (!keep_alive) {
    http::AppendField(out, "Connection", "close");
  }
  http::AppendHeadEnd(out);
  out.append(answer_body_);
  caller_->Write(std::move(out));
  state_->metrics.RecordLatency(service_->name, state_->loop.Now() - started_);
  Finish(answer_head_.status, "answered");
  caller_->FinishAnswer(keep_alive);
}

// Ends the request with an answer of the daemon's own.
void EntryRequest::End(int status, Reason reason, Duration retry_after) {
  if (done_) {
    return;
  }
  StopWaiting();
  if (may_have_run_ && status == kUnavailable) {
    status = kBadGateway;
  }
  const bool keep_alive = KeepsAlive();
  std::string body = "reason=";
  body.append(ToString(reason));
  body.push_back('\n');
  std::string out;
  http::AppendStatusLine(out, status, http::ReasonPhrase(status));
  if (!id_.empty()) {
    http::AppendField(out, state_->headers.request_id, id_);
  }
  if (status == kUnavailable && retry_after > Duration(0)) {
    const Duration bounded = BoundRetryAfter(retry_after, TimeLeft());
    http::AppendField(out, "Retry-After", FormatSeconds(bounded));
  }
  http::AppendField(out, "Content-Type", "text/plain");
  http::AppendField(out, "Content-Length", body.size());
  if (!keep_alive) {
    http::AppendField(out, "Connection", "close");
  }
  http::AppendHeadEnd(out);
  if (caller_->head().method != "HEAD") {
    out.append(body);
  }
  caller_->Write(std::move(out));
  Finish(status, ToString(reason));
  caller_->FinishAnswer(keep_alive);
}

bool EntryRequest::KeepsAlive() const {
  return caller_->head().keep_alive && caller_->request_complete() &&
         !state_->stopping;
}

void EntryRequest::Finish(int status, std::string_view outcome) {
  if (done_) {
    return;
  }
  done_ = true;
  --state_->in_flight;
  StopWaiting();
  silence_timer_.Clear();
  const TimePoint now = state_->loop.Now();
  state_->metrics.Count("requests_total",
                        "outcome=\"" + std::string(outcome) + "\"");
  if (state_->log_budget.Take(now)) {
    Log(LogLevel::kInfo, "request",
        {{"request", id_},
         {"route", route_ == nullptr ? "" : route_->name},
         {"service", service_ == nullptr ? "" : service_->name},
         {"config", routes_ ? routes_->config().version : 0},
         {"key", key_ ? static_cast<std::int64_t>(*key_) : -1},
         {"server", server_.value()},
         {"attempts", attempts_},
         {"connects_failed", failed_connects_},
         {"may_have_run", may_have_run_},
         {"status", status},
         {"outcome", outcome},
         {"ms", (now - started_) / milliseconds(1)},
         {"left_ms",
          route_ == nullptr ? 0 : (deadline_ - now) / milliseconds(1)}});
  }
  body_ = std::string();
  answer_body_ = std::string();
}

}  // namespace gentianreach::entry
