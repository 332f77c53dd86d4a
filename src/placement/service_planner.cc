#include "placement/service_planner.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

namespace gentianreach::internal {
namespace {

// Balancing stops once the maximum utilization is below this multiple of
// WorkTable::MinPeakUtilization().
constexpr double kStopLevel = 1.06;
// Balancing starts above this multiple, plus up to kMaxChurnMargin depending on
// the relative weight of churn.
constexpr double kStartLevel = 1.10;
constexpr double kMaxChurnMargin = 0.08;
// Balancing also starts if the utilization of a server is below
// kUnderloadedLevel times the mean, and continues until all are above
// kRefilledLevel times it.
constexpr double kUnderloadedLevel = 0.35;
constexpr double kRefilledLevel = 0.8;
// Number of standard deviations of an estimate that are treated as noise.
constexpr double kNoiseDeviations = 3.0;
// At most one in this number of servers, rounded up, is drained at a time.
constexpr std::size_t kDrainingDivisor = 3;
// Limits the changes that one plan makes to the ownership table.
constexpr std::size_t kMaxSplits = 16;

// Returns whether the comma-separated list `zones` contains `zone`. An empty
// list stands for all zones.
bool ListContainsZone(std::string_view zones, const ZoneName& zone) {
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
  return kStartLevel + kMaxChurnMargin * churn;
}

// Returns the indices of the live servers, the most utilised first.
std::vector<std::size_t> ByUtilization(const WorkTable& table) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < table.servers().size(); ++i) {
    if (table.servers()[i].weight > 0) {
      order.push_back(i);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [&table](std::size_t a, std::size_t b) {
                     return table.servers()[a].Utilization() >
                            table.servers()[b].Utilization();
                   });
  return order;
}

double MinUtilization(const WorkTable& table) {
  double min_utilization = std::numeric_limits<double>::max();
  for (const WorkServer& it : table.servers()) {
    min_utilization = it.receives ? std::min(min_utilization, it.Utilization())
                                  : min_utilization;
  }
  return min_utilization;
}

}  // namespace

// The state shared by the steps of one plan.
struct ServicePlanner::PlanContext {
  ServiceSnapshot& snapshot;
  const ServerHistory& history;
  TimePoint now;
  WorkTable table;
  std::vector<PlacementAction> actions;
  std::uint32_t moves_left = 0;  // Moves that balancing may still plan.
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
  move_log_.Expire(now);
  expires_at_ = now + kRetention;
  PlanContext context{snapshot, history, now,
                      BuildTable(snapshot, history, now)};
  const std::vector<bool> recently_moved =
      move_log_.RecentlyMoved(snapshot.ranges);
  for (std::size_t i = 0; i < recently_moved.size(); ++i) {
    context.table.ranges()[i].recently_moved = recently_moved[i];
  }
  load_.clear();
  for (const WorkServer& it : context.table.servers()) {
    load_[it.server->id] = it.load;
  }
  ApplyMovesInProgress(context);
  PlanUnowned(context);
  PlanDraining(context);
  PlanBalance(context);
  PlanCompaction(context);
  return std::move(context.actions);
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
      const double warm = ServerHistory::WarmUpShare(*it, warm_up, now);
      server.weight = std::max(1U, it->slots) * warm;
      server.receives = history.IsStable(it->id, now) &&
                        ListContainsZone(snapshot.settings.zones, it->zone);
      any_receives = any_receives || server.receives;
    }
    servers.push_back(std::move(server));
  }
  // If all servers are flapping or outside the listed zones, let every live
  // server receive ranges: such an owner is better than none.
  for (WorkServer& it : servers) {
    it.receives = it.receives || (!any_receives && it.weight > 0);
  }
  return WorkTable(std::move(servers), snapshot.ranges, model_);
}

void ServicePlanner::ApplyMovesInProgress(PlanContext& context) const {
  for (std::size_t i = 0; i < context.table.ranges().size(); ++i) {
    const WorkRange& it = context.table.ranges()[i];
    const auto to = move_log_.Destination(*it.range, context.now);
    const std::size_t server =
        to ? context.table.Find(*to) : WorkTable::kNoServer;
    // An urgent move that has not started is planned again by MoveUrgently().
    const bool served = it.owner != WorkTable::kNoServer &&
                        context.table.servers()[it.owner].weight > 0;
    if (server != WorkTable::kNoServer && (it.busy || served)) {
      context.table.Move(i, server);
    }
  }
}

