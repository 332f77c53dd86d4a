// Performs the I/O of a CellAgent: store calls, peer messages, server orders
// and timers.
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

// Callbacks from the driver to the rest of the daemon.
struct CellHooks {
  // The cell record or the state of a move has changed, so routes may have
  // changed.
  std::function<void()> on_change;
  std::function<void(const AuditEvent&)> on_audit;
  // A server answered an order that was sent at the given time.
  std::function<void(const ServerResponse&, const ServerOrder&, TimePoint)>
      on_response;
  // A server's address refused the connection of an order.
  std::function<void(const ServerOrder&)> on_refused;
};

// Runs one CellAgent on the thread's main context. `loop`, `store` and `net`
// must outlive the driver. Call ProcessOutbox() after any direct call of the
// agent.
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
  // Sends a message to one member of the cell.
  void SendTo(const DaemonId& member, const peer::MessageUnion& message);
  // Sends a message to all other members of the cell.
  void SendToAll(const peer::MessageUnion& message);
  // Returns the other members listed in the cell record adopted last.
  [[nodiscard]] std::vector<DaemonId> OtherMembers() const;
  // Passes a message from another daemon to the agent.
  void OnPeerMessage(const ReceivedFrame& frame);
  // Performs the actions in the agent's outbox and sets the timer for the
  // agent's next deadline.
  void ProcessOutbox();

  [[nodiscard]] CellAgent& agent() { return agent_; }
  [[nodiscard]] const CellAgent& agent() const { return agent_; }

 private:
  void Execute(const StoreRead& read);
  void Execute(const StoreWrite& write);
  void Execute(const ServerOrder& order);
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
