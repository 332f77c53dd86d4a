#include "policy/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <string>

#include "gentianreach/check.h"

namespace gentianreach {
namespace {

// Number of servers a request must have crashed to be refused.
constexpr std::ptrdiff_t kRefusalThreshold = 2;

std::uint64_t ToMilliseconds(Duration duration) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0));
}

// Appends a field prefixed with its length, so that different lists of fields
// give different texts.
void AppendField(std::string& text, std::string_view field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

}  // namespace

std::uint64_t DigestBody(std::string_view body) {
  return XXH3_64bits(body.data(), body.size());
}

Fingerprint MakeFingerprint(const ServiceName& service,
                            std::string_view method,
                            std::string_view target,
                            std::uint64_t body_digest) {
  std::string text;
  AppendField(text, service.value());
  AppendField(text, method);
  AppendField(text, target);
  return Fingerprint{
      XXH3_64bits_withSeed(text.data(), text.size(), body_digest)};
}

Quarantine::Quarantine(QuarantineOptions options) : options_(options) {}

QuarantineState Quarantine::Check(Fingerprint fingerprint,
                                  const ServerId& server,
                                  TimePoint now) {
  Expire(now);
  const auto it = records_.find(fingerprint);
  if (it == records_.end())
    return QuarantineState::kAllowed;
  const Record& record = it->second;
  const auto confirmed =
      std::count_if(record.crash_reports.begin(), record.crash_reports.end(),
                    [](const auto& report) { return report.second.confirmed; });
  if (confirmed >= kRefusalThreshold)
    return QuarantineState::kRefused;
  // The suspicions may still be confirmed, and the request must not crash a
  // third server in the meantime.
  if (std::ssize(record.crash_reports) >= kRefusalThreshold)
    return QuarantineState::kWait;
  return IsTrialRunning(record, server, now) ? QuarantineState::kWait
                                             : QuarantineState::kAllowed;
}

void Quarantine::OnSent(std::uint64_t attempt,
                        Fingerprint fingerprint,
                        const ServerId& server,
                        Incarnation incarnation,
                        TimePoint now) {
  const bool added =
      attempts_.emplace(attempt, Attempt{fingerprint, {server, incarnation}})
          .second;
  GENTIANREACH_CHECK(added);
  const auto it = records_.find(fingerprint);
  if (it == records_.end())
    return;
  it->second.trial = attempt;
  trials_[server] = Trial{attempt, now + options_.trial};
}

void Quarantine::OnAnswered(std::uint64_t attempt, TimePoint now) {
  const std::optional<Attempt> ended = TakeAttempt(attempt);
  if (ended && ClearReports(ended->fingerprint, now))
    update_.lifted.push_back(ended->fingerprint.value);
}

void Quarantine::OnAborted(std::uint64_t attempt) {
  static_cast<void>(TakeAttempt(attempt));
}

void Quarantine::OnConnectionLost(std::uint64_t attempt, TimePoint now) {
  const std::optional<Attempt> ended = TakeAttempt(attempt);
  if (!ended)
    return;
  Expire(now);
  const bool gone = gone_incarnations_.contains(ended->server_incarnation);
  const Duration kept = gone ? options_.expiry : options_.confirmation;
  AddCrashReport(ended->fingerprint, ended->server_incarnation,
                 CrashReport{now, now + kept, gone, /*is_local=*/true});
  AddToUpdate(ended->fingerprint, ended->server_incarnation,
              gone ? peer::CrashReportState::Confirmed
                   : peer::CrashReportState::Suspected,
              {});
}

void Quarantine::OnServerGone(const ServerId& server,
                              Incarnation incarnation,
                              TimePoint now) {
  Expire(now);
  const ServerIncarnation server_incarnation{server, incarnation};
  gone_incarnations_[server_incarnation] = now + options_.confirmation;
  Confirm(server_incarnation, now);
}

void Quarantine::OnServerAlive(const ServerId& server,
                               Incarnation incarnation,
                               TimePoint asked_at,
                               TimePoint now) {
  Expire(now);
  const ServerIncarnation alive{server, incarnation};
  if (gone_incarnations_.contains(alive))
    return;
  MarkOthersGone(server, alive, now);
  Withdraw(alive, asked_at, now);
}

void Quarantine::OnServerRefused(const ServerId& server, TimePoint now) {
  Expire(now);
  MarkOthersGone(server, std::nullopt, now);
}