void ServicePlanner::PlanUnowned(PlanContext& context) {
  std::vector<std::size_t> unowned;
  for (std::size_t i = 0; i < context.table.ranges().size(); ++i) {
    const WorkRange& it = context.table.ranges()[i];
    const bool without_owner =
        it.owner == WorkTable::kNoServer ||
        context.table.servers()[it.owner].server->state ==
            PlacementServerState::kFenced;
    if (without_owner && !it.busy) {
      unowned.push_back(i);
    }
  }
  MoveUrgently(context, unowned, MoveCause::kNoOwner);
}

// Moves the ranges off draining servers, in the order in which these began to
// drain. Limits the number of servers drained at a time, so that a snapshot in
// which nearly all servers drain does not move all ranges at once.
void ServicePlanner::PlanDraining(PlanContext& context) {
  const std::vector<WorkServer>& servers = context.table.servers();
  std::vector<std::size_t> draining;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const bool drains =
        servers[i].server->state == PlacementServerState::kDraining;
    if (drains && !servers[i].held.empty()) {
      draining.push_back(i);
    }
  }
  std::stable_sort(
      draining.begin(), draining.end(), [&](std::size_t a, std::size_t b) {
        return context.history.DrainingSince(servers[a].server->id) <
               context.history.DrainingSince(servers[b].server->id);
      });
  const std::size_t max_draining =
      (servers.size() + kDrainingDivisor - 1) / kDrainingDivisor;
  draining.resize(std::min(draining.size(), max_draining));
  std::vector<std::size_t> ranges;
  for (const std::size_t server : draining) {
    for (const std::size_t it : servers[server].held) {
      if (!context.table.ranges()[it].busy) {
        ranges.push_back(it);
      }
    }
  }
  MoveUrgently(context, ranges, MoveCause::kDraining);
}

// Moves the ranges to servers that can receive them, those with the highest
// load first, regardless of the move budget. A move that is planned again keeps
// its destination while that server can receive ranges.
void ServicePlanner::MoveUrgently(PlanContext& context,
                                  const std::vector<std::size_t>& ranges,
                                  MoveCause cause) {
  std::vector<std::size_t> order = ranges;
  std::stable_sort(
      order.begin(), order.end(), [&context](std::size_t a, std::size_t b) {
        return context.table.ranges()[a].load > context.table.ranges()[b].load;
      });
  for (const std::size_t it : order) {
    const WorkRange& range = context.table.ranges()[it];
    std::optional<std::size_t> to;
    if (const auto planned = move_log_.Destination(*range.range, context.now)) {
      const std::size_t server = context.table.Find(*planned);
      const bool usable = server != WorkTable::kNoServer &&
                          context.table.servers()[server].receives;
      to = usable ? std::optional(server) : std::nullopt;
    }
    to = to ? to : context.table.PickReceiver(range.load);
    if (!to) {
      return;
    }
    const PlacementServer& target = *context.table.servers()[*to].server;
    context.actions.emplace_back(MoveRange{target.service, range.range->range,
                                           range.range->owner, target.id,
                                           cause});
    move_log_.Add(range.range->range, target.id, MoveLog::Kind::kUrgent,
                  context.now);
    context.table.Move(it, *to);
  }
}

bool ServicePlanner::NeedsBalance(const PlanContext& context) const {
  const std::vector<std::size_t> order = ByUtilization(context.table);
  if (order.size() < 2 || context.table.MeanUtilization() <= 0) {
    return false;
  }
  const WorkServer& top = context.table.servers()[order.front()];
  const double mean = context.table.MeanUtilization();
  const double bound = context.table.MinPeakUtilization();
  const double noise =
      kNoiseDeviations * model_.Deviation(std::max(top.load, 0.0)) / top.weight;
  const double start = StartLevel(context.snapshot.settings);
  const double min_utilization = MinUtilization(context.table);
  if (balancing_) {
    return top.Utilization() > kStopLevel * bound + noise / kNoiseDeviations ||
           min_utilization < kRefilledLevel * mean;
  }
  return top.Utilization() > start * bound + noise ||
         min_utilization + noise < kUnderloadedLevel * mean;
}

void ServicePlanner::PlanBalance(PlanContext& context) {
  const std::uint32_t per_minute = context.snapshot.settings.moves_per_minute;
  context.moves_left = move_budget_.Available(per_minute, context.now);
  if (!model_.Ready(context.now)) {
    return;
  }
  balancing_ = NeedsBalance(context);
  while (balancing_ && context.moves_left > 0) {
    // If no relief is possible, the next plan requires the start level again.
    balancing_ = RelieveMostUtilised(context) && NeedsBalance(context);
  }
}

