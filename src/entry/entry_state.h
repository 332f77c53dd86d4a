// State shared by all requests of one entry daemon. Used only by the thread of
// its event loop.
#ifndef SRC_ENTRY_ENTRY_STATE_H_
#define SRC_ENTRY_ENTRY_STATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "entry/balancing/cold_servers.h"
#include "entry/balancing/drain_bound.h"
#include "entry/balancing/hedge_policy.h"
#include "entry/balancing/ownership_view.h"
#include "entry/balancing/server_choice.h"
#include "entry/balancing/server_directory.h"
#include "entry/balancing/server_limits.h"
#include "entry/balancing/server_loads.h"
#include "entry/balancing/shared_loads.h"
#include "entry/balancing/zone_evacuations.h"
#include "entry/body_memory.h"
#include "entry/crash_watch.h"
#include "entry/entry_metrics.h"
#include "entry/header_names.h"
#include "entry/log_budget.h"
#include "entry/member_count.h"
#include "entry/relays.h"
#include "entry/send_ages.h"
#include "entry/server_reachability.h"
#include "keyspace/key_load.h"
#include "net/descriptor_limit.h"
#include "net/event_loop.h"
#include "policy/retry_budget.h"
#include "proxy/proxy_state.h"
#include "proxy/server_connection.h"
#include "proxy/server_pool.h"
#include "routing/host_routes.h"

namespace gentianreach::entry {

// Limits that the operators set for retries and second attempts.
struct RetryBounds {
  // Retries per request of a service, over all daemons.
  double ratio = 0.2;
  // Retries per window that a service may always make, over all daemons.
  double slack = 50;
  HedgeOptions hedging;
};

class EntryState {
 public:
  // Memory that request bodies may take unless the settings say otherwise.
  static constexpr std::uint64_t kDefaultBodyBytes = 64 << 20;

  // `zone` is the availability zone of this daemon. Connections to servers are
  // opened from `source_ip`, or from an address that the system chooses if it
  // is empty. The bodies of all requests may take `body_bytes` together.
  // Evacuations take effect within `evacuation_time`; 0: there are none.
  EntryState(net::EventLoop& loop,
             HeaderNames headers,
             ZoneName zone,
             RetryBounds bounds,
             DrainBound drain_bound,
             std::string source_ip = {},
             std::uint64_t body_bytes = kDefaultBodyBytes,
             Duration evacuation_time = Duration(0));
  EntryState(const EntryState&) = delete;
  EntryState& operator=(const EntryState&) = delete;

  // Returns the retry budget of a service at this daemon.
  RetryBudget& Budget(const std::string& service);
  // Returns the connection pool of a server; creates it if there is none for
  // the server's current address.
  std::shared_ptr<proxy::ServerPool> Pool(const routing::BackendServer& server);
  // Returns the options of connections to servers.
  [[nodiscard]] proxy::ServerConnectionOptions ConnectionOptions() const;
  // Returns the connection pool of a relay at `address`; creates it if there is
  // none.
  std::shared_ptr<proxy::ServerPool> RelayPool(const std::string& address);
  // Closes the idle connections to all servers.
  void CloseIdleConnections();
  // Handles the limit that a response of `server` names, or that it names none.
  void UpdateLimit(const ServerId& server,
                   std::optional<std::string_view> limit);
  // Returns the load report of a response of `server`, or nullopt if `text` is
  // none, which is logged once per server.
  [[nodiscard]] std::optional<LoadReport> ReadLoadReport(const ServerId& server,
                                                         std::string_view text);
  // Handles a response of `server` that asks for a rest until `until`.
  void OnRestRequested(const ServerId& server, TimePoint until);
  // Puts a configuration in force.
  void SetRoutes(std::shared_ptr<routing::HostRoutes> new_routes);
  // The directory has got an entry, of which `server` is what it says.
  void OnServerEntry(const routing::BackendServer& server);
  // Handles the time for which a response of `server` says that it is cold.
  void OnWarmupStated(const ServerId& server, std::string_view text);
  // A connection to an incarnation of `server` was actively refused.
  void OnConnectionRefused(const ServerId& server, Incarnation incarnation);
  // The evacuation of the zone `evacuated` ended at `ended_at`.
  void OnZoneEvacuationEnded(const ZoneName& evacuated, TimePoint ended_at);
  // Returns how many requests per second the server can complete, which are
  // fewer while it is cold.
  [[nodiscard]] double Capacity(const routing::BackendServer& server,
                                TimePoint now) const;
  // Shares the load reports of servers with the other daemons from now on.
  void EnableLoadSharing();
  // Handles the load reports that the Hello of `member` passes on, on the
  // leader.
  void OnMemberLoads(const std::string& member,
                     const std::vector<wire::ServerLoad>& reports);
  // Handles the busy servers that a heartbeat names, which was sent at
  // `sent_at`; also those that this daemon names as the leader.
  void OnBusyServers(const std::vector<wire::BusyServer>& busy,
                     TimePoint sent_at);
  // An incarnation of `server` has stated that it leaves.
  void OnLeaving(const ServerId& server, Incarnation incarnation);
  // Handles the requests that `source`, another daemon or the store, states to
  // be refused.
  void OnRemoteRefusals(const std::vector<RefusedRequest>& requests,
                        std::string_view source);
  // Logs and counts a malformed response on `connection` of `sender`, which is
  // a "server" or a "relay".
  void OnInvalidResponse(std::string_view kind,
                         const std::string& sender,
                         const proxy::ServerConnection& connection);
  // Drops the connection pools and loads of servers that have left the
  // directory. Requests in flight keep their pool until they end.
  void DropRemovedServers();
  // Returns what is known of the servers.
  [[nodiscard]] KnownServers known_servers() const {
    return {directory,        loads,      limits, ownership, drain_bound,
            entries_status(), evacuations};
  }
  // Sets the metrics of each service.
  void SetServiceMetrics();
  // Returns the load counts of a keyed service.
  keyspace::KeyLoad& Load(const std::string& service) {
    return key_loads_[service];
  }
  // Sets whether this daemon is the leader and therefore counts the load of
  // keys.
  void SetLoadCounting(bool counts);
  // Counts one request for a key of a service, or keeps it for the next message
  // to the leader.
  void CountKey(const std::string& service, std::uint32_t key);
  // Returns the keys for the leader since the last call, by service.
  [[nodiscard]] std::map<std::string, std::vector<std::uint16_t>> TakeKeys() {
    return std::exchange(unsent_keys_, {});
  }
  // Sets the number of daemons, which share the retry budgets, and how many of
  // them send nothing to servers because they have lost the path to them. The
  // others share the servers' connections and limits.
  void SetMembers(std::uint32_t members, std::uint32_t cut_members);
  [[nodiscard]] std::uint32_t members() const { return members_.value(); }
  // Returns the number of daemons that send requests to servers, at least 1.
  [[nodiscard]] std::uint32_t senders() const;

