// Admission of requests to one backend server at one daemon.
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
  // Longest time in the queue; a longer queue is standing overload, not a
  // burst, and only adds to the latency of everyone.
  Duration max_wait = std::chrono::milliseconds(500);
  // Greatest number of requests queued.
  std::uint32_t max_queued = 256;
  // Service time assumed until the server has answered.
  Duration first_service_time = std::chrono::milliseconds(10);
};

enum class AdmissionState : std::uint8_t { kSend, kQueued, kRefused };

// What to do with one request.
struct AdmissionDecision {
  std::uint64_t request = 0;
  AdmissionState state = AdmissionState::kRefused;
  // Where refused: kOverload or kDeadline. The request has not run.
  Reason reason = Reason::kNone;
  // Where refused: when trying again is likely to succeed (Retry-After).
  TimePoint retry_at{};
};

// Holds back the requests of one daemon to one backend server: a concurrency
// limit by `L` and a queue bounded by the requests' deadlines.
//
// Offer() each attempt with an id that no other unfinished attempt has. Send
// it on kSend; on kQueued wait until Poll() says what becomes of it; on
// kRefused end it as Verdict::NotRun(reason). Call Finish() once for each
// attempt sent and Cancel() for a queued one whose caller has gone. After each
// of these calls, and at NextDeadline(), call Poll() and act on all it returns.
//
// Requests of a higher priority go first, and callers of one priority take
// turns. A request whose deadline cannot be met by the estimate of the queue
// ahead is refused at once. A full queue sheds from the lowest priority up,
// there from the caller that has most requests queued.
template <SlotLimiter L>
class Admission {
 public:
  Admission(AdmissionOptions options, L limiter)
      : options_(options),
        limiter_(std::move(limiter)),
        service_time_(options.first_service_time) {}

  // Offers a new attempt.
  [[nodiscard]] AdmissionDecision Offer(const QueuedRequest& request,
                                        TimePoint now) {
    if (request.deadline <= now + service_time_ / 2)
      return Refuse(request.id, Reason::kDeadline, now);
    if (queue_.empty() && limiter_.MaySend(now))
      return Send(request.id, now);
    const Duration wait = ExpectedWait(queue_.Ahead(request));
    if (now + wait + service_time_ > request.deadline)
      return Refuse(request.id, Reason::kDeadline, now);
    if (wait > options_.max_wait && !MakeRoom(request, now))
      return Refuse(request.id, Reason::kOverload, now);
    if (queue_.size() >= options_.max_queued && !MakeRoom(request, now))
      return Refuse(request.id, Reason::kOverload, now);
    queue_.Push(request);
    limiter_.OnDemand(queue_.size());
    return {request.id, AdmissionState::kQueued};
  }

  // Ends an attempt that was sent.
  void Finish(std::uint64_t request, AttemptEnd end, TimePoint now) {
    const auto it = sent_.find(request);
    if (it == sent_.end())
      return;
    const Duration latency = now - it->second;
    sent_.erase(it);
    limiter_.OnEnd(end, latency, now);
    if (end == AttemptEnd::kAnswered)
      OnAnswered(latency, now);
  }

  // Removes a queued attempt. Returns false where it is not queued: it has
  // been sent, refused, or is among the decisions of the next Poll().
  bool Cancel(std::uint64_t request) {
    const bool removed = queue_.Remove(request);
    limiter_.OnDemand(queue_.size());
    return removed;
  }

  // Returns what has been decided on queued attempts: sent or refused.
  [[nodiscard]] std::vector<AdmissionDecision> Poll(TimePoint now) {
    std::vector<AdmissionDecision> decisions = std::move(shed_);
    shed_.clear();
    for (const std::uint64_t it : queue_.TakeExpired(now + service_time_ / 2))
      decisions.push_back(Refuse(it, Reason::kDeadline, now));
    while (!queue_.empty() && limiter_.MaySend(now))
      decisions.push_back(Send(queue_.Pop().id, now));
    limiter_.OnDemand(queue_.size());
    return decisions;
  }

  // Returns when Poll() is due without any other call, if ever.
  [[nodiscard]] std::optional<TimePoint> NextDeadline(TimePoint now) const {
    if (!shed_.empty())
      return now;
    if (queue_.empty())
      return std::nullopt;
    TimePoint wake = queue_.FirstDeadline() - service_time_ / 2;
    if (const auto next = limiter_.NextSend(now))
      wake = std::min(wake, *next);
    return std::max(wake, now);
  }

  // Returns when a request refused now should be sent again.
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

  // Pushes out one queued request that matters less than `request`. Returns
  // false where there is none.
  bool MakeRoom(const QueuedRequest& request, TimePoint now) {
    const std::optional<std::uint64_t> victim = queue_.Evict(request);
    if (!victim)
      return false;
    shed_.push_back(Refuse(*victim, Reason::kOverload, now));
    return true;
  }

  // Returns the time until a request with `ahead` others before it is sent.
  [[nodiscard]] Duration ExpectedWait(std::size_t ahead) const {
    return std::chrono::duration_cast<Duration>(
        service_time_ * (static_cast<double>(ahead) + 1) /
        std::max(limiter_.Window(), kLeastWindow));
  }

  void OnAnswered(Duration latency, TimePoint /*now*/) {
    service_time_ += (latency - service_time_) / kServiceTimeWeight;
  }

  static constexpr double kLeastWindow = 0.01;
  static constexpr int kServiceTimeWeight = 16;

  AdmissionOptions options_;
  L limiter_;
  AdmissionQueue queue_;
  std::unordered_map<std::uint64_t, TimePoint> sent_;
  std::vector<AdmissionDecision> shed_;
  // Smoothed time from sending to the whole answer.
  Duration service_time_;
};

// The admission that the data path uses.
using ServerAdmission = Admission<ReactiveLimiter>;

}  // namespace gentianreach

#endif  // SRC_POLICY_ADMISSION_H_
