// What callers get from what servers report and from what is known of routes
// and zones, under loads in virtual time.
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "entry/balancing/server_choice.h"
#include "entry/balancing/shared_loads.h"

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::seconds(100));
constexpr Duration kSamplesPeriod = milliseconds(250);
// One in five servers is slowed down at a time, for this time unless a load
// says otherwise.
constexpr Duration kSlowTime = milliseconds(400);
constexpr std::uint32_t kSlowOneIn = 5;
// Period of the Hellos of 48 to 71 members.
constexpr Duration kHelloPeriod = milliseconds(500);

struct Load {
  // Arrivals as a share of what the servers can process at their usual speed.
  double share = 0.8;
  // Mean processing time of each route at speed 1. They arrive equally often.
  std::vector<int> route_ms = {140, 410};
  std::vector<double> speeds = {1.0};
  std::uint32_t servers = 69;
  std::uint32_t slots = 3;
  std::uint32_t daemons = 12;
  std::uint32_t zones = 1;
  bool keyed = false;
  std::uint32_t broken_percent = 0;
  bool names_routes = true;
  bool slows_down = false;
  Duration slow_time = kSlowTime;
  double slow_factor = 3;
  bool reports_slowdown = false;
  Duration zone_crossing{};
  bool shares_loads = false;
  // Share of the Hellos whose exchange is lost.
  std::uint32_t lost_percent = 0;
  // The first daemon, which leads, is lost then.
  Duration leader_time = std::chrono::hours(1);
  Duration run_time = std::chrono::seconds(60);
};

// What callers got of the requests that arrived after a third of the time.
struct Outcome {
  int arrived = 0;
  int refused = 0;
  int within_600_ms = 0;
  int within_1200_ms = 0;
  int other_zone = 0;
  // Sums over moments: requests at the busiest server, and at the average one.
  double busiest = 0;
  double mean = 0;
  // Of the busy servers that heartbeats name.
  std::uint64_t shared_bytes = 0;
  // Of all decisions, with their estimates (FNV-1a).
  std::uint64_t checksum = 14695981039346656037ULL;

  void Add(std::uint64_t value) {
    checksum = (checksum ^ value) * 1099511628211ULL;
  }
  [[nodiscard]] double Share(int count) const {
    return static_cast<double>(count) / arrived;
  }
};

class Sim {
 public:
  Sim(const Load& load, std::uint32_t seed)
      : load_(load),
        random_(seed),
        daemons_(load.daemons),
        shared_(load.daemons),
        free_at_(load.servers, std::vector<TimePoint>(load.slots, kStart)),
        here_(load.servers) {
    SeedChoices(seed);
    service_.name = "s";
    service_.keyed = load.keyed;
    for (std::uint32_t i = 0; i < load.servers; ++i) {
      routing::BackendServer server;
      server.id = ServerId("s" + std::to_string(i));
      server.incarnation = Incarnation(1);
      server.service = "s";
      server.zone = ZoneName("z" + std::to_string(i % load.zones));
      server.slots = load.slots;
      server.warm_at =
          kStart + (i % 10 == 3 ? milliseconds(3000) : Duration(0));
      directory_.Put(server, kStart);
      servers_.push_back(server);
    }
    for (std::uint32_t i = 0; load.shares_loads && i < load.daemons; ++i) {
      daemons_[i].on_report = [this, i](const ServerId& id,
                                        const LoadReport& it, TimePoint now) {
        shared_[i].OnOwnReport(id, it, now);
      };
      hello_at_.push_back(kStart + kHelloPeriod * i / load.daemons);
    }
    keyspace::OwnershipTable table;
    table.ranges.push_back({{0, keyspace::kKeyCount - 1},
                            {servers_[0].id, Incarnation(1), Token(1)},
                            {}});
    ownership_.Put("s", 1, table);
  }