void Quarantine::MarkOthersGone(const ServerId& server,
                                const std::optional<ServerIncarnation>& alive,
                                TimePoint now) {
  std::set<ServerIncarnation> gone;
  for (const auto& [fingerprint, record] : records_) {
    for (const auto& [server_incarnation, report] : record.crash_reports) {
      if (server_incarnation.first != server || server_incarnation == alive ||
          report.confirmed)
        continue;
      gone.insert(server_incarnation);
    }
  }
  for (const ServerIncarnation& it : gone)
    OnServerGone(it.first, it.second, now);
}

void Quarantine::Merge(const peer::QuarantineUpdateT& update, TimePoint now) {
  Expire(now);
  for (const auto& it : update.crash_reports) {
    const Fingerprint fingerprint{it->fingerprint};
    const ServerIncarnation server_incarnation{ServerId(it->server),
                                               Incarnation(it->incarnation)};
    if (it->state == peer::CrashReportState::Withdrawn) {
      const auto record = records_.find(fingerprint);
      if (record == records_.end())
        continue;
      const auto report = record->second.crash_reports.find(server_incarnation);
      if (report == record->second.crash_reports.end())
        continue;
      if (!report->second.confirmed)
        record->second.crash_reports.erase(report);
      continue;
    }
    const bool confirmed = it->state == peer::CrashReportState::Confirmed ||
                           gone_incarnations_.contains(server_incarnation);
    const Duration kept = confirmed ? options_.expiry : options_.confirmation;
    // Limits the age to the expiry, from which on it makes no difference.
    const Duration age = std::chrono::milliseconds(
        std::min(it->age_ms, ToMilliseconds(options_.expiry)));
    const TimePoint lost_at = now - age;
    if (lost_at + kept <= now)
      continue;
    AddCrashReport(
        fingerprint, server_incarnation,
        CrashReport{lost_at, lost_at + kept, confirmed, /*is_local=*/false});
  }
  for (const std::uint64_t it : update.lifted)
    ClearReports(Fingerprint{it}, now);
  Expire(now);
}

std::optional<peer::QuarantineUpdateT> Quarantine::TakeUpdate() {
  if (update_.crash_reports.empty() && update_.lifted.empty())
    return std::nullopt;
  peer::QuarantineUpdateT update = std::move(update_);
  update_ = {};
  return update;
}

peer::QuarantineUpdateT Quarantine::Snapshot(TimePoint now) const {
  peer::QuarantineUpdateT update;
  for (const auto& [fingerprint, record] : records_) {
    for (const auto& [server_incarnation, report] : record.crash_reports) {
      if (!report.confirmed || report.expires_at <= now)
        continue;
      auto crash_report = std::make_unique<peer::CrashReportT>();
      crash_report->fingerprint = fingerprint.value;
      crash_report->server = server_incarnation.first.value();
      crash_report->incarnation = server_incarnation.second.value();
      crash_report->age_ms = ToMilliseconds(now - report.lost_at);
      update.crash_reports.push_back(std::move(crash_report));
    }
  }
  return update;
}

std::vector<QuarantineEntry> Quarantine::List(TimePoint now) const {
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, record] : records_) {
    QuarantineEntry entry{fingerprint};
    for (const auto& [server_incarnation, report] : record.crash_reports) {
      if (!report.confirmed || report.expires_at <= now)
        continue;
      entry.servers.push_back(server_incarnation);
      entry.expires_at = std::max(entry.expires_at, report.expires_at);
    }
    if (entry.servers.empty())
      continue;
    entry.refused = std::ssize(entry.servers) >= kRefusalThreshold;
    entries.push_back(std::move(entry));
  }
  return entries;
}

bool Quarantine::Lift(Fingerprint fingerprint, TimePoint now) {
  if (!ClearReports(fingerprint, now))
    return false;
  update_.lifted.push_back(fingerprint.value);
  return true;
}

// Adds a crash report, or confirms the existing one.
void Quarantine::AddCrashReport(Fingerprint fingerprint,
                                const ServerIncarnation& server_incarnation,
                                CrashReport report) {
  if (cleared_reports_.contains({fingerprint, server_incarnation}))
    return;
  if (!records_.contains(fingerprint))
    EvictIfFull();
  const auto [it, added] =
      records_[fingerprint].crash_reports.emplace(server_incarnation, report);
  if (added)
    return;
  it->second.is_local |= report.is_local;
  if (it->second.confirmed || !report.confirmed)
    return;
  it->second.confirmed = true;
  it->second.expires_at = report.expires_at;
}

