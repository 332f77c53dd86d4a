#include "placement/load_model.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace gentianreach::internal {
namespace {

// Keys below this rate, in requests per second, are forgotten.
constexpr double kLeastKeyRate = 0.01;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Adds `factor` times the rates of `more` to `keys`; both are in order.
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

std::vector<double> Project(std::span<const RangeRate> from,
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
  if (!daemons_.empty() && ready_ == TimePoint::max()) {
    ready_ = now + kSettling;
  }
  const double keep = ShareKept(now);
  inverse_window_ = MeanInverseWindow();
  updated_ = daemons_.empty() ? updated_ : now;

  std::vector<double> spread = Project(spread_, ranges);
  for (double& it : spread) {
    it *= keep;
  }
  for (KeyRate& it : keys_) {
    it.rate *= keep;
    it.recent = 0;
  }
  recent_.assign(ranges.size(), 0.0);
  const double greatest = GreatestTotal();
  std::vector<KeyRate> reported;
  for (const auto& [id, daemon] : daemons_) {
    const double total = daemon.load.Total();
    const double scale = total > greatest ? greatest / total : 1.0;
    const std::vector<double> part = Project(daemon.load.ranges, ranges);
    for (std::size_t i = 0; i < ranges.size(); ++i) {
      recent_[i] += scale * part[i];
      spread[i] += (1 - keep) * scale * part[i];
    }
    reported = AddRates(reported, daemon.load.keys, scale);
  }
  for (KeyRate& it : reported) {
    it.recent = it.rate;
  }
  keys_ = AddRates(keys_, reported, 1 - keep);
  std::erase_if(keys_,
                [](const KeyRate& it) { return it.rate < kLeastKeyRate; });
  spread_.clear();
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    spread_.push_back({ranges[i], spread[i]});
  }
  rates_ = std::move(spread);
  AddKeysToRates();
}

void LoadModel::AddKeysToRates() {
  auto key = keys_.begin();
  for (std::size_t i = 0; i < spread_.size(); ++i) {
    const HashRange& range = spread_[i].range;
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
  return now >= ready_ && !daemons_.empty();
}

double LoadModel::Deviation(double rate) const {
  return std::sqrt(rate * inverse_window_);
}

void LoadModel::DropExpired(TimePoint now) {
  std::erase_if(daemons_,
                [now](const auto& it) { return it.second.expires <= now; });
}

// Returns the share of the former estimate in the new one: all of it while
// nothing is reported, nothing of it at the first report.
double LoadModel::ShareKept(TimePoint now) const {
  if (daemons_.empty()) {
    return 1;
  }
  if (updated_ == TimePoint::min()) {
    return 0;
  }
  const double passed = std::max(0.0, Seconds(now - updated_));
  return std::exp(-passed / Seconds(kSmoothing));
}

double LoadModel::MeanInverseWindow() const {
  double sum = 0;
  for (const auto& [id, daemon] : daemons_) {
    sum += 1 / daemon.load.seconds;
  }
  return daemons_.empty() ? inverse_window_
                          : sum / static_cast<double>(daemons_.size());
}

// Returns the greatest total that a daemon may claim. With fewer than three
// daemons there is no majority to compare with.
double LoadModel::GreatestTotal() const {
  constexpr std::size_t kLeastDaemons = 3;
  if (daemons_.size() < kLeastDaemons) {
    return std::numeric_limits<double>::infinity();
  }
  std::vector<double> totals;
  totals.reserve(daemons_.size());
  for (const auto& [id, daemon] : daemons_) {
    totals.push_back(daemon.load.Total());
  }
  const auto middle = totals.begin() + static_cast<long>(totals.size() / 2);
  std::nth_element(totals.begin(), middle, totals.end());
  return kGreatestMultiple * *middle;
}

}  // namespace gentianreach::internal
