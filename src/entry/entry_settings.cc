#include "entry/entry_settings.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "entry/entry_state.h"
#include "net/socket_address.h"
#include "settings/builder.h"
#include "settings/document.h"
#include "settings/schema.h"
#include "settings/section_checker.h"

namespace gentianreach::entry {
namespace {

constexpr std::string_view kSection = "entry";
// The shortest evacuation time: as for draining servers, copies can be kept
// current within it.
constexpr double kMinEvacuationMs = 1800;

void Check(const settings::EntryDaemonT& entry,
           settings::SectionChecker& checker) {
  checker.Require("name", entry.name);
  checker.Require("zone", entry.zone);
  checker.RequireAddress("caller_address", entry.caller_address);
  checker.RequireAddress("ready_address", entry.ready_address);
  checker.RequireAddress("member_address", entry.member_address);
  checker.RequireAddress("store_address", entry.store_address);
  if (!entry.metrics_address.empty()) {
    checker.RequireAddress("metrics_address", entry.metrics_address);
  }
  if (!entry.forward_address.empty()) {
    checker.RequireAddress("forward_address", entry.forward_address);
  }
  for (const auto& [key, ip] :
       {std::pair("advertised_ip", &entry.advertised_ip),
        std::pair("source_ip", &entry.source_ip)}) {
    if (!ip->empty() && !net::ParseIpAddress(*ip)) {
      checker.Report(key, "expected an IP address, not \"" + *ip + "\"");
    }
  }
  if (entry.evacuation_ms != 0 && entry.evacuation_ms < kMinEvacuationMs) {
    checker.Report("evacuation_ms", "expected 0 or at least 1800");
  }
  if (!ParseLogLevel(entry.log_level).has_value()) {
    checker.Report("log_level",
                   "expected debug, info, warning or error, not \"" +
                       entry.log_level + "\"");
  }
}

// Reports a list of services that contains no name or a name twice.
void CheckServices(const settings::EntryDaemonT& entry,
                   settings::SectionChecker& checker) {
  const std::string_view text = entry.hedging_services;
  if (text.empty()) {
    return;
  }
  std::vector<std::string> names = settings::SplitList(text);
  const auto commas = static_cast<std::size_t>(std::ranges::count(text, ','));
  std::ranges::sort(names);
  const bool is_unique = std::ranges::adjacent_find(names) == names.end();
  const bool has_space = std::ranges::any_of(names, [](const auto& it) {
    return it.find_first_of(" \t") != std::string::npos;
  });
  if (names.size() != commas + 1 || !is_unique || has_space) {
    checker.Report("hedging_services",
                   "expected different names separated by commas, not \"" +
                       entry.hedging_services + "\"");
  }
}

Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace

EntrySettingsResult LoadEntrySettings(std::string_view text,
                                      std::string_view file) {
  EntrySettingsResult result;
  const auto doc = settings::Document::Parse(text, file, &result.errors);
  const settings::Section section = settings::EntrySection();
  for (const settings::Branch& it : doc.branches()) {
    const bool known = settings::RootOf(it.path) == kSection;
    settings::CheckBranch(doc, it,
                          known ? std::optional(section) : std::nullopt,
                          {std::string(kSection)}, &result.errors);
  }
  auto entry = settings::Build<settings::EntryDaemon>(
      section, settings::ValuesOf(doc, section, kSection));
  if (entry->ready_path.empty()) {
    entry->ready_path = "/ready";
  }
  if (entry->metrics_path.empty()) {
    entry->metrics_path = "/metrics";
  }
  if (entry->log_level.empty()) {
    entry->log_level = "info";
  }
  settings::SectionChecker checker(doc, kSection, &result.errors);
  Check(*entry, checker);
  CheckServices(*entry, checker);
  if (result.errors.empty()) {
    result.entry = std::move(entry);
  }
  return result;
}

std::string AdvertisedAddress(const settings::EntryDaemonT& settings,
                              const std::string& address) {
  const std::string& ip = settings.advertised_ip;
  if (ip.empty() || address.empty()) {
    return address;
  }
  const bool is_v6 = ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + ip + "]" : ip) + address.substr(address.rfind(':'));
}

std::vector<std::string> SeedsOf(const settings::EntryDaemonT& settings) {
  const std::string own = AdvertisedAddress(settings, settings.member_address);
  const std::string port = own.substr(own.rfind(':'));
  std::vector<std::string> seeds;
  for (const std::string& it : settings::SplitList(settings.seed_addresses)) {
    const std::string seed = it.substr(0, it.rfind(':')) + port;
    if (seed != own) {
      seeds.push_back(seed);
    }
  }
  return seeds;
}

Duration ConfigApplyTime(const settings::EntryDaemonT& settings) {
  return FromMilliseconds(settings.config_apply_ms);
}

Duration DrainTime(const settings::EntryDaemonT& settings) {
  return FromMilliseconds(settings.drain_ms);
}

Duration ZoneCrossing(const settings::EntryDaemonT& settings) {
  return FromMilliseconds(settings.zone_crossing_ms);
}

Duration EvacuationTime(const settings::EntryDaemonT& settings) {
  return FromMilliseconds(settings.evacuation_ms);
}

Duration ShortestSendBound(const settings::EntryDaemonT& settings) {
  const Duration evacuation = EvacuationTime(settings);
  return evacuation == Duration(0) ? DrainTime(settings)
                                   : std::min(DrainTime(settings), evacuation);
}

RetryBounds RetryBoundsOf(const settings::EntryDaemonT& settings) {
  return {
      .ratio = settings.retry_ratio,
      .slack = settings.retry_slack,
      .hedging = {.share = settings.hedging_share,
                  .quantile = settings.hedging_quantile,
                  .services = settings::SplitList(settings.hedging_services)}};
}

std::uint64_t BodyBytes(const settings::EntryDaemonT& settings) {
  constexpr double kBytesPerMb = 1 << 20;
  constexpr double kBodyShare = 0.25;
  return static_cast<std::uint64_t>(settings.memory_mb * kBodyShare *
                                    kBytesPerMb);
}

Duration ShortestExpiry(const settings::EntryDaemonT& settings) {
  // Entries expire after three report periods without a report, one of which
  // may have passed before.
  return 2 * FromMilliseconds(settings.server_report_ms);
}

}  // namespace gentianreach::entry
