#include "placement/work_table.h"

#include <algorithm>
#include <utility>

namespace gentianreach::internal {
namespace {

// Share of the total load that is spread over the space when receivers are
// compared, so that ranges without known load are shared out by size.
constexpr double kUnseenShare = 0.05;
// Difference of utilisation, as a share of the mean, below which two receivers
// count as equal and their zones decide.
constexpr double kNearlyEqual = 0.02;

}  // namespace

double WorkServer::Utilisation() const {
  return weight > 0 ? load / weight : 0;
}

bool WorkRange::Single() const {
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
      hottest_ = std::max(hottest_, keys[next].rate);
      ++next;
    }
    WorkRange work;
    work.range = ranges[i];
    work.load = model.rates()[i];
    work.recent = model.recent()[i];
    work.keys = range.Share();
    work.owner = Find(ranges[i]->owner);
    work.busy = ranges[i]->moving;
    work.hot_keys = keys.subspan(begin, next - begin);
    total_ += work.load;
    if (work.owner != kNoServer) {
      WorkServer& owner = servers_[work.owner];
      owner.load += work.load;
      owner.keys += work.keys;
      owner.held.push_back(i);
    }
    ranges_.push_back(work);
  }
}

void WorkTable::Move(std::size_t range, std::size_t to) {
  WorkRange& work = ranges_[range];
  Foresee(range, to, work.load, work.keys);
  if (work.owner != kNoServer) {
    std::erase(servers_[work.owner].held, range);
  }
  work.owner = to;
  servers_[to].held.push_back(range);
}

void WorkTable::Foresee(std::size_t range,
                        std::size_t to,
                        double load,
                        double keys) {
  WorkRange& work = ranges_[range];
  if (work.owner != kNoServer) {
    servers_[work.owner].load -= load;
    servers_[work.owner].keys -= keys;
  }
  servers_[to].load += load;
  servers_[to].keys += keys;
  work.busy = true;
}

std::optional<std::size_t> WorkTable::PickReceiver(double load,
                                                   std::size_t except) const {
  double least = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (i != except && servers_[i].receives) {
      least = std::min(least, Pressure(servers_[i], load));
    }
  }
  const double margin = kNearlyEqual * MeanUtilisation();
  std::optional<std::size_t> best;
  double best_zone = 0;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const WorkServer& it = servers_[i];
    if (i == except || !it.receives || Pressure(it, load) > least + margin) {
      continue;
    }
    const double zone = ZoneUtilisation(it.server->zone);
    if (!best || zone < best_zone) {
      best = i;
      best_zone = zone;
    }
  }
  return best;
}

std::size_t WorkTable::Settled(std::size_t server) const {
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

double WorkTable::MeanUtilisation() const {
  double weight = 0;
  for (const WorkServer& it : servers_) {
    weight += it.receives ? it.weight : 0;
  }
  return weight > 0 ? total_ / weight : 0;
}

double WorkTable::LowerBound() const {
  double greatest = 0;
  for (const WorkServer& it : servers_) {
    greatest = std::max(greatest, it.receives ? it.weight : 0);
  }
  const double single = greatest > 0 ? hottest_ / greatest : 0;
  return std::max(MeanUtilisation(), single);
}

double WorkTable::MeanLoad() const {
  const auto receivers =
      std::count_if(servers_.begin(), servers_.end(),
                    [](const WorkServer& it) { return it.receives; });
  return receivers > 0 ? total_ / static_cast<double>(receivers) : 0;
}

double WorkTable::Pressure(const WorkServer& server, double load) const {
  const double unseen = total_ > 0 ? kUnseenShare * total_ : 1;
  return (server.load + load + unseen * server.keys) / server.weight;
}

double WorkTable::ZoneUtilisation(const ZoneName& zone) const {
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
