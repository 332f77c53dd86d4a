#include "peer/frame_codec.h"

#include <doctest/doctest.h>

#include <random>

namespace gentianreach {
namespace {

std::vector<std::uint8_t> MakeFrame() {
  peer::HeartbeatT heartbeat;
  heartbeat.seq = 7;
  heartbeat.contacts.push_back(std::make_unique<peer::ServerContactT>());
  heartbeat.contacts.back()->server = "s1";
  peer::MessageUnion message;
  message.Set(std::move(heartbeat));
  return EncodeFrame({"main", DaemonId("d1"), 5}, message);
}

TEST_CASE("decoding an encoded frame returns the same sender and message") {
  const std::vector<std::uint8_t> frame = MakeFrame();
  const auto length = PayloadLength(
      std::span<const std::uint8_t, kFrameHeaderBytes>(frame.data(), 4));
  REQUIRE(length == frame.size() - kFrameHeaderBytes);
  const auto received =
      DecodePayload(std::span(frame).subspan(kFrameHeaderBytes));
  REQUIRE(received.has_value());
  CHECK(received->sender.daemon == DaemonId("d1"));
  CHECK(received->sender.incarnation == 5);
  REQUIRE(received->message.AsHeartbeat() != nullptr);
  CHECK(received->message.AsHeartbeat()->seq == 7);
  CHECK(received->message.AsHeartbeat()->contacts.at(0)->server == "s1");
}

TEST_CASE("a payload length of zero or above the maximum is rejected") {
  const std::array<std::uint8_t, kFrameHeaderBytes> huge = {0xff, 0xff, 0xff,
                                                            0x7f};
  CHECK_FALSE(PayloadLength(huge).has_value());
  const std::array<std::uint8_t, kFrameHeaderBytes> none = {0, 0, 0, 0};
  CHECK_FALSE(PayloadLength(none).has_value());
}

TEST_CASE("decoding a corrupted frame never crashes") {
  const std::vector<std::uint8_t> frame = MakeFrame();
  std::mt19937_64 random(1);
  int rejected = 0;
  for (int i = 0; i < 20000; ++i) {
    std::vector<std::uint8_t> payload(frame.begin() + kFrameHeaderBytes,
                                      frame.end());
    payload.resize(payload.size() - random() % 4);
    payload.at(random() % payload.size()) ^=
        static_cast<std::uint8_t>(1 + random() % 255);
    rejected += DecodePayload(payload).has_value() ? 0 : 1;
  }
  CHECK(rejected > 0);
}

}  // namespace
}  // namespace gentianreach
