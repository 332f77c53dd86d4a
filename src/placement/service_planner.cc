#include "placement/service_planner.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

namespace gentianreach::internal {
namespace {

// Balancing ends once the greatest utilisation is below this multiple of the
// least possible one.
constexpr double kStopLevel = 1.06;
// It begins above this multiple, and by up to kChurnPatience later the more
// churn weighs.
constexpr double kStartLevel = 1.10;
constexpr double kChurnPatience = 0.08;
// It begins too where a server has less than the first and goes on until all
// have more than the second share of the mean.
constexpr double kIdleLevel = 0.35;
constexpr double kFilledLevel = 0.8;
// Deviations of an estimate that count as noise.
constexpr double kNoise = 3.0;
// Share of the servers that may be emptied for leaving at the same time.
constexpr std::size_t kDrainingDivisor = 3;
// Greatest number of splits in one plan; each changes the table.
constexpr std::size_t kGreatestSplits = 16;

// Returns whether `zones`, separated by commas, names `zone`; an empty list
// names all.
bool NamesZone(std::string_view zones, const ZoneName& zone) {
  if (zones.empty()) {
    return true;
  }
  while (!zones.empty()) {
    const std::size_t comma = zones.find(',');
    std::string_view name = zones.substr(0, comma);
    name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
    name = name.substr(0, name.find_last_not_of(' ') + 1);
    if (name == zone.value()) {
      return true;
    }
    zones.remove_prefix(comma == std::string_view::npos ? zones.size()
                                                        : comma + 1);
  }
  return false;
}

double StartLevel(const settings::ServiceT& service) {
  const double sum = service.churn_weight + service.unavailable_weight;
  const double churn = sum > 0 ? service.churn_weight / sum : 0;
  return kStartLevel + kChurnPatience * churn;
}

// Returns the indices of the servers that may give load, the most loaded
// first.
std::vector<std::size_t> ByUtilisation(const WorkTable& table) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < table.servers().size(); ++i) {
    if (table.servers()[i].weight > 0) {
      order.push_back(i);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [&table](std::size_t a, std::size_t b) {
                     return table.servers()[a].Utilisation() >
                            table.servers()[b].Utilisation();
                   });
  return order;
}

double LeastUtilisation(const WorkTable& table) {
  double least = std::numeric_limits<double>::max();
  for (const WorkServer& it : table.servers()) {
    least = it.receives ? std::min(least, it.Utilisation()) : least;
  }
  return least;
}

}  // namespace

// What the steps of one plan share.
struct ServicePlanner::Step {
  ServiceSnapshot& snapshot;
  const ServerHistory& history;
  TimePoint now;
  WorkTable table;
  std::vector<PlacementAction> actions;
  std::uint32_t allowance = 0;  // Balancing moves left in this plan.
  std::size_t splits = 0;
};

void ServicePlanner::Observe(const DaemonId& from,
                             ReportedLoad load,
                             TimePoint expires) {
  model_.Observe(from, std::move(load), expires);
}

std::vector<PlacementAction> ServicePlanner::Plan(ServiceSnapshot& snapshot,
                                                  const ServerHistory& history,
                                                  TimePoint now) {
  std::sort(snapshot.servers.begin(), snapshot.servers.end(),
            [](const auto* a, const auto* b) { return a->id < b->id; });
  std::sort(snapshot.ranges.begin(), snapshot.ranges.end(),
            [](const auto* a, const auto* b) { return a->range < b->range; });
  std::vector<HashRange> ranges;
  ranges.reserve(snapshot.ranges.size());
  for (const PlacementRange* it : snapshot.ranges) {
    ranges.push_back(it->range);
  }
  model_.Update(ranges, now);
  log_.Expire(now);
  kept_until_ = now + kMemory;
  Step step{snapshot, history, now, BuildTable(snapshot, history, now)};
  const std::vector<bool> resting = log_.Resting(snapshot.ranges);
  for (std::size_t i = 0; i < resting.size(); ++i) {
    step.table.ranges()[i].resting = resting[i];
  }
  load_.clear();
  for (const WorkServer& it : step.table.servers()) {
    load_[it.server->id] = it.load;
  }
  ApplyMovesUnderWay(step);
  PlanUnowned(step);
  PlanDraining(step);
  PlanBalance(step);
  PlanCompaction(step);
  return std::move(step.actions);
}

WorkTable ServicePlanner::BuildTable(const ServiceSnapshot& snapshot,
                                     const ServerHistory& history,
                                     TimePoint now) const {
  const std::chrono::milliseconds warm_up(snapshot.settings.warm_up);
  std::vector<WorkServer> servers;
  bool any_receives = false;
  for (const PlacementServer* it : snapshot.servers) {
    WorkServer server;
    server.server = it;
    if (it->state == PlacementServerState::kLive) {
      const double warm = ServerHistory::WarmShare(*it, warm_up, now);
      server.weight = std::max(1U, it->slots) * warm;
      server.receives = history.Stable(it->id, now) &&
                        NamesZone(snapshot.settings.zones, it->zone);
      any_receives = any_receives || server.receives;
    }
    servers.push_back(std::move(server));
  }
  // Where every server flaps or none is in a listed zone, an owner of doubt
  // serves better than none.
  for (WorkServer& it : servers) {
    it.receives = it.receives || (!any_receives && it.weight > 0);
  }
  return WorkTable(std::move(servers), snapshot.ranges, model_);
}

