// A discrete-event simulation of daemons that share one backend server.
//
// Used by the tests and the benchmark of the limiters. Requests arrive at the
// daemons at random; each daemon applies an Admission; the server runs as many
// requests as it has slots, queues up to `server_queue` more and sheds the
// rest. All random values come from one seeded generator, so that a run can be
// repeated exactly.
#ifndef SRC_POLICY_ADMISSION_MODEL_H_
#define SRC_POLICY_ADMISSION_MODEL_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "policy/admission.h"
#include "policy/lent_limiter.h"
#include "policy/retry_budget.h"

namespace gentianreach::internal {

struct ModelOptions {
  std::uint32_t daemons = 12;
  std::uint32_t slots = 3;
  std::uint32_t server_queue = 6;
  Duration service = std::chrono::milliseconds(10);  // Mean, exponential.
  // Slot time that the server spends on shedding one request.
  Duration shed_cost = std::chrono::microseconds(200);
  Duration one_way = std::chrono::microseconds(500);
  // Arrival rate as a fraction of the rate that the slots can serve.
  double load = 1;
  // Fraction of the requests that arrive at the first daemon; zero: equal
  // fractions for all daemons.
  double skew = 0;
  // All daemons forward their requests to the first one, which admits them.
  bool forward = false;
  Duration deadline = std::chrono::seconds(1);
  // How many times a caller immediately resends a refused request.
  std::uint32_t caller_retries = 0;
  std::uint32_t callers = 50;
  Duration run = std::chrono::seconds(60);
  std::uint64_t seed = 1;
};

struct ModelResult {
  std::uint64_t requests = 0;  // Without resends by callers.
  std::uint64_t offers = 0;    // Including resends by callers.
  std::uint64_t answered = 0;  // Before the deadline.
  std::uint64_t late = 0;      // Run, but the response came too late.
  std::uint64_t refused = 0;   // By a daemon, out of `offers`.
  std::uint64_t shed = 0;      // By the server.
  std::uint64_t retries = 0;   // Attempts after the first of an offer.
  std::uint64_t messages = 0;  // Between daemons, sent by the limiter.
  std::array<std::uint64_t, 3> offers_by_priority{};
  std::array<std::uint64_t, 3> answered_by_priority{};
  std::vector<double> latencies_ms;       // Of answered requests, sorted.
  std::vector<double> high_latencies_ms;  // Of high priority only.
  double capacity = 0;  // Number of requests the slots can run.

  // Returns the answered requests as a fraction of the capacity.
  [[nodiscard]] double Goodput() const {
    return static_cast<double>(answered) / capacity;
  }
  // Returns the latency quantile, in milliseconds; `quantile` is in [0, 1].
  [[nodiscard]] double Latency(double quantile) const {
    return QuantileOf(latencies_ms, quantile);
  }
  // Returns the latency quantile of the high-priority requests.
  [[nodiscard]] double HighLatency(double quantile) const {
    return QuantileOf(high_latencies_ms, quantile);
  }

 private:
  static double QuantileOf(const std::vector<double>& sorted, double quantile) {
    if (sorted.empty())
      return 0;
    const auto n = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(quantile * n))];
  }
};

// A limiter that leases slots from the home daemon of the server.
template <typename L>
concept LeasingLimiter = requires(L& limiter, SlotGrant grant, TimePoint now) {
  limiter.OnGrant(grant, now);
  limiter.TakeRequest(now);
};

// Runs the simulation with one limiter per daemon. Run() may be called once.
template <SlotLimiter L>
class AdmissionModel {
 public:
  AdmissionModel(ModelOptions options, const L& limiter)
      : options_(options),
        random_(options.seed),
        slot_allocator_(SlotAllocatorOptions{options.slots}) {
    for (std::uint32_t n = 0; n < options.daemons; ++n) {
      admissions_.emplace_back(AdmissionOptions{}, limiter);
      budgets_.emplace_back(RetryBudgetOptions{}, now_);
      next_polls_.push_back(TimePoint::max());
    }
  }

