// Messaging between daemons: listens, connects on demand and authenticates with
// TLS.
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

// The reason why a listening address cannot be used.
struct ListenError {
  std::string message;
};

// Counters since the PeerNet was created.
struct PeerNetCounters {
  std::uint64_t frames_in = 0;
  std::uint64_t frames_out = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t invalid_frames = 0;     // Frames that cannot be decoded.
  std::uint64_t other_cell_frames = 0;  // Dropped frames of another cell.
  std::uint64_t frames_dropped = 0;     // Unsent: daemon not reachable.
};

// Sends messages to daemons by address and passes received messages to a
// callback. Delivery is best effort: a message may be lost without notice. A
// connection whose sent data stays unacknowledged for 600 ms is closed, so that
// the next message opens a new one. Not thread-safe: all calls must come from
// one thread.
class PeerNet {
 public:
  using Receiver = std::function<void(ReceivedFrame)>;

  // Without `tls`, connections are neither encrypted nor authenticated.
  PeerNet(FrameSender self, std::optional<PeerTls> tls, Receiver receiver);
  PeerNet(const PeerNet&) = delete;
  PeerNet& operator=(const PeerNet&) = delete;
  ~PeerNet();

  // Listens on "IP:port" and returns the port; for port 0 the kernel chooses
  // one. Fails with ListenError.
  boost::leaf::result<std::uint16_t> Listen(const std::string& address);

  // Sends a message to the daemon at "IP:port", connecting if necessary.
  void Send(const std::string& address, const peer::MessageUnion& message);
  // Sends a message to a daemon whose address is not known, on the accepted
  // connection on which its last frame arrived.
  void Reply(const DaemonId& daemon, const peer::MessageUnion& message);

  [[nodiscard]] const PeerNetCounters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace gentianreach

#endif  // SRC_PEER_PEER_NET_H_
