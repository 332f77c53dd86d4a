#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <map>
#include <random>
#include <utility>

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

// Mean time between the begins of two faults of a small deployment; larger ones
// have more, in proportion to their processes.
constexpr double kMeanPauseMs = 450;
constexpr double kSmallFleet = 9;
// How long faults last: from shorter than a request to longer than a lease.
constexpr double kShortestMs = 20;
constexpr double kLongestMs = 7000;
// Share of the faults that strike the last target again, soon after.
constexpr double kSeriesShare = 0.25;
constexpr milliseconds kSeriesPause{60};

constexpr std::array<const char*, kFaultKinds> kNames = {
    "kill-daemon",         "stop-daemon",         "pause-daemon",
    "reload-daemon",       "kill-server",         "drain-server",
    "pause-server",        "pause-store",         "store-busy",
    "store-loses-answers", "store-drops-history", "change-config",
    "slow-link",           "silent-link",         "one-way-link",
    "reset-link"};
constexpr std::array<const char*, 3> kLinkNames = {
    "callers-to-daemon", "daemon-to-store", "daemons-to-server"};

class Planner {
 public:
  Planner(std::uint64_t seed, const FleetShape& shape)
      : random_(seed), shape_(shape) {}

  Fault Draw(TimePoint at) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(Index(kFaultKinds));
    fault.link = static_cast<LinkKind>(Index(kLinkNames.size()));
    const bool of_server =
        IsServerFault(fault.kind) ||
        (IsLinkFault(fault.kind) && fault.link == LinkKind::kDaemonsToServer);
    const bool of_daemon = IsDaemonFault(fault.kind) || IsLinkFault(fault.kind);
    if (of_server) {
      fault.target = Index(shape_.servers);
    } else if (of_daemon) {
      fault.target = Index(shape_.daemons);
    }
    Place(fault, at);
    return fault;
  }

  // Sets begin and end of `fault`.
  void Place(Fault& fault, TimePoint at) {
    // Short faults are as likely as long ones on a scale of magnitudes.
    std::uniform_real_distribution<double> magnitude(std::log(kShortestMs),
                                                     std::log(kLongestMs));
    fault.begins = at;
    fault.ends = at + Millis(std::exp(magnitude(random_)));
  }

  Duration DrawPause() {
    const double processes =
        static_cast<double>(shape_.daemons + shape_.servers);
    std::exponential_distribution<double> pause(
        std::max(processes / kSmallFleet, 1.0) / kMeanPauseMs);
    return Millis(pause(random_));
  }

  bool DrawSeries() {
    return std::bernoulli_distribution(kSeriesShare)(random_);
  }

 private:
  static Duration Millis(double ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }
  std::size_t Index(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
  }

  std::mt19937_64 random_;
  const FleetShape shape_;
};

// Identifies what a fault holds on to while it lasts: faults of one process or
// of one link do not overlap.
std::pair<int, std::size_t> HolderOf(const Fault& fault) {
  if (IsDaemonFault(fault.kind)) {
    return {0, fault.target};
  }
  if (IsServerFault(fault.kind)) {
    return {1, fault.target};
  }
  if (IsLinkFault(fault.kind)) {
    return {2 + static_cast<int>(fault.link), fault.target};
  }
  constexpr int kStoreHolders = 10;
  return {kStoreHolders + static_cast<int>(fault.kind), 0};
}

}  // namespace

bool IsDaemonFault(FaultKind kind) {
  return kind >= FaultKind::kKillDaemon && kind <= FaultKind::kReloadDaemon;
}

bool IsServerFault(FaultKind kind) {
  return kind >= FaultKind::kKillServer && kind <= FaultKind::kPauseServer;
}

bool IsLinkFault(FaultKind kind) {
  return kind >= FaultKind::kSlowLink;
}

std::vector<Fault> MakePlan(std::uint64_t seed,
                            const FleetShape& shape,
                            TimePoint begin,
                            TimePoint end) {
  Planner planner(seed, shape);
  std::vector<Fault> plan;
  std::map<std::pair<int, std::size_t>, TimePoint> free_at;
  for (TimePoint at = begin + planner.DrawPause(); at < end;
       at += planner.DrawPause()) {
    Fault fault = planner.Draw(at);
    if (!plan.empty() && planner.DrawSeries()) {
      fault = plan.back();
      planner.Place(fault, std::max(at, fault.ends + kSeriesPause));
    }
    const auto holder = HolderOf(fault);
    if (fault.begins >= end || fault.begins < free_at[holder]) {
      continue;
    }
    fault.ends = std::min(fault.ends, end);
    free_at[holder] = fault.ends + kSeriesPause;
    plan.push_back(fault);
  }
  std::ranges::stable_sort(plan, {}, &Fault::begins);
  return plan;
}

std::string ToString(const Fault& fault, TimePoint start) {
  const auto ms = [start](TimePoint at) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(at - start).count());
  };
  std::string text = "at_ms=" + ms(fault.begins) +
                     " until_ms=" + ms(fault.ends) +
                     " fault=" + kNames[static_cast<std::size_t>(fault.kind)] +
                     " target=" + std::to_string(fault.target);
  if (IsLinkFault(fault.kind)) {
    text += std::string(" link=") +
            kLinkNames[static_cast<std::size_t>(fault.link)];
  }
  return text;
}

}  // namespace gentianreach::soak
