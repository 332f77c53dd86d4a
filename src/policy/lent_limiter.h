// Slots of a backend server, leased to daemons by the server's home daemon.
#ifndef SRC_POLICY_LENT_LIMITER_H_
#define SRC_POLICY_LENT_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "policy/attempt.h"
#include "policy/limiter.h"

namespace gentianreach {

// Sent by a daemon to the home daemon of a server: the average number of
// requests it has for the server, in flight and queued.
struct SlotRequest {
  double demand = 0;
};

// Sent by the home daemon: how many requests may be in flight, and how long
// the grant is valid after its arrival.
struct SlotGrant {
  double window = 0;
  Duration valid{};
};

struct LeasedSlotLimiterOptions {
  // Number of requests that may be in flight without a valid grant.
  double fallback_window = 1;
  // Interval between messages to the home daemon.
  Duration interval = std::chrono::milliseconds(200);
};

// A concurrency limiter whose window is leased from the home daemon. Send the
// messages that TakeRequest() returns to the home daemon and pass its grants to
// OnGrant(). Without a valid grant, for example after the home daemon has
// failed, the window falls back to `fallback_window`.
class LeasedSlotLimiter {
 public:
  explicit LeasedSlotLimiter(LeasedSlotLimiterOptions options)
      : options_(options), paced_window_(options.fallback_window) {}

  [[nodiscard]] bool MaySend(TimePoint now) const {
    return paced_window_.MaySend(now);
  }
  [[nodiscard]] std::optional<TimePoint> NextSend(TimePoint now) const {
    return paced_window_.NextSend(now);
  }
  [[nodiscard]] double Window() const { return paced_window_.window(); }
  void OnSent(TimePoint now);
  void OnEnd(AttemptEnd end, Duration latency, TimePoint now);
  void OnDemand(std::size_t queued) { queued_ = queued; }

  void OnGrant(const SlotGrant& grant, TimePoint now);
  // Returns the message that is due to be sent to the home daemon, if any.
  [[nodiscard]] std::optional<SlotRequest> TakeRequest(TimePoint now);

 private:
  void TrackDemand(TimePoint now);

  LeasedSlotLimiterOptions options_;
  PacedWindow paced_window_;
  Duration latency_{};
  std::size_t queued_ = 0;
  // Smoothed demand, and the time of its last update.
  double demand_ = 0;
  TimePoint demand_at_{};
  TimePoint valid_until_{};
  TimePoint next_request_{};
};

struct SlotAllocatorOptions {
  std::uint32_t slots = 3;
  // Slots granted per existing slot; the server queues or sheds the surplus.
  double over_commitment = 2;
  Duration valid = std::chrono::seconds(1);
};

// Divides a server's slots among the daemons that request them. Each daemon
// gets its demand, up to an equal share of the remaining slots (max-min
// fairness), plus an equal share of the slots that no daemon requested.
class SlotAllocator {
 public:
  explicit SlotAllocator(SlotAllocatorOptions options) : options_(options) {}

  // Returns the grant for a daemon that has sent `request`.
  SlotGrant OnRequest(const DaemonId& daemon,
                      const SlotRequest& request,
                      TimePoint now);

 private:
  struct Demand {
    double slots = 0;
    TimePoint expires_at{};
  };

  [[nodiscard]] double ShareOf(const DaemonId& daemon) const;

  SlotAllocatorOptions options_;
  std::map<DaemonId, Demand> demands_;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_LENT_LIMITER_H_
