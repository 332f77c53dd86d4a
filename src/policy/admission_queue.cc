#include "policy/admission_queue.h"

#include <algorithm>

#include "gentianreach/check.h"

namespace gentianreach {

std::size_t AdmissionQueue::LevelOf(settings::Priority priority) {
  return std::min(static_cast<std::size_t>(priority), kLevels - 1);
}

void AdmissionQueue::Push(const QueuedRequest& request) {
  GENTIANREACH_CHECK(!requests_.contains(request.id));
  Level& level = levels_[LevelOf(request.priority)];
  std::deque<std::uint64_t>& own = level.callers[request.caller];
  if (own.empty())
    level.turns.push_back(request.caller);
  own.push_back(request.id);
  ++level.size;
  requests_.emplace(request.id, request);
  deadlines_.emplace(request.deadline, request.id);
}

QueuedRequest AdmissionQueue::Pop() {
  GENTIANREACH_CHECK(!empty());
  const auto level = std::find_if(levels_.begin(), levels_.end(),
                                  [](const Level& it) { return it.size > 0; });
  const std::uint64_t caller = level->turns.front();
  const QueuedRequest request = requests_.at(level->callers[caller].front());
  // The caller goes to the end of the line; Drop() takes it out where it has
  // nothing more to send.
  level->turns.splice(level->turns.end(), level->turns, level->turns.begin());
  Drop(request);
  return request;
}

bool AdmissionQueue::Remove(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return false;
  const QueuedRequest request = it->second;
  Drop(request);
  return true;
}

std::size_t AdmissionQueue::Ahead(const QueuedRequest& request) const {
  const std::size_t own_level = LevelOf(request.priority);
  std::size_t ahead = 0;
  for (std::size_t n = 0; n < own_level; ++n)
    ahead += levels_[n].size;
  const Level& level = levels_[own_level];
  const auto own = level.callers.find(request.caller);
  const std::size_t turn = own == level.callers.end() ? 0 : own->second.size();
  for (const auto& [caller, waiting] : level.callers)
    ahead +=
        std::min(waiting.size(), turn + (caller == request.caller ? 0 : 1));
  return ahead;
}

std::optional<std::uint64_t> AdmissionQueue::Evict(
    const QueuedRequest& request) {
  const auto level = std::find_if(levels_.rbegin(), levels_.rend(),
                                  [](const Level& it) { return it.size > 0; });
  if (level == levels_.rend())
    return std::nullopt;
  const std::size_t index =
      static_cast<std::size_t>(levels_.rend() - level) - 1;
  if (index < LevelOf(request.priority))
    return std::nullopt;
  const auto most =
      std::max_element(level->callers.begin(), level->callers.end(),
                       [](const auto& a, const auto& b) {
                         return std::pair(a.second.size(), a.first) <
                                std::pair(b.second.size(), b.first);
                       });
  if (index == LevelOf(request.priority)) {
    const auto own = level->callers.find(request.caller);
    const std::size_t n = own == level->callers.end() ? 0 : own->second.size();
    if (most->second.size() <= n + 1)
      return std::nullopt;
  }
  const std::uint64_t victim = most->second.back();
  Remove(victim);
  return victim;
}

std::vector<std::uint64_t> AdmissionQueue::TakeExpired(TimePoint limit) {
  std::vector<std::uint64_t> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= limit) {
    expired.push_back(deadlines_.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

TimePoint AdmissionQueue::FirstDeadline() const {
  GENTIANREACH_CHECK(!empty());
  return deadlines_.begin()->first;
}

// Takes `request` out of every index.
void AdmissionQueue::Drop(const QueuedRequest& request) {
  Level& level = levels_[LevelOf(request.priority)];
  std::deque<std::uint64_t>& own = level.callers.at(request.caller);
  own.erase(std::find(own.begin(), own.end(), request.id));
  --level.size;
  if (own.empty()) {
    level.callers.erase(request.caller);
    level.turns.remove(request.caller);
  }
  deadlines_.erase({request.deadline, request.id});
  requests_.erase(request.id);
}

}  // namespace gentianreach
