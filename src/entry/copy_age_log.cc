#include "entry/copy_age_log.h"

#include <utility>

#include "base/log.h"

namespace gentianreach::entry {

void CopyAgeLog::Poll(bool servers_known) {
  LogConfig();
  LogEntries(servers_known);
}

void CopyAgeLog::LogConfig() {
  const TimePoint now = state_.loop.Now();
  const bool outdated =
      state_.routes != nullptr && now >= state_.routes_current_until();
  if (std::exchange(config_was_outdated_, outdated) == outdated) {
    return;
  }
  Log(outdated ? LogLevel::kWarning : LogLevel::kInfo,
      outdated ? "config_outdated" : "config_current",
      {{"version", state_.routes->config().version},
       {"store_lost", copies_.IsStoreLostForConfig()},
       {"copy_age_ms", MillisecondsBetween(copies_.config_current_at(), now)},
       {"answer_age_ms",
        MillisecondsBetween(copies_.health().answered_any_at(), now)}});
}

void CopyAgeLog::LogEntries(bool servers_known) {
  const TimePoint now = state_.loop.Now();
  const EntriesStatus entries = state_.entries_status();
  const bool outdated =
      servers_known && now >= state_.drain_bound.EntriesUntil(entries);
  if (std::exchange(entries_were_outdated_, outdated) != outdated) {
    Log(outdated ? LogLevel::kWarning : LogLevel::kInfo,
        outdated ? "entries_outdated" : "entries_current",
        {{"source", entries.source},
         {"store_lost", entries.store_lost},
         {"copy_age_ms", MillisecondsBetween(entries.current_at, now)}});
  }
  const bool lifted =
      servers_known && state_.drain_bound.IsLifted(entries, now);
  if (std::exchange(drain_bound_was_lifted_, lifted) != lifted) {
    Log(lifted ? LogLevel::kWarning : LogLevel::kInfo,
        lifted ? "drain_bound_lifted" : "drain_bound_in_force",
        {{"source", entries.source},
         {"reason", copies_.HaveMostLostStore() ? "reports" : "others"},
         {"copy_age_ms", MillisecondsBetween(entries.current_at, now)},
         {"answer_age_ms",
          MillisecondsBetween(entries.store_answered_at, now)}});
  }
}

}  // namespace gentianreach::entry
