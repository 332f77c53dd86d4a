// Detects requests that crash the servers that run them.
#ifndef SRC_ENTRY_CRASH_WATCH_H_
#define SRC_ENTRY_CRASH_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "gentianreach/time.h"
#include "policy/quarantine.h"

namespace gentianreach::entry {

// A request that is refused because it crashes servers.
struct RefusedRequest {
  Fingerprint fingerprint;
  // When a server was last lost while it had the request.
  TimePoint lost_at{};
};

// Counts, for each fingerprint, the connections that were lost while a server
// had such a request. A response resets the count. Requests whose count has
// reached the limit are refused.
//
// Daemons exchange their crash reports, since the same request may arrive again
// at any of them. They also exchange which requests they refuse, since a daemon
// that has just started, or that missed a report, has not counted those losses.
class CrashWatch {
 public:
  // Limit of the requests that Refused() returns.
  static constexpr std::size_t kMaxSharedRefusals = 64;

  // Records a connection that was lost while a server had the request.
  void OnLost(Fingerprint fingerprint, TimePoint now);
  // Records such a loss at another daemon.
  void OnRemoteLoss(Fingerprint fingerprint, TimePoint now);
  // Records that another daemon refuses these requests. Has no effect on those
  // that this daemon refused until it had a response to them. Returns how many
  // are refused from now on.
  std::size_t OnRemoteRefusals(const std::vector<RefusedRequest>& requests,
                               TimePoint now);
  // Records a response to the request.
  void OnAnswered(Fingerprint fingerprint);
  // Returns whether the request must not be sent any more.
  [[nodiscard]] bool IsRefused(Fingerprint fingerprint, TimePoint now) const;
  // Returns this daemon's losses since the last call, to be sent to the others.
  [[nodiscard]] std::vector<Fingerprint> TakeLocalLosses();
  // Returns the refused requests for the other daemons, the latest first.
  // Leaves out those that are refused for a short time only, so that daemons
  // whose times differ do not renew each other's refusals for ever.
  [[nodiscard]] std::vector<RefusedRequest> Refused(TimePoint now) const;
  // Returns the same for a daemon whose digest is `digest`: none if it refuses
  // the same requests.
  [[nodiscard]] std::vector<RefusedRequest> RefusedUnknownTo(
      std::uint64_t digest,
      TimePoint now) const;
  // Returns a digest of the fingerprints that Refused() returns and of those
  // that were refused until a response came; 0 if there are none. Two daemons
  // whose digests are equal have nothing to tell each other.
  [[nodiscard]] std::uint64_t RefusalDigest(TimePoint now) const;

 private:
  struct LossCount {
    std::uint32_t losses = 0;
    TimePoint expires_at{};
  };
  struct Refusal {
    TimePoint expires_at{};
    // There was a response, so that the request is sent again. Remembered since
    // the other daemons still refuse it.
    bool lifted = false;
  };

  // Returns the count of a fingerprint, a new one if there is none.
  LossCount& CountOf(Fingerprint fingerprint, TimePoint now);
  void Count(Fingerprint fingerprint, TimePoint now);
  void Refuse(Fingerprint fingerprint, TimePoint expires_at, TimePoint now);

  std::map<Fingerprint, LossCount> loss_counts_;
  std::map<Fingerprint, Refusal> refusals_;
  std::vector<Fingerprint> unsent_losses_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_CRASH_WATCH_H_
