// The queue of one daemon for requests to one backend server.
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

// One attempt that is waiting to be sent to the server.
struct QueuedRequest {
  std::uint64_t id = 0;      // Unique among unfinished attempts.
  std::uint64_t caller = 0;  // Identifies the caller, e.g. hash of its address.
  settings::Priority priority = settings::Priority::Normal;
  TimePoint deadline{};
};

// Orders queued requests by priority and, within one priority, serves callers
// round-robin, so that a caller with many requests delays only itself.
class AdmissionQueue {
 public:
  AdmissionQueue() = default;
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;
  AdmissionQueue(AdmissionQueue&&) = default;
  AdmissionQueue& operator=(AdmissionQueue&&) = default;

  void Push(const QueuedRequest& request);
  // Removes and returns the next request. The queue must not be empty.
  QueuedRequest Pop();
  // Removes a request. Returns whether it was queued.
  bool Remove(std::uint64_t id);
  // Returns how many queued requests would be sent before `request`.
  [[nodiscard]] std::size_t CountAhead(const QueuedRequest& request) const;
  // Removes and returns the newest request of the lowest priority, taken from
  // the caller with the most requests queued at that priority. Does so only if
  // that request ranks below `request`: it has a lower priority, or its caller
  // has more requests queued than the caller of `request` would have.
  std::optional<std::uint64_t> Evict(const QueuedRequest& request);
  // Removes and returns the requests whose deadline is not after `limit`.
  std::vector<std::uint64_t> TakeExpired(TimePoint limit);

  // Returns the earliest deadline. The queue must not be empty.
  [[nodiscard]] TimePoint EarliestDeadline() const;
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  [[nodiscard]] bool empty() const { return requests_.empty(); }

 private:
  // The queued requests of one priority, by caller in round-robin order.
  struct PriorityLevel {
    std::list<std::uint64_t> round_robin;
    std::unordered_map<std::uint64_t, std::deque<std::uint64_t>> callers;
    std::size_t size = 0;
  };

  static constexpr std::size_t kLevels = 3;

  [[nodiscard]] static std::size_t LevelOf(settings::Priority priority);
  void Erase(const QueuedRequest& request);

  std::array<PriorityLevel, kLevels> levels_;
  std::unordered_map<std::uint64_t, QueuedRequest> requests_;
  std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_ADMISSION_QUEUE_H_
