// Checks that no two servers hold the same keys, from the orders that servers
// report, whether or not requests run.
#ifndef SOAK_HOLDINGS_CHECKER_H_
#define SOAK_HOLDINGS_CHECKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach::soak {

// A grant or a release, as carried out by a server.
struct ObservedOrder {
  // The incarnation of the server.
  std::string server;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  // 0 for a release.
  std::uint64_t token = 0;
  TimePoint at;
  // When the lease ends; unused for a release.
  TimePoint until;
  // The order may have been held up on its way, or carried out late.
  bool delayed = false;
};

class HoldingsChecker {
 public:
  // Time for which two servers may hold the same keys.
  static constexpr Duration kTolerance = std::chrono::milliseconds(500);

  // Follows the holders of each of `keys`.
  explicit HoldingsChecker(const std::vector<std::uint32_t>& keys);

  void OnOrder(const ObservedOrder& order);
  // The server has ended at `at`.
  void OnEnd(const std::string& server, TimePoint at);
  // Checks what was reported before `until`. All reports up to then must have
  // been received.
  void Check(TimePoint until);

  // Returns a description of each violation.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  // Returns the number of orders that were checked.
  [[nodiscard]] std::size_t orders() const { return orders_; }
  // Returns the number of orders that may have been held up.
  [[nodiscard]] std::size_t delayed_orders() const { return delayed_orders_; }
  // Returns how many pairs of servers held a key together by an order that may
  // have been held up.
  [[nodiscard]] std::size_t excused_pairs() const { return excused_.size(); }

 private:
  struct Span {
    TimePoint since;
    TimePoint until;

    void Extend(const ObservedOrder& order);
  };
  struct Hold {
    std::uint64_t token = 0;
    // By orders that count.
    Span judged;
    // By all orders.
    Span any;
  };
  using Holds = std::map<std::string, Hold>;

  void Apply(const ObservedOrder& order);
  void Grant(std::uint32_t key, Holds& holds, const ObservedOrder& order);
  // Removes the holds of `key` that have ended at `now`, and reports those that
  // were at the same time.
  void Expire(std::uint32_t key, Holds& holds, TimePoint now);
  // Removes the hold of `server`, which ends at `at`.
  void Remove(std::uint32_t key,
              Holds& holds,
              const std::string& server,
              TimePoint at);
  // Reports servers that hold `key` together with `server` until `end`.
  void CheckOverlap(std::uint32_t key,
                    const Holds& holds,
                    const std::string& server,
                    TimePoint end);

  // By key.
  std::map<std::uint32_t, Holds> holds_;
  // The highest token of each key, and the server that has had it.
  std::map<std::uint32_t, std::pair<std::uint64_t, std::string>> highest_;
  // Orders that have not been checked yet; the end of a server is an order with
  // `last` below `first`.
  std::multimap<TimePoint, ObservedOrder> pending_;
  // Pairs of servers that were reported.
  std::set<std::pair<std::string, std::string>> reported_;
  // Pairs of servers that were not reported, as their orders may be late.
  std::set<std::pair<std::string, std::string>> excused_;
  std::vector<std::string> violations_;
  std::size_t orders_ = 0;
  std::size_t delayed_orders_ = 0;
};

}  // namespace gentianreach::soak

#endif  // SOAK_HOLDINGS_CHECKER_H_
