// Simulates a cell with one service in virtual time, for tests and benchmarks:
// performs placement actions and generates keys with skewed popularity.
#ifndef SRC_PLACEMENT_FAKE_CELL_H_
#define SRC_PLACEMENT_FAKE_CELL_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gentianreach/placement.h"
#include "placement/load_counter.h"

namespace gentianreach {

// The ownership table and the servers. A move takes kMoveTime.
class FakeCell {
 public:
  explicit FakeCell(ServiceName service) : service_(std::move(service)) {}

  void AddServer(const std::string& id,
                 const std::string& zone,
                 std::uint32_t slots,
                 TimePoint first_seen) {
    snapshot.servers.push_back({ServerId(id), service_, ZoneName(zone), slots,
                                PlacementServerState::kLive, first_seen});
  }

  // Covers the key space with `count` ranges. If `owned`, assigns them to the
  // servers in turn; otherwise they have no owner.
  void AddRanges(std::size_t count, bool owned) {
    std::size_t next = 0;
    for (const HashRange& it : InitialRanges(count)) {
      PlacementRange range{service_, it, {}, Token(1)};
      if (owned) {
        range.owner = snapshot.servers[next++ % snapshot.servers.size()].id;
      }
      snapshot.ranges.push_back(range);
    }
  }

  // Begins a move, or performs a split or merge. Returns false and changes
  // nothing if the table does not allow the action.
  bool Apply(const PlacementAction& action, TimePoint now) {
    if (const auto* move = std::get_if<MoveRange>(&action)) {
      return BeginMove(*move, now);
    }
    if (const auto* split = std::get_if<SplitRange>(&action)) {
      return Split(*split);
    }
    return Merge(std::get<MergeRanges>(action));
  }

  // Completes the moves that are due at `now`.
  void Advance(TimePoint now) {
    for (const auto& [range, move] : moves_) {
      PlacementRange* it = Find(range);
      if (move.done <= now && it != nullptr) {
        it->owner = move.to;
        it->token = Token(++last_token_);
        it->moving = false;
      }
    }
    std::erase_if(moves_,
                  [now](const auto& it) { return it.second.done <= now; });
  }

  // Returns the range that contains `hash`. The ranges must be sorted.
  [[nodiscard]] const PlacementRange& At(KeyHash hash) const {
    const auto it = std::partition_point(
        snapshot.ranges.begin(), snapshot.ranges.end(),
        [hash](const PlacementRange& r) { return r.range.last < hash; });
    return *it;
  }

  // Returns whether every key hash belongs to exactly one range.
  [[nodiscard]] bool CoversSpaceOnce() const {
    std::uint64_t next = 0;
    for (std::size_t i = 0; i < snapshot.ranges.size(); ++i) {
      const HashRange& it = snapshot.ranges[i].range;
      if (it.first.value() != next || it.last < it.first) {
        return false;
      }
      next = it.last.value() + 1;
    }
    return next == 0 && !snapshot.ranges.empty();
  }

  [[nodiscard]] PlacementServer* Server(const ServerId& id) {
    for (PlacementServer& it : snapshot.servers) {
      if (it.id == id) {
        return &it;
      }
    }
    return nullptr;
  }

  PlacementSnapshot snapshot;
  static constexpr Duration kMoveTime = std::chrono::milliseconds(500);

 private:
  struct RunningMove {
    ServerId to;
    TimePoint done;
  };

  PlacementRange* Find(const HashRange& range) {
    const auto it = std::partition_point(
        snapshot.ranges.begin(), snapshot.ranges.end(),
        [&range](const PlacementRange& r) { return r.range < range; });
    const bool found = it != snapshot.ranges.end() && it->range == range;
    return found ? &*it : nullptr;
  }

  bool BeginMove(const MoveRange& move, TimePoint now) {
    PlacementRange* it = Find(move.range);
    const PlacementServer* to = Server(move.to);
    const bool possible = it != nullptr && !it->moving &&
                          it->owner == move.from && move.from != move.to &&
                          to != nullptr &&
                          to->state == PlacementServerState::kLive;
    if (!possible) {
      return false;
    }
    it->moving = true;
    moves_[move.range] = {move.to, now + kMoveTime};
    return true;
  }

  bool Split(const SplitRange& split) {
    PlacementRange* it = Find(split.range);
    if (it == nullptr || it->moving || !split.range.Contains(split.at)) {
      return false;
    }
    const std::vector<HashRange> parts = PartsOf(split);
    if (parts.size() < 2) {
      return false;
    }
    const PlacementRange whole = *it;
    const auto pos = snapshot.ranges.begin() + (it - snapshot.ranges.data());
    std::vector<PlacementRange> added(parts.size(), whole);
    for (std::size_t i = 0; i < parts.size(); ++i) {
      added[i].range = parts[i];
    }
    const auto after = snapshot.ranges.erase(pos);
    snapshot.ranges.insert(after, added.begin(), added.end());
    return true;
  }

  bool Merge(const MergeRanges& merge) {
    PlacementRange* lower = Find(merge.lower);
    PlacementRange* upper = Find(merge.upper);
    if (lower == nullptr || upper != lower + 1 || lower->moving ||
        upper->moving || lower->owner != upper->owner) {
      return false;
    }
    lower->range.last = upper->range.last;
    lower->token = std::max(lower->token, upper->token);
    snapshot.ranges.erase(snapshot.ranges.begin() +
                          (upper - snapshot.ranges.data()));
    return true;
  }

  ServiceName service_;
  std::uint64_t last_token_ = 1;
  std::map<HashRange, RunningMove> moves_;
};

// Keys whose popularity follows a Zipf distribution.
class FakePopularity {
 public:
  FakePopularity(std::size_t keys, double exponent, std::uint64_t seed)
      : random_(seed) {
    double sum = 0;
    for (std::size_t i = 0; i < keys; ++i) {
      sum += 1 / std::pow(static_cast<double>(i + 1), exponent);
      sums_.push_back(sum);
      keys_.push_back(KeyHash(random_()));
    }
    for (double& it : sums_) {
      it /= sum;
    }
  }

  // Swaps each of the `hottest` keys with a random less popular key.
  void Shift(std::size_t hottest) {
    for (std::size_t i = 0; i < hottest; ++i) {
      const std::size_t other = hottest + random_() % (keys_.size() - hottest);
      std::swap(keys_[i], keys_[other]);
    }
  }

  // Returns the share of requests for the key of `rank`; rank 0 is the hottest.
  [[nodiscard]] double Share(std::size_t rank) const {
    return rank == 0 ? sums_[0] : sums_[rank] - sums_[rank - 1];
  }
  [[nodiscard]] const std::vector<KeyHash>& keys() const { return keys_; }

  // Returns a random key, weighted by popularity.
  [[nodiscard]] KeyHash Draw() {
    const double point = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto it = std::lower_bound(sums_.begin(), sums_.end(), point);
    const auto rank = static_cast<std::size_t>(it - sums_.begin());
    return keys_[std::min(rank, keys_.size() - 1)];
  }
  std::mt19937_64& random() { return random_; }

 private:
  std::mt19937_64 random_;
  std::vector<KeyHash> keys_;  // By rank.
  std::vector<double> sums_;
};

}  // namespace gentianreach

#endif  // SRC_PLACEMENT_FAKE_CELL_H_
