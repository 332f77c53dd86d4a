// Injects every fault, and every pair of faults, at every step of each
// operation.
//
// A step is a point in time between two actions of an operation. The fault is
// injected there, lasts for kFaultDuration and is then repaired. No key may
// have two owners at any time, and the cluster must recover afterwards.
#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

#include "cell/record.h"
#include "cell/testing/fake_world.h"
#include "cell/testing/history.h"

namespace gentianreach {
namespace {

using testing::FakeCluster;
using testing::FakeClusterOptions;
using testing::History;
using namespace std::chrono_literals;

constexpr Duration kFaultDuration = 2500ms;
constexpr Duration kRecovery = 20s;
constexpr Duration kHoldOver = 8s;

struct Fault {
  std::string name;
  std::function<void(FakeCluster&)> inject;
};

std::size_t AssignerOr0(FakeCluster& cluster) {
  return cluster.Assigner().value_or(0);
}

// Returns a daemon that is not the assigner.
std::size_t Other(FakeCluster& cluster) {
  return (AssignerOr0(cluster) + 1) % cluster.daemons().size();
}

std::string DaemonName(std::size_t n) {
  return "d" + std::to_string(n);
}

void CutOff(FakeCluster& cluster,
            std::size_t daemon,
            bool servers,
            bool daemons) {
  for (std::size_t i = 0; servers && i < cluster.servers().size(); ++i) {
    cluster.PartitionBothWays(DaemonName(daemon), "s" + std::to_string(i),
                              true);
  }
  for (std::size_t i = 0; daemons && i < cluster.daemons().size(); ++i) {
    cluster.PartitionBothWays(DaemonName(daemon), DaemonName(i), true);
  }
}

// The faults that the system must tolerate, applied to the participants of the
// operations below, in which server 0 loses ranges and server 1 gains some.
const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults = {
      {"assigner crashed",
       [](FakeCluster& c) { c.CrashDaemon(AssignerOr0(c)); }},
      {"assigner paused",
       [](FakeCluster& c) { c.PauseDaemon(AssignerOr0(c), true); }},
      {"assigner cut off from daemons",
       [](FakeCluster& c) { CutOff(c, AssignerOr0(c), false, true); }},
      {"assigner cut off from servers",
       [](FakeCluster& c) { CutOff(c, AssignerOr0(c), true, false); }},
      {"assigner cut off from the store",
       [](FakeCluster& c) {
         c.daemons()[AssignerOr0(c)].store_unreachable = true;
       }},
      {"member crashed", [](FakeCluster& c) { c.CrashDaemon(Other(c)); }},
      {"member paused", [](FakeCluster& c) { c.PauseDaemon(Other(c), true); }},
      {"all daemons restarted",
       [](FakeCluster& c) {
         for (std::size_t i = 0; i < c.daemons().size(); ++i) {
           c.CrashDaemon(i);
           c.RestartDaemon(i);
         }
       }},
      {"store down",
       [](FakeCluster& c) { c.store = FakeCluster::StoreState::kDown; }},
      {"store slow",
       [](FakeCluster& c) { c.store = FakeCluster::StoreState::kSlow; }},
      {"store responses lost",
       [](FakeCluster& c) {
         c.store = FakeCluster::StoreState::kLosesResponses;
       }},
      {"old owner crashed", [](FakeCluster& c) { c.CrashServer(0); }},
      {"old owner frozen", [](FakeCluster& c) { c.FreezeServer(0, true); }},
      {"old owner restarted",
       [](FakeCluster& c) {
         c.CrashServer(0);
         c.RestartServer(0);
       }},
      {"new owner crashed", [](FakeCluster& c) { c.CrashServer(1); }},
      {"new owner frozen", [](FakeCluster& c) { c.FreezeServer(1, true); }},
      {"messages lost", [](FakeCluster& c) { c.loss_fraction = 0.2; }},
      {"messages delayed", [](FakeCluster& c) { c.delayed_fraction = 0.2; }},
  };
  return faults;
}

struct Operation {
  std::string name;
  std::function<void(FakeCluster&)> begin;
  // When faults are injected, from the start of the operation. The delays of
  // the fakes separate the actions, so each of these falls between two of them.
  std::vector<Duration> steps;
};

HashRange RangeOf(FakeCluster& cluster,
                  std::size_t server,
                  std::size_t skip = 0) {
  const auto record = cluster.StoredRecord();
  for (const auto& it : record->ranges) {
    if (it->owner == "s" + std::to_string(server) && skip-- == 0) {
      return {KeyHash(it->first), KeyHash(it->last)};
    }
  }
  return {};
}

const ServiceName kBoats("boats");

template <typename Propose>
void AtAssigner(FakeCluster& cluster, Propose propose) {
  const std::size_t n = AssignerOr0(cluster);
  propose(*cluster.daemons()[n].agent, cluster.Local(cluster.daemons()[n]));
  cluster.Flush(n);
}

const std::vector<Operation>& Operations() {
  static const std::vector<Operation> operations = {
      // Actions: request, write, distribution of the record, release, end of
      // running requests, grant, write.
      {"planned move",
       [](FakeCluster& c) {
         AtAssigner(c, [&](CellAgent& agent, TimePoint now) {
           agent.ProposeMove(
               {kBoats, RangeOf(c, 0), ServerId("s1"), "test", "test"}, now);
         });
       },
       {0ms, 2ms, 4ms, 5ms, 7ms, 12ms, 29ms, 31ms, 35ms}},
      // Actions: silence, fence, reports, lease expiry, write, grant.
      {"takeover",
       [](FakeCluster& c) { c.CrashServer(0); },
       {300ms, 595ms, 610ms, 625ms, 900ms, 1250ms, 1265ms}},
      {"split",
       [](FakeCluster& c) {
         const HashRange range = RangeOf(c, 0);
         AtAssigner(c, [&](CellAgent& agent, TimePoint now) {
           agent.ProposeSplit(
               {kBoats, range, KeyHash(range.first.value() + 1), "test"}, now);
         });
       },
       {0ms, 2ms, 4ms, 6ms}},
      {"merge",
       [](FakeCluster& c) {
         // A split first makes two adjacent ranges with the same owner.
         const HashRange range = RangeOf(c, 0);
         const KeyHash at(range.first.value() + 1000);
         AtAssigner(c, [&](CellAgent& agent, TimePoint now) {
           agent.ProposeSplit({kBoats, range, at, "test"}, now);
         });
         c.Run(200ms);
         AtAssigner(c, [&](CellAgent& agent, TimePoint now) {
           agent.ProposeMerge({kBoats,
                               {range.first, KeyHash(at.value() - 1)},
                               {at, range.last},
                               "test"},
                              now);
         });
       },
       {0ms, 2ms, 4ms, 6ms}},
      {"election",
       [](FakeCluster& c) {
         const std::size_t n = AssignerOr0(c);
         c.CrashDaemon(n);
       },
       {300ms, 590ms, 615ms, 640ms, 800ms}},
      {"drain",
       [](FakeCluster& c) {
         c.servers()[0].leaving = true;
         c.PublishServers();
       },
       {2ms, 5ms, 20ms}},
      {"assigner leaves",
       [](FakeCluster& c) { c.LeaveDaemon(AssignerOr0(c)); },
       {0ms, 1ms, 4ms, 10ms}},
      {"renewal", [](FakeCluster&) {}, {0ms, 125ms}},
  };
  return operations;
}

struct ServerKind {
  bool checks_giver;
  bool watches_deadline;
};

FakeClusterOptions OptionsOf(ServerKind kind, std::uint64_t seed) {
  FakeClusterOptions options;
  options.seed = seed;
  options.daemons = 4;
  options.servers = 3;
  options.checks_giver = kind.checks_giver;
  options.watches_deadline = kind.watches_deadline;
  options.timing.hold_over =
      std::chrono::duration_cast<std::chrono::milliseconds>(kHoldOver).count();
  return options;
}

// Runs one operation with faults injected at one of its steps. Returns whether
// the invariants held and the cluster recovered.
bool InvariantsHold(const Operation& operation,
                    Duration step,
                    const std::vector<const Fault*>& faults,
                    ServerKind kind) {
  FakeCluster cluster(OptionsOf(kind, 7));
  History history(cluster);
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }, 3s));
  cluster.Run(1s);
  operation.begin(cluster);
  cluster.Run(step);
  for (const auto* const it : faults) {
    cluster.Trace("fault: " + it->name);
    it->inject(cluster);
  }
  cluster.Run(kFaultDuration);
  cluster.HealAll();
  const bool settled =
      cluster.RunUntil([&] { return cluster.Settled(); }, kRecovery);
  history.CheckAudit();
  const bool good = settled && history.good();
  if (!good) {
    std::string names;
    for (const auto* const it : faults) {
      names += it->name + ", ";
    }
    MESSAGE(operation.name << " at " << step.count() / 1000000
                           << " ms: " << names << "settled=" << settled << " "
                           << history.problem() << "\n"
                           << cluster.TraceText());
  }
  return good;
}

constexpr std::array<ServerKind, 4> kServerKinds = {
    {{true, true}, {false, true}, {true, false}, {false, false}}};

TEST_CASE("each key has one owner with any fault at any step, and recovers") {
  for (const auto& operation : Operations()) {
    for (const Duration step : operation.steps) {
      for (const auto& fault : Faults()) {
        for (const ServerKind kind : kServerKinds) {
          CHECK(InvariantsHold(operation, step, {&fault}, kind));
        }
      }
    }
  }
}

TEST_CASE("each key has one owner with two faults at any step, and recovers") {
  std::size_t turn = 0;
  for (const auto& operation : Operations()) {
    for (const Duration step : operation.steps) {
      for (std::size_t i = 0; i < Faults().size(); ++i) {
        for (std::size_t j = i + 1; j < Faults().size(); ++j) {
          // Each pair runs with one kind of server; the kinds alternate.
          const ServerKind kind = kServerKinds[turn++ % kServerKinds.size()];
          CHECK(InvariantsHold(operation, step, {&Faults()[i], &Faults()[j]},
                               kind));
        }
      }
    }
  }
}

}  // namespace
}  // namespace gentianreach
