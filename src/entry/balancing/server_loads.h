// Load, latency and failures of each backend server, as seen by one daemon.
#ifndef SRC_ENTRY_BALANCING_SERVER_LOADS_H_
#define SRC_ENTRY_BALANCING_SERVER_LOADS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "entry/balancing/load_report.h"
#include "entry/balancing/processing_times.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// How an attempt at a server ended.
enum class AttemptResult : std::uint8_t {
  kAnswered,     // A response that is not a server error.
  kServerError,  // A server error response.
  kRejected,     // The server refused to run the request.
  kBroken,       // No response, or an incomplete or invalid one.
  kUnreachable,  // No connection to the server.
  kCancelled,    // Cancelled by this daemon or the caller.
};

// Returns the name of the result in log lines.
[[nodiscard]] std::string_view ToString(AttemptResult result);

// Estimates how long each server would take to answer one more request, from
// this daemon's own requests in flight, the load that the server reported with
// its latest responses (the requests of other daemons), and its processing
// time. Processing times are those at the server's usual speed, multiplied by
// how much the slowdown that it last reported exceeds its usual one. Where the
// routes of a service take different times, they depend on the route of the
// request.
//
// Each estimate rests on few samples, so all times are smoothed. A server that
// fails is avoided for a time that doubles with every further failure.
class ServerLoads {
 public:
  // Records the start of an attempt at `server`.
  void OnSent(const ServerId& server);
  // Records the end of an attempt that took `latency`; nullopt if it says
  // nothing about the server, because the path to it was lost meanwhile.
  void OnEnd(const ServerId& server,
             AttemptResult result,
             std::optional<Duration> latency,
             const std::optional<LoadReport>& report,
             TimePoint now,
             const RequestKind& kind = {});
  // Records that an attempt at `server` had taken `elapsed` when it was
  // cancelled, since another server had answered before: if the processing time
  // is estimated lower, that is a sample. Otherwise the servers whose attempts
  // are cancelled for being slow would not look slow.
  void OnBeaten(const routing::BackendServer& server,
                Duration elapsed,
                TimePoint now,
                const RequestKind& kind = {});
  // Drops all state of a server that no longer exists.
  void Forget(const ServerId& server) {
    states_.erase(server);
    times_.Forget(server);
  }
  // Records samples of another daemon: `requests` to a server of `service` had
  // a processing time of `total` together.
  void OnRemoteSamples(const ServerId& server,
                       std::uint32_t requests,
                       Duration total,
                       TimePoint now,
                       std::string_view service = {});
  // Records a report that the server sent at `at` with a response to another
  // daemon, unless a later one is known. Returns whether it is used. Its queue
  // decays sooner than that of an own report, except for HasRoom().
  bool OnSharedReport(const routing::BackendServer& server,
                      std::uint32_t requests,
                      std::optional<double> slowdown,
                      TimePoint at);
  // Called for each report with a response to this daemon, if set.
  std::function<void(const ServerId&, const LoadReport&, TimePoint)> on_report;
  // Processing times of one server since the last call of TakeSamples(), at its
  // usual speed, for requests of its service's mix.
  struct Sample {
    std::uint32_t requests = 0;
    Duration total{};
  };
  // Returns the samples since the last call, to be sent to other daemons.
  [[nodiscard]] std::unordered_map<ServerId, Sample> TakeSamples() {
    return std::exchange(samples_, {});
  }

  // Returns how long one more request of `route` would take at `server`,
  // queueing included; of any route if it is empty.
  [[nodiscard]] Duration ExpectedLatency(const routing::BackendServer& server,
                                         TimePoint now,
                                         std::string_view route = {}) const;
  // Returns the estimated number of requests at the server per slot.
  [[nodiscard]] double Utilization(const routing::BackendServer& server,
                                   TimePoint now) const;
  // Returns the factor by which recent failures worsen the server's score; 1
  // for a healthy server.
  [[nodiscard]] double FailurePenalty(const ServerId& server,
                                      TimePoint now) const;
  // Returns how long the server processes a request of `route`, or of any route
  // if it is empty, without queueing.
  [[nodiscard]] Duration ProcessingTime(const routing::BackendServer& server,
                                        TimePoint now,
                                        std::string_view route = {}) const;
  // Returns the average processing time over all servers.
  [[nodiscard]] Duration AverageProcessingTime(TimePoint now) const;
  // Returns whether the server is avoided after failures.
  [[nodiscard]] bool IsAvoided(const ServerId& server, TimePoint now) const;
  // Returns whether one more request would find a free slot, by the estimated
  // number of requests there, rounded.
  [[nodiscard]] bool HasFreeSlot(const routing::BackendServer& server,
                                 TimePoint now) const;
  // Returns whether the server can take one more request.
  [[nodiscard]] bool HasRoom(const routing::BackendServer& server,
                             TimePoint now) const;
  // Returns how many requests per second the server can complete at its usual
  // speed.
  [[nodiscard]] double Capacity(const routing::BackendServer& server,
                                TimePoint now) const;
  // Returns the time of the server's last response to any request.
  [[nodiscard]] TimePoint last_response(const ServerId& server) const;

 private:
  struct State {
    // This daemon's requests at the server.
    std::uint32_t own_requests = 0;
    // Smoothed number of other daemons' requests at the server, at the time of
    // its last report to any daemon that is known.
    double other_requests = 0;
    TimePoint reported_at{};
    // Whether that was another daemon.
    bool shared = false;
    // The last reported slowdown, as a multiple of the server's usual one.
    double slowdown = 1;
    TimePoint slowdown_at{};
    // Average of the reported slowdowns, and their number.
    double usual_slowdown = 0;
    std::uint32_t slowdown_reports = 0;
    // Connection failures in a row.
    std::uint32_t failures = 0;
    // Smoothed share of attempts that failed, at `error_share_at`.
    double error_share = 0;
    TimePoint error_share_at{};
    TimePoint avoided_until{};
    TimePoint last_response{};
  };

  // Returns the estimated number of requests of all daemons at the server.
  [[nodiscard]] static double RequestsAtServer(const State& state,
                                               TimePoint now);
  // Records a slowdown that the server reports. Returns it as a multiple of the
  // server's usual one, or 1 while that is not known.
  static double RecordSlowdown(State& state, double reported, TimePoint now);
  // Returns `reported` as a multiple of the server's usual slowdown, or 1 while
  // that is not known.
  [[nodiscard]] static double RelativeSlowdown(const State& state,
                                               double reported);
  // Returns the factor by which the server's machine is slower than usual now.
  [[nodiscard]] static double Slowdown(const State& state, TimePoint now);
  [[nodiscard]] const State* Find(const ServerId& server) const;

  std::unordered_map<ServerId, State> states_;
  std::unordered_map<ServerId, Sample> samples_;
  ProcessingTimes times_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_SERVER_LOADS_H_
