#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <numeric>
#include <utility>

#include "soak/link_cuts.h"
#include "soak/plan_random.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

// Mean time between the starts of two faults in a deployment of up to
// kReferenceProcesses processes. The rate grows in proportion to the processes
// beyond that.
constexpr double kMeanIntervalMs = 450;
constexpr double kReferenceProcesses = 9;
// Range of fault durations: from shorter than a request to longer than a lease.
constexpr double kMinDurationMs = 20;
constexpr double kMaxDurationMs = 7000;
// Probability that a fault repeats the previous one, and the minimum pause
// between faults on the same resource.
constexpr double kRepeatProbability = 0.25;
constexpr milliseconds kRepeatPause{60};

constexpr std::array<const char*, kFaultKinds> kFaultNames = {
    "kill-daemon",         "stop-daemon",         "pause-daemon",
    "reload-daemon",       "kill-server",         "drain-server",
    "pause-server",        "pause-store",         "store-busy",
    "store-loses-answers", "store-drops-history", "change-config",
    "slow-link",           "silent-link",         "one-way-link",
    "reset-link",          "cut-daemon",          "invalid-config",
    "store-turns-back",    "store-refuses",       "cut-links"};
constexpr std::array<const char*, 4> kRefusalNames = {"503", "429", "reset",
                                                      "silent"};
constexpr std::array<const char*, 4> kLinkCutNames = {"datagrams", "silent",
                                                      "reset", "one-way"};
// Cuts of a daemon from the servers are drawn from these.
constexpr std::array<const char*, 4> kCutNames = {"none", "silent", "reset",
                                                  "new-refused"};
// Mean time between two cuts of daemons from all servers, and the range of
// their durations: from shorter to longer than a daemon takes to notice one.
constexpr double kMeanCutIntervalMs = 3000;
constexpr double kMinCutMs = 200;
constexpr double kMaxCutMs = 7000;
// Cuts have a random sequence of their own, so that the other faults of a seed
// do not depend on them.
constexpr std::uint64_t kCutSequence = 0x9e3779b97f4a7c15;
// Changes of the configuration and signals to several daemons have one, too.
constexpr std::uint64_t kSeriesSequence = 0xbf58476d1ce4e5b9;
constexpr double kMeanSeriesIntervalMs = 2500;
constexpr double kChangeProbability = 0.6;
// So do turns of the store's counter.
constexpr std::uint64_t kTurnSequence = 0x94d049bb133111eb;
constexpr double kMeanTurnIntervalMs = 8000;
constexpr double kInvalidProbability = 0.5;
// So do refusals of the store, and the drains beside them.
constexpr std::uint64_t kRefusalSequence = 0xd6e8feb86659fd93;
constexpr double kMeanRefusalIntervalMs = 1000;
constexpr double kMinRefusalMs = 2000;
constexpr double kMaxRefusalMs = 8000;
constexpr double kMixedProbability = 0.5;
constexpr double kDifferentProbability = 0.3;
constexpr double kMostProbability = 0.4;
// Share of the other faults that stay beside refusals.
constexpr double kBesideRefusals = 0.25;
constexpr std::uint64_t kDrainSequence = 0xa0761d6478bd642f;
constexpr double kMeanDrainIntervalMs = 200;
// From the time that a server takes to drain on.
constexpr double kMinDrainMs = 5600;
constexpr double kMaxDrainMs = 7000;
// A server serves again at the latest this long after its fault.
constexpr milliseconds kRestartTime{1000};
// One of three servers is plain; the others own keys, which move between them.
constexpr std::size_t kPlainServerStride = 3;
// Kinds that Planner::Draw() draws.
constexpr std::size_t kDrawnKinds =
    static_cast<std::size_t>(FaultKind::kCutDaemon);
constexpr std::size_t kDaemonKinds =
    static_cast<std::size_t>(FaultKind::kReloadDaemon) + 1;
constexpr std::array<const char*, 3> kLinkNames = {
    "callers-to-daemon", "daemon-to-store", "daemons-to-server"};

class Planner {
 public:
  Planner(std::uint64_t seed, const FleetShape& shape)
      : random_(seed), shape_(shape) {}

