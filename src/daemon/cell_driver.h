// Does what a CellAgent asks for: store calls, messages, orders and timers.
#ifndef SRC_DAEMON_CELL_DRIVER_H_
#define SRC_DAEMON_CELL_DRIVER_H_

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

#include "base/timer.h"
#include "gentianreach/cell_agent.h"
#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "peer/peer_net.h"
#include "server/order_client.h"
#include "server/order_codec.h"
#include "store/store_client.h"

namespace gentianreach {

// What the driver tells the rest of the daemon.
struct CellHooks {
  // The record or a move has changed: routes may differ.
  std::function<void()> on_change;
  std::function<void(const AuditEvent&)> on_audit;
  // A server answered an order that was sent at the given time.
  std::function<void(const ServerResponse&, const ServerOrder&, TimePoint)>
      on_response;
  // Nobody listens at a server's address.
  std::function<void(const ServerOrder&)> on_refused;
};

// Runs one agent on the thread's main context. `loop`, `store` and `net` must
// outlive it. After any direct call of the agent, call Pump().
class CellDriver {
 public:
  CellDriver(CellOptions options,
             std::mt19937_64 random,
             net::EventLoop& loop,
             StoreClient& store,
             PeerNet& net,
             CellHooks hooks);
  CellDriver(const CellDriver&) = delete;
  CellDriver& operator=(const CellDriver&) = delete;

  void Start();
  // Sends a message to a member, or to all others.
  void SendTo(const DaemonId& member, const peer::MessageUnion& message);
  void SendToAll(const peer::MessageUnion& message);
  // Returns the other members of the record adopted last.
  [[nodiscard]] std::vector<DaemonId> Others() const;
  // Hands a message of another daemon to the agent.
  void OnPeer(const ReceivedFrame& frame);
  // Does what the agent's outbox holds and sets the timer.
  void Pump();

  [[nodiscard]] CellAgent& agent() { return agent_; }
  [[nodiscard]] const CellAgent& agent() const { return agent_; }

 private:
  void Do(const StoreRead& read);
  void Do(const StoreWrite& write);
  void Do(const ServerOrder& order);
  void OnOrderResult(const ServerOrder& order,
                     TimePoint sent,
                     const OrderResult& result);
  void PollVms();
  void Tick();

  StoreClient& store_;
  PeerNet& net_;
  CellHooks hooks_;
  DaemonId self_;
  CellAgent agent_;
  MonotonicClock clock_;
  OrderClient orders_;
  Timer tick_;
  Timer vm_poll_;
  bool was_assigner_ = false;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_CELL_DRIVER_H_
