// Logs when a daemon's copy of the store becomes outdated.
#ifndef SRC_ENTRY_COPY_AGE_LOG_H_
#define SRC_ENTRY_COPY_AGE_LOG_H_

#include <string>
#include <utility>

#include "base/log.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// Writes one line when a copy becomes outdated and one when it no longer is:
// `NAME_outdated` and `NAME_current`.
class CopyAgeLog {
 public:
  explicit CopyAgeLog(std::string name) : name_(std::move(name)) {}

  // The copy contains all changes up to `current_at` and may be used until
  // `valid_until`. `detail` is part of the line.
  void Update(TimePoint current_at,
              TimePoint valid_until,
              const LogField& detail,
              TimePoint now) {
    const bool outdated = now >= valid_until;
    if (std::exchange(was_outdated_, outdated) == outdated) {
      return;
    }
    Log(outdated ? LogLevel::kWarning : LogLevel::kInfo,
        name_ + (outdated ? "_outdated" : "_current"),
        {detail, {"copy_age_ms", MillisecondsBetween(current_at, now)}});
  }

 private:
  const std::string name_;
  bool was_outdated_ = false;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_COPY_AGE_LOG_H_
