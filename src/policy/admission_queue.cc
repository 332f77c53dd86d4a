#include "policy/admission_queue.h"

#include <algorithm>

#include "gentianreach/check.h"

namespace gentianreach {

std::size_t AdmissionQueue::LevelOf(settings::Priority priority) {
  return std::min(static_cast<std::size_t>(priority), kLevels - 1);
}

void AdmissionQueue::Push(const QueuedRequest& request) {
  GENTIANREACH_CHECK(!requests_.contains(request.id));
  PriorityLevel& level = levels_[LevelOf(request.priority)];
  std::deque<std::uint64_t>& own_ids = level.callers[request.caller];
  if (own_ids.empty())
    level.round_robin.push_back(request.caller);
  own_ids.push_back(request.id);
  ++level.size;
  requests_.emplace(request.id, request);
  deadlines_.emplace(request.deadline, request.id);
}

QueuedRequest AdmissionQueue::Pop() {
  GENTIANREACH_CHECK(!empty());
  const auto level =
      std::find_if(levels_.begin(), levels_.end(),
                   [](const PriorityLevel& it) { return it.size > 0; });
  const std::uint64_t caller = level->round_robin.front();
  const QueuedRequest request = requests_.at(level->callers[caller].front());
  // Moves the caller to the end of the round-robin order; Erase() removes it if
  // it has no more queued requests.
  level->round_robin.splice(level->round_robin.end(), level->round_robin,
                            level->round_robin.begin());
  Erase(request);
  return request;
}

bool AdmissionQueue::Remove(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return false;
  const QueuedRequest request = it->second;
  Erase(request);
  return true;
}

std::size_t AdmissionQueue::CountAhead(const QueuedRequest& request) const {
  const std::size_t own_level = LevelOf(request.priority);
  std::size_t ahead = 0;
  for (std::size_t n = 0; n < own_level; ++n)
    ahead += levels_[n].size;
  const PriorityLevel& level = levels_[own_level];
  const auto own_ids = level.callers.find(request.caller);
  const std::size_t own_queued =
      own_ids == level.callers.end() ? 0 : own_ids->second.size();
  for (const auto& [caller, ids] : level.callers)
    ahead +=
        std::min(ids.size(), own_queued + (caller == request.caller ? 0 : 1));
  return ahead;
}

std::optional<std::uint64_t> AdmissionQueue::Evict(
    const QueuedRequest& request) {
  const auto level =
      std::find_if(levels_.rbegin(), levels_.rend(),
                   [](const PriorityLevel& it) { return it.size > 0; });
  if (level == levels_.rend())
    return std::nullopt;
  const std::size_t index =
      static_cast<std::size_t>(levels_.rend() - level) - 1;
  if (index < LevelOf(request.priority))
    return std::nullopt;
  const auto busiest_caller =
      std::max_element(level->callers.begin(), level->callers.end(),
                       [](const auto& a, const auto& b) {
                         return std::pair(a.second.size(), a.first) <
                                std::pair(b.second.size(), b.first);
                       });
  if (index == LevelOf(request.priority)) {
    const auto own_ids = level->callers.find(request.caller);
    const std::size_t n =
        own_ids == level->callers.end() ? 0 : own_ids->second.size();
    if (busiest_caller->second.size() <= n + 1)
      return std::nullopt;
  }
  const std::uint64_t evicted_id = busiest_caller->second.back();
  Remove(evicted_id);
  return evicted_id;
}

std::vector<std::uint64_t> AdmissionQueue::TakeExpired(TimePoint limit) {
  std::vector<std::uint64_t> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= limit) {
    expired.push_back(deadlines_.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

TimePoint AdmissionQueue::EarliestDeadline() const {
  GENTIANREACH_CHECK(!empty());
  return deadlines_.begin()->first;
}

// Removes `request` from every index.
void AdmissionQueue::Erase(const QueuedRequest& request) {
  PriorityLevel& level = levels_[LevelOf(request.priority)];
  std::deque<std::uint64_t>& own_ids = level.callers.at(request.caller);
  own_ids.erase(std::find(own_ids.begin(), own_ids.end(), request.id));
  --level.size;
  if (own_ids.empty()) {
    level.callers.erase(request.caller);
    level.round_robin.remove(request.caller);
  }
  deadlines_.erase({request.deadline, request.id});
  requests_.erase(request.id);
}

}  // namespace gentianreach
