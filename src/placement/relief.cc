#include "placement/relief.h"

#include <algorithm>

namespace gentianreach::internal {
namespace {

// Costs in units of a server's mean load.
constexpr double kMoveCost = 0.02;
constexpr double kSplitCost = 0.01;
constexpr double kWaitCost = 0.05;
constexpr double kKeysCost = 4.0;
// Least share of a server's even part of the keys that halving leaves.
constexpr double kLeastPiece = 0.025;
// Share of the space below which a range is as good as one key.
constexpr double kSingleKeyShare = 1e-15;

// Weighs the ways to relieve one server in favour of another.
class Chooser {
 public:
  Chooser(const WorkTable& table,
          std::size_t from,
          std::size_t to,
          const settings::ServiceT& service,
          const ReliefLimits& limits)
      : service_(service),
        limits_(limits),
        from_(table.servers()[from]),
        to_(table.servers()[to]),
        mean_load_(table.MeanLoad()),
        even_keys_(1.0 / static_cast<double>(table.servers().size())),
        may_move_(table.Settled(from) > 1),
        may_split_(table.ranges().size() <
                   kGreatestRangesPerServer * table.servers().size()) {}

  void Consider(const WorkRange& range, std::size_t index) {
    if (range.busy || range.resting || range.load <= 0) {
      return;
    }
    if (may_move_) {
      const double load = std::min(range.load, range.recent);
      Offer({ReliefKind::kMove, index, {}, load, range.keys});
    }
    if (range.Single() || !may_split_) {
      return;
    }
    for (const KeyRate& it : range.hot_keys) {
      const double load = std::min(it.rate, it.recent);
      Offer({ReliefKind::kIsolate, index, it.hash, load, 0});
    }
    ConsiderHalves(range, index);
  }

  [[nodiscard]] const std::optional<Relief>& best() const { return best_; }

 private:
  // Halves a range by what it carries besides its hot keys, so that halving
  // does not chase a key that cannot be divided.
  void ConsiderHalves(const WorkRange& range, std::size_t index) {
    const HashRange& whole = range.range->range;
    const std::uint64_t half =
        (whole.last.value() - whole.first.value()) / 2 + 1;
    const KeyHash at(whole.first.value() + half);
    double lower = 0;
    double upper = 0;
    for (const KeyRate& it : range.hot_keys) {
      (it.hash < at ? lower : upper) += it.rate;
    }
    const double spread = std::max(0.0, range.load - lower - upper) / 2;
    const double keys = range.keys / 2;
    if (spread < kLeastHotLoad * mean_load_ ||
        keys < kLeastPiece * even_keys_) {
      return;
    }
    Offer({ReliefKind::kHalve, index, at, lower + spread, keys});
    Offer({ReliefKind::kHalve, index, at, upper + spread, keys});
  }

  void Offer(const Relief& relief) {
    const double level =
        relief.keys < kSingleKeyShare ? limits_.key_level : limits_.range_level;
    const double gain = Gain(relief.load, level);
    if (gain < kLeastHotLoad * mean_load_ || !KeysAllow(relief)) {
      return;
    }
    const double score = gain / mean_load_ / Cost(relief);
    if (!best_ || score > best_score_) {
      best_ = relief;
      best_score_ = score;
    }
  }

  // Returns the load above `level` that moving `load` does away with; zero
  // where the receiver would end as loaded as the giver is now.
  [[nodiscard]] double Gain(double load, double level) const {
    if ((to_.load + load) / to_.weight >= from_.Utilisation()) {
      return 0;
    }
    return Above(from_, 0, level) + Above(to_, 0, level) -
           Above(from_, -load, level) - Above(to_, load, level);
  }

  [[nodiscard]] static double Above(const WorkServer& server,
                                    double change,
                                    double level) {
    return std::max(0.0, server.load + change - level * server.weight);
  }

  [[nodiscard]] bool KeysAllow(const Relief& relief) const {
    if (relief.keys < kSingleKeyShare) {
      return true;
    }
    const bool moves = relief.kind == ReliefKind::kMove;
    return (!moves || relief.keys <= limits_.keys_left) &&
           from_.keys - relief.keys >= kLeastKeysKept * even_keys_;
  }

  [[nodiscard]] double Cost(const Relief& relief) const {
    const double split = relief.kind == ReliefKind::kMove ? 0 : kSplitCost;
    return kMoveCost + split +
           kWaitCost * service_.unavailable_weight * relief.load / mean_load_ +
           kKeysCost * service_.churn_weight * relief.keys / even_keys_;
  }

  const settings::ServiceT& service_;
  const ReliefLimits& limits_;
  const WorkServer& from_;
  const WorkServer& to_;
  double mean_load_;
  double even_keys_;
  bool may_move_;  // A server keeps its last range.
  bool may_split_;
  std::optional<Relief> best_;
  double best_score_ = 0;
};

}  // namespace

std::optional<Relief> ChooseRelief(const WorkTable& table,
                                   std::size_t from,
                                   std::size_t to,
                                   const settings::ServiceT& service,
                                   const ReliefLimits& limits) {
  Chooser chooser(table, from, to, service, limits);
  for (const std::size_t it : table.servers()[from].held) {
    chooser.Consider(table.ranges()[it], it);
  }
  return chooser.best();
}

}  // namespace gentianreach::internal
