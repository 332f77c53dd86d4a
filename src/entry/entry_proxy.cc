#include "entry/entry_proxy.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "entry/entry_request.h"

namespace gentianreach::entry {
namespace {

// How long a connection of another daemon may wait for its next request. The
// other daemon closes its idle connections earlier.
constexpr Duration kDaemonIdleTimeout = std::chrono::seconds(60);
// Limit of callers' connections per daemon.
constexpr std::size_t kMaxCallers = 2000;
// Limit of the connections beyond those whose requests are refused. Further
// ones are closed at once.
constexpr std::size_t kMaxTurnedAway = 200;
// How long a connection of a caller that is turned away may wait for its
// request.
constexpr Duration kTurnedAwayTimeout = std::chrono::seconds(2);
// How often a stopping daemon checks whether all requests have ended.
constexpr Duration kStopCheckPeriod = std::chrono::milliseconds(100);
// Time to write out the last responses.
constexpr Duration kFinalFlushTime = std::chrono::milliseconds(200);

}  // namespace

// A caller's connection with its current request.
class EntryProxy::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<EntryState> state,
          std::shared_ptr<proxy::CallerConnection> connection,
          RequestOrigin origin)
      : state_(std::move(state)),
        connection_(std::move(connection)),
        origin_(origin) {}

  void Start(std::function<void(proxy::CallerConnection*)> on_closed) {
    on_closed_ = std::move(on_closed);
    connection_->Start([self = shared_from_this()](proxy::CallerEvent event) {
      self->OnEvent(event);
    });
  }
  void OnStopDeadline() {
    if (request_) {
      request_->OnStopDeadline();
    }
  }
  void OnServersLost() {
    if (request_) {
      request_->OnServersLost();
    }
  }
  void CloseIfIdle() { connection_->CloseIfIdle(); }
  [[nodiscard]] bool IsDelivering() const {
    return connection_->IsDelivering();
  }
  void Abort() { connection_->Abort(); }

 private:
  void OnEvent(proxy::CallerEvent event) {
    if (event == proxy::CallerEvent::kClosed) {
      on_closed_(connection_.get());
      return;
    }
    const bool in_request = request_ && !request_->done();
    if (event == proxy::CallerEvent::kHead ||
        (event == proxy::CallerEvent::kRefused && !in_request)) {
      request_ = std::make_shared<EntryRequest>(state_, connection_, origin_);
    } else if (!in_request) {
      return;
    }
    // Keeps the request alive: the call may start the next request and so
    // replace `request_`.
    const auto request = request_;
    request->OnCallerEvent(event);
  }

  std::shared_ptr<EntryState> state_;
  std::shared_ptr<proxy::CallerConnection> connection_;
  const RequestOrigin origin_;
  std::shared_ptr<EntryRequest> request_;
  std::function<void(proxy::CallerConnection*)> on_closed_;
};

EntryProxy::EntryProxy(std::shared_ptr<EntryState> state)
    : state_(std::move(state)),
      stop_timer_(state_->loop, [this] { CheckStopped(); }) {}

EntryProxy::~EntryProxy() {
  CloseListeners();
  const Sessions sessions = *sessions_;
  for (const auto& [key, it] : sessions) {
    it->Abort();
  }
}

boost::leaf::result<void> EntryProxy::Listen(const std::string& address,
                                             RequestOrigin origin) {
  return listeners_
      .emplace_back(state_->loop,
                    [this, origin](net::TcpSocket socket) {
                      OnConnection(std::move(socket), origin);
                    })
      .Listen(address, false);
}

void EntryProxy::OnServersLost() {
  const Sessions sessions = *sessions_;
  for (const auto& [key, it] : sessions) {
    it->OnServersLost();
  }
}

