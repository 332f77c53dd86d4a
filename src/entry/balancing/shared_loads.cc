#include "entry/balancing/shared_loads.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace gentianreach::entry {
namespace {

using std::chrono::milliseconds;

// A server whose machine is slowed down by this many percent is busy with any
// number of requests.
constexpr std::uint32_t kBusySlowdown = 150;
// Percent in the unit of slowdowns in heartbeats.
constexpr std::uint32_t kPercentPerTenth = 10;
constexpr double kUsualSlowdown = 100;
// Unit of ages in heartbeats, so that one byte holds SharedLoads::kMaxAge.
constexpr milliseconds kAgeUnit{4};
// Limit of the servers with a report on the leader, several times those of the
// largest deployments. Reports of servers that do not exist could otherwise
// fill the memory.
constexpr std::size_t kMaxTracked = 4096;

template <typename T>
T Saturate(auto value) {
  constexpr T kMax = std::numeric_limits<T>::max();
  return value < kMax ? static_cast<T>(value) : kMax;
}

// Returns the age in units, rounded up, so that a report never looks younger.
std::uint32_t AgeIn(milliseconds unit, TimePoint at, TimePoint now) {
  const Duration age = std::max(now - at, Duration(0));
  return static_cast<std::uint32_t>((age + unit - Duration(1)) / unit);
}

}  // namespace

std::uint64_t LoadHash(const ServerId& server) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char it : server.value()) {
    hash = (hash ^ static_cast<unsigned char>(it)) * 1099511628211ULL;
  }
  return hash;
}

std::uint32_t ShortLoadHash(std::uint64_t hash) {
  return static_cast<std::uint32_t>(hash ^ (hash >> 32U));
}

bool SharedLoads::Report::IsBusy() const {
  return requests >= slots || slowdown >= kBusySlowdown;
}

bool SharedLoads::Report::IsBusierThan(const Report& other) const {
  // Compares requests per slot. The products of 16-bit figures fit.
  const std::uint64_t mine = std::uint64_t{requests} * other.slots;
  const std::uint64_t others = std::uint64_t{other.requests} * slots;
  return mine != others ? mine > others : slowdown > other.slowdown;
}

void SharedLoads::OnOwnReport(const ServerId& server,
                              const LoadReport& report,
                              TimePoint now) {
  if (report.slots == 0) {
    return;
  }
  const double requests =
      static_cast<double>(report.running) + static_cast<double>(report.waiting);
  own_[LoadHash(server)] = {.requests = Saturate<std::uint16_t>(requests),
                            .slots = Saturate<std::uint16_t>(report.slots),
                            .slowdown = Saturate<std::uint16_t>(
                                report.slowdown.value_or(0) * kUsualSlowdown),
                            .at = now};
}

std::vector<wire::ServerLoad> SharedLoads::TakeReports(TimePoint now) {
  std::vector<std::pair<std::uint64_t, Report>> taken;
  for (const auto& [hash, it] : own_) {
    if (now - it.at <= kMaxAge) {
      taken.emplace_back(hash, it);
    }
  }
  own_.clear();
  if (taken.size() > kMaxReports) {
    std::ranges::nth_element(
        taken, taken.begin() + kMaxReports,
        [](const auto& a, const auto& b) { return a.second.at > b.second.at; });
    taken.resize(kMaxReports);
  }
  std::vector<wire::ServerLoad> reports;
  reports.reserve(taken.size());
  for (const auto& [hash, it] : taken) {
    reports.emplace_back(
        hash, static_cast<std::uint16_t>(it.requests),
        static_cast<std::uint16_t>(it.slots),
        static_cast<std::uint16_t>(AgeIn(milliseconds(1), it.at, now)),
        static_cast<std::uint16_t>(it.slowdown));
  }
  return reports;
}

void SharedLoads::Record(std::uint64_t hash, const Report& report) {
  const auto found = reports_.find(hash);
  if (found != reports_.end()) {
    if (report.at >= found->second.at) {
      found->second = report;
    }
  } else if (reports_.size() < kMaxTracked) {
    reports_.emplace(hash, report);
  }
}

std::size_t SharedLoads::OnReports(const std::vector<wire::ServerLoad>& reports,
                                   TimePoint now) {
  std::size_t unusable = 0;
  for (std::size_t i = 0; i < reports.size(); ++i) {
    const wire::ServerLoad& it = reports[i];
    const Duration age = milliseconds(it.age_ms());
    if (i >= kMaxReports || it.slots() == 0 || age > kMaxAge) {
      ++unusable;
      continue;
    }
    Record(it.server(), {.requests = it.requests(),
                         .slots = it.slots(),
                         .slowdown = it.slowdown(),
                         .at = now - age});
  }
  return unusable;
}

void SharedLoads::UpdateTable(TimePoint now) {
  for (const auto& [hash, it] : own_) {
    Record(hash, it);
  }
  own_.clear();
  std::erase_if(reports_,
                [&](const auto& it) { return now - it.second.at > kMaxAge; });
  // Of two servers with the same short hash, the busier one counts.
  std::unordered_map<std::uint32_t, Report> busy;
  for (const auto& [hash, it] : reports_) {
    if (it.IsBusy()) {
      const auto [found, is_new] = busy.try_emplace(ShortLoadHash(hash), it);
      if (!is_new && it.IsBusierThan(found->second)) {
        found->second = it;
      }
    }
  }
  table_.clear();
  for (const auto& [short_hash, it] : busy) {
    table_.push_back({short_hash, it});
  }
  const auto end = table_.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(table_.size(), kMaxBusy));
  std::ranges::partial_sort(table_, end, [](const auto& a, const auto& b) {
    return a.report.IsBusierThan(b.report);
  });
  table_.erase(end, table_.end());
  table_at_ = now;
}

std::vector<wire::BusyServer> SharedLoads::BusyServers(TimePoint now) {
  if (table_at_ == TimePoint{} || now - table_at_ >= kTablePeriod) {
    UpdateTable(now);
  }
  std::vector<wire::BusyServer> servers;
  servers.reserve(table_.size());
  for (const NamedReport& it : table_) {
    if (now - it.report.at <= kMaxAge) {
      servers.emplace_back(
          it.short_hash, static_cast<std::uint16_t>(it.report.requests),
          Saturate<std::uint8_t>(it.report.slowdown / kPercentPerTenth),
          static_cast<std::uint8_t>(AgeIn(kAgeUnit, it.report.at, now)));
    }
  }
  return servers;
}

std::optional<SharedLoads::Busy> SharedLoads::Read(const wire::BusyServer& busy,
                                                   TimePoint sent_at) {
  const Duration age = busy.age() * kAgeUnit;
  if (age > kMaxAge) {
    return std::nullopt;
  }
  Busy it{.requests = busy.requests(), .slowdown = {}, .at = sent_at - age};
  if (busy.slowdown() > 0) {
    it.slowdown = busy.slowdown() * kPercentPerTenth / kUsualSlowdown;
  }
  return it;
}

const std::vector<ServerId>& SharedLoads::ServersOf(
    std::uint32_t short_hash,
    const ServerDirectory& directory) {
  if (indexed_changes_ != directory.changes()) {
    indexed_changes_ = directory.changes();
    index_.clear();
    for (const auto& [id, it] : directory.servers()) {
      index_[ShortLoadHash(LoadHash(id))].push_back(id);
    }
  }
  static const std::vector<ServerId> none;
  const auto found = index_.find(short_hash);
  return found == index_.end() ? none : found->second;
}

}  // namespace gentianreach::entry