  Outcome Run() {
    double speed = 0;
    for (std::uint32_t i = 0; i < load_.servers; ++i) {
      speed += Speed(i);
    }
    double mean_ms = 0;
    for (const int it : load_.route_ms) {
      mean_ms += static_cast<double>(it) / load_.route_ms.size();
    }
    const double mean_pause_ms = mean_ms / (load_.share * load_.slots * speed);
    TimePoint samples_at = kStart;
    TimePoint now = kStart;
    while (now < kStart + load_.run_time) {
      now += std::chrono::round<Duration>(
          std::chrono::duration<double, std::milli>(-mean_pause_ms *
                                                    std::log(1 - Fraction())));
      for (; !running_.empty() && running_.top().end <= now; running_.pop()) {
        End(running_.top());
      }
      if (now >= samples_at) {
        samples_at = now + kSamplesPeriod;
        SendSamples(now);
        AddLoads(now);
      }
      for (std::uint32_t i = 0; i < hello_at_.size(); ++i) {
        if (now >= hello_at_[i]) {
          hello_at_[i] += kHelloPeriod;
          ShareLoads(i, now);
        }
      }
      Arrive(now);
    }
    return outcome_;
  }

 private:
  struct Attempt {
    TimePoint end{};
    TimePoint sent{};
    std::uint32_t daemon = 0;
    std::uint32_t server = 0;
    std::size_t route = 0;

    bool operator>(const Attempt& other) const { return end > other.end; }
  };

  std::uint32_t Below(std::size_t n) {
    return static_cast<std::uint32_t>(random_() % n);
  }
  double Fraction() { return random_() / 4294967296.0; }
  [[nodiscard]] double Speed(std::uint32_t server) const {
    return load_.speeds[server % load_.speeds.size()];
  }
  [[nodiscard]] double SlowFactor(std::uint32_t server, TimePoint at) const {
    const auto period =
        static_cast<std::uint64_t>((at - kStart) / load_.slow_time);
    const std::uint64_t mixed =
        (period * load_.servers + server + 1) * 0x9E3779B97F4A7C15ULL;
    return load_.slows_down && (mixed >> 40) % kSlowOneIn == 0
               ? load_.slow_factor
               : 1;
  }

  void Arrive(TimePoint now) {
    const std::uint32_t daemon = Below(load_.daemons);
    ServerLoads& loads = daemons_[daemon];
    const std::size_t index = Below(load_.route_ms.size());
    const ZoneName zone("z" + std::to_string(daemon % load_.zones));
    routing::Route route;
    route.name = load_.names_routes ? "r" + std::to_string(index) : "";
    route.latency_objective = milliseconds(600);
    const std::vector<ServerId> tried;
    const ServerChoice choice =
        ChooseServer({.route = route,
                      .service = service_,
                      .key = load_.keyed ? std::optional(7U) : std::nullopt,
                      .tried = tried,
                      .time_left = milliseconds(2000),
                      .zone = zone,
                      .zone_crossing = load_.zone_crossing},
                     {directory_, loads, limits_, ownership_, drain_bound_,
                      entries_, evacuations_},
                     now);
    outcome_.Add(static_cast<std::uint64_t>(choice.reason));
    outcome_.Add(static_cast<std::uint64_t>(choice.retry_after.count()));
    const bool counts = IsCounted(now);
    outcome_.arrived += counts ? 1 : 0;
    if (choice.server == nullptr) {
      outcome_.refused += counts ? 1 : 0;
      return;
    }
    const routing::BackendServer& server = *choice.server;
    const auto number =
        static_cast<std::uint32_t>(std::stoul(server.id.value().substr(1)));
    outcome_.Add(number);
    outcome_.Add(static_cast<std::uint64_t>(
        loads.ExpectedLatency(server, now, route.name).count()));
    outcome_.Add(static_cast<std::uint64_t>(loads.Capacity(server, now) * 1e6));
    outcome_.other_zone += counts && server.zone != zone ? 1 : 0;
    loads.OnSent(server.id);
    TimePoint& slot = *std::ranges::min_element(free_at_[number]);
    const TimePoint begin = std::max(slot, now);
    const double work_ms = load_.route_ms[index] * (0.5 + Fraction()) /
                           Speed(number) * SlowFactor(number, begin);
    slot = begin + std::chrono::round<Duration>(
                       std::chrono::duration<double, std::milli>(work_ms));
    ++here_[number];
    running_.push({slot, now, daemon, number, index});
  }