// Returns the targets of balancing. Reaching the lowest possible level by
// moving ranges of many keys is costly, so these are moved only down to the
// start level. If a server is underloaded, the target is the mean, so that load
// moves to that server.
ReliefLimits ServicePlanner::BalanceLimits(const PlanContext& context) const {
  const double mean = context.table.MeanUtilization();
  const double bound = context.table.MinPeakUtilization();
  const double units = key_budget_.Available(kKeyUnitsPerMinute, context.now);
  ReliefLimits limits{mean, mean, units / kKeyUnits};
  if (MinUtilization(context.table) >= kUnderloadedLevel * mean) {
    limits.key_level = bound;
    limits.range_level = bound * StartLevel(context.snapshot.settings);
  }
  return limits;
}

// Returns the utilization above which servers are relieved. While any server is
// above the start level, only such servers use the move budget.
double ServicePlanner::ReliefThreshold(const PlanContext& context) const {
  const double level = BalanceLimits(context).key_level;
  const double bound = context.table.MinPeakUtilization();
  const double start = StartLevel(context.snapshot.settings) * bound;
  if (level < bound) {
    return level;
  }
  double max_utilization = 0;
  for (const WorkServer& it : context.table.servers()) {
    max_utilization = std::max(max_utilization, it.Utilization());
  }
  return max_utilization > start ? start : kStopLevel * bound;
}

// Relieves the most utilised server for which a relief is found. Returns
// whether there is one.
bool ServicePlanner::RelieveMostUtilised(PlanContext& context) {
  const double level = ReliefThreshold(context);
  for (const std::size_t it : ByUtilization(context.table)) {
    if (context.table.servers()[it].Utilization() <= level) {
      return false;
    }
    if (Relieve(context, it)) {
      return true;
    }
  }
  return false;
}

// Adds the best relief of `from` to the plan. Returns whether there is one.
bool ServicePlanner::Relieve(PlanContext& context, std::size_t from) {
  const auto to = context.table.PickReceiver(0, from);
  if (!to) {
    return false;
  }
  const settings::ServiceT& settings = context.snapshot.settings;
  const auto relief =
      ChooseRelief(context.table, from, *to, settings, BalanceLimits(context));
  if (!relief) {
    return false;
  }
  const WorkRange& range = context.table.ranges()[relief->range];
  const PlacementRange& planned = *range.range;
  --context.moves_left;
  if (relief->kind == ReliefKind::kMove) {
    const ServerId& target = context.table.servers()[*to].server->id;
    context.actions.emplace_back(MoveRange{planned.service, planned.range,
                                           planned.owner, target,
                                           MoveCause::kBalance});
    move_log_.Add(planned.range, target, MoveLog::Kind::kBudgeted, context.now);
    SpendMove(context, range.key_share);
    context.table.Move(relief->range, *to);
    return true;
  }
  if (context.splits == kMaxSplits) {
    return false;
  }
  ++context.splits;
  context.actions.emplace_back(
      SplitRange{planned.service, planned.range, relief->at,
                 relief->kind == ReliefKind::kIsolate});
  context.table.ShiftLoad(relief->range, *to, relief->load, relief->key_share);
  return true;
}

void ServicePlanner::SpendMove(const PlanContext& context, double key_share) {
  move_budget_.Spend(context.snapshot.settings.moves_per_minute, 1,
                     context.now);
  key_budget_.Spend(kKeyUnitsPerMinute,
                    static_cast<std::uint32_t>(key_share * kKeyUnits),
                    context.now);
}

void ServicePlanner::PlanCompaction(PlanContext& context) {
  compaction_.Update(context.table, context.now);
  if (!model_.Ready(context.now)) {
    return;
  }
  const std::uint32_t per_minute = context.snapshot.settings.moves_per_minute;
  const std::uint32_t left = move_budget_.Available(per_minute, context.now);
  // Returns are planned only while an eighth of the moves per minute is
  // available, so that balancing can still move ranges.
  const bool spare = !balancing_ && left > 1 && left * 8 >= per_minute;
  for (MoveRange& it :
       compaction_.PlanReturns(context.table, spare ? 1 : 0, context.now)) {
    move_log_.Add(it.range, it.to, MoveLog::Kind::kBudgeted, context.now);
    SpendMove(context, 0);
    context.actions.emplace_back(std::move(it));
  }
  for (MergeRanges& it : compaction_.PlanMerges(context.table, context.now)) {
    context.actions.emplace_back(std::move(it));
  }
}

}  // namespace gentianreach::internal
