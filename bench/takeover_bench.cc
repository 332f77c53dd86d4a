// Measures in virtual time how long keys are unserved after a failure, and how
// long a planned move holds requests. With --slopes, measures the cost of the
// control plane per agent by the number of servers, ranges and daemons. With
// --by-ranges, measures the takeover from a crashed server by the number of its
// ranges.
//
// The agents are real; store, network and servers are fakes. A store call takes
// 3 to 4.5 ms, and a message 0.5 to 0.75 ms one way.
#include <malloc.h>
#include <CLI/CLI.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include "cell/record.h"
#include "cell/testing/fake_world.h"

namespace {

using gentianreach::Duration;
using gentianreach::KeyHash;
using gentianreach::ServerId;
using gentianreach::ServiceName;
using gentianreach::TimePoint;
using gentianreach::testing::FakeCluster;
using gentianreach::testing::FakeClusterOptions;
using namespace std::chrono_literals;

constexpr Duration kRunTimeout = 12s;
// Duration of the store outage after the failure with StoreMode::kRecovers.
constexpr Duration kStoreOutage = 5s;
constexpr double kTargetMs = 3000;

double Ms(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

struct Size {
  std::string name;
  std::size_t servers;
  std::size_t daemons;
  std::uint32_t ranges_per_server = FakeClusterOptions{}.ranges_per_server;
};

struct Failure {
  std::string name;
  std::function<void(FakeCluster&)> inject;
};

std::size_t AssignerOr0(FakeCluster& cluster) {
  return cluster.Assigner().value_or(0);
}

// Partitions a server from every daemon.
void PartitionServer(FakeCluster& cluster, std::size_t server) {
  for (std::size_t i = 0; i < cluster.daemons().size(); ++i) {
    cluster.PartitionBothWays("d" + std::to_string(i),
                              "s" + std::to_string(server), true);
  }
}

void CrashZone(FakeCluster& cluster, const std::string& zone) {
  for (std::size_t i = 0; i < cluster.servers().size(); ++i) {
    if (cluster.servers()[i].zone == zone) {
      cluster.CrashServer(i);
    }
  }
  for (std::size_t i = 0; i < cluster.daemons().size(); ++i) {
    if (cluster.daemons()[i].zone == zone) {
      cluster.CrashDaemon(i);
    }
  }
}

// Crashes a zone that does not contain the assigner.
void CrashOtherZone(FakeCluster& cluster) {
  const std::string zone = cluster.daemons()[AssignerOr0(cluster)].zone;
  CrashZone(cluster, zone == "z0" ? "z1" : "z0");
}

const std::vector<Failure>& Failures() {
  static const std::vector<Failure> failures = {
      {"server crash", [](FakeCluster& w) { w.CrashServer(0); }},
      {"server freeze", [](FakeCluster& w) { w.FreezeServer(0, true); }},
      {"server cut off", [](FakeCluster& w) { PartitionServer(w, 0); }},
      {"server restart",
       [](FakeCluster& w) {
         w.CrashServer(0);
         w.RestartServer(0);
       }},
      {"zone without assigner", CrashOtherZone},
      {"zone with assigner",
       [](FakeCluster& w) { CrashZone(w, w.daemons()[AssignerOr0(w)].zone); }},
      {"assigner", [](FakeCluster& w) { w.CrashDaemon(AssignerOr0(w)); }},
      {"assigner and owner",
       [](FakeCluster& w) {
         w.CrashDaemon(AssignerOr0(w));
         w.CrashServer(0);
       }},
      {"server's two renewers",
       [](FakeCluster& w) {
         // Crashes two random daemons. Over the seeds, these include pairs that
         // renew a server's lease.
         const std::size_t n = w.daemons().size();
         const std::size_t first = w.random()() % n;
         w.CrashDaemon(first);
         w.CrashDaemon((first + 1 + w.random()() % (n - 1)) % n);
       }},
      {"all daemons replaced at once",
       [](FakeCluster& w) {
         for (std::size_t i = 0; i < w.daemons().size(); ++i) {
           w.CrashDaemon(i);
           w.RestartDaemon(i);
         }
       }},
  };
  return failures;
}

// Runs the cell until it has settled, and then for a time that depends on the
// seed.
bool Prepare(FakeCluster& cluster) {
  const bool up = cluster.RunUntil([&] { return cluster.Settled(); }, 10s);
  cluster.Run(4s + std::chrono::milliseconds(cluster.random()() % 500));
  return up;
}

struct Result {
  std::vector<double> ms;
  std::size_t unserved = 0;  // Runs that timed out.
};

enum class StoreMode { kUp, kDown, kRecovers };

const char* ToString(StoreMode mode) {
  if (mode == StoreMode::kUp) {
    return "up";
  }
  return mode == StoreMode::kDown ? "down" : "back";
}

// Returns the time until all keys are served after the failure or, with
// StoreMode::kRecovers, after the end of the store outage; zero if no key was
// unserved.
Result Measure(const Size& size,
               const Failure& failure,
               StoreMode mode,
               std::uint64_t seeds) {
  Result result;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FakeClusterOptions options;
    options.seed = seed;
    options.daemons = size.daemons;
    options.servers = size.servers;
    options.ranges_per_server = size.ranges_per_server;
    FakeCluster cluster(options);
    if (!Prepare(cluster)) {
      ++result.unserved;
      continue;
    }
    if (mode != StoreMode::kUp) {
      cluster.store = FakeCluster::StoreState::kDown;
      cluster.Run(1s);
    }
    failure.inject(cluster);
    if (mode == StoreMode::kRecovers) {
      cluster.Run(kStoreOutage);
      cluster.store = FakeCluster::StoreState::kUp;
    }
    const TimePoint start = cluster.now();
    TimePoint last_unserved = start;
    const TimePoint end = start + kRunTimeout;
    while (cluster.now() < end) {
      cluster.Run(5ms);
      if (!cluster.AllServed()) {
        last_unserved = cluster.now();
      } else if (cluster.now() - last_unserved > 4s) {
        break;
      }
    }
    if (cluster.AllServed()) {
      result.ms.push_back(Ms(last_unserved - start));
    } else {
      ++result.unserved;
    }
  }
  return result;
}

// Returns the time during which a planned move leaves its range unserved.
Result MeasureMove(const Size& size, std::uint64_t seeds) {
  Result result;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FakeClusterOptions options;
    options.seed = seed;
    options.daemons = size.daemons;
    options.servers = size.servers;
    options.ranges_per_server = size.ranges_per_server;
    FakeCluster cluster(options);
    if (!Prepare(cluster)) {
      ++result.unserved;
      continue;
    }
    const auto record = cluster.StoredRecord();
    const auto& range = *record->ranges[0];
    const std::size_t assigner = AssignerOr0(cluster);
    const std::string to = range.owner == "s1" ? "s2" : "s1";
    auto& daemon = cluster.daemons()[assigner];
    daemon.agent->ProposeMove({ServiceName(range.service),
                               {KeyHash(range.first), KeyHash(range.last)},
                               ServerId(to),
                               "bench",
                               "bench"},
                              cluster.Local(daemon));
    cluster.Flush(assigner);
    const TimePoint limit = cluster.now() + 2s;
    Duration held{};
    while (cluster.now() < limit) {
      cluster.Run(1ms);
      held += cluster.Served(KeyHash(range.first)) ? 0ms : 1ms;
    }
    result.ms.push_back(Ms(held));
  }
  return result;
}

