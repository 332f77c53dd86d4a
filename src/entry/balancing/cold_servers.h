// Until when each server counts as cold, by all signs that a daemon has.
#ifndef SRC_ENTRY_BALANCING_COLD_SERVERS_H_
#define SRC_ENTRY_BALANCING_COLD_SERVERS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "routing/backend_server.h"

namespace gentianreach::entry {

// Returns the time left in `text`, a decimal number of milliseconds, or nullopt
// if `text` is anything else or more than an hour.
[[nodiscard]] std::optional<Duration> ParseWarmupLeft(std::string_view text);

// A sign that a server is cold.
enum class ColdSign : std::uint8_t {
  kNone,
  kEntry,        // The server's entry says so.
  kIncarnation,  // A new incarnation whose entry does not say.
  kResponse,     // A response says so.
  kRefused,      // It refused a connection, so its process was down.
  kZone,         // The evacuation of its zone has ended.
};

// Returns the name of the sign in log lines and metrics.
[[nodiscard]] std::string_view ToString(ColdSign sign);

// A server counts as cold until the latest time that a sign gives. A statement
// of the server replaces its earlier one of the same kind, so that a wrong one
// has no lasting effect.
//
// The time for which servers of its service usually are cold is passed with
// each question, since the configuration may change or arrive later.
class ColdServers {
 public:
  // Handles an entry of a server. One that was not known before may have
  // started long ago.
  void OnEntry(const routing::BackendServer& server, TimePoint now);
  // A response of `server` at `now` states that it is cold for `left` more.
  void OnStated(const ServerId& server, Duration left, TimePoint now);
  // A connection to an incarnation of `server` was actively refused.
  void OnRefused(const ServerId& server,
                 Incarnation incarnation,
                 TimePoint now);
  // The evacuation of `zone` ended at `ended_at`.
  void OnZoneEvacuationEnded(const ZoneName& zone, TimePoint ended_at);
  // Forgets the servers that are gone, as `exists` tells, and returns them.
  std::vector<ServerId> ForgetUnless(
      const std::function<bool(const ServerId&)>& exists);

  // Until when a server is cold, and by which sign.
  struct Cold {
    TimePoint until{};
    ColdSign sign = ColdSign::kNone;
  };
  // Returns until when `server` counts as cold; `until` is in the past if it
  // does not. Servers of its service usually are cold for `warmup_time`.
  [[nodiscard]] Cold Find(const routing::BackendServer& server,
                          Duration warmup_time) const;

 private:
  struct Record {
    Incarnation incarnation;
    // Of the entry that `entry_until` is from.
    std::optional<std::uint64_t> report_number;
    Duration left{};
    TimePoint entry_until{};
    // When the incarnation was first seen, if it has not said whether it is
    // cold and another one was known before.
    std::optional<TimePoint> started_at;
    TimePoint stated_until{};
    // When a connection to `refused_by` was refused last.
    std::optional<TimePoint> refused_at;
    Incarnation refused_by;
  };

  std::unordered_map<ServerId, Record> records_;
  std::unordered_map<ZoneName, TimePoint> zones_ended_at_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_COLD_SERVERS_H_
