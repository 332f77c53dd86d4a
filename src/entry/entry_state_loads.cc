// The part of EntryState that handles load reports shared between daemons.
#include "base/log.h"
#include "entry/entry_state.h"

namespace gentianreach::entry {

void EntryState::EnableLoadSharing() {
  shared_loads.emplace();
  loads.on_report = [this](const ServerId& server, const LoadReport& report,
                           TimePoint now) {
    shared_loads->OnOwnReport(server, report, now);
  };
}

void EntryState::OnMemberLoads(const std::string& member,
                               const std::vector<wire::ServerLoad>& reports) {
  if (!shared_loads || reports.empty()) {
    return;
  }
  const std::size_t unusable = shared_loads->OnReports(reports, loop.Now());
  if (unusable == 0) {
    return;
  }
  metrics.Count("shared_loads_unusable_total", {}, unusable);
  if (log_budget.Take(loop.Now())) {
    Log(LogLevel::kWarning, "shared_loads_unusable",
        {{"from", member},
         {"reports", reports.size()},
         {"unusable", unusable},
         {"why", "too many, too old or without slots"}});
  }
}

void EntryState::OnBusyServers(const std::vector<wire::BusyServer>& busy,
                               TimePoint sent_at) {
  if (!shared_loads) {
    return;
  }
  std::uint64_t taken = 0;
  std::uint64_t unknown = 0;
  std::uint64_t unusable = 0;
  for (std::size_t i = 0; i < busy.size(); ++i) {
    const wire::BusyServer& it = busy[i];
    const auto report = SharedLoads::Read(it, sent_at);
    if (i >= SharedLoads::kMaxBusy || !report) {
      ++unusable;
      continue;
    }
    const auto& servers = shared_loads->ServersOf(it.server(), directory);
    unknown += servers.empty() ? 1 : 0;
    for (const ServerId& id : servers) {
      taken += loads.OnSharedReport(*directory.Find(id), report->requests,
                                    report->slowdown, report->at)
                   ? 1
                   : 0;
    }
  }
  metrics.Count("shared_loads_named_total", {}, busy.size());
  metrics.Count("shared_loads_taken_total", {}, taken);
  metrics.Count("shared_loads_unknown_total", {}, unknown);
  if (unusable > 0) {
    metrics.Count("shared_loads_unusable_total", {}, unusable);
    if (log_budget.Take(loop.Now())) {
      Log(LogLevel::kWarning, "shared_loads_unusable",
          {{"from", "leader"},
           {"reports", busy.size()},
           {"unusable", unusable},
           {"why", "too many or too old"}});
    }
  }
}

}  // namespace gentianreach::entry
