// Carries out what the assigners of the keyed services decide, while this
// daemon leads.
#ifndef SRC_ENTRY_KEY_ASSIGNMENT_H_
#define SRC_ENTRY_KEY_ASSIGNMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "entry/entry_state.h"
#include "entry/leader_election.h"
#include "keyspace/range_assigner.h"
#include "net/deadline_timer.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

class KeyAssignment {
 public:
  KeyAssignment(EntryState& state,
                LeaderElection& election,
                platform::PlatformClient& platform,
                keyspace::AssignerOptions options);
  KeyAssignment(const KeyAssignment&) = delete;
  KeyAssignment& operator=(const KeyAssignment&) = delete;

  // Goes on: call it whenever servers, configuration or leadership change.
  void Run();

  // Called with each table that was written or read.
  std::function<void(const platform::Object&)> on_table;

 private:
  // One keyed service, while this daemon leads.
  struct Service {
    explicit Service(keyspace::AssignerOptions options) : assigner(options) {}

    keyspace::RangeAssigner assigner;
    std::uint64_t revision = 0;  // Of the table in the store; 0: none.
    bool begun = false;
    bool reading = false;
    TimePoint next_read{};
    // A table whose write had no answer: it may be in the store.
    std::optional<keyspace::OwnershipTable> unconfirmed;
    // Tells replies to an earlier term of leading apart.
    std::uint64_t term = 0;
    // Of the directory that the assigner was last told.
    std::uint64_t directory_changes = 0;
    TimePoint next_refresh{};
  };

  void RunService(const std::string& name, Service& service);
  void ReadTable(const std::string& name, Service& service);
  void WriteTable(const std::string& name,
                  Service& service,
                  const keyspace::OwnershipTable& table);
  void SendOrder(const std::string& name,
                 Service& service,
                 const keyspace::SendOrder& order);
  // Tells the assigner of the servers, where anything has changed.
  void UpdateServers(const std::string& name, Service& service, TimePoint now);
  // Returns the service while the term goes on, else null.
  Service* Find(const std::string& name, std::uint64_t term);
  [[nodiscard]] std::vector<keyspace::AssignerServer> Servers(
      const std::string& service) const;

  EntryState& state_;
  LeaderElection& election_;
  platform::PlatformClient& platform_;
  const keyspace::AssignerOptions options_;
  std::map<std::string, Service> services_;
  std::uint64_t last_term_ = 0;
  bool running_ = false;
  net::DeadlineTimer timer_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_KEY_ASSIGNMENT_H_
