// Executes the actions of the range assigners of all keyed services while this
// daemon is the leader.
#ifndef SRC_ENTRY_KEY_ASSIGNMENT_H_
#define SRC_ENTRY_KEY_ASSIGNMENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "entry/entry_state.h"
#include "entry/leader_election.h"
#include "keyspace/range_assigner.h"
#include "net/deadline_timer.h"
#include "platform/platform_client.h"
#include "platform/server_orders.h"

namespace gentianreach::entry {

// Returns the options for servers that grant leases of up to `longest_lease`.
[[nodiscard]] keyspace::AssignerOptions AssignerOptionsFor(
    std::chrono::milliseconds longest_lease);

class KeyAssignment {
 public:
  KeyAssignment(EntryState& state,
                LeaderElection& election,
                platform::PlatformClient& platform,
                keyspace::AssignerOptions options);
  KeyAssignment(const KeyAssignment&) = delete;
  KeyAssignment& operator=(const KeyAssignment&) = delete;

  // Executes what is due. Call it whenever servers, configuration or leadership
  // change.
  void Run();

  // Called with each ownership table that was written to or read from the
  // store.
  std::function<void(const platform::Object&)> on_table;

 private:
  // A keyed service. Exists only while this daemon is the leader.
  struct Service {
    Service(EntryState& state, keyspace::AssignerOptions options)
        : assigner(options),
          orders(std::make_unique<platform::ServerOrders>(
              state.loop,
              state.ConnectionOptions())) {}

    keyspace::RangeAssigner assigner;
    // Never null.
    std::unique_ptr<platform::ServerOrders> orders;
    // Of the table in the store; 0 if there is none.
    std::uint64_t revision = 0;
    // The assigner works with the table of the store.
    bool begun = false;
    bool reading = false;
    TimePoint next_read{};
    // A table whose write had an unknown result: it may be in the store.
    std::optional<keyspace::OwnershipTable> unconfirmed;
    // Of a table in the store that cannot be used, and when it was first read.
    std::optional<std::uint64_t> unusable_revision;
    TimePoint unusable_since{};
    // Identifies a term of leadership, so that replies to calls of an earlier
    // term are ignored.
    std::uint64_t term = 0;
    // The change count of the directory when the assigner last received it.
    std::uint64_t directory_changes = 0;
    // The same of the evacuations.
    std::uint64_t evacuation_changes = 0;
    // Servers that were removed from the directory up to then are known to the
    // assigner.
    TimePoint unlisted_until{};
    TimePoint next_refresh{};
  };

  void RunService(const std::string& name, Service& service);
  // Handles a table that was found in the store, in case a later leader has
  // written it.
  void CheckEpoch(const std::string& name,
                  const keyspace::OwnershipTable& table);
  void ReadTable(const std::string& name, Service& service);
  // Replaces the table of `name` in the store, which has `content` and cannot
  // be used, once it is known that no later leader has written it.
  void OnUnusableTable(const std::string& name,
                       Service& service,
                       std::string_view event,
                       const nlohmann::json& content);
  void WriteTable(const std::string& name,
                  Service& service,
                  const keyspace::OwnershipTable& table);
  void SendOrder(const std::string& name,
                 Service& service,
                 const keyspace::SendOrder& order);
  // Updates the assigner's servers, and the connections to them, if the
  // directory has changed or their capacity is due for a refresh.
  void UpdateServers(const std::string& name, Service& service, TimePoint now);
  void OnConnected(const std::string& name,
                   std::uint64_t term,
                   const std::string& address);
  // Tells the assigner of servers that were listed.
  void ReportUnlisted(const std::string& name, Service& service, TimePoint now);
  // Returns the service, or null if `term` has ended.
  Service* Find(const std::string& name, std::uint64_t term);
  [[nodiscard]] std::vector<keyspace::AssignerServer> Servers(
      const std::string& service) const;
  [[nodiscard]] std::set<std::string> Addresses(
      const std::string& service) const;

  EntryState& state_;
  LeaderElection& election_;
  platform::PlatformClient& platform_;
  const keyspace::AssignerOptions options_;
  std::map<std::string, Service> services_;
  // Of the term that `services_` is for.
  Epoch epoch_;
  std::uint64_t last_term_ = 0;
  bool running_ = false;
  net::DeadlineTimer timer_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_KEY_ASSIGNMENT_H_