  net::EventLoop& loop;
  const HeaderNames headers;
  const ZoneName zone;
  const DrainBound drain_bound;
  // Cost of sending a request to another zone, as time that callers may wait
  // instead; see ChoiceRequest.
  Duration zone_crossing{};
  // Null until a configuration has been received.
  std::shared_ptr<routing::HostRoutes> routes;
  // Returns until when `routes` have all changes that must have taken effect.
  std::function<TimePoint()> routes_current_until;
  // Returns until when `routes` may decide requests at all.
  std::function<TimePoint()> routes_usable_until;
  std::function<EntriesStatus()> entries_status;
  ServerDirectory directory;
  ServerLoads loads;
  // Set if load reports are shared.
  std::optional<SharedLoads> shared_loads;
  ServerLimits limits;
  ColdServers cold;
  ZoneEvacuations evacuations;
  ServerReachability reachability;
  Relays relays;
  OwnershipView ownership;
  CrashWatch crashes;
  HedgePolicy hedging;
  BodyMemory body_memory;
  // Requests that wait for a new owner of their key.
  proxy::HeldRequestQueue held;
  EntryMetrics metrics;
  SendAges send_ages;
  LogBudget log_budget;
  const net::DescriptorLimit descriptors;
  // Called when a server counts as draining because it has stated so.
  std::function<void()> on_server_leaving;
  std::size_t in_flight = 0;
  bool stopping = false;

 private:
  struct PoolEntry {
    std::string address;
    std::shared_ptr<proxy::ServerPool> pool;
  };

  // Limits the requests to a server while it is cold, by all known signs.
  void UpdateWarmup(const ServerId& id);
  // Returns how many connections to a server this daemon may use, if all
  // daemons together use `share` of them.
  [[nodiscard]] std::size_t OwnShare(const std::string& service,
                                     double share) const;

  const RetryBounds bounds_;
  const std::string source_ip_;
  bool counts_key_load_ = false;
  MemberCount members_;
  std::uint32_t cut_members_ = 0;
  std::map<std::string, RetryBudget> budgets_;
  std::map<std::string, keyspace::KeyLoad> key_loads_;
  std::map<std::string, std::vector<std::uint16_t>> unsent_keys_;
  std::unordered_map<ServerId, PoolEntry> pools_;
  // By address.
  std::map<std::string, std::shared_ptr<proxy::ServerPool>> relay_pools_;
  // Servers whose unusable load reports were logged.
  std::unordered_set<ServerId> garbled_reports_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_ENTRY_STATE_H_
