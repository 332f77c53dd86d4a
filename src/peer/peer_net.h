// The network between daemons: listens, connects on demand, authenticates.
#ifndef SRC_PEER_PEER_NET_H_
#define SRC_PEER_PEER_NET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gio/gio.h>
#include <boost/leaf/result.hpp>

#include "base/glib_ptr.h"
#include "gentianreach/time.h"
#include "peer/frame_codec.h"
#include "peer/peer_link.h"
#include "peer/peer_tls.h"

namespace gentianreach {

// Why the listening address cannot be used.
struct ListenError {
  std::string message;
};

// Counts since the start.
struct PeerNetCounters {
  std::uint64_t frames_in = 0;
  std::uint64_t frames_out = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t garbage = 0;      // Frames that could not be read.
  std::uint64_t other_cell = 0;   // Frames of another cell: dropped.
  std::uint64_t dropped_out = 0;  // Frames to daemons that are not reached.
};

// Sends messages to daemons by address and hands over what arrives. A message
// is a datagram: it may be lost, and nobody is told. A connection on which
// written bytes stay unacknowledged for a while is given up, so that one that
// has gone silent is replaced. Belongs to one thread.
class PeerNet {
 public:
  using Receiver = std::function<void(ReceivedFrame)>;

  // Without `tls` nothing is authenticated.
  PeerNet(FrameSender self, std::optional<PeerTls> tls, Receiver receiver);
  PeerNet(const PeerNet&) = delete;
  PeerNet& operator=(const PeerNet&) = delete;
  ~PeerNet();

  // Listens on "IP:port"; port 0 is chosen by the kernel. Returns the port.
  // Fails with ListenError.
  boost::leaf::result<std::uint16_t> Listen(const std::string& address);

  // Sends a message to the daemon at "IP:port".
  void Send(const std::string& address, const peer::MessageUnion& message);
  // Answers a daemon whose address is not known, on the connection over which
  // it spoke last.
  void Reply(const DaemonId& daemon, const peer::MessageUnion& message);

  [[nodiscard]] const PeerNetCounters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace gentianreach

#endif  // SRC_PEER_PEER_NET_H_
