// Admission control for one backend server, driven by an event loop.
#ifndef SRC_PROXY_SERVER_GATE_H_
#define SRC_PROXY_SERVER_GATE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "policy/admission.h"
#include "policy/attempt.h"
#include "proxy/route_table.h"

namespace gentianreach::proxy {

// Drives the admission policy of one server: polls it when its deadline is due
// and reports its decisions to queued attempts.
//
// Call Offer() for each attempt. If the decision is kQueued, `on_decided` is
// called once, from the loop, unless Cancel() comes first. Call Finish() for
// each attempt that was admitted.
class ServerGate : public std::enable_shared_from_this<ServerGate> {
 public:
  using DecisionCallback = std::function<void(const AdmissionDecision&)>;

  ServerGate(net::EventLoop& loop,
             const ServiceInfo& service,
             std::uint32_t daemons);
  ServerGate(const ServerGate&) = delete;
  ServerGate& operator=(const ServerGate&) = delete;

  AdmissionDecision Offer(const QueuedRequest& request,
                          DecisionCallback on_decided);
  void Finish(std::uint64_t attempt, AttemptEnd end);
  void Cancel(std::uint64_t attempt);

 private:
  void PollPolicy();
  void SetTimer();

  net::EventLoop& loop_;
  ServerAdmission admission_;
  net::DeadlineTimer timer_;
  std::unordered_map<std::uint64_t, DecisionCallback> waiting_;
};

}  // namespace gentianreach::proxy

#endif  // SRC_PROXY_SERVER_GATE_H_
