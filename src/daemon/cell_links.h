// Sending to the other daemons of the cell, for the parts of a daemon that are
// not the cell's agent.
#ifndef SRC_DAEMON_CELL_LINKS_H_
#define SRC_DAEMON_CELL_LINKS_H_

#include <functional>
#include <vector>

#include "gentianreach/ids.h"
#include "peer_generated.h"

namespace gentianreach {

// How a part reaches the members. All functions may be called at any time; a
// message may be lost.
struct CellLinks {
  std::function<void(const DaemonId&, const peer::MessageUnion&)> send;
  std::function<void(const peer::MessageUnion&)> send_all;
  // Returns the other members.
  std::function<std::vector<DaemonId>()> others;
};

}  // namespace gentianreach

#endif  // SRC_DAEMON_CELL_LINKS_H_
