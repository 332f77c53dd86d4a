#include "ctl/audit_commands.h"

#include <glib.h>

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace gentianreach::ctl {
namespace {

constexpr std::chrono::seconds kAppendTimeout{5};

struct AgeUnit {
  std::string_view suffix;
  std::chrono::seconds duration;
};
constexpr std::array kAgeUnits = {AgeUnit{"s", std::chrono::seconds(1)},
                                  AgeUnit{"min", std::chrono::minutes(1)},
                                  AgeUnit{"h", std::chrono::hours(1)},
                                  AgeUnit{"d", std::chrono::hours(24)}};

struct DateTimeDeleter {
  void operator()(GDateTime* it) const { g_date_time_unref(it); }
};

WallTime WallTimeOf(const audit::Entry& entry) {
  return WallTime(std::chrono::milliseconds(entry.time_ms));
}

Json ToJson(const audit::Entry& it) {
  return {{"number", it.number},   {"time", FormatTime(WallTimeOf(it))},
          {"actor", it.actor},     {"kind", it.kind},
          {"service", it.service}, {"key", it.key},
          {"from", it.from},       {"to", it.to},
          {"reason", it.reason},   {"version", it.version}};
}

std::optional<std::vector<audit::Segment>> ReadTrail(Context& context) {
  const store::Reply list = context.List(std::string(audit::kPrefix));
  if (list.status != store::Status::kOk) {
    PrintError("store: " + list.error);
    return std::nullopt;
  }
  std::vector<audit::Segment> segments;
  for (const std::string& it : list.names) {
    const store::Reply reply = context.Read(it);
    auto segment = audit::Decode(reply.bytes);
    if (reply.status != store::Status::kOk || !segment) {
      PrintError(it + ": " +
                 (segment ? reply.error : std::string("corrupted or missing")));
      return std::nullopt;
    }
    segments.push_back(*std::move(segment));
  }
  return segments;
}

}  // namespace

std::optional<WallTime> ParseSince(const std::string& text, WallTime now) {
  long long number = 0;
  const char* const end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, number);
  const std::string_view suffix(it, static_cast<std::size_t>(end - it));
  for (const AgeUnit& unit : kAgeUnits) {
    if (ec == std::errc() && number >= 0 && number < 1'000'000 &&
        suffix == unit.suffix) {
      return now - number * unit.duration;
    }
  }
  const std::unique_ptr<GDateTime, DateTimeDeleter> date(
      g_date_time_new_from_iso8601(text.c_str(), nullptr));
  if (date == nullptr) {
    return std::nullopt;
  }
  return WallTime(std::chrono::seconds(g_date_time_to_unix(date.get())));
}

int ShowAudit(Context& context, const audit::Filter& filter) {
  const auto segments = ReadTrail(context);
  if (!segments) {
    return kExitFailure;
  }
  Json entries = Json::array();
  std::vector<std::vector<std::string>> rows;
  for (const audit::Segment& segment : *segments) {
    for (const auto& it : segment.entries) {
      if (!audit::Matches(filter, *it)) {
        continue;
      }
      entries.push_back(ToJson(*it));
      rows.push_back({FormatTime(WallTimeOf(*it)), it->actor, it->kind,
                      it->service, it->key, it->from, it->to, it->reason,
                      std::to_string(it->version)});
    }
  }
  const std::vector<audit::Gap> gaps = audit::Verify(*segments);
  if (context.options().json) {
    PrintJson({{"entries", entries}, {"whole", gaps.empty()}});
  } else {
    PrintTable({"time", "actor", "kind", "service", "key", "from", "to",
                "reason", "version"},
               rows);
  }
  for (const audit::Gap& it : gaps) {
    PrintError(audit::SegmentName(it.segment) + ": entry " +
               std::to_string(it.entry) + ": " + it.message);
  }
  return gaps.empty() ? kExitOk : kExitFailure;
}

bool AppendAudit(Context& context, audit::Entry entry) {
  char* uuid = g_uuid_string_random();
  audit::AuditAppender appender{std::string(uuid)};
  g_free(uuid);
  entry.actor = context.options().actor;
  entry.time_ms = WallNow().time_since_epoch().count();
  appender.Add(std::move(entry));
  const TimePoint deadline = context.clock().Now() + kAppendTimeout;
  while (appender.pending() > 0 && context.clock().Now() < deadline) {
    if (const auto call = appender.Poll(context.clock().Now())) {
      appender.OnReply(context.Call(*call), context.clock().Now());
      continue;
    }
    context.WaitUntil(appender.RetryAt());
  }
  if (appender.pending() > 0) {
    PrintError(
        "the change is not in the audit trail: the store did not answer");
  }
  return appender.pending() == 0;
}

}  // namespace gentianreach::ctl
