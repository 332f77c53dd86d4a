// The number of entry daemons that share the servers and the budgets.
#ifndef SRC_ENTRY_MEMBER_COUNT_H_
#define SRC_ENTRY_MEMBER_COUNT_H_

#include <chrono>
#include <cstdint>

#include "gentianreach/time.h"

namespace gentianreach::entry {

// Until the leader has reported a number, a large one is assumed, so that a
// daemon that has just started does not use a whole budget that it shares with
// others.
//
// A larger number takes effect immediately, a smaller one only if it lasts. A
// leader that is new, or misses the messages of some members for a while,
// counts too few. If the daemons divided a budget by that number, their shares
// would exceed the budget.
class MemberCount {
 public:
  // Deployments of the users have up to a few hundred daemons.
  static constexpr std::uint32_t kAssumedMembers = 512;

  // Handles the number of members that the leader reported.
  void Set(std::uint32_t members, TimePoint now) {
    if (members < members_ && now < fall_ignored_until_) {
      return;
    }
    members_ = members;
    fall_ignored_until_ = now + kFallDelay;
  }
  // Returns the number of daemons, including this one.
  [[nodiscard]] std::uint32_t value() const { return members_; }

 private:
  // How long a smaller number has to last. Equal to the window of the users'
  // retry budget, because retries granted within the window still count.
  static constexpr Duration kFallDelay = std::chrono::seconds(10);

  std::uint32_t members_ = kAssumedMembers;
  TimePoint fall_ignored_until_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_MEMBER_COUNT_H_
