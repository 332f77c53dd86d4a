// Log lines that an entry daemon writes periodically.
#ifndef SRC_ENTRY_STATUS_LOG_H_
#define SRC_ENTRY_STATUS_LOG_H_

#include "entry/send_ages.h"
#include "gentianreach/time.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

class StatusLog {
 public:
  StatusLog(const platform::PlatformClient& platform, SendAges& send_ages)
      : platform_(platform), send_ages_(send_ages) {}
  StatusLog(const StatusLog&) = delete;
  StatusLog& operator=(const StatusLog&) = delete;

  // Begins the first periods.
  void Start(TimePoint now);
  // Writes the lines that are due. Call it several times a second.
  void Poll(TimePoint now);

 private:
  // Logs how many calls of each kind this daemon has made to the store.
  void LogStoreCalls() const;
  // Logs how old the server entries were that decided the last sends.
  void LogSendAges();

  const platform::PlatformClient& platform_;
  SendAges& send_ages_;
  TimePoint store_calls_due_{};
  TimePoint send_ages_due_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STATUS_LOG_H_
