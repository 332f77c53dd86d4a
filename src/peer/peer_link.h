// One TCP connection between two daemons.
#ifndef SRC_PEER_PEER_LINK_H_
#define SRC_PEER_PEER_LINK_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include <gio/gio.h>

#include "base/glib_ptr.h"
#include "peer/frame_codec.h"

namespace gentianreach {

// Sends and receives frames on a connection until it fails. Every pending
// asynchronous operation holds a reference to the link and so keeps it alive.
// Delivery is best effort: queued frames are lost with the connection, and the
// connection fails when its send queue is full.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  struct Callbacks {
    std::function<void(ReceivedFrame)> on_frame;
    // Called for a frame that cannot be decoded. The connection stays open if
    // the frame's length was valid.
    std::function<void()> on_invalid_frame;
    // Called at most once, when the connection fails, as the last callback.
    std::function<void()> on_closed;
  };

  PeerLink(GObjectPtr<GIOStream> stream, Callbacks callbacks);
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Starts receiving. Must be called once, after a shared_ptr owns the link.
  void Start();
  // Queues an encoded frame, or fails the link if its send queue is full.
  void Send(std::vector<std::uint8_t> frame);
  // Closes the connection without calling on_closed.
  void Close();

 private:
  using Self = std::shared_ptr<PeerLink>;

  void ReadHeader();
  void ReadPayload(std::size_t length);
  void WriteNext();
  void Fail();
  static Self TakeReference(gpointer data);
  static void OnHeader(GObject* stream, GAsyncResult* result, gpointer data);
  static void OnPayload(GObject* stream, GAsyncResult* result, gpointer data);
  static void OnWritten(GObject* stream, GAsyncResult* result, gpointer data);
  [[nodiscard]] gpointer NewReference();

  GObjectPtr<GIOStream> stream_;
  GObjectPtr<GCancellable> cancellable_;
  Callbacks callbacks_;
  std::array<std::uint8_t, kFrameHeaderBytes> header_{};
  std::vector<std::uint8_t> payload_;
  std::deque<std::vector<std::uint8_t>> send_queue_;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace gentianreach

#endif  // SRC_PEER_PEER_LINK_H_