void Print(bool csv,
           const Size& size,
           const std::string& what,
           const std::string& store,
           Result result) {
  std::sort(result.ms.begin(), result.ms.end());
  const double worst = result.ms.empty() ? 0 : result.ms.back();
  const double median = result.ms.empty() ? 0 : result.ms[result.ms.size() / 2];
  const bool misses = result.unserved > 0 || worst > kTargetMs;
  std::printf(csv ? "%s,%s,%s,%.0f,%.0f,%zu,%zu,%s\n"
                  : "%-14s %-30s %-5s %7.0f %7.0f %5zu %9zu  %s\n",
              size.name.c_str(), what.c_str(), store.c_str(), median, worst,
              result.ms.size(), result.unserved, misses ? "misses" : "meets");
  std::fflush(stdout);
}

void Takeovers(bool csv, std::uint64_t seeds) {
  const std::vector<Size> sizes = {{"Muestradulce", 10, 9},
                                   {"Rabljena Barka", 30, 9}};
  std::printf(csv ? "%s,%s,%s,%s,%s,%s,%s,%s\n"
                  : "%-14s %-30s %-5s %7s %7s %5s %9s  %s\n",
              "cell", "loss", "store", "median", "worst", "runs", "unserved",
              "target 3000 ms");
  for (const auto& size : sizes) {
    for (const StoreMode mode :
         {StoreMode::kUp, StoreMode::kDown, StoreMode::kRecovers}) {
      for (const auto& failure : Failures()) {
        Print(csv, size, failure.name, ToString(mode),
              Measure(size, failure, mode, seeds));
      }
    }
    Print(csv, size, "planned move (held)", "up", MeasureMove(size, seeds));
  }
}

double CpuSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) / 1e9;
}

// Prints the cost of one agent. CPU time includes that of the fakes.
void Slope(const char* varied,
           std::size_t daemons,
           std::size_t servers,
           std::uint32_t ranges_per_server) {
  const std::size_t heap_before = mallinfo2().uordblks;
  FakeClusterOptions options;
  options.daemons = daemons;
  options.servers = servers;
  options.ranges_per_server = ranges_per_server;
  FakeCluster cluster(options);
  const bool up = cluster.RunUntil([&] { return cluster.Settled(); }, 20s);
  cluster.Run(3s);
  const double heap = static_cast<double>(mallinfo2().uordblks - heap_before) /
                      static_cast<double>(daemons);
  const std::uint64_t messages = cluster.peer_messages;
  const std::uint64_t orders = cluster.server_orders;
  const std::uint64_t reads = cluster.store_reads;
  const std::uint64_t writes = cluster.store_writes;
  constexpr double kSeconds = 10;
  const double cpu = CpuSeconds();
  cluster.Run(10s);
  const double used = CpuSeconds() - cpu;
  // Bytes are counted in a separate interval, because serialization takes CPU
  // time.
  cluster.count_bytes = true;
  cluster.Run(10s);
  const double agent_seconds = kSeconds * static_cast<double>(daemons);
  const double all = 2 * agent_seconds;
  std::printf(
      "%s,%zu,%zu,%zu,%s,%.3f,%.1f,%.0f,%.1f,%.2f,%zu,%.0f,%zu\n", varied,
      daemons, servers, servers * ranges_per_server, up ? "yes" : "no",
      1000 * used / agent_seconds,
      static_cast<double>(cluster.peer_messages - messages) / all,
      static_cast<double>(cluster.peer_bytes) / agent_seconds,
      static_cast<double>(cluster.server_orders - orders) / all,
      static_cast<double>(cluster.store_reads - reads) / (2 * kSeconds),
      static_cast<std::size_t>(cluster.store_writes - writes), heap / 1024,
      gentianreach::cell::SerializeRecord(*cluster.StoredRecord()).size());
  std::fflush(stdout);
}

void Slopes() {
  std::printf(
      "varied,daemons,servers,ranges,settled,cpu_ms_per_agent_second,"
      "peer_messages_per_agent_second,peer_bytes_per_agent_second,"
      "orders_per_agent_second,store_reads_per_cell_second,store_writes,"
      "heap_kib_per_agent,record_bytes\n");
  for (const std::size_t n : {3, 5, 7, 9, 12}) {
    Slope("daemons", n, 30, 8);
  }
  for (const std::size_t n : {10, 20, 30, 60, 100}) {
    Slope("servers", 9, n, 8);
  }
  for (const std::uint32_t n : {4, 8, 16, 32, 64}) {
    Slope("ranges", 9, 30, n);
  }
}

// Prints how long a server's keys are unserved after its crash, by the number
// of ranges that it owned.
void TakeoversByRanges(std::uint64_t seeds) {
  std::printf(
      "ranges_per_server,servers,daemons,median_ms,worst_ms,runs,unserved\n");
  for (const std::uint32_t n : {4, 8, 16, 32, 64}) {
    const Size size{"", 10, 9, n};
    Result result = Measure(size, Failures().front(), StoreMode::kUp, seeds);
    std::sort(result.ms.begin(), result.ms.end());
    std::printf("%u,%zu,%zu,%.0f,%.0f,%zu,%zu\n", n, size.servers, size.daemons,
                result.ms.empty() ? 0 : result.ms[result.ms.size() / 2],
                result.ms.empty() ? 0 : result.ms.back(), result.ms.size(),
                result.unserved);
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures takeover times and the cost of the control plane");
  bool csv = false;
  bool slopes = false;
  bool by_ranges = false;
  std::uint64_t seeds = 30;
  app.add_flag("--csv", csv, "print comma-separated values");
  app.add_flag("--slopes", slopes,
               "measure the cost of the control plane instead");
  app.add_flag("--by-ranges", by_ranges,
               "measure a server crash by its number of ranges instead");
  app.add_option("--seeds", seeds, "runs per case");
  CLI11_PARSE(app, argc, argv);
  if (slopes) {
    Slopes();
  } else if (by_ranges) {
    TakeoversByRanges(seeds);
  } else {
    Takeovers(csv, seeds);
  }
  return 0;
}