  void End(const Attempt& attempt) {
    const std::uint32_t here = --here_[attempt.server];
    LoadReport report{.running = std::min(here, load_.slots),
                      .waiting = here - std::min(here, load_.slots),
                      .slots = load_.slots};
    if (load_.reports_slowdown) {
      report.slowdown = SlowFactor(attempt.server, attempt.end);
    }
    const bool broken = Below(100) < load_.broken_percent;
    const Duration latency = attempt.end - attempt.sent;
    const std::string route = "r" + std::to_string(attempt.route);
    RequestKind kind{.service = "s", .route = route};
    if (!load_.names_routes) {
      kind = {};
    }
    daemons_[attempt.daemon].OnEnd(
        servers_[attempt.server].id,
        broken ? AttemptResult::kBroken : AttemptResult::kAnswered, latency,
        report, attempt.end, kind);
    if (!broken && IsCounted(attempt.sent)) {
      outcome_.within_600_ms += latency <= milliseconds(600) ? 1 : 0;
      outcome_.within_1200_ms += latency <= milliseconds(1200) ? 1 : 0;
    }
  }

  // Sends the samples of all daemons to the first one, which leads.
  void SendSamples(TimePoint now) {
    for (std::uint32_t i = 0; i < load_.daemons; ++i) {
      const auto samples = daemons_[i].TakeSamples();
      for (const routing::BackendServer& it : servers_) {
        if (const auto sample = samples.find(it.id);
            i > 0 && sample != samples.end()) {
          daemons_[0].OnRemoteSamples(it.id, sample->second.requests,
                                      sample->second.total, now, "s");
        }
      }
    }
  }

  void AddLoads(TimePoint now) {
    if (IsCounted(now)) {
      outcome_.busiest += *std::ranges::max_element(here_);
      outcome_.mean += std::accumulate(here_.begin(), here_.end(), 0.0) /
                       static_cast<double>(here_.size());
    }
  }

  // Exchanges a Hello of the daemon and the heartbeat that answers it.
  void ShareLoads(std::uint32_t daemon, TimePoint now) {
    const auto reports = shared_[daemon].TakeReports(now);
    if (loss_random_() % 100 < load_.lost_percent ||
        now >= kStart + load_.leader_time) {
      return;
    }
    CHECK(shared_[0].OnReports(reports, now) == 0);
    wire::LeaderHeartbeatT heartbeat;
    flatbuffers::FlatBufferBuilder without;
    without.Finish(wire::LeaderHeartbeat::Pack(without, &heartbeat));
    heartbeat.busy = shared_[0].BusyServers(now);
    flatbuffers::FlatBufferBuilder with;
    with.Finish(wire::LeaderHeartbeat::Pack(with, &heartbeat));
    outcome_.shared_bytes += with.GetSize() - without.GetSize();
    for (const wire::BusyServer& it : heartbeat.busy) {
      const auto busy = SharedLoads::Read(it, now);
      for (const ServerId& id :
           shared_[daemon].ServersOf(it.server(), directory_)) {
        daemons_[daemon].OnSharedReport(*directory_.Find(id), busy->requests,
                                        busy->slowdown, busy->at);
      }
    }
  }

  [[nodiscard]] bool IsCounted(TimePoint sent) const {
    return sent >= kStart + load_.run_time / 3;
  }

