// How many daemons share the servers and the budgets.
#ifndef SRC_ENTRY_MEMBER_COUNT_H_
#define SRC_ENTRY_MEMBER_COUNT_H_

#include <chrono>
#include <cstdint>

#include "gentianreach/time.h"

namespace gentianreach::entry {

// Before a leader has told, it assumes many: a daemon that has just started
// among many others must not take the whole of a budget.
//
// Follows a rise at once and a fall only when it lasts. A leader that is new,
// or does not hear some members for a while, counts too few; parts of a budget
// that were cut by that number would together exceed it.
class MemberCount {
 public:
  // Takes in what the leader counts.
  void Set(std::uint32_t members, TimePoint now) {
    if (members < members_ && now < holds_until_) {
      return;
    }
    members_ = members;
    holds_until_ = now + kLongestFall;
  }
  // Returns the number, this daemon included.
  [[nodiscard]] std::uint32_t value() const { return members_; }

 private:
  // The window of the users' retry budget: what was granted in it still counts.
  static constexpr Duration kLongestFall = std::chrono::seconds(10);

  // Fleets of the users' deployments have up to some 75 daemons.
  static constexpr std::uint32_t kAssumed = 64;

  std::uint32_t members_ = kAssumed;
  TimePoint holds_until_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_MEMBER_COUNT_H_