void ServicePlanner::ApplyMovesUnderWay(Step& step) const {
  for (std::size_t i = 0; i < step.table.ranges().size(); ++i) {
    const WorkRange& it = step.table.ranges()[i];
    const auto to = log_.Destination(*it.range, step.now);
    const std::size_t server = to ? step.table.Find(*to) : WorkTable::kNoServer;
    // An urgent move that has not begun is planned again below.
    const bool served = it.owner != WorkTable::kNoServer &&
                        step.table.servers()[it.owner].weight > 0;
    if (server != WorkTable::kNoServer && (it.busy || served)) {
      step.table.Move(i, server);
    }
  }
}

void ServicePlanner::PlanUnowned(Step& step) {
  std::vector<std::size_t> unowned;
  for (std::size_t i = 0; i < step.table.ranges().size(); ++i) {
    const WorkRange& it = step.table.ranges()[i];
    const bool lost = it.owner == WorkTable::kNoServer ||
                      step.table.servers()[it.owner].server->state ==
                          PlacementServerState::kFenced;
    if (lost && !it.busy) {
      unowned.push_back(i);
    }
  }
  MoveUrgently(step, unowned, MoveCause::kNoOwner);
}

// Empties leaving servers in the order in which they began to leave, a bounded
// share of the service at a time: a list that says that nearly all of them
// leave does not move everything at once.
void ServicePlanner::PlanDraining(Step& step) {
  const std::vector<WorkServer>& servers = step.table.servers();
  std::vector<std::size_t> leaving;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const bool drains =
        servers[i].server->state == PlacementServerState::kDraining;
    if (drains && !servers[i].held.empty()) {
      leaving.push_back(i);
    }
  }
  std::stable_sort(leaving.begin(), leaving.end(),
                   [&](std::size_t a, std::size_t b) {
                     return step.history.DrainingSince(servers[a].server->id) <
                            step.history.DrainingSince(servers[b].server->id);
                   });
  const std::size_t most =
      (servers.size() + kDrainingDivisor - 1) / kDrainingDivisor;
  leaving.resize(std::min(leaving.size(), most));
  std::vector<std::size_t> ranges;
  for (const std::size_t server : leaving) {
    for (const std::size_t it : servers[server].held) {
      if (!step.table.ranges()[it].busy) {
        ranges.push_back(it);
      }
    }
  }
  MoveUrgently(step, ranges, MoveCause::kDraining);
}

// Gives the ranges to receivers, those with the most load first. A move that
// is planned again keeps its destination.
void ServicePlanner::MoveUrgently(Step& step,
                                  const std::vector<std::size_t>& ranges,
                                  MoveCause cause) {
  std::vector<std::size_t> order = ranges;
  std::stable_sort(
      order.begin(), order.end(), [&step](std::size_t a, std::size_t b) {
        return step.table.ranges()[a].load > step.table.ranges()[b].load;
      });
  for (const std::size_t it : order) {
    const WorkRange& range = step.table.ranges()[it];
    std::optional<std::size_t> to;
    if (const auto planned = log_.Destination(*range.range, step.now)) {
      const std::size_t server = step.table.Find(*planned);
      const bool usable = server != WorkTable::kNoServer &&
                          step.table.servers()[server].receives;
      to = usable ? std::optional(server) : std::nullopt;
    }
    to = to ? to : step.table.PickReceiver(range.load);
    if (!to) {
      return;
    }
    const PlacementServer& target = *step.table.servers()[*to].server;
    step.actions.emplace_back(MoveRange{target.service, range.range->range,
                                        range.range->owner, target.id, cause});
    log_.Add(range.range->range, target.id, MoveLog::Kind::kUrgent, step.now);
    step.table.Move(it, *to);
  }
}

bool ServicePlanner::NeedsBalance(const Step& step) const {
  const std::vector<std::size_t> order = ByUtilisation(step.table);
  if (order.size() < 2 || step.table.MeanUtilisation() <= 0) {
    return false;
  }
  const WorkServer& top = step.table.servers()[order.front()];
  const double mean = step.table.MeanUtilisation();
  const double bound = step.table.LowerBound();
  const double noise =
      kNoise * model_.Deviation(std::max(top.load, 0.0)) / top.weight;
  const double start = StartLevel(step.snapshot.settings);
  const double least = LeastUtilisation(step.table);
  if (balancing_) {
    return top.Utilisation() > kStopLevel * bound + noise / kNoise ||
           least < kFilledLevel * mean;
  }
  return top.Utilisation() > start * bound + noise ||
         least + noise < kIdleLevel * mean;
}

