// Checks which versions of the configuration the daemons go by.
//
// Version N of the soak's configuration has a route that no other version has,
// so that each answer to a request for it shows whether N was in force. Bounds
// apply to daemons in touch: those that no fault has affected for kStability,
// while the store was stable for as long. While the store is disturbed, but
// neither down nor slow, and loses no answers, the bound is longer by kStretch.
#ifndef SOAK_CONFIG_CHECKER_H_
#define SOAK_CONFIG_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gentianreach/time.h"
#include "soak/disturbances.h"

namespace gentianreach::soak {

// The answer to a request for the route of one version.
struct ConfigAnswer {
  std::size_t daemon = 0;
  // 0 stands for the routes that all versions have.
  std::uint64_t version = 0;
  int status = 0;
  TimePoint sent;
  TimePoint received;
};

class ConfigChecker {
 public:
  // Bounds of the users' deployments: `configApplyMs`, `maxStretchMs`,
  // `stabilityMs` and `downgradeMs`.
  static constexpr Duration kApplyTime = std::chrono::milliseconds(2500);
  static constexpr Duration kStretch = std::chrono::milliseconds(5000);
  static constexpr Duration kStability = std::chrono::milliseconds(3000);
  static constexpr Duration kDowngradeTime = std::chrono::milliseconds(250);
  // Number of requests on added routes from which their share of successes is
  // judged, and the least part of the first routes' share that it must be.
  static constexpr std::size_t kJudgedRequests = 20;
  static constexpr double kLeastPart = 0.25;

  // The version is being written to the store.
  void OnWritten(std::uint64_t version, TimePoint at);
  // The store has accepted the version.
  void OnAccepted(std::uint64_t version, TimePoint at);
  // The version is invalid, so that no daemon may go by it.
  void OnInvalid(std::uint64_t version) { invalid_.insert(version); }
  // A new incarnation of the daemon starts, which knows no version.
  void OnStart(std::size_t daemon) { seen_.erase(daemon); }
  // The daemon is not in touch from `from` until kStability after `to`.
  void AddDisturbance(std::size_t daemon, TimePoint from, TimePoint to) {
    disturbances_.Add(daemon, from, to);
  }
  // The store is not stable from `from` until kStability after `to`.
  void AddStoreDisturbance(TimePoint from, TimePoint to) {
    store_.Add(0, from, to);
  }
  // The store is down or slow, or loses answers: the longer bound does not
  // apply.
  void AddStoreOutage(TimePoint from, TimePoint to) {
    store_outages_.Add(0, from, to);
  }
  void OnAnswer(const ConfigAnswer& answer);
  // Checks that added routes are served as often as the first ones. Called once
  // at the end.
  void CheckShares();

  // Returns the latest version that was in force at the daemon since its start,
  // or 0.
  [[nodiscard]] std::uint64_t LatestInForce(std::size_t daemon) const {
    const auto it = seen_.find(daemon);
    return it == seen_.end() ? 0 : it->second.version;
  }

  // Returns a description of each violation.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  // Returns the number of answers that showed a version in force or not.
  [[nodiscard]] std::size_t answers() const { return answers_; }
  // Returns how many of them were from daemons in touch.
  [[nodiscard]] std::size_t answers_in_touch() const {
    return answers_in_touch_;
  }
  // Returns how many answers the longer bound applied to.
  [[nodiscard]] std::size_t answers_stretched() const {
    return answers_stretched_;
  }

 private:
  struct Version {
    TimePoint written;
    std::optional<TimePoint> accepted;
  };
  // A version that was in force at `at`.
  struct SeenVersion {
    std::uint64_t version = 0;
    TimePoint at;
  };
  struct Share {
    std::size_t requests = 0;
    std::size_t served = 0;
  };

  void CheckRouted(const ConfigAnswer& answer);
  void CheckDenied(const ConfigAnswer& answer);
  void CountShare(const ConfigAnswer& answer);
  [[nodiscard]] bool IsInTouch(const ConfigAnswer& answer) const;
  // Returns whether no fault of the daemon itself has affected it.
  [[nodiscard]] bool IsCalm(const ConfigAnswer& answer) const;
  // Returns the latest version that the daemon must go by in `answer`, or 0.
  [[nodiscard]] std::uint64_t RequiredVersion(const ConfigAnswer& answer) const;
  // Returns the latest version that was accepted `bound` before `at`, or 0.
  [[nodiscard]] std::uint64_t InForceAt(TimePoint at, Duration bound) const;
  // Returns whether a later version was written before `at`.
  [[nodiscard]] bool HasLater(std::uint64_t version, TimePoint at) const;
  void Report(const ConfigAnswer& answer, const std::string& what);

  std::map<std::uint64_t, Version> versions_;
  std::set<std::uint64_t> invalid_;
  // By daemon.
  std::map<std::size_t, SeenVersion> seen_;
  Disturbances disturbances_;
  Disturbances store_;
  Disturbances store_outages_;
  Share first_routes_;
  Share added_routes_;
  std::vector<std::string> violations_;
  std::size_t answers_ = 0;
  std::size_t answers_in_touch_ = 0;
  std::size_t answers_stretched_ = 0;
};

}  // namespace gentianreach::soak

#endif  // SOAK_CONFIG_CHECKER_H_
