#include "proxy/server_gate.h"

#include <algorithm>
#include <utility>

namespace gentianreach::proxy {

ServerGate::ServerGate(net::EventLoop& loop,
                       const ServiceInfo& service,
                       std::uint32_t daemons)
    : loop_(loop),
      admission_(AdmissionOptions{},
                 ReactiveLimiter({.connections = service.connections,
                                  .daemons = std::max(1U, daemons)})),
      timer_(loop, [this] { PollPolicy(); }) {}

AdmissionDecision ServerGate::Offer(const QueuedRequest& request,
                                    DecisionCallback on_decided) {
  const auto decision = admission_.Offer(request, loop_.Now());
  if (decision.state == AdmissionState::kQueued) {
    waiting_.emplace(request.id, std::move(on_decided));
    SetTimer();
  }
  return decision;
}

void ServerGate::Finish(std::uint64_t attempt, AttemptEnd end) {
  admission_.Finish(attempt, end, loop_.Now());
  if (admission_.queued() > 0) {
    PollPolicy();
  }
}

void ServerGate::Cancel(std::uint64_t attempt) {
  waiting_.erase(attempt);
  if (!admission_.Cancel(attempt)) {
    // The attempt is no longer queued. Finish() has no effect unless it has
    // been admitted.
    admission_.Finish(attempt, AttemptEnd::kCancelled, loop_.Now());
  }
}

void ServerGate::PollPolicy() {
  for (const auto& it : admission_.Poll(loop_.Now())) {
    const auto waiting = waiting_.find(it.request);
    if (waiting == waiting_.end()) {
      continue;
    }
    // Deferred because the code that ended an attempt is still on the call
    // stack.
    loop_.Defer([self = shared_from_this(), it] {
      const auto found = self->waiting_.extract(it.request);
      if (!found.empty()) {
        found.mapped()(it);
      }
    });
  }
  SetTimer();
}

void ServerGate::SetTimer() {
  if (const auto wake = admission_.NextDeadline(loop_.Now())) {
    timer_.Set(*wake);
  }
}

}  // namespace gentianreach::proxy
