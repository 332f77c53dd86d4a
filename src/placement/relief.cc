#include "placement/relief.h"

#include <algorithm>

namespace gentianreach::internal {
namespace {

// Costs of a relief, in units of the mean load of a server.
constexpr double kMoveCost = 0.02;
constexpr double kSplitCost = 0.01;
constexpr double kWaitCost = 0.05;
constexpr double kKeyShareCost = 4.0;
// Minimum key share of a range after halving, relative to the mean key share
// of a server.
constexpr double kMinHalfKeyShare = 0.025;
// Share of the key space below which a range is treated as a single key.
constexpr double kMaxSingleKeyShare = 1e-15;

// Selects the best way to move load from one server to another.
class ReliefChooser {
 public:
  ReliefChooser(const WorkTable& table,
                std::size_t from,
                std::size_t to,
                const settings::ServiceT& service,
                const ReliefLimits& limits)
      : service_(service),
        limits_(limits),
        from_(table.servers()[from]),
        to_(table.servers()[to]),
        mean_load_(table.MeanLoad()),
        mean_key_share_(1.0 / static_cast<double>(table.servers().size())),
        may_move_(table.CountIdleRanges(from) > 1),
        may_split_(table.ranges().size() <
                   kMaxRangesPerServer * table.servers().size()) {}

  void Consider(const WorkRange& range, std::size_t index) {
    if (range.busy || range.recently_moved || range.load <= 0) {
      return;
    }
    if (may_move_) {
      const double load = std::min(range.load, range.recent);
      UpdateBest({ReliefKind::kMove, index, {}, load, range.key_share});
    }
    if (range.IsSingleKey() || !may_split_) {
      return;
    }
    for (const KeyRate& it : range.hot_keys) {
      const double load = std::min(it.rate, it.recent);
      UpdateBest({ReliefKind::kIsolate, index, it.hash, load, 0});
    }
    ConsiderHalves(range, index);
  }

  [[nodiscard]] const std::optional<Relief>& best() const { return best_; }

 private:
  // Considers splitting a range in the middle. Requires enough load besides the
  // hot keys, so that a range is not halved again and again around one hot key,
  // which cannot be divided.
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
    const double non_hot_load = std::max(0.0, range.load - lower - upper) / 2;
    const double key_share = range.key_share / 2;
    if (non_hot_load < kMinHotLoad * mean_load_ ||
        key_share < kMinHalfKeyShare * mean_key_share_) {
      return;
    }
    UpdateBest(
        {ReliefKind::kHalve, index, at, lower + non_hot_load, key_share});
    UpdateBest(
        {ReliefKind::kHalve, index, at, upper + non_hot_load, key_share});
  }

  void UpdateBest(const Relief& relief) {
    const double level = relief.key_share < kMaxSingleKeyShare
                             ? limits_.key_level
                             : limits_.range_level;
    const double gain = Gain(relief.load, level);
    if (gain < kMinHotLoad * mean_load_ || !WithinKeyLimits(relief)) {
      return;
    }
    const double score = gain / mean_load_ / Cost(relief);
    if (!best_ || score > best_score_) {
      best_ = relief;
      best_score_ = score;
    }
  }

  // Returns by how much moving `load` reduces the load above `level` on both
  // servers. Returns zero if the receiver's utilization would reach that of the
  // sender before the move.
  [[nodiscard]] double Gain(double load, double level) const {
    if ((to_.load + load) / to_.weight >= from_.Utilization()) {
      return 0;
    }
    return ExcessLoad(from_, 0, level) + ExcessLoad(to_, 0, level) -
           ExcessLoad(from_, -load, level) - ExcessLoad(to_, load, level);
  }

  [[nodiscard]] static double ExcessLoad(const WorkServer& server,
                                         double change,
                                         double level) {
    return std::max(0.0, server.load + change - level * server.weight);
  }

  [[nodiscard]] bool WithinKeyLimits(const Relief& relief) const {
    if (relief.key_share < kMaxSingleKeyShare) {
      return true;
    }
    const bool is_move = relief.kind == ReliefKind::kMove;
    return (!is_move || relief.key_share <= limits_.key_share_left) &&
           from_.key_share - relief.key_share >=
               kMinKeyShareKept * mean_key_share_;
  }

  [[nodiscard]] double Cost(const Relief& relief) const {
    const double split = relief.kind == ReliefKind::kMove ? 0 : kSplitCost;
    return kMoveCost + split +
           kWaitCost * service_.unavailable_weight * relief.load / mean_load_ +
           kKeyShareCost * service_.churn_weight * relief.key_share /
               mean_key_share_;
  }

  const settings::ServiceT& service_;
  const ReliefLimits& limits_;
  const WorkServer& from_;
  const WorkServer& to_;
  double mean_load_;
  double mean_key_share_;
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
  ReliefChooser chooser(table, from, to, service, limits);
  for (const std::size_t it : table.servers()[from].held) {
    chooser.Consider(table.ranges()[it], it);
  }
  return chooser.best();
}

}  // namespace gentianreach::internal