void ServicePlanner::PlanBalance(Step& step) {
  const std::uint32_t per_minute = step.snapshot.settings.moves_per_minute;
  step.allowance = moves_.Available(per_minute, step.now);
  if (!model_.Ready(step.now)) {
    return;
  }
  balancing_ = NeedsBalance(step);
  while (balancing_ && step.allowance > 0) {
    // Where nothing helps, the next plan begins from the higher level again.
    balancing_ = RelieveAny(step) && NeedsBalance(step);
  }
}

// Returns how far balancing should go. The least possible level is dear to
// reach with ranges of many keys, so those go only down to the level at which
// balancing would begin; a server that has too little is filled to the mean.
ReliefLimits ServicePlanner::Limits(const Step& step) const {
  const double mean = step.table.MeanUtilisation();
  const double bound = step.table.LowerBound();
  const double units = keys_.Available(kKeysPerMinute, step.now);
  ReliefLimits limits{mean, mean, units / kKeyUnits};
  if (LeastUtilisation(step.table) >= kIdleLevel * mean) {
    limits.key_level = bound;
    limits.range_level = bound * StartLevel(step.snapshot.settings);
  }
  return limits;
}

// Returns the utilisation above which servers are relieved. While some are
// above the level at which balancing begins, the budget is theirs.
double ServicePlanner::LeastToRelieve(const Step& step) const {
  const double level = Limits(step).key_level;
  const double bound = step.table.LowerBound();
  const double start = StartLevel(step.snapshot.settings) * bound;
  if (level < bound) {
    return level;
  }
  double greatest = 0;
  for (const WorkServer& it : step.table.servers()) {
    greatest = std::max(greatest, it.Utilisation());
  }
  return greatest > start ? start : kStopLevel * bound;
}

// Relieves the most loaded server that can be; returns whether there is one.
bool ServicePlanner::RelieveAny(Step& step) {
  const double level = LeastToRelieve(step);
  for (const std::size_t it : ByUtilisation(step.table)) {
    if (step.table.servers()[it].Utilisation() <= level) {
      return false;
    }
    if (Relieve(step, it)) {
      return true;
    }
  }
  return false;
}

// Takes the best relief of `from` into the plan; returns whether there is one.
bool ServicePlanner::Relieve(Step& step, std::size_t from) {
  const auto to = step.table.PickReceiver(0, from);
  if (!to) {
    return false;
  }
  const settings::ServiceT& settings = step.snapshot.settings;
  const auto relief =
      ChooseRelief(step.table, from, *to, settings, Limits(step));
  if (!relief) {
    return false;
  }
  const WorkRange& range = step.table.ranges()[relief->range];
  const PlacementRange& planned = *range.range;
  --step.allowance;
  if (relief->kind == ReliefKind::kMove) {
    const ServerId& target = step.table.servers()[*to].server->id;
    step.actions.emplace_back(MoveRange{planned.service, planned.range,
                                        planned.owner, target,
                                        MoveCause::kBalance});
    log_.Add(planned.range, target, MoveLog::Kind::kBudgeted, step.now);
    SpendMove(step, range.keys);
    step.table.Move(relief->range, *to);
    return true;
  }
  if (step.splits == kGreatestSplits) {
    return false;
  }
  ++step.splits;
  step.actions.emplace_back(SplitRange{planned.service, planned.range,
                                       relief->at,
                                       relief->kind == ReliefKind::kIsolate});
  step.table.Foresee(relief->range, *to, relief->load, relief->keys);
  return true;
}

void ServicePlanner::SpendMove(const Step& step, double keys) {
  moves_.Spend(step.snapshot.settings.moves_per_minute, 1, step.now);
  keys_.Spend(kKeysPerMinute, static_cast<std::uint32_t>(keys * kKeyUnits),
              step.now);
}

void ServicePlanner::PlanCompaction(Step& step) {
  compaction_.Update(step.table, step.now);
  if (!model_.Ready(step.now)) {
    return;
  }
  const std::uint32_t per_minute = step.snapshot.settings.moves_per_minute;
  const std::uint32_t left = moves_.Available(per_minute, step.now);
  // Half of what may go at once stays free for balance.
  const bool spare = !balancing_ && left > 1 && left * 8 >= per_minute;
  for (MoveRange& it :
       compaction_.Returns(step.table, spare ? 1 : 0, step.now)) {
    log_.Add(it.range, it.to, MoveLog::Kind::kBudgeted, step.now);
    SpendMove(step, 0);
    step.actions.emplace_back(std::move(it));
  }
  for (MergeRanges& it : compaction_.Merges(step.table, step.now)) {
    step.actions.emplace_back(std::move(it));
  }
}

}  // namespace gentianreach::internal