  ModelResult Run() {
    const TimePoint end = now_ + options_.run;
    const double rate = options_.slots / Seconds(options_.service);
    result_.capacity = rate * Seconds(options_.run);
    ScheduleArrival(rate * options_.load, end);
    while (!events_.empty() && events_.top().at < end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.act();
    }
    std::sort(result_.latencies_ms.begin(), result_.latencies_ms.end());
    std::sort(result_.high_latencies_ms.begin(),
              result_.high_latencies_ms.end());
    return std::move(result_);
  }

 private:
  struct Request {
    std::uint64_t id = 0;
    std::uint32_t daemon = 0;  // The daemon that received it.
    std::uint64_t caller = 0;
    settings::Priority priority{};
    TimePoint sent_at{};
    TimePoint deadline{};
    std::uint32_t resends = 0;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  Duration Exponential(double mean_s) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::exponential_distribution<>(1 / mean_s)(random_)));
  }
  void At(TimePoint at, std::function<void()> act) {
    events_.push(Event{at, ++last_event_order_, std::move(act)});
  }

  // Callers.

  void ScheduleArrival(double rate, TimePoint end) {
    const TimePoint at = now_ + Exponential(1 / rate);
    if (at >= end)
      return;
    At(at, [this, rate, end] {
      ++result_.requests;
      Request request;
      request.caller = static_cast<std::uint64_t>(Uniform() * options_.callers);
      request.priority = DrawPriority();
      Arrive(request);
      ScheduleArrival(rate, end);
    });
  }

  settings::Priority DrawPriority() {
    const double it = Uniform();
    if (it < 0.2)
      return settings::Priority::High;
    return it < 0.8 ? settings::Priority::Normal : settings::Priority::Low;
  }

  std::uint32_t DrawDaemon() {
    if (options_.skew > 0 && Uniform() < options_.skew)
      return 0;
    const std::uint32_t first = options_.skew > 0 ? 1 : 0;
    return first +
           static_cast<std::uint32_t>(Uniform() * (options_.daemons - first));
  }

  // A caller sends the request, for the first time or as a resend.
  void Arrive(Request request) {
    request.id = ++last_id_;
    request.daemon = DrawDaemon();
    request.sent_at = now_;
    request.deadline = now_ + options_.deadline;
    ++result_.offers;
    ++result_.offers_by_priority[static_cast<std::size_t>(request.priority)];
    const std::uint32_t admitting_daemon = AdmittingDaemon(request);
    requests_[request.id] = request;
    const std::uint64_t id = request.id;
    At(now_ + ForwardDelay(request), [this, id, admitting_daemon] {
      budgets_[admitting_daemon].OnRequest(now_);
      Offer(id, admitting_daemon);
    });
  }

  void Refuse(std::uint64_t id) {
    Request request = requests_.at(id);
    requests_.erase(id);
    ++result_.refused;
    if (request.resends >= options_.caller_retries)
      return;
    ++request.resends;
    At(now_ + options_.one_way * 2, [this, request] { Arrive(request); });
  }

  // Daemons.

  std::uint32_t AdmittingDaemon(const Request& request) const {
    return options_.forward ? 0 : request.daemon;
  }
  Duration ForwardDelay(const Request& request) const {
    return options_.forward && request.daemon != 0 ? options_.one_way
                                                   : Duration::zero();
  }

  void Offer(std::uint64_t id, std::uint32_t daemon) {
    const Request& request = requests_.at(id);
    ApplyDecision(
        daemon,
        admissions_[daemon].Offer(
            {id, request.caller, request.priority, request.deadline}, now_));
    Poll(daemon);
  }

  void ApplyDecision(std::uint32_t daemon, const AdmissionDecision& decision) {
    if (decision.state == AdmissionState::kQueued)
      return;
    if (decision.state == AdmissionState::kRefused)
      return Refuse(decision.request);
    const std::uint64_t id = decision.request;
    At(now_ + options_.one_way, [this, id, daemon] { Receive(id, daemon); });
  }

  void Poll(std::uint32_t daemon) {
    for (const AdmissionDecision& it : admissions_[daemon].Poll(now_))
      ApplyDecision(daemon, it);
    ExchangeSlotMessages(daemon);
    const auto due = admissions_[daemon].NextDeadline(now_);
    if (!due || *due >= next_polls_[daemon])
      return;
    next_polls_[daemon] = *due;
    At(*due, [this, daemon, at = *due] {
      if (next_polls_[daemon] != at)
        return;
      next_polls_[daemon] = TimePoint::max();
      Poll(daemon);
    });
  }

  void ExchangeSlotMessages(std::uint32_t daemon) {
    if constexpr (LeasingLimiter<L>) {
      const auto request = admissions_[daemon].limiter().TakeRequest(now_);
      if (!request)
        return;
      result_.messages += 2;
      At(now_ + options_.one_way, [this, daemon, slot_request = *request] {
        const SlotGrant grant = slot_allocator_.OnRequest(
            DaemonId(std::to_string(daemon)), slot_request, now_);
        At(now_ + options_.one_way, [this, daemon, grant] {
          admissions_[daemon].limiter().OnGrant(grant, now_);
          Poll(daemon);
        });
      });
    }
  }

  void Finish(std::uint64_t id, std::uint32_t daemon, AttemptEnd end) {
    admissions_[daemon].Finish(id, end, now_);
    const Request request = requests_.at(id);
    if (end == AttemptEnd::kShed) {
      RetryOrRefuse(id, daemon);
    } else {
      requests_.erase(id);
      CountResponse(request, now_ + ForwardDelay(request));
    }
    Poll(daemon);
  }

  void RetryOrRefuse(std::uint64_t id, std::uint32_t daemon) {
    if (!budgets_[daemon].TryRetry(now_))
      return Refuse(id);
    ++result_.retries;
    Offer(id, daemon);
  }

  void CountResponse(const Request& request, TimePoint at) {
    if (at > request.deadline) {
      ++result_.late;
      return;
    }
    ++result_.answered;
    ++result_.answered_by_priority[static_cast<std::size_t>(request.priority)];
    const double latency_ms = Seconds(at - request.sent_at) * 1000;
    result_.latencies_ms.push_back(latency_ms);
    if (request.priority == settings::Priority::High)
      result_.high_latencies_ms.push_back(latency_ms);
  }

  // The server.

  void Receive(std::uint64_t id, std::uint32_t daemon) {
    if (busy_slots_ >= options_.slots &&
        server_queue_.size() >= options_.server_queue) {
      ++result_.shed;
      pending_shed_cost_ += options_.shed_cost;
      return SendResponse(id, daemon, AttemptEnd::kShed);
    }
    server_queue_.emplace_back(id, daemon);
    StartNext();
  }

  void StartNext() {
    if (busy_slots_ >= options_.slots || server_queue_.empty())
      return;
    const auto [id, daemon] = server_queue_.front();
    server_queue_.pop_front();
    ++busy_slots_;
    const Duration work = Exponential(Seconds(options_.service)) +
                          std::exchange(pending_shed_cost_, {});
    At(now_ + work, [this, id = id, daemon = daemon] {
      --busy_slots_;
      SendResponse(id, daemon, AttemptEnd::kAnswered);
      StartNext();
    });
  }

  void SendResponse(std::uint64_t id, std::uint32_t daemon, AttemptEnd end) {
    At(now_ + options_.one_way,
       [this, id, daemon, end] { Finish(id, daemon, end); });
  }

  ModelOptions options_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::priority_queue<Event> events_;
  std::uint64_t last_event_order_ = 0;
  std::uint64_t last_id_ = 0;
  std::vector<Admission<L>> admissions_;
  std::vector<RetryBudget> budgets_;
  std::vector<TimePoint> next_polls_;
  SlotAllocator slot_allocator_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::deque<std::pair<std::uint64_t, std::uint32_t>> server_queue_;
  std::uint32_t busy_slots_ = 0;
  Duration pending_shed_cost_{};
  ModelResult result_;
};

}  // namespace gentianreach::internal

#endif  // SRC_POLICY_ADMISSION_MODEL_H_