  Fault Draw(TimePoint at) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(random_.Index(kDrawnKinds));
    fault.link = static_cast<LinkKind>(random_.Index(kLinkNames.size()));
    const bool of_server =
        IsServerFault(fault.kind) ||
        (IsLinkFault(fault.kind) && fault.link == LinkKind::kDaemonsToServer);
    const bool of_daemon = IsDaemonFault(fault.kind) || IsLinkFault(fault.kind);
    if (of_server) {
      fault.target = random_.Index(shape_.servers);
    } else if (of_daemon) {
      fault.target = random_.Index(shape_.daemons);
    }
    Place(fault, at);
    return fault;
  }

  // Returns a cut of some daemons that begins at `at`: a fault for each of
  // them.
  std::vector<Fault> DrawCut(TimePoint at) {
    Fault fault{
        .kind = FaultKind::kCutDaemon,
        .cut = static_cast<ClientCut>(1 + random_.Index(kCutNames.size() - 1)),
        .begins = at,
        .ends = at + random_.Span(kMinCutMs, kMaxCutMs)};
    return OnSomeDaemons(fault);
  }
  // Returns a change of the configuration, or a signal to some daemons, at
  // `at`.
  std::vector<Fault> DrawSeries(TimePoint at) {
    Fault fault{.kind = FaultKind::kChangeConfig};
    Place(fault, at);
    if (!random_.Chance(kChangeProbability)) {
      fault.kind = static_cast<FaultKind>(random_.Index(kDaemonKinds));
      return OnSomeDaemons(fault);
    }
    if (random_.Chance(kInvalidProbability)) {
      fault.kind = FaultKind::kInvalidConfig;
    }
    return {fault};
  }
  Duration DrawSeriesInterval() { return random_.Pause(kMeanSeriesIntervalMs); }
  Duration DrawTurnInterval() { return random_.Pause(kMeanTurnIntervalMs); }
  // Returns a refusal of some daemons, or of all but one, that begins at `at`:
  // a fault for each of them, in one way or in two.
  std::vector<Fault> DrawRefusal(TimePoint at) {
    Fault fault{.kind = FaultKind::kStoreRefuses,
                .begins = at,
                .ends = at + random_.Span(kMinRefusalMs, kMaxRefusalMs)};
    const bool most = random_.Chance(kMostProbability);
    std::vector<Fault> faults =
        most ? OnEachDaemon(fault) : OnSomeDaemons(fault);
    if (faults.size() == shape_.daemons) {
      faults.pop_back();
    }
    const bool mixed = random_.Chance(kMixedProbability);
    const std::size_t turn = refusals_++;
    const double differs = mixed ? kDifferentProbability : 0;
    for (Fault& it : faults) {
      it.refusal = static_cast<Refusal>(
          (turn + (random_.Chance(differs) ? 1 : 0)) % kRefusalNames.size());
    }
    return faults;
  }
  Duration DrawRefusalInterval() {
    return random_.Pause(kMeanRefusalIntervalMs);
  }
  // Returns a drain of any server that begins at `at`.
  Fault DrawDrain(TimePoint at) {
    return {.kind = FaultKind::kDrainServer,
            .target = random_.Index(shape_.servers),
            .begins = at,
            .ends = at + random_.Span(kMinDrainMs, kMaxDrainMs)};
  }
  Duration DrawDrainInterval() { return random_.Pause(kMeanDrainIntervalMs); }
  bool DrawStaysBesideRefusals() { return random_.Chance(kBesideRefusals); }
  Duration DrawCutInterval() { return random_.Pause(kMeanCutIntervalMs); }

  // Sets the start time and duration of `fault`.
  void Place(Fault& fault, TimePoint at) {
    fault.begins = at;
    fault.ends = at + random_.Span(kMinDurationMs, kMaxDurationMs);
  }

  Duration DrawInterval() {
    const double processes =
        static_cast<double>(shape_.daemons + shape_.servers);
    return random_.PauseAtRate(std::max(processes / kReferenceProcesses, 1.0) *
                               shape_.fault_rate / kMeanIntervalMs);
  }

  bool DrawRepeat() { return random_.Chance(kRepeatProbability); }

 private:
  // Returns the fault for each of one, several or all daemons.
  std::vector<Fault> OnSomeDaemons(const Fault& fault) {
    std::vector<Fault> faults = OnEachDaemon(fault);
    faults.resize(1 + random_.Index(shape_.daemons));
    return faults;
  }
  // Returns the fault for each daemon, in random order.
  std::vector<Fault> OnEachDaemon(Fault fault) {
    std::vector<std::size_t> daemons(shape_.daemons);
    std::iota(daemons.begin(), daemons.end(), 0);
    std::ranges::shuffle(daemons, random_.engine());
    std::vector<Fault> faults;
    for (const std::size_t it : daemons) {
      fault.target = it;
      faults.push_back(fault);
    }
    return faults;
  }
  PlanRandom random_;
  const FleetShape shape_;
  std::size_t refusals_ = 0;
};

