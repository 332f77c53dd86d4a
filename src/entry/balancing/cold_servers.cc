#include "entry/balancing/cold_servers.h"

#include <algorithm>
#include <chrono>

#include "entry/request_rules.h"

namespace gentianreach::entry {
namespace {

// Longest time left that a response may state, in milliseconds. A longer one is
// a mistake, which would last if later responses state none.
constexpr std::uint32_t kMaxWarmupLeftMs = 3'600'000;
// How long after a refused connection the entry of the next incarnation is
// waited for. The server may return at any time, and would get the requests of
// all daemons whose limit has ended before they know that it is cold.
constexpr Duration kLatestEntry = std::chrono::seconds(10);

}  // namespace

std::optional<Duration> ParseWarmupLeft(std::string_view text) {
  const auto left = ParseNumber(text, kMaxWarmupLeftMs);
  return left ? std::optional<Duration>(std::chrono::milliseconds(*left))
              : std::nullopt;
}

std::string_view ToString(ColdSign sign) {
  switch (sign) {
    case ColdSign::kNone:
      return "none";
    case ColdSign::kEntry:
      return "entry";
    case ColdSign::kIncarnation:
      return "incarnation";
    case ColdSign::kResponse:
      return "response";
    case ColdSign::kRefused:
      return "refused";
    case ColdSign::kZone:
      return "zone";
  }
  return "";
}

void ColdServers::OnEntry(const routing::BackendServer& server, TimePoint now) {
  const auto [it, added] = records_.try_emplace(server.id);
  Record& record = it->second;
  const bool is_other = added || record.incarnation != server.incarnation;
  // The time left in a report counts from when the report was first read. A
  // server that cannot write another one would otherwise be cold again with
  // each list that is read.
  const Duration left = server.warm_at - server.reported_at;
  const bool is_same_report = !is_other && server.report_number &&
                              server.report_number == record.report_number &&
                              left == record.left;
  if (is_other) {
    record.started_at = added ? std::nullopt : std::optional(now);
    record.incarnation = server.incarnation;
  }
  record.entry_until = is_same_report
                           ? std::min(record.entry_until, server.warm_at)
                           : server.warm_at;
  record.report_number = server.report_number;
  record.left = left;
  if (server.states_warmup) {
    record.started_at.reset();
  }
  if (record.refused_at && record.refused_by != server.incarnation) {
    record.refused_at.reset();
  }
}

void ColdServers::OnStated(const ServerId& server,
                           Duration left,
                           TimePoint now) {
  if (const auto it = records_.find(server); it != records_.end()) {
    it->second.stated_until = now + left;
  }
}

void ColdServers::OnRefused(const ServerId& server,
                            Incarnation incarnation,
                            TimePoint now) {
  const auto it = records_.find(server);
  if (it == records_.end() || it->second.incarnation != incarnation) {
    // The entry of the next incarnation is known already.
    return;
  }
  it->second.refused_at = now;
  it->second.refused_by = incarnation;
}

void ColdServers::OnZoneEvacuationEnded(const ZoneName& zone,
                                        TimePoint ended_at) {
  zones_ended_at_[zone] = ended_at;
}

std::vector<ServerId> ColdServers::ForgetUnless(
    const std::function<bool(const ServerId&)>& exists) {
  std::vector<ServerId> gone;
  std::erase_if(records_, [&](const auto& it) {
    if (exists(it.first)) {
      return false;
    }
    gone.push_back(it.first);
    return true;
  });
  return gone;
}

ColdServers::Cold ColdServers::Find(const routing::BackendServer& server,
                                    Duration warmup_time) const {
  Cold cold;
  const auto consider = [&cold](TimePoint until, ColdSign sign) {
    if (until > cold.until) {
      cold = {until, sign};
    }
  };
  if (const auto it = records_.find(server.id); it != records_.end()) {
    const Record& record = it->second;
    consider(record.entry_until, ColdSign::kEntry);
    consider(record.stated_until, ColdSign::kResponse);
    if (record.started_at) {
      consider(*record.started_at + warmup_time, ColdSign::kIncarnation);
    }
    if (record.refused_at) {
      consider(*record.refused_at + warmup_time + kLatestEntry,
               ColdSign::kRefused);
    }
  }
  if (const auto zone = zones_ended_at_.find(server.zone);
      zone != zones_ended_at_.end() && zone->second != TimePoint{}) {
    consider(zone->second + warmup_time, ColdSign::kZone);
  }
  return cold;
}

}  // namespace gentianreach::entry
