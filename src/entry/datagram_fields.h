// Conversions between fields of the datagrams of entry daemons and the types of
// the program.
#ifndef SRC_ENTRY_DATAGRAM_FIELDS_H_
#define SRC_ENTRY_DATAGRAM_FIELDS_H_

#include <cstdint>
#include <vector>

#include "entry/crash_watch.h"
#include "entry_generated.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// Returns the age of copies that were complete at `current_at`, in
// milliseconds. TimePoint{}, an unknown time, has an age of its own.
[[nodiscard]] std::uint32_t AgeOf(TimePoint current_at, TimePoint now);
// Returns the age of a time up to which something is not known, rounded so that
// the time is not made earlier.
[[nodiscard]] std::uint32_t AgeOfVoid(TimePoint until, TimePoint now);
// Returns the time at which copies were complete that were `age_ms` old at
// `reported_at`.
[[nodiscard]] TimePoint TimeOf(std::uint32_t age_ms, TimePoint reported_at);

// Returns milliseconds of the sender's own clock.
[[nodiscard]] std::uint64_t ToMilliseconds(TimePoint at);
// Returns the earliest time at which `heartbeat` may have been sent. It may
// have been on its way for long, but not since before the Hello that it names.
[[nodiscard]] TimePoint EarliestSendTime(
    const wire::LeaderHeartbeatT& heartbeat,
    TimePoint now);

[[nodiscard]] std::vector<Fingerprint> ToFingerprints(
    const std::vector<std::uint64_t>& values);
[[nodiscard]] std::vector<std::uint64_t> ToValues(
    const std::vector<Fingerprint>& fingerprints);

// Convert between lists of refused requests. The sender states ages at `now`,
// and the receiver takes them as ages at its own `now`.
[[nodiscard]] std::vector<wire::RefusedRequest> ToWire(
    const std::vector<RefusedRequest>& refused,
    TimePoint now);
[[nodiscard]] std::vector<RefusedRequest> ToRefusedRequests(
    const std::vector<wire::RefusedRequest>& refused,
    TimePoint now);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_DATAGRAM_FIELDS_H_
