#include "placement/load_model.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace gentianreach::internal {
namespace {

// Keys below this rate, in requests per second, are no longer tracked.
constexpr double kMinKeyRate = 0.01;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns the rates of `keys` plus `factor` times those of `more`. Both are
// sorted by hash.
std::vector<KeyRate> AddRates(const std::vector<KeyRate>& keys,
                              const std::vector<KeyRate>& more,
                              double factor) {
  std::vector<KeyRate> sum;
  sum.reserve(keys.size() + more.size());
  auto it = keys.begin();
  for (const KeyRate& key : more) {
    while (it != keys.end() && it->hash < key.hash) {
      sum.push_back(*it++);
    }
    KeyRate both{key.hash, factor * key.rate, key.recent};
    if (it != keys.end() && it->hash == key.hash) {
      both.rate += it->rate;
      both.recent += it->recent;
      ++it;
    }
    sum.push_back(both);
  }
  sum.insert(sum.end(), it, keys.end());
  return sum;
}

}  // namespace

double ReportedLoad::Total() const {
  double total = 0;
  for (const RangeRate& it : ranges) {
    total += it.rate;
  }
  for (const KeyRate& it : keys) {
    total += it.rate;
  }
  return total;
}

std::vector<double> ProjectRates(std::span<const RangeRate> from,
                                 std::span<const HashRange> ranges) {
  std::vector<double> rates(ranges.size(), 0.0);
  std::size_t next = 0;
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    while (next < from.size() && from[next].range.last < ranges[i].first) {
      ++next;
    }
    for (std::size_t k = next; k < from.size(); ++k) {
      const HashRange& other = from[k].range;
      if (ranges[i].last < other.first) {
        break;
      }
      if (other.last < ranges[i].first) {
        continue;
      }
      const HashRange common{std::max(ranges[i].first, other.first),
                             std::min(ranges[i].last, other.last)};
      rates[i] += from[k].rate * (common.Share() / other.Share());
    }
  }
  return rates;
}

void LoadModel::Observe(const DaemonId& from,
                        ReportedLoad load,
                        TimePoint expires) {
  daemons_[from] = {std::move(load), expires};
}

void LoadModel::Update(std::span<const HashRange> ranges, TimePoint now) {
  DropExpired(now);
  if (!daemons_.empty() && ready_at_ == TimePoint::max()) {
    ready_at_ = now + kSettlingTime;
  }
  const double previous_weight = PreviousWeight(now);
  mean_inverse_window_ = MeanInverseWindow();
  updated_at_ = daemons_.empty() ? updated_at_ : now;

  std::vector<double> non_hot_rates = ProjectRates(non_hot_rates_, ranges);
  for (double& it : non_hot_rates) {
    it *= previous_weight;
  }
  for (KeyRate& it : keys_) {
    it.rate *= previous_weight;
    it.recent = 0;
  }
  recent_.assign(ranges.size(), 0.0);
  const double max_total = MaxDaemonTotal();
  std::vector<KeyRate> reported;
  for (const auto& [id, daemon] : daemons_) {
    const double total = daemon.load.Total();
    const double scale = total > max_total ? max_total / total : 1.0;
    const std::vector<double> part = ProjectRates(daemon.load.ranges, ranges);
    for (std::size_t i = 0; i < ranges.size(); ++i) {
      recent_[i] += scale * part[i];
      non_hot_rates[i] += (1 - previous_weight) * scale * part[i];
    }
    reported = AddRates(reported, daemon.load.keys, scale);
  }
  for (KeyRate& it : reported) {
    it.recent = it.rate;
  }
  keys_ = AddRates(keys_, reported, 1 - previous_weight);
  std::erase_if(keys_, [](const KeyRate& it) { return it.rate < kMinKeyRate; });
  non_hot_rates_.clear();
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    non_hot_rates_.push_back({ranges[i], non_hot_rates[i]});
  }
  rates_ = std::move(non_hot_rates);
  AddKeysToRates();
}

void LoadModel::AddKeysToRates() {
  auto key = keys_.begin();
  for (std::size_t i = 0; i < non_hot_rates_.size(); ++i) {
    const HashRange& range = non_hot_rates_[i].range;
    while (key != keys_.end() && key->hash < range.first) {
      ++key;
    }
    for (; key != keys_.end() && key->hash <= range.last; ++key) {
      rates_[i] += key->rate;
      recent_[i] += key->recent;
    }
  }
}

bool LoadModel::Ready(TimePoint now) const {
  return now >= ready_at_ && !daemons_.empty();
}

double LoadModel::Deviation(double rate) const {
  return std::sqrt(rate * mean_inverse_window_);
}

void LoadModel::DropExpired(TimePoint now) {
  std::erase_if(daemons_,
                [now](const auto& it) { return it.second.expires <= now; });
}

// Returns the weight of the previous estimate in the new one: 1 if there are no
// reports, 0 at the first report.
double LoadModel::PreviousWeight(TimePoint now) const {
  if (daemons_.empty()) {
    return 1;
  }
  if (updated_at_ == TimePoint::min()) {
    return 0;
  }
  const double passed = std::max(0.0, Seconds(now - updated_at_));
  return std::exp(-passed / Seconds(kSmoothing));
}

double LoadModel::MeanInverseWindow() const {
  double sum = 0;
  for (const auto& [id, daemon] : daemons_) {
    sum += 1 / daemon.load.window_s;
  }
  return daemons_.empty() ? mean_inverse_window_
                          : sum / static_cast<double>(daemons_.size());
}

// Returns the maximum total rate accepted from one daemon. It is unlimited with
// fewer than three daemons, as there is no majority to compare with.
double LoadModel::MaxDaemonTotal() const {
  constexpr std::size_t kMinDaemons = 3;
  if (daemons_.size() < kMinDaemons) {
    return std::numeric_limits<double>::infinity();
  }
  std::vector<double> totals;
  totals.reserve(daemons_.size());
  for (const auto& [id, daemon] : daemons_) {
    totals.push_back(daemon.load.Total());
  }
  const auto median = totals.begin() + static_cast<long>(totals.size() / 2);
  std::nth_element(totals.begin(), median, totals.end());
  return kMaxMedianMultiple * *median;
}

}  // namespace gentianreach::internal
