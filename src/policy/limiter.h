// How many requests a daemon may have in flight at one backend server, where
// several daemons share the server's slots.
//
// docs/design/limits.md compares the limiters.
#ifndef SRC_POLICY_LIMITER_H_
#define SRC_POLICY_LIMITER_H_

#include <concepts>
#include <cstdint>
#include <optional>

#include "gentianreach/time.h"
#include "policy/attempt.h"

namespace gentianreach {

// Decides whether one more request may be sent to a server now. Admission
// calls OnSent() for each request sent and OnEnd() for its end.
template <typename L>
concept SlotLimiter = requires(L& limiter,
                               const L& view,
                               TimePoint now,
                               AttemptEnd end,
                               Duration latency) {
  { view.MaySend(now) } -> std::same_as<bool>;
  { view.NextSend(now) } -> std::same_as<std::optional<TimePoint>>;
  { view.Window() } -> std::same_as<double>;
  limiter.OnSent(now);
  limiter.OnEnd(end, latency, now);
};

// A window that never changes: each daemon its share, or, at a daemon that
// admits for all, the whole server.
class FixedLimiter {
 public:
  explicit FixedLimiter(std::uint32_t window) : window_(window) {}

  [[nodiscard]] bool MaySend(TimePoint /*now*/) const {
    return in_flight_ < window_;
  }
  // Returns when a send becomes possible by the passing of time alone.
  [[nodiscard]] std::optional<TimePoint> NextSend(TimePoint /*now*/) const {
    return std::nullopt;
  }
  [[nodiscard]] double Window() const { return window_; }
  void OnSent(TimePoint /*now*/) { ++in_flight_; }
  void OnEnd(AttemptEnd /*end*/, Duration /*latency*/, TimePoint /*now*/) {
    --in_flight_;
  }
  // Sets a new window; requests in flight beyond it are left to end.
  void set_window(std::uint32_t window) { window_ = window; }
  [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }

 private:
  std::uint32_t window_;
  std::uint32_t in_flight_ = 0;
};

struct ReactiveLimiterOptions {
  std::uint32_t slots = 3;          // Of the server.
  std::uint32_t connections = 100;  // Of the server.
  std::uint32_t daemons = 12;       // That share the server.
};

// A window driven by the server's answers alone: it grows by additive steps
// while answers come at the speed expected and shrinks by a factor when the
// server sheds or its queue grows. A window below one is a pace: one request
// at a time, with a pause between them.
//
// The window never exceeds the daemon's share of the server's connections.
class ReactiveLimiter {
 public:
  explicit ReactiveLimiter(ReactiveLimiterOptions options);

  [[nodiscard]] bool MaySend(TimePoint now) const;
  [[nodiscard]] std::optional<TimePoint> NextSend(TimePoint now) const;
  [[nodiscard]] double Window() const { return window_; }
  void OnSent(TimePoint now);
  void OnEnd(AttemptEnd end, Duration latency, TimePoint now);
  [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }

 private:
  void Shrink(double factor, TimePoint now);
  void Grow();
  void TrackLatency(Duration latency);

  ReactiveLimiterOptions options_;
  double window_;
  double max_window_;
  std::uint32_t in_flight_ = 0;
  // Smoothed latency, and the lowest one, which slowly forgets.
  double latency_s_ = 0;
  double base_latency_s_ = 0;
  TimePoint next_send_{};
  TimePoint next_shrink_{};
};

}  // namespace gentianreach

#endif  // SRC_POLICY_LIMITER_H_
