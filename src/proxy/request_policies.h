// The policies that the requests of one ProxyServer share.
#ifndef SRC_PROXY_REQUEST_POLICIES_H_
#define SRC_PROXY_REQUEST_POLICIES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "gentianreach/ids.h"
#include "gentianreach/verdict.h"
#include "net/event_loop.h"
#include "policy/attempt.h"
#include "policy/quarantine.h"
#include "policy/retry_budget.h"
#include "proxy/route_table.h"
#include "proxy/server_connection.h"
#include "proxy/server_gate.h"

namespace gentianreach::proxy {

// Retry budgets by service, gates by server, and the daemon's quarantine.
class RequestPolicies {
 public:
  explicit RequestPolicies(net::EventLoop& loop) : loop_(loop) {}

  // Sets the quarantine, which must outlive the proxy; null disables it.
  void SetQuarantine(Quarantine* quarantine) { quarantine_ = quarantine; }
  [[nodiscard]] Quarantine* quarantine() const { return quarantine_; }

  // Returns the retry budget of `service`.
  RetryBudget& Budget(const ServiceInfo& service);
  // Returns the admission gate of `server`.
  std::shared_ptr<ServerGate> Gate(const ServerId& server,
                                   const ServiceInfo& service,
                                   std::uint32_t daemons);
  // Drops the gate of a removed server.
  void Forget(const ServerId& server) { gates_.erase(server); }
  // Returns a unique attempt id.
  std::uint64_t NextAttempt() { return ++last_attempt_; }

 private:
  net::EventLoop& loop_;
  Quarantine* quarantine_ = nullptr;
  std::unordered_map<ServiceName, RetryBudget> budgets_;
  std::unordered_map<ServerId, std::shared_ptr<ServerGate>> gates_;
  std::uint64_t last_attempt_ = 0;
};

// Returns how the limiters classify an attempt that ended with `verdict`.
[[nodiscard]] AttemptEnd ToAttemptEnd(Verdict verdict);

// Reports one attempt to the policies. Call End() once; otherwise the
// destructor reports the attempt as cancelled.
class AttemptTracker {
 public:
  explicit AttemptTracker(RequestPolicies& policies)
      : policies_(policies), id_(policies.NextAttempt()) {}
  ~AttemptTracker() {
    End(Verdict::NotRun(Reason::kNone), ServerFailure::kNone);
  }
  AttemptTracker(const AttemptTracker&) = delete;
  AttemptTracker& operator=(const AttemptTracker&) = delete;

  // Requests admission from `gate`; see ServerGate::Offer().
  AdmissionDecision Offer(std::shared_ptr<ServerGate> gate,
                          QueuedRequest request,
                          ServerGate::DecisionCallback on_decided);
  // Reports that the request is about to be written to the server.
  void Sent(Fingerprint fingerprint,
            const ServerId& server,
            Incarnation incarnation,
            TimePoint now);
  // Reports the end of the attempt.
  void End(Verdict verdict, ServerFailure failure, TimePoint now = {});

 private:
  void EndQuarantine(Verdict verdict, ServerFailure failure, TimePoint now);

  RequestPolicies& policies_;
  const std::uint64_t id_;
  std::shared_ptr<ServerGate> gate_;
  bool admitted_ = false;
  bool sent_ = false;
  ServerId server_;
  Incarnation incarnation_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_REQUEST_POLICIES_H_
