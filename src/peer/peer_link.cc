#include "peer/peer_link.h"

#include <utility>

namespace gentianreach {
namespace {

constexpr std::size_t kMaxQueuedFrames = 1024;

// Completes an asynchronous read. Returns whether `count` bytes were read
// without error.
bool ReadAll(GObject* stream, GAsyncResult* result, std::size_t count) {
  gsize n = 0;
  GError* raw_error = nullptr;
  const bool ok = g_input_stream_read_all_finish(G_INPUT_STREAM(stream), result,
                                                 &n, &raw_error) != FALSE;
  const GErrorPtr error(raw_error);
  return ok && n == count;
}

}  // namespace

PeerLink::PeerLink(GObjectPtr<GIOStream> stream, Callbacks callbacks)
    : stream_(std::move(stream)),
      cancellable_(GObjectPtr<GCancellable>::Adopt(g_cancellable_new())),
      callbacks_(std::move(callbacks)) {}

void PeerLink::Start() {
  ReadHeader();
}

void PeerLink::Send(std::vector<std::uint8_t> frame) {
  if (closed_) {
    return;
  }
  if (send_queue_.size() >= kMaxQueuedFrames) {
    Fail();
    return;
  }
  send_queue_.push_back(std::move(frame));
  if (!writing_) {
    WriteNext();
  }
}

void PeerLink::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  g_cancellable_cancel(cancellable_.get());
  g_io_stream_close_async(stream_.get(), G_PRIORITY_DEFAULT, nullptr, nullptr,
                          nullptr);
}

gpointer PeerLink::NewReference() {
  return new Self(shared_from_this());
}

PeerLink::Self PeerLink::TakeReference(gpointer data) {
  const std::unique_ptr<Self> self(static_cast<Self*>(data));
  return *self;
}

void PeerLink::ReadHeader() {
  g_input_stream_read_all_async(g_io_stream_get_input_stream(stream_.get()),
                                header_.data(), header_.size(),
                                G_PRIORITY_DEFAULT, cancellable_.get(),
                                &PeerLink::OnHeader, NewReference());
}

void PeerLink::OnHeader(GObject* stream, GAsyncResult* result, gpointer data) {
  const Self self = TakeReference(data);
  if (!ReadAll(stream, result, kFrameHeaderBytes)) {
    self->Fail();
    return;
  }
  const auto length = PayloadLength(self->header_);
  if (!length.has_value()) {
    self->callbacks_.on_invalid_frame();
    self->Fail();
    return;
  }
  self->ReadPayload(*length);
}

void PeerLink::ReadPayload(std::size_t length) {
  payload_.resize(length);
  g_input_stream_read_all_async(g_io_stream_get_input_stream(stream_.get()),
                                payload_.data(), payload_.size(),
                                G_PRIORITY_DEFAULT, cancellable_.get(),
                                &PeerLink::OnPayload, NewReference());
}

void PeerLink::OnPayload(GObject* stream, GAsyncResult* result, gpointer data) {
  const Self self = TakeReference(data);
  if (!ReadAll(stream, result, self->payload_.size()) || self->closed_) {
    self->Fail();
    return;
  }
  std::optional<ReceivedFrame> frame = DecodePayload(self->payload_);
  if (frame.has_value()) {
    self->callbacks_.on_frame(*std::move(frame));
  } else {
    self->callbacks_.on_invalid_frame();
  }
  if (!self->closed_) {
    self->ReadHeader();
  }
}

void PeerLink::WriteNext() {
  writing_ = true;
  const std::vector<std::uint8_t>& frame = send_queue_.front();
  g_output_stream_write_all_async(g_io_stream_get_output_stream(stream_.get()),
                                  frame.data(), frame.size(),
                                  G_PRIORITY_DEFAULT, cancellable_.get(),
                                  &PeerLink::OnWritten, NewReference());
}

void PeerLink::OnWritten(GObject* stream, GAsyncResult* result, gpointer data) {
  const Self self = TakeReference(data);
  GError* raw_error = nullptr;
  const bool ok =
      g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result, nullptr,
                                       &raw_error) != FALSE;
  const GErrorPtr error(raw_error);
  self->writing_ = false;
  self->send_queue_.pop_front();
  if (!ok) {
    self->Fail();
    return;
  }
  if (!self->closed_ && !self->send_queue_.empty()) {
    self->WriteNext();
  }
}

void PeerLink::Fail() {
  if (closed_) {
    return;
  }
  Close();
  callbacks_.on_closed();
}

}  // namespace gentianreach
