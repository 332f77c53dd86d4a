// Frames between daemons: a 32-bit little-endian length and one
// peer::Frame (schema/peer.fbs).
#ifndef SRC_PEER_FRAME_CODEC_H_
#define SRC_PEER_FRAME_CODEC_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "peer_generated.h"

namespace gentianreach {

// Greatest length of a frame's payload.
inline constexpr std::size_t kMaxFrameBytes = 2 << 20;
inline constexpr std::size_t kFrameHeaderBytes = 4;
// Version of the protocol that this program speaks. Newer frames are read as
// far as they are understood.
inline constexpr std::uint32_t kPeerProtocol = 1;

// Who sends a frame, the same for every frame of a process.
struct FrameSender {
  std::string cell;
  DaemonId daemon;
  // Identifies the incarnation of the process.
  std::uint64_t incarnation = 0;
};

// A received frame.
struct ReceivedFrame {
  FrameSender sender;
  peer::MessageUnion message;
};

// Returns the whole frame, header included.
[[nodiscard]] std::vector<std::uint8_t> EncodeFrame(
    const FrameSender& sender,
    const peer::MessageUnion& message);

// Returns the payload's length, or nothing where it exceeds the bound.
[[nodiscard]] std::optional<std::size_t> PayloadLength(
    std::span<const std::uint8_t, kFrameHeaderBytes> header);

// Returns the frame in `payload`, or nothing where it is malformed or of a
// kind that this program does not know.
[[nodiscard]] std::optional<ReceivedFrame> DecodePayload(
    std::span<const std::uint8_t> payload);

}  // namespace gentianreach

#endif  // SRC_PEER_FRAME_CODEC_H_
