// Detects requests that crash the servers that run them.
#ifndef SRC_ENTRY_CRASH_WATCH_H_
#define SRC_ENTRY_CRASH_WATCH_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "gentianreach/time.h"
#include "policy/quarantine.h"

namespace gentianreach::entry {

// Counts, for each fingerprint, the connections that were lost while a server
// had such a request. A response resets the count. Requests whose count has
// reached the limit are refused.
//
// Daemons exchange their crash reports, since the same request may arrive again
// at any of them.
class CrashWatch {
 public:
  // Records a connection that was lost while a server had the request.
  void OnLost(Fingerprint fingerprint, TimePoint now);
  // Records such a loss at another daemon.
  void OnRemoteLoss(Fingerprint fingerprint, TimePoint now);
  // Records a response to the request.
  void OnAnswered(Fingerprint fingerprint);
  // Returns whether the request must not be sent any more.
  [[nodiscard]] bool IsRefused(Fingerprint fingerprint, TimePoint now) const;
  // Returns this daemon's losses since the last call, to be sent to the others.
  [[nodiscard]] std::vector<Fingerprint> TakeLocalLosses();

 private:
  struct LossCount {
    std::uint32_t count = 0;
    TimePoint expires_at{};
  };

  void Count(Fingerprint fingerprint, TimePoint now);

  std::map<Fingerprint, LossCount> loss_counts_;
  std::vector<Fingerprint> unsent_losses_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_CRASH_WATCH_H_
