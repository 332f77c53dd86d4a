#include "placement/work_table.h"

#include <algorithm>
#include <utility>

namespace gentianreach::internal {
namespace {

// When receivers are compared, this share of the total load is added in
// proportion to their key shares, so that ranges without known load are
// distributed by size.
constexpr double kUnknownLoadShare = 0.05;
// Difference of utilization, as a share of the mean, up to which receivers
// count as equal and the utilization of their zones decides.
constexpr double kTieMargin = 0.02;

}  // namespace

double WorkServer::Utilization() const {
  return weight > 0 ? load / weight : 0;
}

bool WorkRange::IsSingleKey() const {
  return range->range.first == range->range.last;
}

WorkTable::WorkTable(std::vector<WorkServer> servers,
                     std::span<const PlacementRange* const> ranges,
                     const LoadModel& model)
    : servers_(std::move(servers)) {
  const std::span<const KeyRate> keys(model.keys());
  std::size_t next = 0;
  ranges_.reserve(ranges.size());
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    const HashRange& range = ranges[i]->range;
    while (next < keys.size() && keys[next].hash < range.first) {
      ++next;
    }
    const std::size_t begin = next;
    while (next < keys.size() && keys[next].hash <= range.last) {
      max_key_rate_ = std::max(max_key_rate_, keys[next].rate);
      ++next;
    }
    WorkRange work;
    work.range = ranges[i];
    work.load = model.rates()[i];
    work.recent = model.recent()[i];
    work.key_share = range.Share();
    work.owner = Find(ranges[i]->owner);
    work.busy = ranges[i]->moving;
    work.hot_keys = keys.subspan(begin, next - begin);
    total_load_ += work.load;
    if (work.owner != kNoServer) {
      WorkServer& owner = servers_[work.owner];
      owner.load += work.load;
      owner.key_share += work.key_share;
      owner.held.push_back(i);
    }
    ranges_.push_back(work);
  }
}

void WorkTable::Move(std::size_t range, std::size_t to) {
  WorkRange& work = ranges_[range];
  ShiftLoad(range, to, work.load, work.key_share);
  if (work.owner != kNoServer) {
    std::erase(servers_[work.owner].held, range);
  }
  work.owner = to;
  servers_[to].held.push_back(range);
}

void WorkTable::ShiftLoad(std::size_t range,
                          std::size_t to,
                          double load,
                          double key_share) {
  WorkRange& work = ranges_[range];
  if (work.owner != kNoServer) {
    servers_[work.owner].load -= load;
    servers_[work.owner].key_share -= key_share;
  }
  servers_[to].load += load;
  servers_[to].key_share += key_share;
  work.busy = true;
}

std::optional<std::size_t> WorkTable::PickReceiver(double load,
                                                   std::size_t except) const {
  double min_utilization = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (i != except && servers_[i].receives) {
      min_utilization =
          std::min(min_utilization, ProjectedUtilization(servers_[i], load));
    }
  }
  const double margin = kTieMargin * MeanUtilization();
  std::optional<std::size_t> best;
  double best_zone = 0;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const WorkServer& it = servers_[i];
    if (i == except || !it.receives ||
        ProjectedUtilization(it, load) > min_utilization + margin) {
      continue;
    }
    const double zone = ZoneUtilization(it.server->zone);
    if (!best || zone < best_zone) {
      best = i;
      best_zone = zone;
    }
  }
  return best;
}

std::size_t WorkTable::CountIdleRanges(std::size_t server) const {
  const std::vector<std::size_t>& held = servers_[server].held;
  return static_cast<std::size_t>(
      std::count_if(held.begin(), held.end(),
                    [this](std::size_t it) { return !ranges_[it].busy; }));
}

std::size_t WorkTable::Find(const ServerId& id) const {
  if (id.empty()) {
    return kNoServer;
  }
  const auto it = std::lower_bound(
      servers_.begin(), servers_.end(), id,
      [](const WorkServer& a, const ServerId& b) { return a.server->id < b; });
  if (it == servers_.end() || it->server->id != id) {
    return kNoServer;
  }
  return static_cast<std::size_t>(it - servers_.begin());
}

double WorkTable::MeanUtilization() const {
  double weight = 0;
  for (const WorkServer& it : servers_) {
    weight += it.receives ? it.weight : 0;
  }
  return weight > 0 ? total_load_ / weight : 0;
}

double WorkTable::MinPeakUtilization() const {
  double max_weight = 0;
  for (const WorkServer& it : servers_) {
    max_weight = std::max(max_weight, it.receives ? it.weight : 0);
  }
  const double key_utilization =
      max_weight > 0 ? max_key_rate_ / max_weight : 0;
  return std::max(MeanUtilization(), key_utilization);
}

double WorkTable::MeanLoad() const {
  const auto receivers =
      std::count_if(servers_.begin(), servers_.end(),
                    [](const WorkServer& it) { return it.receives; });
  return receivers > 0 ? total_load_ / static_cast<double>(receivers) : 0;
}

double WorkTable::ProjectedUtilization(const WorkServer& server,
                                       double load) const {
  const double unknown_load =
      total_load_ > 0 ? kUnknownLoadShare * total_load_ : 1;
  return (server.load + load + unknown_load * server.key_share) / server.weight;
}

double WorkTable::ZoneUtilization(const ZoneName& zone) const {
  double load = 0;
  double weight = 0;
  for (const WorkServer& it : servers_) {
    if (it.server->zone != zone) {
      continue;
    }
    load += it.load;
    weight += it.weight;
  }
  return weight > 0 ? load / weight : std::numeric_limits<double>::max();
}

}  // namespace gentianreach::internal
