// When a fenced server has surely stopped serving.
//
// A member that has adopted the record with the fence renews the lease no
// more, and every lease that it renewed before ends a lease's length after the
// answer behind its latest renewal. So a fenced server has lapsed once this
// time has passed for every member, and `Settling::RemovedLapse` for daemons
// that are members no more.
//
// A server that does not watch its lease serves what the daemons send it: each
// daemon sends until it adopts the fence, and each request ends a lease's
// length after it was sent.
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
  // `lease` already stretched by the drift.
  void SetLease(Duration lease) { lease_ = lease; }

  // Takes the record that this daemon has just adopted.
  void OnRecord(const Record& record, ObjectVersion version);

  // Notes that a daemon had adopted `version` at `now` and built its latest
  // extension for `server` on an answer received at `base` or earlier.
  void OnReport(const std::string& daemon,
                ObjectVersion version,
                const std::string& server,
                TimePoint base,
                TimePoint now);

  // Returns from when on no current member's extension of the server's lease
  // stands; nothing where members have yet to report.
  [[nodiscard]] std::optional<TimePoint> MembersLapse(
      const Record& record,
      const std::string& server) const;

  // Returns whether the server is fenced and `OnReport` for it means anything.
  [[nodiscard]] bool Awaits(const std::string& server,
                            const std::string& daemon) const;

 private:
  struct Fence {
    std::uint64_t generation = 0;
    ObjectVersion version;
    bool watches_deadline = true;
    std::map<std::string, TimePoint> lapses;  // By daemon.
  };

  Duration lease_{};
  std::map<std::string, Fence> fences_;
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_FENCE_H_
