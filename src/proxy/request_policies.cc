#include "proxy/request_policies.h"

#include <utility>

namespace gentianreach::proxy {

RetryBudget& RequestPolicies::Budget(const ServiceInfo& service) {
  const auto it = budgets_.find(service.name);
  if (it != budgets_.end()) {
    return it->second;
  }
  return budgets_
      .emplace(service.name,
               RetryBudget({.share = service.retry_budget}, loop_.Now()))
      .first->second;
}

std::shared_ptr<ServerGate> RequestPolicies::Gate(const ServerId& server,
                                                  const ServiceInfo& service,
                                                  std::uint32_t daemons) {
  auto& gate = gates_[server];
  if (!gate) {
    gate = std::make_shared<ServerGate>(loop_, service, daemons);
  }
  return gate;
}

AttemptEnd ToAttemptEnd(Verdict verdict) {
  if (verdict.answered()) {
    return AttemptEnd::kAnswered;
  }
  switch (verdict.reason()) {
    case Reason::kOverload:
      return AttemptEnd::kShed;
    case Reason::kConnectFailed:
    case Reason::kConnectionLost:
    case Reason::kTruncated:
    case Reason::kSilent:
      return AttemptEnd::kFailed;
    default:
      return AttemptEnd::kCancelled;
  }
}

AdmissionDecision AttemptTracker::Offer(
    std::shared_ptr<ServerGate> gate,
    QueuedRequest request,
    ServerGate::DecisionCallback on_decided) {
  gate_ = std::move(gate);
  request.id = id_;
  const auto decision = gate_->Offer(request, std::move(on_decided));
  admitted_ = decision.state == AdmissionState::kSend;
  if (decision.state == AdmissionState::kRefused) {
    gate_.reset();
  }
  return decision;
}

void AttemptTracker::Sent(Fingerprint fingerprint,
                          const ServerId& server,
                          Incarnation incarnation,
                          TimePoint now) {
  admitted_ = true;
  if (policies_.quarantine() == nullptr) {
    return;
  }
  sent_ = true;
  server_ = server;
  incarnation_ = incarnation;
  policies_.quarantine()->OnSent(id_, fingerprint, server, incarnation, now);
}

void AttemptTracker::End(Verdict verdict,
                         ServerFailure failure,
                         TimePoint now) {
  if (const auto gate = std::exchange(gate_, nullptr)) {
    if (admitted_) {
      gate->Finish(id_, ToAttemptEnd(verdict));
    } else {
      gate->Cancel(id_);
    }
  }
  if (std::exchange(sent_, false)) {
    EndQuarantine(verdict, failure, now);
  }
}

void AttemptTracker::EndQuarantine(Verdict verdict,
                                   ServerFailure failure,
                                   TimePoint now) {
  Quarantine* quarantine = policies_.quarantine();
  if (quarantine == nullptr) {
    return;
  }
  if (verdict.answered()) {
    quarantine->OnAnswered(id_, now);
    return;
  }
  const bool closed =
      failure == ServerFailure::kLost || failure == ServerFailure::kTruncated;
  if (closed && verdict.outcome() == Outcome::kMayHaveRun) {
    quarantine->OnConnectionLost(id_, now);
    return;
  }
  quarantine->OnAborted(id_);
  if (failure == ServerFailure::kRefused) {
    quarantine->OnServerGone(server_, incarnation_, now);
  }
}

}  // namespace gentianreach::proxy
