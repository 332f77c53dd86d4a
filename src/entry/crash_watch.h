// Recognises requests that crash the servers that run them.
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
// worked on such a request, less those that were answered. One that was lost
// several times and never answered is refused.
//
// Daemons tell each other their crash reports, since the same request comes
// again at any of them.
class CrashWatch {
 public:
  // A connection broke while the request was at a server.
  void OnLost(Fingerprint fingerprint, TimePoint now);
  // Another daemon had such a loss.
  void OnLostElsewhere(Fingerprint fingerprint, TimePoint now);
  // A server answered the request.
  void OnAnswered(Fingerprint fingerprint);
  // Returns whether the request should not be sent any more.
  [[nodiscard]] bool IsRefused(Fingerprint fingerprint, TimePoint now) const;
  // Returns the losses since the last call.
  [[nodiscard]] std::vector<Fingerprint> TakeLosses();

 private:
  struct Strikes {
    std::uint32_t count = 0;
    TimePoint expires_at{};
  };

  void Count(Fingerprint fingerprint, TimePoint now);

  std::map<Fingerprint, Strikes> strikes_;
  std::vector<Fingerprint> losses_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_CRASH_WATCH_H_
