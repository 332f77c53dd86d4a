// The queue of requests that wait for one backend server at one daemon.
#ifndef SRC_POLICY_ADMISSION_QUEUE_H_
#define SRC_POLICY_ADMISSION_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gentianreach/time.h"
#include "settings_generated.h"

namespace gentianreach {

// One attempt that asks to be sent to the server.
struct QueuedRequest {
  std::uint64_t id = 0;      // Unique among unfinished attempts.
  std::uint64_t caller = 0;  // Stands for the caller, e.g. hash of its address.
  settings::Priority priority = settings::Priority::Normal;
  TimePoint deadline{};
};

// Orders waiting requests by priority and, within one priority, gives the
// callers turns, so that a caller with many requests delays only itself.
class AdmissionQueue {
 public:
  AdmissionQueue() = default;
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;
  AdmissionQueue(AdmissionQueue&&) = default;
  AdmissionQueue& operator=(AdmissionQueue&&) = default;

  void Push(const QueuedRequest& request);
  // Removes and returns the request whose turn it is. The queue must not be
  // empty.
  QueuedRequest Pop();
  // Returns whether the request was queued; removes it.
  bool Remove(std::uint64_t id);
  // Returns how many queued requests would be sent before `request`.
  [[nodiscard]] std::size_t Ahead(const QueuedRequest& request) const;
  // Removes and returns the newest request of the lowest priority, from the
  // caller that has most of them queued, if it matters less than `request`: it
  // is of a lower priority, or its caller has more queued than the caller of
  // `request` would have.
  std::optional<std::uint64_t> Evict(const QueuedRequest& request);
  // Removes and returns the requests whose deadline is not after `limit`.
  std::vector<std::uint64_t> TakeExpired(TimePoint limit);

  // Returns the earliest deadline. The queue must not be empty.
  [[nodiscard]] TimePoint FirstDeadline() const;
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  [[nodiscard]] bool empty() const { return requests_.empty(); }

 private:
  // The callers of one priority in the order of their turns.
  struct Level {
    std::list<std::uint64_t> turns;
    std::unordered_map<std::uint64_t, std::deque<std::uint64_t>> callers;
    std::size_t size = 0;
  };

  static constexpr std::size_t kLevels = 3;

  [[nodiscard]] static std::size_t LevelOf(settings::Priority priority);
  void Drop(const QueuedRequest& request);

  std::array<Level, kLevels> levels_;
  std::unordered_map<std::uint64_t, QueuedRequest> requests_;
  std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_ADMISSION_QUEUE_H_
