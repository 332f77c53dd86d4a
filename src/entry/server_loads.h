// How busy each backend server is, as one daemon can tell.
#ifndef SRC_ENTRY_SERVER_LOADS_H_
#define SRC_ENTRY_SERVER_LOADS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// What a server says of itself with an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

// Parses "running,waiting,slots"; nothing where it is anything else.
[[nodiscard]] std::optional<LoadReport> ParseLoadReport(std::string_view text);

// How an attempt at a server ended.
enum class AttemptResult : std::uint8_t {
  kAnswered,     // Its own answer, other than an error of its own.
  kServerError,  // Its own answer, an error.
  kRejected,     // It refused to run the request.
  kBroken,       // No answer, or not a whole one.
  kUnreachable,  // No connection.
  kCancelled,    // Ended by this daemon or the caller.
};

// Returns the result as log lines name it.
[[nodiscard]] std::string_view ToString(AttemptResult result);

// Estimates when each server would have answered one more request: by the
// daemon's own requests there, what the server reported with its last answers
// about those of the others, and the time that its answers take.
//
// The answer's latency is an estimate from few samples, so all times are
// smoothed. A server that fails is avoided for a time that doubles with every
// further failure.
class ServerLoads {
 public:
  void OnSent(const ServerId& server);
  void OnEnd(const ServerId& server,
             AttemptResult result,
             Duration latency,
             const std::optional<LoadReport>& report,
             TimePoint now);
  void Forget(const ServerId& server) { states_.erase(server); }
  // Takes in what another daemon has seen: `requests` took `total` while they
  // were processed.
  void OnOtherSample(const ServerId& server,
                     std::uint32_t requests,
                     Duration total,
                     TimePoint now);
  // What was seen of a server since the last call.
  struct Sample {
    std::uint32_t requests = 0;
    Duration total{};
  };
  [[nodiscard]] std::unordered_map<ServerId, Sample> TakeSamples() {
    return std::exchange(samples_, {});
  }

  // Returns how long one more request would take at `server`.
  [[nodiscard]] Duration ExpectedLatency(const routing::BackendServer& server,
                                         TimePoint now) const;
  // Returns the requests at the server per slot, as far as known.
  [[nodiscard]] double Utilization(const routing::BackendServer& server,
                                   TimePoint now) const;
  // Returns by which factor a server is less attractive than its latency says,
  // after failures; 1 for a sound one.
  [[nodiscard]] double FailurePenalty(const ServerId& server,
                                      TimePoint now) const;
  // Returns how long a request takes there once it is being processed.
  [[nodiscard]] Duration ProcessingTime(const routing::BackendServer& server,
                                        TimePoint now) const;
  // Returns how long a request usually takes at any server.
  [[nodiscard]] Duration UsualTime() const;
  // Returns whether it should be left alone after failures.
  [[nodiscard]] bool IsAvoided(const ServerId& server, TimePoint now) const;
  // Returns whether the server has room for one more.
  [[nodiscard]] bool HasRoom(const routing::BackendServer& server,
                             TimePoint now) const;
  // Returns requests per second that the server completes.
  [[nodiscard]] double Capacity(const routing::BackendServer& server,
                                TimePoint now) const;
  // Returns when the server last answered anything.
  [[nodiscard]] TimePoint last_response(const ServerId& server) const;

 private:
  struct State {
    std::uint32_t own = 0;
    // Smoothed number of requests of other daemons there, when it last
    // reported them.
    double others = 0;
    TimePoint reported_at{};
    double processing_s = 0;  // 0: not known.
    TimePoint processed_at{};
    std::uint32_t failures = 0;
    double error_share = 0;
    TimePoint judged_at{};
    TimePoint avoided_until{};
    TimePoint last_response{};
  };

  // Returns the requests of all daemons at the server.
  [[nodiscard]] static double Present(const State& state, TimePoint now);
  // Returns the estimate for a server, which loses its meaning without news;
  // null: for any server.
  [[nodiscard]] double ProcessingSeconds(const State* state,
                                         TimePoint now) const;
  [[nodiscard]] const State* Find(const ServerId& server) const;

  void AddProcessingSample(State& state, double seconds, TimePoint now);

  std::unordered_map<ServerId, State> states_;
  std::unordered_map<ServerId, Sample> samples_;
  // Of all servers, for those that are not known yet.
  double usual_s_ = 0;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_LOADS_H_
