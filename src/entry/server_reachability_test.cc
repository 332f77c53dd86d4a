#include "entry/server_reachability.h"

#include <chrono>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A daemon that knows `n` servers, s1 and so on, all of which have answered.
class Fixture {
 public:
  explicit Fixture(int n = 8) {
    for (int i = 1; i <= n; ++i) {
      routing::BackendServer server;
      server.id = Id(i);
      servers.emplace(server.id, server);
      reachability.OnAnswer(server.id, now, now);
    }
  }

  static ServerId Id(int i) { return ServerId("s" + std::to_string(i)); }

  // Connections that are opened now fail at the servers `first` to `last`.
  void FailNewConnections(int first, int last) {
    for (int i = first; i <= last; ++i) {
      reachability.OnFailure(Id(i), now);
    }
  }
  // Sends the probes that are due. The servers in `alive` answer.
  void RunProbes(const std::set<int>& alive) {
    const auto probes = reachability.TakeProbes(servers, now);
    probe_count += probes.size();
    for (const ServerId& it : probes) {
      const bool answers = alive.contains(std::stoi(it.value().substr(1)));
      reachability.OnProbeEnd(it, answers, now);
    }
  }
  // Makes the path lost.
  void LosePath() {
    now += seconds(2);
    FailNewConnections(1, 3);
    RunProbes({});
    REQUIRE(reachability.lost());
  }

  TimePoint now{seconds(50)};
  ServerReachability::Servers servers;
  ServerReachability reachability;
  std::size_t probe_count = 0;
};

// Guards against probes of zones that are to get no requests.
TEST_CASE("servers that may not be probed are not, and raise no suspicion") {
  Fixture fixture;
  fixture.now += seconds(2);
  const auto may_probe = [](const routing::BackendServer& it) {
    return it.id > Fixture::Id(3);
  };
  fixture.FailNewConnections(1, 3);
  CHECK(fixture.reachability.TakeProbes(fixture.servers, fixture.now, may_probe)
            .empty());
  fixture.FailNewConnections(4, 6);
  const auto probes =
      fixture.reachability.TakeProbes(fixture.servers, fixture.now, may_probe);
  CHECK(probes.size() == 5);
  for (const ServerId& it : probes) {
    CHECK(it > Fixture::Id(3));
    fixture.reachability.OnProbeEnd(it, false, fixture.now);
  }
  // Nor are they probed to find out that the path is open again.
  REQUIRE(fixture.reachability.lost());
  fixture.now += seconds(1);
  for (const ServerId& it : fixture.reachability.TakeProbes(
           fixture.servers, fixture.now, may_probe)) {
    CHECK(it > Fixture::Id(3));
  }
}

TEST_CASE("the path is lost if several servers fail and no probe is answered") {
  Fixture fixture;
  fixture.now += seconds(2);
  fixture.FailNewConnections(1, 2);
  fixture.RunProbes({});
  CHECK(fixture.reachability.path() == ServerPath::kOpen);
  fixture.FailNewConnections(3, 3);
  fixture.RunProbes({});
  CHECK(fixture.reachability.lost());
}

TEST_CASE("lost servers are not a lost path while another server answers") {
  Fixture fixture;
  fixture.now += seconds(2);
  // The servers that answered most recently are probed first.
  fixture.reachability.OnAnswer(Fixture::Id(8), TimePoint{}, fixture.now);
  fixture.FailNewConnections(1, 7);
  fixture.RunProbes({8});
  CHECK(fixture.reachability.path() == ServerPath::kOpen);
  CHECK(fixture.probe_count == 5);
}

TEST_CASE("silence of all servers is a lost path if no probe is answered") {
  Fixture fixture;
  fixture.reachability.OnSent(fixture.now + milliseconds(250));
  fixture.now += milliseconds(249);
  fixture.RunProbes({});
  CHECK(fixture.reachability.path() == ServerPath::kOpen);
  fixture.now += milliseconds(1);
  fixture.RunProbes({});
  CHECK(fixture.reachability.lost());
}

