// Load reports of servers that all daemons share through their leader.
#ifndef SRC_ENTRY_BALANCING_SHARED_LOADS_H_
#define SRC_ENTRY_BALANCING_SHARED_LOADS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "entry/balancing/load_report.h"
#include "entry/balancing/server_directory.h"
#include "entry_generated.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::entry {

// Returns the FNV-1a hash of the id, the same in all builds.
[[nodiscard]] std::uint64_t LoadHash(const ServerId& server);
// Returns the hash by which heartbeats name the server.
[[nodiscard]] std::uint32_t ShortLoadHash(std::uint64_t hash);

// One daemon's part in sharing load reports: those that its own requests got,
// on the leader those of all daemons, and which server a busy one is.
//
// Members pass their reports to the leader, whose heartbeats name the busiest
// servers. All state is rebuilt from later reports after it is lost.
class SharedLoads {
 public:
  // Limits of the reports in a Hello and of the servers in a heartbeat.
  static constexpr std::size_t kMaxReports = 32;
  static constexpr std::size_t kMaxBusy = 64;
  // Reports older than this are not passed on.
  static constexpr Duration kMaxAge = std::chrono::seconds(1);

  // Records a report that a response to this daemon carried.
  void OnOwnReport(const ServerId& server,
                   const LoadReport& report,
                   TimePoint now);
  // Returns the latest own report of each server since the last call, at most
  // kMaxReports, the newest ones.
  [[nodiscard]] std::vector<wire::ServerLoad> TakeReports(TimePoint now);

  // Records reports of a member. Call it only on the leader. Returns how many
  // of them cannot be used.
  std::size_t OnReports(const std::vector<wire::ServerLoad>& reports,
                        TimePoint now);
  // Returns the busy servers by all reports, this daemon's included: those with
  // the most requests per slot first, at most kMaxBusy. The work for all
  // members is done once per kTablePeriod. Call it only on the leader.
  [[nodiscard]] std::vector<wire::BusyServer> BusyServers(TimePoint now);

  // A report of another daemon.
  struct Busy {
    std::uint32_t requests = 0;
    std::optional<double> slowdown;
    TimePoint at;
  };
  // Returns what a heartbeat that was sent at `sent_at` says of a server;
  // nullopt if the report is too old.
  [[nodiscard]] static std::optional<Busy> Read(const wire::BusyServer& busy,
                                                TimePoint sent_at);
  // Returns the servers of the directory with that short hash. Valid until the
  // next call.
  [[nodiscard]] const std::vector<ServerId>& ServersOf(
      std::uint32_t short_hash,
      const ServerDirectory& directory);

 private:
  // How long the leader names the same busy servers.
  static constexpr Duration kTablePeriod = std::chrono::milliseconds(50);

  struct Report {
    std::uint32_t requests = 0;
    std::uint32_t slots = 0;
    // In percent; 0: unknown.
    std::uint32_t slowdown = 0;
    TimePoint at;

    [[nodiscard]] bool IsBusy() const;
    // Whether this server is to be named before the other one.
    [[nodiscard]] bool IsBusierThan(const Report& other) const;
  };
  struct NamedReport {
    std::uint32_t short_hash = 0;
    Report report;
  };

  void Record(std::uint64_t hash, const Report& report);
  void UpdateTable(TimePoint now);

  // This daemon's, not yet passed on, by LoadHash().
  std::unordered_map<std::uint64_t, Report> own_;
  // All daemons', by LoadHash().
  std::unordered_map<std::uint64_t, Report> reports_;
  // The busy servers at `table_at_`.
  std::vector<NamedReport> table_;
  TimePoint table_at_{};
  // The servers of the directory by short hash, as of `indexed_changes_`.
  std::unordered_map<std::uint32_t, std::vector<ServerId>> index_;
  std::optional<std::uint64_t> indexed_changes_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_SHARED_LOADS_H_
