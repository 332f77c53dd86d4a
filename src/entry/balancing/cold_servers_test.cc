#include "entry/balancing/cold_servers.h"

#include <chrono>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow = TimePoint(seconds(100));
constexpr Duration kWarmup = seconds(3);

// The entry of a server that says at kNow that it is cold for `left`.
routing::BackendServer Server(std::uint64_t incarnation,
                              Duration left = Duration(0)) {
  routing::BackendServer server;
  server.id = ServerId("s1");
  server.incarnation = Incarnation(incarnation);
  server.zone = ZoneName("z1");
  server.warm_at = kNow + left;
  server.states_warmup = true;
  return server;
}

TEST_CASE("a server is cold until the latest time that a sign gives") {
  ColdServers cold;
  const auto server = Server(1, seconds(1));
  cold.OnEntry(server, kNow);
  CHECK(cold.Find(server, kWarmup).until == kNow + seconds(1));
  // A wrong statement ends with the next one.
  cold.OnStated(server.id, seconds(100'000), kNow);
  cold.OnStated(server.id, seconds(2), kNow);
  CHECK(cold.Find(server, kWarmup).until == kNow + seconds(2));
  cold.OnRefused(server.id, Incarnation(1), kNow);
  CHECK(cold.Find(server, kWarmup).until == kNow + kWarmup + seconds(10));
  cold.OnZoneEvacuationEnded(ZoneName("z2"), kNow + seconds(5));
  CHECK(cold.Find(server, kWarmup).sign == ColdSign::kRefused);
  cold.OnZoneEvacuationEnded(ZoneName("z1"), kNow + seconds(11));
  CHECK(cold.Find(server, kWarmup).until == kNow + seconds(14));
  CHECK(cold.Find(server, kWarmup).sign == ColdSign::kZone);
}

TEST_CASE("a refused connection counts until the next incarnation says more") {
  ColdServers cold;
  cold.OnEntry(Server(1), kNow);
  cold.OnRefused(ServerId("s1"), Incarnation(1), kNow);
  cold.OnEntry(Server(1), kNow);
  // The server may return long after the refusal, and all daemons' limits would
  // end together before its entry says that it is cold.
  CHECK(cold.Find(Server(1), kWarmup).until == kNow + kWarmup + seconds(10));
  cold.OnEntry(Server(2, milliseconds(700)), kNow);
  CHECK(cold.Find(Server(2), kWarmup).until == kNow + milliseconds(700));
  // Refused before that entry was written.
  cold.OnRefused(ServerId("s1"), Incarnation(1), kNow);
  CHECK(cold.Find(Server(2), kWarmup).until == kNow + milliseconds(700));
}

TEST_CASE("a new incarnation without a statement is cold, a first one is not") {
  ColdServers cold;
  auto server = Server(1);
  server.states_warmup = false;
  cold.OnEntry(server, kNow);
  CHECK(cold.Find(server, kWarmup).until <= kNow);
  server.incarnation = Incarnation(2);
  cold.OnEntry(server, kNow);
  CHECK(cold.Find(server, kWarmup).until == kNow + kWarmup);
  // Its first statement replaces the assumption.
  cold.OnEntry(Server(2, milliseconds(10)), kNow + seconds(1));
  CHECK(cold.Find(server, kWarmup).until == kNow + milliseconds(10));
}

TEST_CASE("an entry that is read again does not start the warm-up anew") {
  ColdServers cold;
  auto server = Server(1, seconds(3));
  server.report_number = 5;
  server.reported_at = kNow;
  cold.OnEntry(server, kNow);
  // The same report from a later list, while the server cannot write another.
  for (int i = 1; i <= 10; ++i) {
    const TimePoint now = kNow + seconds(i);
    server.reported_at = now;
    server.warm_at = now + seconds(3);
    cold.OnEntry(server, now);
    CHECK(cold.Find(server, kWarmup).until == kNow + seconds(3));
  }
  // Another report and another incarnation count in full.
  const TimePoint now = kNow + seconds(11);
  server.reported_at = now;
  server.warm_at = now + seconds(3);
  server.report_number = 6;
  cold.OnEntry(server, now);
  CHECK(cold.Find(server, kWarmup).until == now + seconds(3));
  server.warm_at = now + seconds(4);
  server.incarnation = Incarnation(2);
  cold.OnEntry(server, now);
  CHECK(cold.Find(server, kWarmup).until == now + seconds(4));
}

TEST_CASE("only a number of milliseconds is a time until a server is warm") {
  CHECK(ParseWarmupLeft("870") == milliseconds(870));
  CHECK(ParseWarmupLeft("3600000") == seconds(3600));
  // A server that states 49 days once, and no time later, would stay cold.
  for (const char* it :
       {"", "-1", "nan", "1.5", "99999999999", "3 ", "4294967295", "3600001"}) {
    CHECK_MESSAGE(!ParseWarmupLeft(it), it);
  }
}

}  // namespace
}  // namespace gentianreach::entry
