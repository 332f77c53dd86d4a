// Computes when a fenced server is certain to have stopped serving.
//
// A member stops renewing the server's lease when it adopts the record with the
// fence. The leases that it renewed before end one lease duration after the
// response on which its latest renewal was based. The server has stopped once
// that time has passed for every member, and
// `ViewRetirement::RemovedMemberLeaseExpiry` for the daemons that are no longer
// members.
//
// A server that does not watch its lease serves whatever the daemons send it.
// Each daemon sends until it adopts the fence, and each request ends one lease
// duration after it was sent.
#ifndef SRC_CELL_FENCE_H_
#define SRC_CELL_FENCE_H_

#include <map>
#include <optional>
#include <string>

#include "cell/record.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::cell {

class FenceTable {
 public:
  // `lease` must already include the allowance for clock drift.
  void SetLease(Duration lease) { lease_ = lease; }

  // Handles the adoption of `record` by this daemon.
  void OnRecord(const Record& record, ObjectVersion version);

  // Handles a report that a daemon had adopted `version` by `now` and that its
  // latest lease extension for `server` was based on a response received at
  // `base` or earlier.
  void OnReport(const std::string& daemon,
                ObjectVersion version,
                const std::string& server,
                TimePoint base,
                TimePoint now);

  // Returns when all lease extensions by current members have expired, or
  // nullopt while a member's report is missing.
  [[nodiscard]] std::optional<TimePoint> MemberLeaseExpiry(
      const Record& record,
      const std::string& server) const;

  // Returns whether the server is fenced and the daemon's report is missing.
  [[nodiscard]] bool AwaitsReport(const std::string& server,
                                  const std::string& daemon) const;

 private:
  struct Fence {
    std::uint64_t generation = 0;
    ObjectVersion version;
    bool watches_deadline = true;
    std::map<std::string, TimePoint> expiries;  // By daemon.
  };

  Duration lease_{};
  std::map<std::string, Fence> fences_;
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_FENCE_H_
