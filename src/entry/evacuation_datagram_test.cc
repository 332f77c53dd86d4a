// Stored bytes of heartbeats with and without evacuations.
#include <charconv>
#include <cstdint>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>
#include <flatbuffers/flatbuffers.h>

#include "entry_generated.h"

namespace gentianreach::entry {
namespace {

// A heartbeat of build 91b77df, whose leader has three kinds of copies.
constexpr std::string_view kThreeKinds =
    "0c00000008000e000700080008000000000000023800000000003200580008003c004400"
    "0c001000140018000000050006001c002000240000002800000000004c002c0030000700"
    "340038003200000000010101fc00000001000000e00000000c000000a00000007c000000"
    "6800000096000000020000004800000028000000fa0000005e0100000300000000000000"
    "09000000000000004d000000000000000000000003000000320000000000000033000000"
    "0000000034000000000000000e0000003132372e302e302e313a37303033000001000000"
    "07000000000000000000000003000000280000000000000029000000000000002a000000"
    "0000000000000000010000000c00000008000c0004000800080000001c00000004000000"
    "0e0000003132372e302e302e313a37303033000001000000620000000e0000003132372e"
    "302e302e313a373030320000030000006f6c6400";

// The same with the evacuations as the fourth kind.
constexpr std::string_view kFourKinds =
    "0c00000008000e000700080008000000000000023800000000003200580008003c004400"
    "0c001000140018000000050006001c002000240000002800000000004c002c0030000700"
    "3400380032000000000101010c01000001000000f00000000c000000b000000084000000"
    "7000000096000000020000005000000028000000fa0000005e0100000300000000000000"
    "09000000000000004d000000000000000000000004000000320000000000000033000000"
    "00000000340000000000000035000000000000000e0000003132372e302e302e313a3730"
    "303300000100000007000000000000000000000004000000280000000000000029000000"
    "000000002a000000000000002b0000000000000000000000010000000c00000008000c00"
    "04000800080000001c000000040000000e0000003132372e302e302e313a373030330000"
    "01000000620000000e0000003132372e302e302e313a373030320000030000006e657700";

std::vector<std::uint8_t> Bytes(std::string_view hexadecimal) {
  std::vector<std::uint8_t> bytes(hexadecimal.size() / 2);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::string_view digits = hexadecimal.substr(2 * i, 2);
    std::from_chars(digits.begin(), digits.end(), bytes[i], 16);
  }
  return bytes;
}

wire::LeaderHeartbeatT Decode(const std::vector<std::uint8_t>& bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  REQUIRE(wire::VerifyDatagramBuffer(verifier));
  wire::DatagramT datagram;
  wire::GetDatagram(bytes.data())->UnPackTo(&datagram);
  const auto* heartbeat = datagram.body.AsLeaderHeartbeat();
  REQUIRE(heartbeat != nullptr);
  return *heartbeat;
}

// Guards against a change of the schema by which daemons of the two builds
// cannot read each other's heartbeats. The schema of build 91b77df reads the
// bytes with four kinds as this one does (`flatc --json --raw-binary`).
TEST_CASE("heartbeats with three and with four kinds of copies are readable") {
  const auto three = Decode(Bytes(kThreeKinds));
  CHECK(three.name == "old");
  CHECK(three.changed_at == std::vector<std::uint64_t>{40, 41, 42});
  CHECK(three.digests == std::vector<std::uint64_t>{50, 51, 52});
  const auto four = Decode(Bytes(kFourKinds));
  CHECK(four.name == "new");
  CHECK(four.changed_at == std::vector<std::uint64_t>{40, 41, 42, 43});
  CHECK(four.digests == std::vector<std::uint64_t>{50, 51, 52, 53});
  for (const auto* it : {&three, &four}) {
    CHECK(it->epoch == 9);
    CHECK(it->copy_age_ms == 150);
    CHECK(it->hello_sent_ms == 77);
    CHECK(it->mirror == "127.0.0.1:7003");
    CHECK(it->most_lost_store);
    CHECK(it->listed_age_ms == 250);
    CHECK(it->watches_void_age_ms == 350);
  }
}

}  // namespace
}  // namespace gentianreach::entry