// Turns suspicions for that incarnation into confirmed crash reports.
void Quarantine::Confirm(const ServerIncarnation& server_incarnation,
                         TimePoint now) {
  for (auto& [fingerprint, record] : records_) {
    const auto it = record.crash_reports.find(server_incarnation);
    if (it == record.crash_reports.end() || it->second.confirmed)
      continue;
    it->second.confirmed = true;
    it->second.expires_at = it->second.lost_at + options_.expiry;
    if (!it->second.is_local)
      continue;
    AddToUpdate(fingerprint, server_incarnation,
                peer::CrashReportState::Confirmed, now - it->second.lost_at);
  }
}

void Quarantine::Withdraw(const ServerIncarnation& server_incarnation,
                          TimePoint asked_at,
                          TimePoint now) {
  for (auto& [fingerprint, record] : records_) {
    const auto it = record.crash_reports.find(server_incarnation);
    if (it == record.crash_reports.end() || it->second.confirmed)
      continue;
    if (asked_at <= it->second.lost_at)
      continue;
    if (it->second.is_local)
      AddToUpdate(fingerprint, server_incarnation,
                  peer::CrashReportState::Withdrawn, {});
    record.crash_reports.erase(it);
  }
  Expire(now);
}

// Removes all crash reports and suspicions of the fingerprint. Returns whether
// there were any.
bool Quarantine::ClearReports(Fingerprint fingerprint, TimePoint now) {
  const auto it = records_.find(fingerprint);
  if (it == records_.end())
    return false;
  for (const auto& [server_incarnation, report] : it->second.crash_reports)
    cleared_reports_[{fingerprint, server_incarnation}] = now + options_.expiry;
  records_.erase(it);
  return true;
}

void Quarantine::Expire(TimePoint now) {
  const auto is_expired = [now](const auto& it) { return it.second <= now; };
  std::erase_if(gone_incarnations_, is_expired);
  std::erase_if(cleared_reports_, is_expired);
  std::erase_if(trials_,
                [now](const auto& it) { return it.second.ends_at <= now; });
  for (auto& [fingerprint, record] : records_) {
    std::erase_if(record.crash_reports, [now](const auto& it) {
      return it.second.expires_at <= now;
    });
  }
  std::erase_if(records_,
                [](const auto& it) { return it.second.crash_reports.empty(); });
}

// Evicts the record that expires first if the capacity is reached.
void Quarantine::EvictIfFull() {
  if (records_.size() < options_.capacity)
    return;
  const auto expiry = [](const Record& record) {
    TimePoint last{};
    for (const auto& [server_incarnation, report] : record.crash_reports)
      last = std::max(last, report.expires_at);
    return last;
  };
  records_.erase(std::min_element(records_.begin(), records_.end(),
                                  [&](const auto& a, const auto& b) {
                                    return expiry(a.second) < expiry(b.second);
                                  }));
}

bool Quarantine::IsTrialRunning(const Record& record,
                                const ServerId& server,
                                TimePoint now) const {
  const auto server_trial = trials_.find(server);
  if (server_trial != trials_.end() && now < server_trial->second.ends_at)
    return true;
  if (!record.trial)
    return false;
  return std::any_of(trials_.begin(), trials_.end(), [&](const auto& it) {
    return it.second.attempt == *record.trial && now < it.second.ends_at;
  });
}

std::optional<Quarantine::Attempt> Quarantine::TakeAttempt(
    std::uint64_t attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return std::nullopt;
  Attempt ended = std::move(it->second);
  attempts_.erase(it);
  EndTrial(attempt, ended.fingerprint);
  return ended;
}

void Quarantine::EndTrial(std::uint64_t attempt, Fingerprint fingerprint) {
  std::erase_if(trials_, [attempt](const auto& it) {
    return it.second.attempt == attempt;
  });
  const auto it = records_.find(fingerprint);
  if (it == records_.end())
    return;
  if (it->second.trial == attempt)
    it->second.trial.reset();
}

void Quarantine::AddToUpdate(Fingerprint fingerprint,
                             const ServerIncarnation& server_incarnation,
                             peer::CrashReportState state,
                             Duration age) {
  auto crash_report = std::make_unique<peer::CrashReportT>();
  crash_report->fingerprint = fingerprint.value;
  crash_report->server = server_incarnation.first.value();
  crash_report->incarnation = server_incarnation.second.value();
  crash_report->state = state;
  crash_report->age_ms = ToMilliseconds(age);
  update_.crash_reports.push_back(std::move(crash_report));
}

}  // namespace gentianreach