  const Load load_;
  std::mt19937 random_;
  routing::Service service_;
  std::vector<routing::BackendServer> servers_;
  ServerDirectory directory_;
  ServerLimits limits_{1};
  OwnershipView ownership_;
  DrainBound drain_bound_{milliseconds(2000)};
  ZoneEvacuations evacuations_{Duration(0)};
  EntriesStatus entries_{.current_at = kStart + std::chrono::hours(1)};
  std::vector<ServerLoads> daemons_;
  // Of each daemon, with the time of its next Hello; no times: not shared.
  std::vector<SharedLoads> shared_;
  std::vector<TimePoint> hello_at_;
  std::minstd_rand loss_random_;
  // Of each server: when each slot is free, and how many requests are there.
  std::vector<std::vector<TimePoint>> free_at_;
  std::vector<std::uint32_t> here_;
  std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> running_;
  Outcome outcome_;
};

// Plays the load with each seed up to `last_seed`, and returns the sums, with
// the checksum of the last one.
Outcome Run(const Load& load, std::uint32_t last_seed = 1) {
  Outcome it;
  for (std::uint32_t seed = 1; seed <= last_seed; ++seed) {
    const Outcome one = Sim(load, seed).Run();
    it = {it.arrived + one.arrived,
          it.refused + one.refused,
          it.within_600_ms + one.within_600_ms,
          it.within_1200_ms + one.within_1200_ms,
          it.other_zone + one.other_zone,
          it.busiest + one.busiest,
          it.mean + one.mean,
          it.shared_bytes + one.shared_bytes,
          one.checksum};
  }
  MESSAGE("load " << load.share << ": of " << it.arrived << " refused "
                  << it.refused << ", within 600 ms "
                  << it.Share(it.within_600_ms) << ", within 1200 ms "
                  << it.Share(it.within_1200_ms) << ", to other zones "
                  << it.Share(it.other_zone) << ", busiest / mean "
                  << it.busiest / it.mean << ", bytes a second per member "
                  << it.shared_bytes / last_seed / load.daemons /
                         (load.run_time / std::chrono::seconds(1))
                  << ", checksum " << it.checksum);
  return it;
}

// Guards deployments that use none of the additions: their servers send three
// figures, their routes take about the same time, and crossing zones has no
// cost. The figures are those of the code before these additions.
TEST_CASE("decisions without the additions are those of the code before") {
  const auto check = [](const Load& load, int arrived, int refused, int within,
                        int other_zone, std::uint64_t checksum) {
    const Outcome it = Run(load);
    CHECK(it.arrived == arrived);
    CHECK(it.refused == refused);
    CHECK(it.within_600_ms == within);
    CHECK(it.other_zone == other_zone);
    CHECK(it.checksum == checksum);
  };
  Load load{.share = 1.1,
            .route_ms = {100, 110},
            .speeds = {0.6, 1.0, 1.6},
            .servers = 24,
            .daemons = 3,
            .zones = 3,
            .broken_percent = 2,
            .run_time = std::chrono::seconds(30)};
  check(load, 15990, 1391, 14044, 5843, 5650081916338274352U);
  load.route_ms = {100};
  check(load, 16910, 1555, 14790, 6082, 8338909524959681282U);
  load.keyed = true;
  load.share = 0.06;
  check(load, 901, 539, 180, 244, 4388681637444371141U);
}

// Guards servers that got long requests against looking slow to short ones.
TEST_CASE("routes of 140 and 410 ms, 69 servers of speeds 0.6, 1.0 and 1.6") {
  constexpr std::uint32_t kSeeds = 3;
  // The gain is small where each daemon hears of a server about once a second,
  // since all estimates decay to the average meanwhile.
  constexpr double kTolerance = 0.002;
  for (const double share : {0.8, 0.9, 1.1}) {
    Load load{.share = share, .speeds = {0.6, 1.0, 1.6}};
    load.names_routes = false;
    const Outcome together = Run(load, kSeeds);
    load.names_routes = true;
    const Outcome separated = Run(load, kSeeds);
    CHECK(separated.Share(separated.within_600_ms) >
          together.Share(together.within_600_ms) - kTolerance);
    CHECK(separated.Share(separated.within_1200_ms) >
          together.Share(together.within_1200_ms) - kTolerance);
  }
}

