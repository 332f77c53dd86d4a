#include "entry/relays.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>

#include <xxhash.h>

namespace gentianreach::entry {
namespace {

// How long a relay is not used after it has failed.
constexpr Duration kAvoidance = std::chrono::milliseconds(500);
// A relay in another availability zone is used if it has fewer requests by this
// factor, since traffic between zones costs money.
constexpr double kOtherZoneFactor = 1.5;

// Returns a number that ranks `relay` among the relays of `member`.
std::uint64_t RankFor(const std::string& member, const Relay& relay) {
  const std::string key = member + '/' + relay.name;
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace

std::string_view ToString(RelayResult result) {
  switch (result) {
    case RelayResult::kAnswered:
      return "answered";
    case RelayResult::kUnable:
      return "unable";
    case RelayResult::kFailed:
      return "failed";
    case RelayResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::vector<Relay> SelectRelays(const std::vector<Relay>& candidates,
                                const std::string& member,
                                const ZoneName& zone,
                                std::size_t n) {
  std::vector<Relay> ranked = candidates;
  std::ranges::sort(ranked, std::less<>(),
                    [&](const Relay& it) { return RankFor(member, it); });
  const auto is_local = [&](const Relay& it) { return it.zone == zone; };
  std::vector<Relay> selected;
  for (const Relay& it : ranked) {
    if (is_local(it) && selected.size() < n / 2) {
      selected.push_back(it);
    }
  }
  for (const Relay& it : ranked) {
    if (selected.size() == n) {
      break;
    }
    if (std::ranges::find(selected, it) == selected.end()) {
      selected.push_back(it);
    }
  }
  return selected;
}

const Relay* Relays::Choose(const ZoneName& zone,
                            const std::vector<std::string>& tried,
                            TimePoint now) const {
  const Relay* best = nullptr;
  double best_score = 0;
  for (const Relay& it : relays_) {
    if (std::ranges::find(tried, it.name) != tried.end()) {
      continue;
    }
    const auto found = states_.find(it.name);
    const State state = found == states_.end() ? State{} : found->second;
    if (now < state.avoided_until) {
      continue;
    }
    const double score =
        (state.requests + 1) * (it.zone == zone ? 1 : kOtherZoneFactor);
    if (best == nullptr || score < best_score) {
      best = &it;
      best_score = score;
    }
  }
  return best;
}

void Relays::OnSent(const std::string& name) {
  ++states_[name].requests;
}

void Relays::OnEnd(const std::string& name, RelayResult result, TimePoint now) {
  State& state = states_[name];
  state.requests -= state.requests > 0 ? 1 : 0;
  switch (result) {
    case RelayResult::kAnswered:
      state.last_answer = now;
      state.avoided_until = {};
      break;
    case RelayResult::kUnable:
    case RelayResult::kFailed:
      state.avoided_until = now + kAvoidance;
      break;
    case RelayResult::kCancelled:
      break;
  }
}

TimePoint Relays::last_answer(const std::string& name) const {
  const auto it = states_.find(name);
  return it == states_.end() ? TimePoint{} : it->second.last_answer;
}

}  // namespace gentianreach::entry
