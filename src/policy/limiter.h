// How many requests a daemon may have in flight at one backend server, where
// several daemons share the server's slots.
//
// docs/design/limits.md compares the limiters.
#ifndef SRC_POLICY_LIMITER_H_
#define SRC_POLICY_LIMITER_H_

#include <concepts>
#include <cstdint>
#include <optional>

#include "gentianreach/check.h"
#include "gentianreach/time.h"
#include "policy/attempt.h"

namespace gentianreach {

// Decides whether one more request may be sent to a server now. Admission
// calls OnSent() for each request sent, OnEnd() for its end, and OnDemand()
// whenever the number of waiting requests has changed.
template <typename L>
concept SlotLimiter = requires(L& limiter,
                               const L& view,
                               TimePoint now,
                               AttemptEnd end,
                               Duration latency,
                               std::size_t queued) {
  { view.MaySend(now) } -> std::same_as<bool>;
  { view.NextSend(now) } -> std::same_as<std::optional<TimePoint>>;
  { view.Window() } -> std::same_as<double>;
  limiter.OnSent(now);
  limiter.OnEnd(end, latency, now);
  limiter.OnDemand(queued);
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
    GENTIANREACH_CHECK(in_flight_ > 0);
    --in_flight_;
  }
  void OnDemand(std::size_t /*queued*/) {}
  // Sets a new window; requests in flight beyond it are left to end.
  void set_window(std::uint32_t window) { window_ = window; }
  [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }

 private:
  std::uint32_t window_;
  std::uint32_t in_flight_ = 0;
};

// A window that may be a fraction. Below one it is a pace: one request at a
// time, and a pause so that on average `window` of them are in flight.
class PacedWindow {
 public:
  explicit PacedWindow(double window) : window_(window) {}

  [[nodiscard]] bool MaySend(TimePoint now) const;
  // Returns when a send becomes possible by the passing of time alone.
  [[nodiscard]] std::optional<TimePoint> NextSend(TimePoint now) const;
  // Counts a request as in flight; `latency` is the usual one.
  void OnSent(Duration latency, TimePoint now);
  void OnEnd();
  // Sends nothing more before `until`.
  void HoldUntil(TimePoint until);

  [[nodiscard]] double window() const { return window_; }
  void set_window(double window) { window_ = window; }
  [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
  // Returns whether the requests in flight take up the whole window.
  [[nodiscard]] bool IsFull() const { return in_flight_ + 1 > window_; }

 private:
  double window_;
  std::uint32_t in_flight_ = 0;
  TimePoint held_until_{};
};

struct ReactiveLimiterOptions {
  std::uint32_t connections = 100;  // Of the server.
  std::uint32_t daemons = 12;       // That share the server.
};

// A window driven by the server's answers alone. It grows with each answer
// while it is full, shrinks by a factor when the server sheds, and shrinks
// slowly when the latency shows that a long queue stands at the server. It is
// never below one; a daemon whose request was shed pauses instead. Needs no
// word of other daemons.
//
// The window never exceeds the daemon's share of the server's connections.
// Without a latency known, as at the start, there is no pause.
class ReactiveLimiter {
 public:
  explicit ReactiveLimiter(ReactiveLimiterOptions options);

  [[nodiscard]] bool MaySend(TimePoint now) const { return pace_.MaySend(now); }
  [[nodiscard]] std::optional<TimePoint> NextSend(TimePoint now) const {
    return pace_.NextSend(now);
  }
  [[nodiscard]] double Window() const { return pace_.window(); }
  void OnSent(TimePoint now);
  void OnEnd(AttemptEnd end, Duration latency, TimePoint now);
  void OnDemand(std::size_t /*queued*/) {}
  [[nodiscard]] std::uint32_t in_flight() const { return pace_.in_flight(); }

 private:
  void Grow(TimePoint now);
  void Shrink(double factor, TimePoint now);
  void TrackLatency(Duration latency);

  PacedWindow pace_;
  double max_window_;
  // Latency smoothed over few and over many answers, and the lowest of the
  // latter, which slowly forgets; in seconds.
  double latency_s_ = 0;
  double steady_s_ = 0;
  double base_s_ = 0;
  std::uint64_t responses_ = 0;
  TimePoint next_shrink_{};
  // Until then the server is held to be at its limit.
  TimePoint careful_until_{};
};

}  // namespace gentianreach

#endif  // SRC_POLICY_LIMITER_H_