// Returns an identifier of the process or link that `fault` occupies. Faults on
// the same resource do not overlap.
std::pair<int, std::size_t> ResourceOf(const Fault& fault) {
  if (IsDaemonFault(fault.kind)) {
    return {0, fault.target};
  }
  if (IsServerFault(fault.kind)) {
    return {1, fault.target};
  }
  if (IsLinkFault(fault.kind)) {
    return {2 + static_cast<int>(fault.link), fault.target};
  }
  constexpr int kRefusalResource = 9;
  if (fault.kind == FaultKind::kStoreRefuses) {
    return {kRefusalResource, fault.target};
  }
  constexpr int kFirstStoreResource = 10;
  return {kFirstStoreResource + static_cast<int>(fault.kind), 0};
}

// Returns whether `fault` has to wait for `other` to end, or the reverse.
bool Conflict(const Fault& fault, const Fault& other) {
  return ResourceOf(fault) == ResourceOf(other) &&
         fault.begins < other.ends + kRepeatPause &&
         other.begins < fault.ends + kRepeatPause;
}

// Adds changes of the configuration and signals to several daemons where they
// do not conflict with the faults of `plan`.
void AddSeries(std::uint64_t seed,
               const FleetShape& shape,
               TimePoint begin,
               TimePoint end,
               std::vector<Fault>& plan) {
  Planner planner(seed ^ kSeriesSequence, shape);
  for (TimePoint at = begin + planner.DrawSeriesInterval(); at < end;
       at += planner.DrawSeriesInterval()) {
    for (Fault& it : planner.DrawSeries(at)) {
      it.ends = std::min(it.ends, end);
      if (std::ranges::none_of(
              plan, [&](const Fault& other) { return Conflict(it, other); })) {
        plan.push_back(it);
      }
    }
  }
}

// Adds turns of the store's counter.
void AddTurns(std::uint64_t seed,
              const FleetShape& shape,
              TimePoint begin,
              TimePoint end,
              std::vector<Fault>& plan) {
  Planner planner(seed ^ kTurnSequence, shape);
  for (TimePoint at = begin + planner.DrawTurnInterval(); at < end;
       at += planner.DrawTurnInterval()) {
    plan.push_back({.kind = FaultKind::kStoreTurnsBack,
                    .begins = at,
                    .ends = std::min<TimePoint>(at + milliseconds(1), end)});
  }
}

// Removes most faults of `plan`, and adds refusals of daemons, by turns.
void AddRefusals(std::uint64_t seed,
                 const FleetShape& shape,
                 TimePoint begin,
                 TimePoint end,
                 std::vector<Fault>& plan) {
  Planner planner(seed ^ kRefusalSequence, shape);
  std::erase_if(plan, [&](const Fault& /*fault*/) {
    return !planner.DrawStaysBesideRefusals();
  });
  for (TimePoint at = begin + planner.DrawRefusalInterval(); at < end;
       at += planner.DrawRefusalInterval()) {
    TimePoint last_end = at;
    for (Fault& it : planner.DrawRefusal(at)) {
      it.ends = std::min(it.ends, end);
      last_end = it.ends;
      plan.push_back(it);
    }
    at = last_end + kRepeatPause;
  }
}

// Returns whether half of the servers of its service still serve if `fault` is
// added to `plan`.
bool LeavesHalf(const Fault& fault,
                const FleetShape& shape,
                const std::vector<Fault>& plan) {
  const bool plain = IsPlainServer(fault.target);
  std::size_t servers = 0;
  std::size_t away = 1;
  for (std::size_t i = 0; i < shape.servers; ++i) {
    if (IsPlainServer(i) != plain) {
      continue;
    }
    ++servers;
    away += std::ranges::any_of(plan, [&](const Fault& other) {
      return IsServerFault(other.kind) && other.target == i &&
             fault.begins < other.ends + kRestartTime &&
             other.begins < fault.ends + kRestartTime;
    });
  }
  return 2 * away <= servers;
}

// Adds drains of servers, in series, as many as half of the servers of each
// service allow.
void AddDrains(std::uint64_t seed,
               const FleetShape& shape,
               TimePoint begin,
               TimePoint end,
               std::vector<Fault>& plan) {
  Planner planner(seed ^ kDrainSequence, shape);
  for (TimePoint at = begin + planner.DrawDrainInterval(); at < end;
       at += planner.DrawDrainInterval()) {
    Fault fault = planner.DrawDrain(at);
    fault.ends = std::min(fault.ends, end);
    const bool busy = std::ranges::any_of(
        plan, [&](const Fault& other) { return Conflict(fault, other); });
    if (!busy && LeavesHalf(fault, shape, plan)) {
      plan.push_back(fault);
    }
  }
}

}  // namespace

