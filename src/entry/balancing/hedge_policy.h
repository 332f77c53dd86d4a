// Decides when a slow request gets a second attempt at another server, and
// which server that is.
#ifndef SRC_ENTRY_BALANCING_HEDGE_POLICY_H_
#define SRC_ENTRY_BALANCING_HEDGE_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

#include "entry/balancing/processing_times.h"
#include "entry/balancing/server_choice.h"
#include "gentianreach/time.h"
#include "policy/retry_budget.h"

namespace gentianreach::entry {

struct HedgeOptions {
  // Second attempts as a share of the requests to a service; 0: none are made.
  double share = 0;
  // An attempt is slow after this quantile of the recent responses of its kind.
  double quantile = 0.95;
  // Names of the services; empty: all.
  std::vector<std::string> services;
};

// Why a slow attempt gets no second one.
enum class HedgeRefusal : std::uint8_t {
  kNone,          // It gets one.
  kNoQuantile,    // Too few responses of its kind to tell which are slow.
  kShare,         // The share of second attempts is used up.
  kRetryBudget,   // What is left of the budget is for retries after failures.
  kNoCapacity,    // No other server has a free slot, or requests are refused.
  kPath,          // The path to the servers is in question.
  kStopping,      // The daemon stops.
  kNoConnection,  // All connections to the other server are in use.
};

// Returns the name of the reason in metrics.
[[nodiscard]] std::string_view ToString(HedgeRefusal refusal);

// The quantile of a kind is that of a moving window, so that it follows the
// usual latency. Its samples are the responses to first attempts. An attempt
// that was beaten by the second one counts with the time that it had taken:
// without these the slow attempts would be missing, and the quantile would fall
// with every second attempt that is made.
//
// Second attempts are taken from a token bucket per service that only requests
// fill. Every daemon keeps to the share of its own requests, so that all of
// them together do without messages.
class HedgePolicy {
 public:
  // Responses of a kind that are needed before any attempt counts as slow.
  static constexpr std::uint32_t kMinResponses = 50;

  explicit HedgePolicy(HedgeOptions options);

  // Returns whether requests to `service` may get a second attempt.
  [[nodiscard]] bool Covers(const std::string& service) const;
  // Counts a request that is sent to `service`.
  void OnRequest(const std::string& service);
  // A request to `service` was refused since no server could answer it in time.
  void OnShortage(const std::string& service, TimePoint now);
  // A first attempt took `latency`, or at least that long.
  void OnResponse(const RequestKind& kind, Duration latency, TimePoint now);
  // Returns the time after which an attempt is slow; nullopt while too few
  // responses of the kind are known.
  [[nodiscard]] std::optional<Duration> Delay(const RequestKind& kind,
                                              TimePoint now);
  // Returns the time after which a slow attempt that got no second one is
  // looked at again, if it has taken `elapsed`.
  [[nodiscard]] static Duration RecheckDelay(Duration elapsed);
  // Returns whether TryTake() would take a second attempt.
  [[nodiscard]] HedgeRefusal Check(const std::string& service,
                                   RetryBudget& budget,
                                   TimePoint now) const;
  // Takes a second attempt from the share and from the retry budget of the
  // service, or returns why there is none.
  [[nodiscard]] HedgeRefusal TryTake(const std::string& service,
                                     RetryBudget& budget,
                                     TimePoint now);

 private:
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
          1,
          1.0,
          2.0)));
  // Responses since some time.
  struct Window {
    Histogram histogram;
    std::uint32_t responses = 0;
    TimePoint begun_at{};
  };
  // The quantile is that of both windows.
  struct Responses {
    Window current;
    Window previous;
    // The quantile at `computed_at`.
    std::optional<Duration> delay;
    TimePoint computed_at{};
  };

  [[nodiscard]] static Window NewWindow(TimePoint now);
  // Starts a new window if the current one is complete.
  static void Rotate(Responses& responses, TimePoint now);
  [[nodiscard]] std::optional<Duration> Quantile(
      const Responses& responses) const;

  const HedgeOptions options_;
  // By service and route.
  std::map<std::pair<std::string, std::string>, Responses> responses_;
  // Second attempts that may be made now, by service.
  std::map<std::string, double> tokens_;
  // Until when a service counts as short of capacity, by service.
  std::map<std::string, TimePoint> short_until_;
};

// Returns the server of a second attempt: chosen as for any request, so that it
// is one of the daemon's zone if that is as good, but only if it is not cold
// and has a free slot by the estimate. `request.tried` holds the server of the
// first attempt. No server is chosen while the service is short of capacity.
[[nodiscard]] ServerChoice ChooseSecond(const ChoiceRequest& request,
                                        const KnownServers& known,
                                        TimePoint now);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_HEDGE_POLICY_H_
