// Checks that no request reaches a server that has left.
//
// Bounds apply to requests that a daemon in touch took from the caller and a
// daemon in touch sent to the server: no fault has affected them for
// kStability, nor the server or the links to it, nor the store, which was
// stable when it accepted the server's "draining", too.
#ifndef SOAK_DRAIN_CHECKER_H_
#define SOAK_DRAIN_CHECKER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/time.h"
#include "soak/disturbances.h"

namespace gentianreach::soak {

// A run of a request, and how the request came to the server.
struct DeliveredRun {
  std::string request_id;
  // The server, and its incarnation.
  std::size_t server = 0;
  std::string incarnation;
  // The daemon that took the request from the caller, and the one that sent it
  // to the server. A run is not judged unless both are known.
  std::optional<std::size_t> taken_by;
  std::optional<std::size_t> sent_by;
  TimePoint at;
};

class DrainChecker {
 public:
  // Bounds of the users' deployments: `drainMs` and `stabilityMs`.
  static constexpr Duration kDrainTime = std::chrono::milliseconds(2500);
  static constexpr Duration kStability = std::chrono::milliseconds(3000);

  // The store has accepted that the incarnation of a server is draining.
  void OnDraining(const std::string& incarnation, TimePoint accepted);
  // Runs of an incarnation are reported after its OnDraining(), if they began
  // after that.
  void OnRun(const DeliveredRun& run);
  // A fault affects a daemon, a server or its link, or the store.
  void AddDaemonDisturbance(std::size_t daemon, TimePoint from, TimePoint to) {
    daemons_.Add(daemon, from, to);
  }
  void AddServerDisturbance(std::size_t server, TimePoint from, TimePoint to) {
    servers_.Add(server, from, to);
  }
  void AddStoreDisturbance(TimePoint from, TimePoint to) {
    store_.Add(0, from, to);
  }
  // Checks the runs before `until`. All disturbances up to then must have been
  // reported.
  void Check(TimePoint until);

  // Returns a description of each violation.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  // Returns the number of servers that left.
  [[nodiscard]] std::size_t drains() const { return accepted_.size(); }
  // Returns the number of runs after a server's "draining" was accepted.
  [[nodiscard]] std::size_t runs() const { return runs_; }
  // Returns how many of them were late, excused ones included.
  [[nodiscard]] std::size_t late_runs() const { return late_runs_; }
  // Returns how many late runs have been excused. Those judged are violations.
  [[nodiscard]] std::size_t excused_runs() const { return excused_runs_; }
  // Returns for how many of the servers that left the store was stable until
  // the bound, so that it excuses no run that is just late.
  [[nodiscard]] std::size_t DrainsInStableStore() const;

 private:
  [[nodiscard]] bool IsExcused(const DeliveredRun& run,
                               TimePoint accepted) const;

  // When the store accepted the entry, by incarnation.
  std::map<std::string, TimePoint> accepted_;
  // Late runs that have not been checked yet.
  std::multimap<TimePoint, DeliveredRun> pending_;
  Disturbances daemons_;
  Disturbances servers_;
  Disturbances store_;
  std::vector<std::string> violations_;
  std::size_t runs_ = 0;
  std::size_t late_runs_ = 0;
  std::size_t excused_runs_ = 0;
};

}  // namespace gentianreach::soak

#endif  // SOAK_DRAIN_CHECKER_H_