// Guards requests against servers that say that they are slow now.
TEST_CASE("one in five of 12 servers is 3 times slower for 400 ms at a time") {
  for (const double share : {0.4, 0.5, 0.6, 0.7}) {
    Load load{.share = share,
              .route_ms = {140},
              .servers = 12,
              .daemons = 4,
              .slows_down = true};
    const Outcome unreported = Run(load);
    load.reports_slowdown = true;
    const Outcome reported = Run(load);
    CHECK(reported.Share(reported.within_600_ms) >
          unreported.Share(unreported.within_600_ms) + 0.01);
    CHECK(reported.Share(reported.within_1200_ms) > 0.99);
  }
}

// Guards against bytes between zones while the own zone serves as well, and
// against waiting there when it does not.
TEST_CASE("three zones with 23 servers each, a crossing costs 200 ms") {
  for (const double share : {0.5, 0.8, 1.0}) {
    Load load{.share = share, .zones = 3};
    const Outcome factor = Run(load);
    load.zone_crossing = milliseconds(200);
    const Outcome cost = Run(load);
    CHECK(cost.other_zone < factor.other_zone / 4);
    CHECK(cost.Share(cost.within_600_ms) >
          factor.Share(factor.within_600_ms) - 0.002);
    CHECK(cost.Share(cost.within_1200_ms) > 0.98);
    CHECK((cost.other_zone > 0) == (share == 1.0));
  }
}

// Returns 470 requests a second of 240 ms at 38 servers of 6 slots with speeds
// of 0.5 to 1.5, from 68 daemons, which hear of a server once in 6 s each.
Load FleetLoad() {
  Load load{.share = 470 * 0.24 / (38 * 6),
            .route_ms = {240},
            .speeds = {},
            .servers = 38,
            .slots = 6,
            .daemons = 68};
  for (int i = 0; i < 38; ++i) {
    load.speeds.push_back(0.5 + i / 37.0);
  }
  return load;
}

// Guards callers against servers with standing queues that most daemons have
// not heard of lately, and against all daemons following the same figures.
TEST_CASE("68 daemons share the loads of 38 servers") {
  constexpr std::uint32_t kSeeds = 3;
  constexpr std::uint64_t kMaxBytes = 2048;
  const Load usual = FleetLoad();
  std::vector<Load> loads(5, usual);
  loads[1].share = 0.8;
  loads[2].share = 0.95;
  loads[3].share = 1.1;
  // Servers stall for seconds.
  loads[4].slows_down = loads[4].reports_slowdown = true;
  loads[4].slow_time = std::chrono::seconds(5);
  loads[4].slow_factor = 5;
  for (Load& load : loads) {
    const Outcome alone = Run(load, kSeeds);
    load.shares_loads = true;
    const Outcome shared = Run(load, kSeeds);
    load.lost_percent = 30;
    const Outcome lossy = Run(load, kSeeds);
    // Where there are no standing queues, sharing changes nothing but by
    // chance.
    const bool queues = load.slows_down || load.share > usual.share;
    for (const Outcome* it : {&shared, &lossy}) {
      CHECK(it->Share(it->within_600_ms) >
            alone.Share(alone.within_600_ms) + (queues ? 0.005 : -0.005));
      CHECK(it->Share(it->within_1200_ms) >
            alone.Share(alone.within_1200_ms) - 0.002);
    }
    CHECK(shared.shared_bytes / kSeeds / load.daemons / 60 < kMaxBytes);
  }
}

// Guards against decisions by the last figures of a leader that was lost.
TEST_CASE("daemons without a leader serve as many callers as without sharing") {
  Load load = FleetLoad();
  const Outcome alone = Run(load);
  load.shares_loads = true;
  load.leader_time = load.run_time / 3;
  const Outcome lost = Run(load);
  CHECK(lost.Share(lost.within_600_ms) >
        alone.Share(alone.within_600_ms) - 0.01);
}

}  // namespace
}  // namespace gentianreach::entry
