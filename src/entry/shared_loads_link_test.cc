// How daemons share load reports in their datagrams.
#include <charconv>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>
#include <flatbuffers/idl.h>
#include <boost/leaf/handle_errors.hpp>

#include "entry/member_link.h"
#include "net/udp_socket.h"
#include "standins/loopback_block.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// Limit for each wait of a test; much longer than needed.
constexpr Duration kTestTimeout = std::chrono::seconds(30);

// Returns an address that no other daemon uses.
std::string NewAddress() {
  static int last_host = 0;
  return standins::LoopbackBlock() + std::to_string(++last_host) + ":7102";
}

// A daemon that knows server "s" of 4 slots. The test supplies the results of
// its store calls.
struct Daemon {
  Daemon(net::EventLoop& loop, const std::string& name, bool shares)
      : loop(loop),
        self{name, Incarnation(1), NewAddress()},
        election(self, {}),
        state(loop, {}, ZoneName("z"), {}, DrainBound(std::chrono::seconds(2))),
        link(loop, self, 1, name + ":1", {}, election, state) {
    server.id = ServerId("s");
    server.incarnation = Incarnation(1);
    server.slots = 4;
    state.directory.Put(server, loop.Now());
    if (shares) {
      state.EnableLoadSharing();
    }
    REQUIRE(link.Open(self.address));
  }
  // Answers the pending store call with `record`.
  void Follow(const LeaderRecord& record) {
    REQUIRE(election.Poll(loop.Now()));
    election.OnReply(ElectionOutcome::kOk, record, record.epoch.value(),
                     loop.Now());
  }
  void TakeLead(std::uint64_t epoch) {
    election.OnNewerEpochSeen(loop.Now());
    Follow({Epoch(epoch), self});
  }
  // Gets a response of the server, which reports that it is full.
  void GetReport() {
    state.loads.OnSent(server.id);
    state.loads.OnEnd(server.id, AttemptResult::kAnswered, milliseconds(100),
                      LoadReport{4, 24, 4}, loop.Now());
  }
  [[nodiscard]] double Utilization() const {
    return state.loads.Utilization(server, loop.Now());
  }

  [[nodiscard]] bool Follows(const Daemon& it) const {
    return election.record().leader == it.self;
  }
  [[nodiscard]] bool IsFull() const {
    return !state.loads.HasRoom(server, loop.Now());
  }

  net::EventLoop& loop;
  routing::BackendServer server;
  const Member self;
  LeaderElection election;
  EntryState state;
  MemberLink link;
};

void RunUntil(net::EventLoop& loop, const std::function<bool()>& done) {
  const TimePoint end = loop.Now() + kTestTimeout;
  while (!done()) {
    REQUIRE(loop.Now() < end);
    loop.RunOnce(true);
  }
}

// Datagrams of build 91b77df, in hexadecimal: the Hello of member "m" in term
// 1, and a heartbeat of leader "old" in term 9.
constexpr std::string_view kOlderHello =
    "100000000000000008000e000700080008000000000000012400000000001e0038000400"
    "1c00080024000c0000000000100014001800000000002c001e0000009000000078000000"
    "0000003f4400000038000000200000000500000000000000010000000000000007000000"
    "00000000000000000e0000003132372e302e302e313a373030340000010000007a000000"
    "010000001000000000000a001000040008000c000a0000000c0000000200000000009643"
    "01000000730000000e0000003132372e302e302e313a373030320000010000006d000000";
constexpr std::string_view kOlderHeartbeat =
    "0c00000008000e0007000800080000000000000238000000000032004800040"
    "02c00340008000c001000000000000000000014000000180000000000000000003c001c00"
    "200000002400280032000000a8000000010000008c0000000c0000006400000096000000"
    "4800000028000000a0000000aa0000000300000000000000090000000000000001000000"
    "0000000000000000030000003200000000000000330000000000000034000000000000000e"
    "0000003132372e302e302e313a3730303300000300000028000000000000002900000000"
    "0000002a00000000000000000000000e0000003132372e302e302e313a3730303200000300"
    "00006f6c6400";

// The same messages in the schema of that build.
constexpr const char* kOlderSchema = R"(
table MemberAddress { name: string; address: string; }
table RelayAddress { name: string; address: string; zone: string; }
table KeySample { service: string; keys: [uint16]; }
table ServerSample { server: string; requests: uint32; total_ms: float; }
table LeavingServer { server: string; incarnation: uint64; }
table Hello { name: string; incarnation: uint64; address: string; epoch: uint64;
  processor_share: float; crashed: [uint64]; keys: [KeySample];
  servers: [ServerSample]; zone: string; forward_address: string;
  servers_lost: bool; leaving: [LeavingServer]; sent_ms: uint64; }
table LeaderHeartbeat { name: string; incarnation: uint64; epoch: uint64;
  rank: uint32; address: string; members: uint32; line: [MemberAddress];
  resigning: bool; store_lost: bool; may_lack_entries: bool;
  changed_at: [uint64]; crashed: [uint64]; copy_age_ms: uint32 = 4294967295;
  servers_lost: bool; cut_members: uint32; names_relays: bool;
  relays: [RelayAddress]; hello_sent_ms: uint64; mirror: string;
  digests: [uint64]; most_lost_store: bool; listed_age_ms: uint32 = 4294967295;
  watches_void_age_ms: uint32 = 4294967295; }
