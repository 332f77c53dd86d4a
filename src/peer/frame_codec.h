// Encoding of the frames that daemons exchange: a 32-bit little-endian length
// followed by one peer::Frame (schema/peer.fbs).
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

// Maximum length of a frame's payload.
inline constexpr std::size_t kMaxFrameBytes = 2 << 20;
inline constexpr std::size_t kFrameHeaderBytes = 4;
// Protocol version of this program. Frames of a newer version are accepted;
// their unknown fields are ignored.
inline constexpr std::uint32_t kPeerProtocol = 1;

// The sender of a frame. The same for all frames of a process.
struct FrameSender {
  std::string cell;
  DaemonId daemon;
  // Differs for every start of the process.
  std::uint64_t incarnation = 0;
};

struct ReceivedFrame {
  FrameSender sender;
  peer::MessageUnion message;
};

// Returns the encoded frame, including its header.
[[nodiscard]] std::vector<std::uint8_t> EncodeFrame(
    const FrameSender& sender,
    const peer::MessageUnion& message);

// Returns the payload's length, or nullopt if it is 0 or exceeds
// kMaxFrameBytes.
[[nodiscard]] std::optional<std::size_t> PayloadLength(
    std::span<const std::uint8_t, kFrameHeaderBytes> header);

// Returns the frame in `payload`, or nullopt if it is malformed or its message
// type is unknown to this program.
[[nodiscard]] std::optional<ReceivedFrame> DecodePayload(
    std::span<const std::uint8_t> payload);

}  // namespace gentianreach

#endif  // SRC_PEER_FRAME_CODEC_H_
