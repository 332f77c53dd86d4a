// Choice of a backend server for requests of services without keys.
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
  Duration first_ejection = std::chrono::seconds(5);
  Duration longest_ejection = std::chrono::minutes(5);
};

// Chooses servers of one plain service at one daemon.
//
// Add() each server, then ask Pick() once per attempt and tell the end of each
// attempt sent with OnSent() and OnEnd(). Two servers are drawn at random, in
// proportion to how warm they are, and the one that would answer sooner is
// taken: by the daemon's own outstanding requests there, by the latency it has
// seen itself, and by the server's reports as long as they are fresh and agree
// with that latency.
//
// A server that fails or is much slower than the others is put aside, each
// time for longer. At most `eject_share` of the servers, but at least one
// where the share is above zero, is put aside at a time, and never the last:
// while a server that is not leaving exists, Pick() returns one unless all are
// in `tried`.
class Picker {
 public:
  Picker(PickerOptions options, std::uint64_t seed);
  Picker(const Picker&) = delete;
  Picker& operator=(const Picker&) = delete;

  // Adds a server. A cold one gets a share of requests that grows to the full
  // one over the warm-up time. Has no effect on a server already there.
  void Add(const ServerId& server, bool cold, TimePoint now);
  // Forgets a server; ends of its attempts are ignored from then on.
  void Remove(const ServerId& server);
  // Gives a server no new work from now on, or takes that back.
  void SetLeaving(const ServerId& server, bool leaving);
  // Takes in a report that the server sent at `now`.
  void OnReport(const ServerId& server, const ServerLoad& load, TimePoint now);

  // Returns a server for one attempt, none of those in `tried`. Returns
  // nothing where there is none.
  [[nodiscard]] std::optional<ServerId> Pick(std::span<const ServerId> tried,
                                             TimePoint now);
  // Counts an attempt as outstanding.
  void OnSent(const ServerId& server);
  // Ends an attempt that took `latency`.
  void OnEnd(const ServerId& server,
             AttemptEnd end,
             Duration latency,
             TimePoint now);

  // Returns the servers put aside at `now`.
  [[nodiscard]] std::vector<ServerId> Ejected(TimePoint now) const;
  // Returns until when `server` is put aside, if it is.
  [[nodiscard]] std::optional<TimePoint> EjectedUntil(const ServerId& server,
                                                      TimePoint now) const;
  // Returns the share of a full server's requests that `server` gets, in
  // (0, 1].
  [[nodiscard]] double Warmth(const ServerId& server, TimePoint now) const;

 private:
  struct Report {
    ServerLoad load;
    TimePoint at{};
    std::uint32_t own = 0;  // Own outstanding attempts at that time.
  };
  struct Server {
    bool leaving = false;
    TimePoint cold_until{};
    std::uint32_t outstanding = 0;
    // Smoothed latency by own attempts in seconds, and their number since the
    // server came or was put aside.
    double latency_s = 0;
    std::uint32_t responses = 0;
    TimePoint latency_at{};
    // Held to be full after it shed.
    TimePoint full_until{};
    // Smoothed share of failed attempts, and failures in a row.
    double failure_share = 0;
    std::uint32_t attempts = 0;
    std::uint32_t failures_in_row = 0;
    // Responses in a row after which it was much slower than the others.
    std::uint32_t slow_in_row = 0;
    // Ejections since the last time without any.
    std::uint32_t ejections = 0;
    TimePoint ejected_until{};
    TimePoint forgiven_at{};
    std::optional<Report> report;
  };
  struct Candidate {
    const ServerId* id;
    const Server* server;
    double warmth;
  };

  [[nodiscard]] std::vector<Candidate> Candidates(
      std::span<const ServerId> tried,
      bool with_ejected,
      TimePoint now) const;
  [[nodiscard]] std::size_t Draw(const std::vector<Candidate>& candidates,
                                 std::size_t except);
  [[nodiscard]] double Warmth(const Server& server, TimePoint now) const;
  [[nodiscard]] double TypicalLatency() const;
  [[nodiscard]] double Cost(const Server& server,
                            double typical_s,
                            TimePoint now) const;
  [[nodiscard]] double ForeignLoad(const Server& server, TimePoint now) const;
  [[nodiscard]] bool Contradicts(const Server& server,
                                 const ServerLoad& load) const;
  void Sample(Server& server, Duration latency, TimePoint now);
  void CountFailure(Server& server, bool failed);
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
