// Limits on the requests of all daemons together, with this daemon's share of
// them: those that servers name, and those of servers that are cold. Also rests
// that servers ask of this daemon.
#ifndef SRC_ENTRY_BALANCING_SERVER_LIMITS_H_
#define SRC_ENTRY_BALANCING_SERVER_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>

#include "entry/member_count.h"
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
//
// A server that is cold crashes if many daemons spend tokens at once that they
// have saved in a pause of the demand. A token for it therefore lapses if it is
// not spent within kWarmupTokenLife, and the bucket begins to save the next
// one. So no more tokens can be spent within a second than all daemons get in
// one second plus that time.
class ServerLimits {
 public:
  // Share of a cold server's rate that the daemons are granted together, and
  // the time for which a token can be spent. The daemons get their tokens at
  // random times, so that the number of tokens in a second varies by chance.
  // With these values, 68 daemons that have saved what they may exceed 1.5
  // times the rate plus 8 in 1 of 7700 seconds at 7.3 requests per second; with
  // a share of 1.0 it is 1 of 100.
  static constexpr double kWarmupShare = 0.7;
  static constexpr Duration kWarmupTokenLife = std::chrono::milliseconds(500);

  // `seed` spreads the first requests of daemons that learn of a limit at the
  // same time.
  explicit ServerLimits(std::uint32_t seed) : generator_(seed) {}

  // Sets the number of daemons that send requests to servers, and that of all
  // daemons, each including this one. Cold servers are shared by all of them:
  // one whose path to the servers returns sends before the others know. Until
  // then a large number is assumed for cold servers.
  void SetMembers(std::uint32_t senders, std::uint32_t members, TimePoint now);
  // `server` takes `per_second` requests per second from all daemons together.
  // Returns whether that is news.
  bool Set(const ServerId& server, double per_second, TimePoint now);
  // `server` names no limit any more. Returns whether it had one.
  bool Clear(const ServerId& server);
  // `server` wants no requests from this daemon until `until`.
  void SetRest(const ServerId& server, TimePoint until);
  // `server` is cold until `until` and takes `per_second` requests per second
  // until then; 0: any number, as if it were not cold. Returns whether it was
  // not cold before.
  bool SetWarmup(const ServerId& server,
                 double per_second,
                 TimePoint until,
                 TimePoint now);
  // `server` is gone, or has started again.
  void Forget(const ServerId& server);
  // Counts a request that is sent to `server`.
  void OnSent(const ServerId& server, TimePoint now);

  // Returns when this daemon may send `server` its next request; not after
  // `now` if it may at once.
  [[nodiscard]] TimePoint NextSend(const ServerId& server, TimePoint now) const;
  // Returns how many requests per second `server` takes from all daemons while
  // it is cold, or nullopt if it is not cold.
  [[nodiscard]] std::optional<double> WarmupRate(const ServerId& server,
                                                 TimePoint now) const;
  // Returns the number of servers that are cold.
  [[nodiscard]] std::size_t CountCold(TimePoint now) const;
  // Returns the number of servers that name a limit.
  [[nodiscard]] std::size_t size() const { return buckets_.size(); }
  // Returns the number of servers that have a rest.
  [[nodiscard]] std::size_t CountResting(TimePoint now) const;

 private:
  struct Bucket {
    double limit = 0;   // Requests per second of all daemons.
    double tokens = 0;  // At `updated_at`.
    TimePoint updated_at;
    // The end of the time in which the server is cold, for buckets of cold
    // servers; others have no end.
    std::optional<TimePoint> cold_until;
  };
  using Buckets = std::unordered_map<ServerId, Bucket>;

  // Returns the bucket of `server`, with a random fill if it is new.
  Bucket& Find(Buckets& buckets, const ServerId& server, TimePoint now);
  // Returns this daemon's part of the limit in requests per second.
  [[nodiscard]] double Rate(const Bucket& bucket) const;
  [[nodiscard]] double TokensAt(const Bucket& bucket, TimePoint now) const;
  // Returns when the bucket has a token.
  [[nodiscard]] TimePoint NextToken(const Bucket& bucket, TimePoint now) const;
  void Refill(Bucket& bucket, TimePoint now) const;

  std::minstd_rand generator_;
  // Of the limits that servers name.
  std::uint32_t members_ = 1;
  // Of the limits of cold servers.
  std::uint32_t warmup_members_ = MemberCount::kAssumedMembers;
  Buckets buckets_;
  // Kept when the server is warm, until it is forgotten.
  Buckets warmups_;
  // Ends of rests; some may be over.
  std::unordered_map<ServerId, TimePoint> rests_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_SERVER_LIMITS_H_
