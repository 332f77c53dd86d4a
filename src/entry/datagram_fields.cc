#include "entry/datagram_fields.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace gentianreach::entry {
namespace {

// Age of copies of which no time is known at which they were complete.
constexpr std::uint32_t kUnknownAge = std::numeric_limits<std::uint32_t>::max();

}  // namespace

std::uint32_t AgeOf(TimePoint current_at, TimePoint now) {
  if (current_at == TimePoint{}) {
    return kUnknownAge;
  }
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(now - current_at, Duration(0)));
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(age.count(), kUnknownAge));
}

std::uint32_t AgeOfVoid(TimePoint until, TimePoint now) {
  const std::uint32_t age = AgeOf(until, now);
  return age == kUnknownAge || age == 0 ? age : age - 1;
}

TimePoint TimeOf(std::uint32_t age_ms, TimePoint reported_at) {
  return age_ms == kUnknownAge
             ? TimePoint{}
             : reported_at - std::chrono::milliseconds(age_ms);
}

std::uint64_t ToMilliseconds(TimePoint at) {
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch())
          .count());
}

TimePoint EarliestSendTime(const wire::LeaderHeartbeatT& heartbeat,
                           TimePoint now) {
  if (heartbeat.hello_sent_ms == 0) {
    return now;
  }
  const TimePoint hello_sent{
      std::chrono::milliseconds(heartbeat.hello_sent_ms)};
  return std::min(now, hello_sent);
}

std::vector<Fingerprint> ToFingerprints(
    const std::vector<std::uint64_t>& values) {
  std::vector<Fingerprint> fingerprints;
  fingerprints.reserve(values.size());
  for (const std::uint64_t it : values) {
    fingerprints.push_back({it});
  }
  return fingerprints;
}

std::vector<std::uint64_t> ToValues(
    const std::vector<Fingerprint>& fingerprints) {
  std::vector<std::uint64_t> values;
  values.reserve(fingerprints.size());
  for (const Fingerprint it : fingerprints) {
    values.push_back(it.value);
  }
  return values;
}

std::vector<wire::RefusedRequest> ToWire(
    const std::vector<RefusedRequest>& refused,
    TimePoint now) {
  std::vector<wire::RefusedRequest> values;
  values.reserve(refused.size());
  for (const RefusedRequest& it : refused) {
    values.emplace_back(it.fingerprint.value, AgeOf(it.lost_at, now));
  }
  return values;
}

std::vector<RefusedRequest> ToRefusedRequests(
    const std::vector<wire::RefusedRequest>& refused,
    TimePoint now) {
  std::vector<RefusedRequest> requests;
  requests.reserve(refused.size());
  for (const wire::RefusedRequest& it : refused) {
    requests.push_back({{it.fingerprint()}, TimeOf(it.age_ms(), now)});
  }
  return requests;
}

}  // namespace gentianreach::entry
