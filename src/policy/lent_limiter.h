// Slots of a backend server lent to daemons by the server's home daemon.
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

// From a daemon to the home daemon of a server: how many requests it has for
// the server on average, in flight and waiting.
struct SlotRequest {
  double demand = 0;
};

// From the home daemon: how many requests may be in flight, and for how long
// the word holds from its arrival on.
struct SlotGrant {
  double window = 0;
  Duration valid{};
};

struct LeasedSlotLimiterOptions {
  // Requests that may be in flight without a grant.
  double floor = 1;
  // Time between two messages to the home daemon.
  Duration interval = std::chrono::milliseconds(200);
};

// A window lent by the home daemon. Send what TakeRequest() returns to the
// home daemon and hand its answers to OnGrant(). Without a valid grant, as
// when the home daemon is lost, a fixed window holds.
class LeasedSlotLimiter {
 public:
  explicit LeasedSlotLimiter(LeasedSlotLimiterOptions options)
      : options_(options), pace_(options.floor) {}

  [[nodiscard]] bool MaySend(TimePoint now) const { return pace_.MaySend(now); }
  [[nodiscard]] std::optional<TimePoint> NextSend(TimePoint now) const {
    return pace_.NextSend(now);
  }
  [[nodiscard]] double Window() const { return pace_.window(); }
  void OnSent(TimePoint now);
  void OnEnd(AttemptEnd end, Duration latency, TimePoint now);
  void OnDemand(std::size_t queued) { queued_ = queued; }

  void OnGrant(const SlotGrant& grant, TimePoint now);
  // Returns the message that is due for the home daemon, if any.
  [[nodiscard]] std::optional<SlotRequest> TakeRequest(TimePoint now);

 private:
  void TrackDemand(TimePoint now);

  LeasedSlotLimiterOptions options_;
  PacedWindow pace_;
  Duration latency_{};
  std::size_t queued_ = 0;
  // Demand smoothed over time, and since when its present value holds.
  double demand_ = 0;
  TimePoint demand_at_{};
  TimePoint valid_until_{};
  TimePoint next_request_{};
};

struct SlotHomeOptions {
  std::uint32_t slots = 3;
  // Slots lent for each one there is; the server queues or sheds the surplus.
  double over_commitment = 2;
  Duration valid = std::chrono::seconds(1);
};

// Divides a server's slots among the daemons that ask for them: each gets what
// it asks for, up to an equal share of what is left (max-min fairness), and an
// equal part of what nobody asked for.
class SlotHome {
 public:
  explicit SlotHome(SlotHomeOptions options) : options_(options) {}

  // Takes in a daemon's demand and returns its grant.
  SlotGrant OnRequest(const DaemonId& daemon,
                      const SlotRequest& request,
                      TimePoint now);

 private:
  struct Demand {
    double slots = 0;
    TimePoint expires_at{};
  };

  [[nodiscard]] double ShareOf(const DaemonId& daemon) const;

  SlotHomeOptions options_;
  std::map<DaemonId, Demand> demands_;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_LENT_LIMITER_H_
