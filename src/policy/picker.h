// Selection of a backend server for requests of services without keys.
#ifndef SRC_POLICY_PICKER_H_
#define SRC_POLICY_PICKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "policy/attempt.h"
#include "server/server_load.h"

namespace gentianreach {

struct PickerOptions {
  Duration warm_up = std::chrono::seconds(10);  // Settings warm_up.
  double eject_share = 0.1;                     // Settings eject_share.
  Duration initial_ejection = std::chrono::seconds(5);
  Duration max_ejection = std::chrono::minutes(5);
};

// Selects servers of one plain service at one daemon, by power of two choices.
//
// Call Add() for each server and Pick() once per attempt, and report each
// attempt sent with OnSent() and OnEnd(). Pick() draws two servers at random,
// weighted by their warm-up progress, and returns the one with the lower
// expected response time. The estimate uses the daemon's own outstanding
// requests at the server, the latency the daemon has measured, and the server's
// load reports as long as they are fresh and consistent with that latency.
//
// A server that fails or is much slower than the others is ejected, each time
// for longer. At most `eject_share` of the servers are ejected at a time, but
// at least one is allowed if the share is above zero, and the last server is
// never ejected. As long as there is a server that is not leaving, Pick()
// returns one unless all are in `tried`.
class Picker {
 public:
  Picker(PickerOptions options, std::uint64_t seed);
  Picker(const Picker&) = delete;
  Picker& operator=(const Picker&) = delete;

  // Adds a server. The share of requests of a cold server grows to its full
  // share over the warm-up time. Has no effect if the server is already known.
  void Add(const ServerId& server, bool cold, TimePoint now);
  // Removes a server; later calls of OnEnd() for its attempts are ignored.
  void Remove(const ServerId& server);
  // Sets whether a server is leaving; a leaving server gets no new requests.
  void SetLeaving(const ServerId& server, bool leaving);
  // Stores a load report that the server sent at `now`.
  void OnReport(const ServerId& server, const ServerLoad& load, TimePoint now);

  // Returns a server for one attempt that is not in `tried`, or nothing if
  // there is none.
  [[nodiscard]] std::optional<ServerId> Pick(std::span<const ServerId> tried,
                                             TimePoint now);
  // Counts an attempt as outstanding.
  void OnSent(const ServerId& server);
  // Records the end of an attempt that took `latency`.
  void OnEnd(const ServerId& server,
             AttemptEnd end,
             Duration latency,
             TimePoint now);

  // Returns the servers that are ejected at `now`.
  [[nodiscard]] std::vector<ServerId> Ejected(TimePoint now) const;
  // Returns the end of the ejection of `server`, if it is ejected.
  [[nodiscard]] std::optional<TimePoint> EjectedUntil(const ServerId& server,
                                                      TimePoint now) const;
  // Returns the selection weight of `server` relative to a warm server, in
  // (0, 1].
  [[nodiscard]] double WarmUpWeight(const ServerId& server,
                                    TimePoint now) const;

 private:
  struct Report {
    ServerLoad load;
    TimePoint at{};
    // Own attempts outstanding at that time.
    std::uint32_t own_outstanding = 0;
  };
  struct Server {
    bool leaving = false;
    TimePoint cold_until{};
    std::uint32_t outstanding = 0;
    // Smoothed latency of own attempts in seconds, and the number of responses
    // since the server was added or last ejected.
    double latency_s = 0;
    std::uint32_t responses = 0;
    TimePoint latency_at{};
    // Until this time the server is assumed to be full because it has shed.
    TimePoint shed_penalty_until{};
    // Smoothed share of failed attempts, the number of attempts, and the number
    // of consecutive failures.
    double failure_share = 0;
    std::uint32_t attempts = 0;
    std::uint32_t consecutive_failures = 0;
    // Number of consecutive attempt ends after which the server was much slower
    // than the others.
    std::uint32_t consecutive_slow = 0;
    // Number of ejections; restarts at zero after `ejections_reset_at`.
    std::uint32_t ejections = 0;
    TimePoint ejected_until{};
    TimePoint ejections_reset_at{};
    std::optional<Report> report;
  };
  struct Candidate {
    const ServerId* id;
    const Server* server;
    double weight;
  };

  [[nodiscard]] std::vector<Candidate> Candidates(
      std::span<const ServerId> tried,
      bool with_ejected,
      TimePoint now) const;
  [[nodiscard]] std::size_t Draw(const std::vector<Candidate>& candidates,
                                 std::size_t except);
  [[nodiscard]] double WarmUpWeight(const Server& server, TimePoint now) const;
  [[nodiscard]] double TypicalLatency() const;
  [[nodiscard]] double Cost(const Server& server,
                            double typical_s,
                            TimePoint now) const;
  [[nodiscard]] double LoadFromOthers(const Server& server,
                                      TimePoint now) const;
  [[nodiscard]] bool Contradicts(const Server& server,
                                 const ServerLoad& load) const;
  void AddLatencySample(Server& server, Duration latency, TimePoint now);
  void RecordOutcome(Server& server, bool failed);
  [[nodiscard]] bool IsFailing(const Server& server) const;
  [[nodiscard]] bool IsSlow(const ServerId& id, const Server& server) const;
  [[nodiscard]] bool MayEject(TimePoint now) const;
  void Eject(Server& server, TimePoint now);

  PickerOptions options_;
  std::mt19937_64 random_;
  std::map<ServerId, Server> servers_;
};

}  // namespace gentianreach

#endif  // SRC_POLICY_PICKER_H_
