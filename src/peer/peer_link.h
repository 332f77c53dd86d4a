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

// Sends and receives frames on a connection until it fails. A session that
// keeps itself alive while an operation runs on it. Frames are datagrams: they
// may be lost with the connection, and when more than a bounded number wait,
// the connection counts as failed.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  struct Callbacks {
    std::function<void(ReceivedFrame)> on_frame;
    // A frame that could not be read; the connection goes on where its length
    // was sound.
    std::function<void()> on_garbage;
    // Called once, and nothing after it.
    std::function<void()> on_closed;
  };

  PeerLink(GObjectPtr<GIOStream> stream, Callbacks callbacks);
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Begins to receive. Called once, after the link is held by a shared_ptr.
  void Start();
  // Sends a whole frame, or closes the link where too many wait.
  void Send(std::vector<std::uint8_t> frame);
  // Closes the connection. No callback follows.
  void Close();

 private:
  using Self = std::shared_ptr<PeerLink>;

  void ReadHeader();
  void ReadPayload(std::size_t length);
  void WriteNext();
  void Fail();
  static Self Take(gpointer data);
  static void OnHeader(GObject* stream, GAsyncResult* result, gpointer data);
  static void OnPayload(GObject* stream, GAsyncResult* result, gpointer data);
  static void OnWritten(GObject* stream, GAsyncResult* result, gpointer data);
  [[nodiscard]] gpointer Keep();

  GObjectPtr<GIOStream> stream_;
  GObjectPtr<GCancellable> cancellable_;
  Callbacks callbacks_;
  std::array<std::uint8_t, kFrameHeaderBytes> header_{};
  std::vector<std::uint8_t> payload_;
  std::deque<std::vector<std::uint8_t>> outgoing_;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace gentianreach

#endif  // SRC_PEER_PEER_LINK_H_
