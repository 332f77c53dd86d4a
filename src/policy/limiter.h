// Concurrency limiters: how many requests a daemon may have in flight at one
// backend server whose slots several daemons share.
//
// See docs/design/limits.md for a comparison of the limiters.
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
// calls OnSent() when a request is sent, OnEnd() when it ends, and OnDemand()
// when the number of queued requests changes.
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

// A limiter with a fixed window: the daemon's share of the server's slots, or
// all of them at a daemon that admits requests on behalf of all daemons.
class FixedLimiter {
 public:
  explicit FixedLimiter(std::uint32_t window) : window_(window) {}

  [[nodiscard]] bool MaySend(TimePoint /*now*/) const {
    return in_flight_ < window_;
  }
  // Returns the time at which a send becomes possible without any other event,
  // if there is one.
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
  // Sets a new window. Requests already in flight beyond it may complete.
  void set_window(std::uint32_t window) { window_ = window; }
  [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }

 private:
  std::uint32_t window_;
  std::uint32_t in_flight_ = 0;
};

// A window that may be fractional. Below one, requests are sent one at a time
// with pauses in between, such that on average `window` of them are in flight.
class PacedWindow {
 public:
  explicit PacedWindow(double window) : window_(window) {}

  [[nodiscard]] bool MaySend(TimePoint now) const;
  // Returns the time at which a send becomes possible without any other event,
  // if there is one.
  [[nodiscard]] std::optional<TimePoint> NextSend(TimePoint now) const;
  // Counts a request as in flight; `latency` is the average latency.
  void OnSent(Duration latency, TimePoint now);
  void OnEnd();
  // Allows no further sends before `until`.
  void PauseUntil(TimePoint until);

  [[nodiscard]] double window() const { return window_; }
  void set_window(double window) { window_ = window; }
  [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
  // Returns whether the requests in flight fill the window.
  [[nodiscard]] bool IsFull() const { return in_flight_ + 1 > window_; }

 private:
  double window_;
  std::uint32_t in_flight_ = 0;
  TimePoint paused_until_{};
};

struct ReactiveLimiterOptions {
  std::uint32_t connections = 100;  // Connections that the server accepts.
  std::uint32_t daemons = 12;       // Daemons that share the server.
};

// A limiter that adapts its window to the server's responses and needs no
// messages from other daemons. The window grows with each response received
// while it is full, shrinks by a factor when the server sheds, and shrinks
// slowly when the latency indicates a long queue at the server. It is never
// below one; after a shed, the daemon pauses instead.
//
// The window never exceeds the daemon's share of the server's connections.
// There is no pause as long as no latency has been measured.
class ReactiveLimiter {
 public:
  explicit ReactiveLimiter(ReactiveLimiterOptions options);

  [[nodiscard]] bool MaySend(TimePoint now) const {
    return paced_window_.MaySend(now);
  }
  [[nodiscard]] std::optional<TimePoint> NextSend(TimePoint now) const {
    return paced_window_.NextSend(now);
  }
  [[nodiscard]] double Window() const { return paced_window_.window(); }
  void OnSent(TimePoint now);
  void OnEnd(AttemptEnd end, Duration latency, TimePoint now);
  void OnDemand(std::size_t /*queued*/) {}
  [[nodiscard]] std::uint32_t in_flight() const {
    return paced_window_.in_flight();
  }

 private:
  void Grow(TimePoint now);
  void Shrink(double factor, TimePoint now);
  void TrackLatency(Duration latency);

  PacedWindow paced_window_;
  double max_window_;
  // In seconds: latency smoothed over few responses, latency smoothed over many
  // responses, and the minimum of the latter, which rises with each response.
  double latency_s_ = 0;
  double long_term_latency_s_ = 0;
  double min_latency_s_ = 0;
  std::uint64_t responses_ = 0;
  TimePoint next_shrink_{};
  // Until this time the server is assumed to be at its limit.
  TimePoint slow_growth_until_{};
};

}  // namespace gentianreach

#endif  // SRC_POLICY_LIMITER_H_
