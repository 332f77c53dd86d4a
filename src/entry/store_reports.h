// What daemons report of their own calls of the store.
#ifndef SRC_ENTRY_STORE_REPORTS_H_
#define SRC_ENTRY_STORE_REPORTS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach::entry {

// Collects whether the calls of other daemons fail, and tells whether those of
// a majority do.
//
// A daemon cannot tell a store that is lost from one that refuses it alone, nor
// whether the daemons that it does not hear are served. So its own failed calls
// count as one vote among those of all daemons that were members lately: a
// daemon that hears of few others never has a majority, unless there are no
// others.
class StoreReports {
 public:
  // At most this many other daemons have a vote, those named last: a leader and
  // the members that its heartbeats name.
  static constexpr std::size_t kMaxVoters = 13;

  // The daemons at `addresses`, none of which is this one, are members at
  // `now`. A leader without members names none.
  void OnMembers(const std::vector<std::string>& addresses, TimePoint now);
  // The daemon at `address` has reported at `at` whether its calls fail.
  void OnReport(const std::string& address, bool calls_fail, TimePoint at);
  // Returns whether the calls of a majority of the daemons, this one included,
  // failed lately. `own_calls_fail` is this daemon's vote.
  [[nodiscard]] bool DoMostCallsFail(bool own_calls_fail, TimePoint now) const;
  // Returns the addresses of the daemons with a vote.
  [[nodiscard]] std::vector<std::string> Voters() const;

 private:
  // How long a daemon keeps its vote while only others are named. Silence of
  // all takes no vote.
  static constexpr Duration kVoteTime = std::chrono::seconds(30);
  // How long a report counts.
  static constexpr Duration kReportTime = std::chrono::seconds(2);

  struct Voter {
    TimePoint named_at;
    // When it last reported that its calls fail; TimePoint{}: they do not.
    TimePoint failed_at;
  };

  // By address.
  std::map<std::string, Voter> voters_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STORE_REPORTS_H_
