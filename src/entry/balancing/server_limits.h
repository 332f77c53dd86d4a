// Limits that servers name for the requests of all daemons together, with this
// daemon's share of them, and rests that servers ask of this daemon.
#ifndef SRC_ENTRY_BALANCING_SERVER_LIMITS_H_
#define SRC_ENTRY_BALANCING_SERVER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// Returns the limit in `text`, a decimal number of requests per second, or
// nullopt if `text` is anything else.
[[nodiscard]] std::optional<double> ParseLimit(std::string_view text);

// A rest binds only the daemon that the server has asked.
//
// Each daemon sends a server an equal part of the requests that it takes. The
// parts need no messages between the daemons, so that a limit holds from the
// response that names it, whoever leads.
//
// A part is a token bucket that holds the requests of one second and at least
// one. All daemons together thus send at most the limit on average; after a
// pause they may send what the limit allows in one second, or one request each,
// at once.
class ServerLimits {
 public:
  // `seed` spreads the first requests of daemons that learn of a limit at the
  // same time.
  explicit ServerLimits(std::uint32_t seed) : generator_(seed) {}

  // Sets the number of daemons, including this one.
  void SetMembers(std::uint32_t members, TimePoint now);
  // `server` takes `per_second` requests per second from all daemons together.
  // Returns whether that is news.
  bool Set(const ServerId& server, double per_second, TimePoint now);
  // `server` names no limit any more. Returns whether it had one.
  bool Clear(const ServerId& server);
  // `server` wants no requests from this daemon until `until`.
  void SetRest(const ServerId& server, TimePoint until);
  // `server` is gone, or has started again.
  void Forget(const ServerId& server);
  // Counts a request that is sent to `server`.
  void OnSent(const ServerId& server, TimePoint now);

  // Returns when this daemon may send `server` its next request; not after
  // `now` if it may at once.
  [[nodiscard]] TimePoint NextSend(const ServerId& server, TimePoint now) const;
  // Returns the number of servers that name a limit.
  [[nodiscard]] std::size_t size() const { return buckets_.size(); }
  // Returns the number of servers that have a rest.
  [[nodiscard]] std::size_t CountResting(TimePoint now) const;

 private:
  struct Bucket {
    double limit = 0;   // Requests per second of all daemons.
    double tokens = 0;  // At `updated_at`.
    TimePoint updated_at;
  };

  // Returns this daemon's part of the limit in requests per second.
  [[nodiscard]] double Rate(const Bucket& bucket) const;
  [[nodiscard]] double TokensAt(const Bucket& bucket, TimePoint now) const;
  void Refill(Bucket& bucket, TimePoint now) const;

  std::minstd_rand generator_;
  std::uint32_t members_ = 1;
  std::unordered_map<ServerId, Bucket> buckets_;
  // Ends of rests; some may be over.
  std::unordered_map<ServerId, TimePoint> rests_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_SERVER_LIMITS_H_
