// Admission control for the requests of one daemon to one backend server.
#ifndef SRC_POLICY_ADMISSION_H_
#define SRC_POLICY_ADMISSION_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gentianreach/time.h"
#include "gentianreach/verdict.h"
#include "policy/admission_queue.h"
#include "policy/attempt.h"
#include "policy/limiter.h"
#include "settings_generated.h"

namespace gentianreach {

struct AdmissionOptions {
  // Maximum expected time in the queue. A longer wait means sustained overload
  // rather than a burst, and only adds latency to every request.
  Duration max_wait = std::chrono::milliseconds(500);
  // Maximum number of queued requests.
  std::uint32_t max_queued = 256;
  // Service time assumed until the server has sent its first response.
  Duration initial_service_time = std::chrono::milliseconds(10);
};

enum class AdmissionState : std::uint8_t { kSend, kQueued, kRefused };

// The decision on one request.
struct AdmissionDecision {
  std::uint64_t request = 0;
  AdmissionState state = AdmissionState::kRefused;
  // If refused: kOverload or kDeadline. The request has not run.
  Reason reason = Reason::kNone;
  // If refused: when a retry is likely to succeed (Retry-After).
  TimePoint retry_at{};
};

// Limits the requests of one daemon to one backend server: a concurrency limit
// set by `L`, and a queue bounded by the requests' deadlines.
//
// Call Offer() for each attempt, with an id that no other unfinished attempt
// has. On kSend, send it; on kQueued, wait until Poll() returns a decision on
// it; on kRefused, end it as Verdict::NotRun(reason). Call Finish() once for
// each attempt sent, and Cancel() for a queued attempt whose caller has
// disconnected. After each of these calls, and at NextDeadline(), call Poll()
// and carry out every decision it returns.
//
// Requests of higher priority are sent first; callers of the same priority are
// served round-robin. A request that is estimated to miss its deadline, given
// the requests queued ahead of it, is refused immediately. A full queue sheds
// requests of the lowest priority first, and among those the requests of the
// caller with the most queued requests.
template <SlotLimiter L>
class Admission {
 public:
  Admission(AdmissionOptions options, L limiter)
      : options_(options),
        limiter_(std::move(limiter)),
        service_time_(options.initial_service_time) {}

  // Returns the decision on a new attempt.
  [[nodiscard]] AdmissionDecision Offer(const QueuedRequest& request,
                                        TimePoint now) {
    if (request.deadline <= now + service_time_ / 2)
      return Refuse(request.id, Reason::kDeadline, now);
    if (queue_.empty() && limiter_.MaySend(now))
      return Send(request.id, now);
    const Duration wait = ExpectedWait(queue_.CountAhead(request));
    if (now + wait + service_time_ > request.deadline)
      return Refuse(request.id, Reason::kDeadline, now);
    if (wait > options_.max_wait && !EvictFor(request, now))
      return Refuse(request.id, Reason::kOverload, now);
    if (queue_.size() >= options_.max_queued && !EvictFor(request, now))
      return Refuse(request.id, Reason::kOverload, now);
    queue_.Push(request);
    limiter_.OnDemand(queue_.size());
    return {request.id, AdmissionState::kQueued};
  }

  // Records the end of an attempt that was sent.
  void Finish(std::uint64_t request, AttemptEnd end, TimePoint now) {
    const auto it = sent_.find(request);
    if (it == sent_.end())
      return;
    const Duration latency = now - it->second;
    sent_.erase(it);
    limiter_.OnEnd(end, latency, now);
    if (end == AttemptEnd::kAnswered)
      UpdateServiceTime(latency, now);
  }

  // Removes a queued attempt. Returns false if it is not queued: it has been
  // sent or refused, or the next Poll() returns the decision on it.
  bool Cancel(std::uint64_t request) {
    const bool removed = queue_.Remove(request);
    limiter_.OnDemand(queue_.size());
    return removed;
  }

  // Returns the new decisions on queued attempts: send or refuse.
  [[nodiscard]] std::vector<AdmissionDecision> Poll(TimePoint now) {
    std::vector<AdmissionDecision> decisions = std::move(evicted_);
    evicted_.clear();
    for (const std::uint64_t it : queue_.TakeExpired(now + service_time_ / 2))
      decisions.push_back(Refuse(it, Reason::kDeadline, now));
    while (!queue_.empty() && limiter_.MaySend(now))
      decisions.push_back(Send(queue_.Pop().id, now));
    limiter_.OnDemand(queue_.size());
    return decisions;
  }

  // Returns when Poll() is next due if no other call is made before, if ever.
  [[nodiscard]] std::optional<TimePoint> NextDeadline(TimePoint now) const {
    if (!evicted_.empty())
      return now;
    if (queue_.empty())
      return std::nullopt;
    TimePoint due = queue_.EarliestDeadline() - service_time_ / 2;
    if (const auto next = limiter_.NextSend(now))
      due = std::min(due, *next);
    return std::max(due, now);
  }

  // Returns when a request that is refused now should be retried.
  [[nodiscard]] TimePoint RetryAt(TimePoint now) const {
    return now + ExpectedWait(queue_.size()) + service_time_;
  }

  [[nodiscard]] std::size_t queued() const { return queue_.size(); }
  [[nodiscard]] std::size_t in_flight() const { return sent_.size(); }
  [[nodiscard]] L& limiter() { return limiter_; }

 private:
  AdmissionDecision Send(std::uint64_t request, TimePoint now) {
    limiter_.OnSent(now);
    sent_.emplace(request, now);
    return {request, AdmissionState::kSend};
  }

  AdmissionDecision Refuse(std::uint64_t request,
                           Reason reason,
                           TimePoint now) const {
    return {request, AdmissionState::kRefused, reason, RetryAt(now)};
  }

  // Evicts one queued request that ranks below `request`. Returns false if
  // there is none.
  bool EvictFor(const QueuedRequest& request, TimePoint now) {
    const std::optional<std::uint64_t> evicted_id = queue_.Evict(request);
    if (!evicted_id)
      return false;
    evicted_.push_back(Refuse(*evicted_id, Reason::kOverload, now));
    return true;
  }

  // Returns the expected time until a request with `ahead` requests queued
  // before it is sent.
  [[nodiscard]] Duration ExpectedWait(std::size_t ahead) const {
    return std::chrono::duration_cast<Duration>(
        service_time_ * (static_cast<double>(ahead) + 1) /
        std::max(limiter_.Window(), kMinWindow));
  }

  void UpdateServiceTime(Duration latency, TimePoint /*now*/) {
    service_time_ += (latency - service_time_) / kServiceTimeSmoothing;
  }

  static constexpr double kMinWindow = 0.01;
  static constexpr int kServiceTimeSmoothing = 16;

  AdmissionOptions options_;
  L limiter_;
  AdmissionQueue queue_;
  std::unordered_map<std::uint64_t, TimePoint> sent_;
  std::vector<AdmissionDecision> evicted_;
  // Smoothed time from sending a request to the end of its response.
  Duration service_time_;
};

// The admission control used by the data path.
using ServerAdmission = Admission<ReactiveLimiter>;

}  // namespace gentianreach

#endif  // SRC_POLICY_ADMISSION_H_
