// Messaging to the other daemons of the cell for the components of a daemon
// other than the cell agent.
#ifndef SRC_DAEMON_CELL_LINKS_H_
#define SRC_DAEMON_CELL_LINKS_H_

#include <functional>
#include <vector>

#include "gentianreach/ids.h"
#include "peer_generated.h"

namespace gentianreach {

// Functions that send messages to the members of the cell. They may be called
// at any time. Delivery is best effort: a message may be lost.
struct CellLinks {
  std::function<void(const DaemonId&, const peer::MessageUnion&)> send;
  std::function<void(const peer::MessageUnion&)> send_all;
  // Returns the other members.
  std::function<std::vector<DaemonId>()> other_members;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_CELL_LINKS_H_
