#include "proxy/server_watch.h"

#include <algorithm>
#include <utility>

namespace gentianreach::proxy {
namespace {

// Returns a request with the order `probe`, which changes nothing at the
// server; see docs/PROTOCOLS.md.
std::string ProbeBytes(const std::string& address) {
  const std::string body = R"({"kind":"probe"})";
  return "POST /.gentianreach/order HTTP/1.1\r\nHost: " + address +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

ServerWatch::ServerWatch(net::EventLoop& loop,
                         std::string address,
                         Duration timeout)
    : loop_(loop),
      address_(std::move(address)),
      watch_({.timeout = timeout, .probe_timeout = timeout / 4}),
      timer_(loop, [this] { PollPolicy(); }) {}

void ServerWatch::Add(const Connection& connection) {
  watched_[IdOf(connection.get())] = {.connection = connection};
}

void ServerWatch::Remove(ServerConnection* connection) {
  watched_.erase(IdOf(connection));
  watch_.OnClosed(IdOf(connection));
}

void ServerWatch::OnBusy(ServerConnection* connection) {
  const auto it = watched_.find(IdOf(connection));
  if (it == watched_.end()) {
    return;
  }
  const TimePoint now = loop_.Now();
  if (it->second.busy_since == TimePoint{}) {
    watch_.OnOpened(it->first, now);
  }
  it->second.busy = true;
  it->second.busy_since = now;
  it->second.reported = now;
  watch_.OnBusy(it->first, now);
  if (!timer_.deadline()) {
    Arm();
  }
}

void ServerWatch::OnIdle(ServerConnection* connection) {
  const auto it = watched_.find(IdOf(connection));
  if (it == watched_.end()) {
    return;
  }
  const TimePoint now = loop_.Now();
  it->second.busy = false;
  watch_.OnIdle(it->first, now - it->second.busy_since, now);
}

bool ServerWatch::IsUsable(const ServerConnection* connection) const {
  return watch_.IsUsable(IdOf(connection));
}

void ServerWatch::PollPolicy() {
  const auto self = shared_from_this();
  const TimePoint now = loop_.Now();
  QueryKernel(now);
  for (const auto& action : watch_.Poll(now)) {
    Execute(action);
  }
  Arm();
}

// Reports the progress and acknowledgement state of each busy connection to the
// policy.
void ServerWatch::QueryKernel(TimePoint now) {
  for (auto& [id, it] : watched_) {
    const auto connection = it.connection.lock();
    if (!connection || !it.busy) {
      continue;
    }
    if (connection->last_progress() > it.reported) {
      it.reported = connection->last_progress();
      watch_.OnProgress(id, it.reported);
    }
    switch (connection->QueryPath()) {
      case net::PathState::kAcknowledged:
        watch_.OnAcknowledged(id, now);
        break;
      case net::PathState::kUnacknowledged:
        watch_.OnUnacknowledged(id, now);
        break;
      case net::PathState::kUnknown:
        break;
    }
  }
}

void ServerWatch::Arm() {
  if (const auto wake = watch_.NextDeadline()) {
    timer_.Set(*wake);
  }
}

void ServerWatch::Execute(const ProgressAction& action) {
  if (action.kind == ProgressActionKind::kProbeServer) {
    ProbeServer();
    return;
  }
  const auto it = watched_.find(action.connection);
  const auto connection =
      it == watched_.end() ? nullptr : it->second.connection.lock();
  if (!connection) {
    return;
  }
  if (action.kind == ProgressActionKind::kVerify) {
    Verify(connection);
  } else {
    connection->FailAsSilent();
  }
}

void ServerWatch::ProbeServer() {
  const auto probe =
      std::make_shared<ServerConnection>(loop_, [](ServerConnection*) {});
  probe->Connect(address_);
  probe->Start(
      ProbeBytes(address_), false, true,
      [self = shared_from_this(),
       weak = std::weak_ptr(probe)](ServerEvent event) {
        if (event == ServerEvent::kDrained || event == ServerEvent::kBody) {
          return;
        }
        if (event == ServerEvent::kHead) {
          self->watch_.OnServerAnswered(self->loop_.Now());
          self->Arm();
        }
        if (const auto probe = weak.lock()) {
          probe->Abandon();
        }
      });
}

void ServerWatch::Verify(const Connection& connection) {
  connection->Start(
      ProbeBytes(address_), false, true,
      [self = shared_from_this(),
       id = IdOf(connection.get())](ServerEvent event) {
        if (event == ServerEvent::kEnd || event == ServerEvent::kFailed) {
          self->watch_.OnVerified(id, event == ServerEvent::kEnd,
                                  self->loop_.Now());
        }
      });
}

}  // namespace gentianreach::proxy