void EntryProxy::OnConnection(net::TcpSocket socket, RequestOrigin origin) {
  // Another daemon may have sent its request already, so that closing the
  // connection would leave open whether it has run.
  const bool short_of_descriptors =
      origin == RequestOrigin::kDaemon
          ? state_->descriptors.IsInReserve(socket.fd())
          : state_->descriptors.IsBeyondCallers(socket.fd());
  if (sessions_->size() >= kMaxCallers || short_of_descriptors) {
    TurnAway(std::move(socket), origin);
    return;
  }
  routing::CallerLimits limits;
  if (state_->routes) {
    limits = state_->routes->config().limits;
  }
  StartSession(
      std::move(socket), origin, limits.max_header_bytes,
      {.idle = origin == RequestOrigin::kCaller ? Duration(limits.idle_timeout)
                                                : kDaemonIdleTimeout,
       .head = limits.header_timeout});
}

void EntryProxy::TurnAway(net::TcpSocket socket, RequestOrigin origin) {
  state_->metrics.Count("callers_turned_away_total");
  if (state_->log_budget.Take(state_->loop.Now())) {
    Log(LogLevel::kWarning, "caller_turned_away",
        {{"callers", sessions_->size()},
         {"descriptor", socket.fd()},
         {"descriptor_limit", state_->descriptors.limit()}});
  }
  if (origin != RequestOrigin::kCaller ||
      sessions_->size() >= kMaxCallers + kMaxTurnedAway ||
      state_->descriptors.IsInReserve(socket.fd())) {
    return;
  }
  StartSession(std::move(socket), RequestOrigin::kTurnedAway,
               routing::CallerLimits().max_header_bytes,
               {.idle = kTurnedAwayTimeout, .head = kTurnedAwayTimeout});
}

void EntryProxy::StartSession(net::TcpSocket socket,
                              RequestOrigin origin,
                              std::size_t max_header_bytes,
                              const proxy::CallerTimeouts& timeouts) {
  auto connection = std::make_shared<proxy::CallerConnection>(
      state_->loop, std::move(socket), max_header_bytes, timeouts);
  const auto session = std::make_shared<Session>(state_, connection, origin);
  sessions_->emplace(connection.get(), session);
  session->Start([sessions = sessions_](proxy::CallerConnection* it) {
    sessions->erase(it);
  });
}

void EntryProxy::CloseListeners() {
  for (net::Listener& it : listeners_) {
    it.Close();
  }
}

void EntryProxy::Stop(TimePoint accept_until,
                      TimePoint deadline,
                      std::function<void()> done) {
  state_->stopping = true;
  accept_until_ = accept_until;
  stop_deadline_ = deadline;
  stop_done_ = std::move(done);
  CheckStopped();
}

void EntryProxy::CheckStopped() {
  const TimePoint now = state_->loop.Now();
  if (now >= accept_until_) {
    // Connections in the listener's backlog are accepted before it closes.
    for (net::Listener& it : listeners_) {
      it.Accept();
    }
    CloseListeners();
    const Sessions sessions = *sessions_;
    for (const auto& [key, it] : sessions) {
      it->CloseIfIdle();
    }
  }
  if (now >= stop_deadline_ && state_->in_flight > 0) {
    Log(LogLevel::kWarning, "stop_deadline",
        {{"in_flight", state_->in_flight}});
    const Sessions sessions = *sessions_;
    for (const auto& [key, it] : sessions) {
      it->OnStopDeadline();
    }
  }
  const bool ended = now >= accept_until_ && state_->in_flight == 0 &&
                     std::ranges::none_of(*sessions_, [](const auto& it) {
                       return it.second->IsDelivering();
                     });
  if ((ended && now < stop_deadline_) ||
      now >= stop_deadline_ + kFinalFlushTime) {
    Log(LogLevel::kInfo, "callers_done",
        {{"in_flight", state_->in_flight}, {"callers", sessions_->size()}});
    const auto done = std::exchange(stop_done_, nullptr);
    if (done) {
      done();
    }
    return;
  }
  const TimePoint next = now + kStopCheckPeriod;
  stop_timer_.Set(now < stop_deadline_ ? std::min(next, stop_deadline_) : next);
}

}  // namespace gentianreach::entry