TEST_CASE("an answer to any request ends the silence") {
  Fixture fixture;
  fixture.reachability.OnSent(fixture.now + milliseconds(250));
  fixture.now += milliseconds(200);
  fixture.reachability.OnAnswer(Fixture::Id(2), fixture.now, fixture.now);
  fixture.now += seconds(1);
  fixture.RunProbes({});
  CHECK(fixture.probe_count == 0);
}

TEST_CASE("answers on older connections do not hide that new ones fail") {
  Fixture fixture;
  const TimePoint opened_at = fixture.now;
  fixture.now += seconds(2);
  fixture.FailNewConnections(1, 3);
  fixture.reachability.OnAnswer(Fixture::Id(4), opened_at, fixture.now);
  fixture.RunProbes({});
  CHECK(fixture.reachability.lost());
}

TEST_CASE("an answer on a new connection refutes earlier failures") {
  Fixture fixture;
  fixture.now += seconds(2);
  fixture.FailNewConnections(1, 3);
  fixture.now += milliseconds(1);
  fixture.reachability.OnAnswer(Fixture::Id(4), fixture.now, fixture.now);
  fixture.RunProbes({});
  CHECK(fixture.probe_count == 0);
}

TEST_CASE("a lost path is open again after the first answered probe") {
  Fixture fixture;
  fixture.LosePath();
  for (int i = 0; i < 3; ++i) {
    fixture.now += milliseconds(250);
    fixture.RunProbes({});
    CHECK(fixture.reachability.lost());
  }
  fixture.now += milliseconds(250);
  fixture.RunProbes({1, 2, 3, 4, 5, 6, 7, 8});
  CHECK(fixture.reachability.path() == ServerPath::kOpen);
}

TEST_CASE("a loss of the path is remembered for attempts that began before") {
  Fixture fixture;
  const TimePoint begin = fixture.now;
  CHECK_FALSE(fixture.reachability.WasLostSince(begin));
  fixture.LosePath();
  CHECK(fixture.reachability.WasLostSince(fixture.now));
  fixture.now += seconds(1);
  const TimePoint end = fixture.now;
  fixture.RunProbes({1, 2, 3, 4, 5, 6, 7, 8});
  REQUIRE_FALSE(fixture.reachability.lost());
  CHECK(fixture.reachability.WasLostSince(begin));
  CHECK_FALSE(fixture.reachability.WasLostSince(end + milliseconds(1)));
}

TEST_CASE("while the path is lost, all servers are probed in turn") {
  Fixture fixture;
  fixture.LosePath();
  // Seven of eight servers are gone for good.
  int rounds = 0;
  while (fixture.reachability.lost()) {
    REQUIRE(++rounds <= 4);
    fixture.now += milliseconds(250);
    fixture.RunProbes({8});
  }
}

TEST_CASE("a refuted suspicion pauses the probes") {
  Fixture fixture;
  fixture.now += seconds(2);
  fixture.FailNewConnections(1, 3);
  fixture.RunProbes({4, 5, 6, 7, 8});
  const std::size_t before = fixture.probe_count;
  fixture.FailNewConnections(1, 3);
  fixture.now += milliseconds(999);
  fixture.RunProbes({});
  CHECK(fixture.probe_count == before);
  fixture.now += milliseconds(1);
  fixture.RunProbes({});
  CHECK(fixture.reachability.lost());
}

TEST_CASE("with fewer servers, the failure of each of them is suspicious") {
  Fixture fixture(1);
  fixture.now += seconds(2);
  fixture.FailNewConnections(1, 1);
  fixture.RunProbes({});
  CHECK(fixture.reachability.lost());
}

TEST_CASE("failures of servers that no longer exist do not count") {
  Fixture fixture;
  fixture.now += seconds(2);
  fixture.FailNewConnections(1, 3);
  fixture.servers.erase(Fixture::Id(1));
  fixture.RunProbes({});
  CHECK(fixture.reachability.path() == ServerPath::kOpen);
}

}  // namespace
}  // namespace gentianreach::entry
