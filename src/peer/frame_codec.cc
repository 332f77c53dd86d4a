#include "peer/frame_codec.h"

#include <algorithm>
#include <utility>

namespace gentianreach {

std::vector<std::uint8_t> EncodeFrame(const FrameSender& sender,
                                      const peer::MessageUnion& message) {
  flatbuffers::FlatBufferBuilder builder;
  const auto cell = builder.CreateString(sender.cell);
  const auto from = builder.CreateString(sender.daemon.value());
  const auto body = message.Pack(builder);
  builder.Finish(peer::CreateFrame(builder, kPeerProtocol, cell, from,
                                   sender.incarnation, message.type, body));
  // The length is not part of the FlatBuffer (no size prefix), so that the
  // receiver reads the payload into a buffer of its own with the alignment that
  // FlatBuffers needs.
  std::vector<std::uint8_t> frame(kFrameHeaderBytes + builder.GetSize());
  flatbuffers::WriteScalar<std::uint32_t>(frame.data(), builder.GetSize());
  std::copy_n(builder.GetBufferPointer(), builder.GetSize(),
              frame.begin() + kFrameHeaderBytes);
  return frame;
}

std::optional<std::size_t> PayloadLength(
    std::span<const std::uint8_t, kFrameHeaderBytes> header) {
  const std::size_t length =
      flatbuffers::ReadScalar<std::uint32_t>(header.data());
  if (length == 0 || length > kMaxFrameBytes) {
    return std::nullopt;
  }
  return length;
}

std::optional<ReceivedFrame> DecodePayload(
    std::span<const std::uint8_t> payload) {
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!verifier.VerifyBuffer<peer::Frame>(nullptr)) {
    return std::nullopt;
  }
  const auto* frame = flatbuffers::GetRoot<peer::Frame>(payload.data());
  if (frame->message() == nullptr || frame->from() == nullptr ||
      frame->message_type() > peer::Message::MAX) {
    return std::nullopt;
  }
  ReceivedFrame received;
  if (frame->cell() != nullptr) {
    received.sender.cell = frame->cell()->str();
  }
  received.sender.daemon = DaemonId(frame->from()->str());
  received.sender.incarnation = frame->incarnation();
  received.message.type = frame->message_type();
  received.message.value = peer::MessageUnion::UnPack(
      frame->message(), frame->message_type(), nullptr);
  return received;
}

}  // namespace gentianreach