table LeaderHint { name: string; incarnation: uint64; epoch: uint64;
  address: string; sender: string; }
union Body { Hello, LeaderHeartbeat, LeaderHint }
table Datagram { body: Body; }
root_type Datagram;
)";

std::vector<std::uint8_t> Bytes(std::string_view hexadecimal) {
  std::vector<std::uint8_t> bytes(hexadecimal.size() / 2);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::string_view digits = hexadecimal.substr(2 * i, 2);
    std::from_chars(digits.begin(), digits.end(), bytes[i], 16);
  }
  return bytes;
}

template <typename Message>
std::vector<std::uint8_t> Pack(Message message) {
  wire::BodyUnion body;
  body.Set(std::move(message));
  flatbuffers::FlatBufferBuilder builder;
  const auto packed = body.Pack(builder);
  builder.Finish(wire::CreateDatagram(builder, body.type, packed));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

std::string ReadByOlderBuild(const std::vector<std::uint8_t>& bytes) {
  flatbuffers::Parser parser;
  REQUIRE(parser.Parse(kOlderSchema));
  std::string text;
  REQUIRE(flatbuffers::GenerateText(parser, bytes.data(), &text));
  return text;
}

// Guards a fleet of two builds: each reads the other's messages, and a daemon
// that does not share loads sends the bytes of the build before.
TEST_CASE("messages of the build before, and what it reads of these") {
  const auto older_hello = Bytes(kOlderHello);
  const auto older_heartbeat = Bytes(kOlderHeartbeat);
  wire::HelloT hello;
  flatbuffers::GetRoot<wire::Datagram>(older_hello.data())
      ->body_as_Hello()
      ->UnPackTo(&hello);
  CHECK(hello.sent_ms == 7);
  CHECK(hello.loads.empty());
  const std::string hello_text = ReadByOlderBuild(older_hello);
  wire::LeaderHeartbeatT heartbeat;
  flatbuffers::GetRoot<wire::Datagram>(older_heartbeat.data())
      ->body_as_LeaderHeartbeat()
      ->UnPackTo(&heartbeat);
  CHECK(heartbeat.watches_void_age_ms == 170);
  CHECK(heartbeat.busy.empty());
  const std::string heartbeat_text = ReadByOlderBuild(older_heartbeat);

  wire::HelloT same_hello = hello;
  wire::LeaderHeartbeatT same_heartbeat = heartbeat;
  CHECK(Pack(std::move(same_hello)) == older_hello);
  CHECK(Pack(std::move(same_heartbeat)) == older_heartbeat);
  hello.loads = {{1, 2, 3, 4, 5}, {6, 7, 8, 9, 10}};
  heartbeat.busy = {{1, 2, 3, 4}, {5, 6, 7, 8}};
  CHECK(ReadByOlderBuild(Pack(std::move(hello))) == hello_text);
  CHECK(ReadByOlderBuild(Pack(std::move(heartbeat))) == heartbeat_text);
}

TEST_CASE("a report of one member reaches the leader and other members") {
  net::EventLoop loop;
  Daemon leader(loop, "a", true);
  Daemon teller(loop, "b", true);
  Daemon listener(loop, "c", true);
  Daemon other(loop, "d", false);
  leader.TakeLead(1);
  for (Daemon* it : {&teller, &listener, &other}) {
    it->Follow(leader.election.record());
  }
  RunUntil(loop, [&] {
    teller.GetReport();
    return leader.IsFull() && listener.IsFull();
  });
  CHECK(other.Utilization() == 0);
  CHECK(other.state.metrics.Text().find("shared_loads") == std::string::npos);
  // Without further reports, the server counts as free again; the next leader
  // starts without reports and has them within a second.
  listener.TakeLead(2);
  listener.link.SendLeaderHeartbeats();
  RunUntil(loop, [&] {
    return leader.Follows(listener) && teller.Follows(listener) &&
           !leader.IsFull() && !listener.IsFull();
  });
  const TimePoint begin = loop.Now();
  RunUntil(loop, [&] {
    teller.GetReport();
    return leader.IsFull() && listener.IsFull();
  });
  CHECK(loop.Now() < begin + std::chrono::seconds(3));
}

// Guards against messages that no daemon sends.
TEST_CASE("unusable reports and unknown servers are counted, and ignored") {
  net::EventLoop loop;
  Daemon daemon(loop, "a", true);
  const auto has = [&](const std::string& line) {
    return daemon.state.metrics.Text().find("gentianreach_shared_loads_" +
                                            line + "\n") != std::string::npos;
  };
  const std::uint32_t hash = ShortLoadHash(LoadHash(daemon.server.id));
  daemon.state.OnBusyServers({{hash, 9, 0, 255}, {hash + 1, 9, 0, 0}},
                             loop.Now());
  CHECK(daemon.Utilization() == 0);
  CHECK(has("unusable_total 1"));
  CHECK(has("unknown_total 1"));
  daemon.state.OnMemberLoads("m", {{1, 9, 0, 0, 0}, {2, 9, 4, 2000, 0}});
  CHECK(has("unusable_total 3"));
  daemon.state.OnBusyServers({{hash, 65535, 255, 0}}, loop.Now());
  CHECK(has("taken_total 1"));
  CHECK(daemon.Utilization() <= 8);
}

}  // namespace
}  // namespace gentianreach::entry