bool IsDaemonFault(FaultKind kind) {
  return kind >= FaultKind::kKillDaemon && kind <= FaultKind::kReloadDaemon;
}

bool IsServerFault(FaultKind kind) {
  return kind >= FaultKind::kKillServer && kind <= FaultKind::kPauseServer;
}

bool IsLinkFault(FaultKind kind) {
  return kind >= FaultKind::kSlowLink && kind <= FaultKind::kResetLink;
}

bool IsStoreOutage(FaultKind kind) {
  return kind >= FaultKind::kPauseStore &&
         kind <= FaultKind::kStoreLosesResponses;
}

bool KeepsPathToStore(const Fault& fault) {
  return fault.kind == FaultKind::kStoreRefuses &&
         (fault.refusal == Refusal::kUnavailable ||
          fault.refusal == Refusal::kTooManyRequests);
}

bool IsPlainServer(std::size_t server) {
  return server % kPlainServerStride == 0;
}

std::vector<Fault> MakePlan(std::uint64_t seed,
                            const FleetShape& shape,
                            TimePoint begin,
                            TimePoint end) {
  Planner planner(seed, shape);
  std::vector<Fault> plan;
  std::map<std::pair<int, std::size_t>, TimePoint> free_at;
  for (TimePoint at = begin + planner.DrawInterval(); at < end;
       at += planner.DrawInterval()) {
    Fault fault = planner.Draw(at);
    if (!plan.empty() && planner.DrawRepeat()) {
      fault = plan.back();
      planner.Place(fault, std::max(at, fault.ends + kRepeatPause));
    }
    const auto resource = ResourceOf(fault);
    if (fault.begins >= end || fault.begins < free_at[resource]) {
      continue;
    }
    fault.ends = std::min(fault.ends, end);
    free_at[resource] = fault.ends + kRepeatPause;
    plan.push_back(fault);
  }
  Planner cuts(seed ^ kCutSequence, shape);
  for (TimePoint at = begin + cuts.DrawCutInterval(); at < end;) {
    for (Fault& it : cuts.DrawCut(at)) {
      it.ends = std::min(it.ends, end);
      plan.push_back(it);
      at = it.ends;
    }
    at += cuts.DrawCutInterval() + kRepeatPause;
  }
  AddSeries(seed, shape, begin, end, plan);
  if (shape.store_turns_back) {
    AddTurns(seed, shape, begin, end, plan);
  }
  if (shape.store_refuses) {
    AddRefusals(seed, shape, begin, end, plan);
    AddDrains(seed, shape, begin, end, plan);
  }
  if (shape.cut_links) {
    AddLinkCuts(seed, shape, begin, end, plan);
  }
  std::ranges::stable_sort(plan, {}, &Fault::begins);
  return plan;
}

std::string ToString(const Fault& fault, TimePoint start) {
  const auto ms = [start](TimePoint at) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(at - start).count());
  };
  std::string text =
      "at_ms=" + ms(fault.begins) + " until_ms=" + ms(fault.ends) +
      " fault=" + kFaultNames[static_cast<std::size_t>(fault.kind)] +
      " target=" + std::to_string(fault.target);
  if (IsLinkFault(fault.kind)) {
    text += std::string(" link=") +
            kLinkNames[static_cast<std::size_t>(fault.link)];
  }
  if (fault.kind == FaultKind::kCutDaemon) {
    text +=
        std::string(" cut=") + kCutNames[static_cast<std::size_t>(fault.cut)];
  }
  if (fault.kind == FaultKind::kStoreRefuses) {
    text += std::string(" how=") +
            kRefusalNames[static_cast<std::size_t>(fault.refusal)];
  }
  if (fault.kind == FaultKind::kCutLinks) {
    text += std::string(" around_leader=") + (fault.around_leader ? "1" : "0") +
            " links=";
    for (const LinkCut& it : fault.links) {
      text += (&it == fault.links.data() ? "" : ",") + std::to_string(it.from) +
              "-" + std::to_string(it.to) + "/" +
              kLinkCutNames[static_cast<std::size_t>(it.kind)];
    }
  }
  return text;
}

}  // namespace gentianreach::soak
