// Logs when a daemon's copies become too old to decide requests, and when they
// no longer are.
#ifndef SRC_ENTRY_COPY_AGE_LOG_H_
#define SRC_ENTRY_COPY_AGE_LOG_H_

#include "entry/entry_state.h"
#include "entry/store_copies.h"

namespace gentianreach::entry {

class CopyAgeLog {
 public:
  CopyAgeLog(const EntryState& state, const StoreCopies& copies)
      : state_(state), copies_(copies) {}

  // Logs what has changed since the last call. The server entries have been
  // received or not.
  void Poll(bool servers_known);

 private:
  void LogConfig();
  void LogEntries(bool servers_known);

  const EntryState& state_;
  const StoreCopies& copies_;
  bool config_was_outdated_ = false;
  bool drain_bound_was_lifted_ = false;
  bool entries_were_outdated_ = false;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_COPY_AGE_LOG_H_
