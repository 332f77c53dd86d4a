// A daemon's copies of the store's objects, and the choice of their source.
#ifndef SRC_ENTRY_STORE_COPIES_H_
#define SRC_ENTRY_STORE_COPIES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <boost/leaf/result.hpp>

#include "daemon/operator_server.h"
#include "entry/member_link.h"
#include "entry/store_watcher.h"
#include "gentianreach/time.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

// Copies of the configuration, the server entries and the ownership tables. The
// leader watches the store. The other daemons learn from its heartbeats that
// something has changed and fetch the changes from the leader. A daemon that
// receives no heartbeats, whose leader cannot reach the store, or whose copies
// are out of date reads the store itself.
class StoreCopies {
 public:
  struct Sinks {
    StoreWatcher::Sink config;
    StoreWatcher::Sink servers;
    StoreWatcher::Sink ownership;
  };

  // While the store cannot be reached for less than `shortest_expiry`, no entry
  // of a live server expires.
  StoreCopies(net::EventLoop& loop,
              platform::PlatformClient& platform,
              Duration shortest_expiry,
              Sinks sinks);
  StoreCopies(const StoreCopies&) = delete;
  StoreCopies& operator=(const StoreCopies&) = delete;

  // Starts to read, and serves the copies to other daemons at `address`
  // ("IP:port"). Fails with ListenError.
  boost::leaf::result<void> Start(const std::string& address);

  // What the choice of the source depends on.
  struct LeadershipStatus {
    bool leads = false;
    TimePoint leader_last_seen;
    // This daemon's position in the order of succession.
    std::uint32_t rank = 0;
    // How often a leader sends heartbeats while nothing changes.
    std::chrono::milliseconds heartbeat_period{250};
  };
  // Sets the source of changes. Call it whenever `leadership` changes, and
  // periodically.
  void ChooseSource(const LeadershipStatus& leadership);

  // Handles the status in a heartbeat of the leader; fetches what has changed.
  void OnLeaderHeartbeat(const StoreCopyStatus& copy_status);
  // Another daemon serves its copies at `address`: fetches those that this
  // daemon does not have yet.
  void OnPeerWithCopies(const std::string& address);
  // Updates the copy with an ownership table that this daemon has written.
  void PutTable(const platform::Object& table) { ownership_.Put(table); }

  // Returns the status that this daemon's heartbeats report while it leads.
  [[nodiscard]] StoreCopyStatus CopyStatus() const;
  // Returns a time up to which all copies contain all changes of the store, or
  // TimePoint{} if none is known.
  [[nodiscard]] TimePoint current_at() const;
  // Returns the same for the server entries alone.
  [[nodiscard]] TimePoint servers_current_at() const {
    return servers_.current_at();
  }
  // Returns the same for the configuration alone.
  [[nodiscard]] TimePoint config_current_at() const {
    return config_.current_at();
  }
  // Returns whether entries of live servers may be missing, according to the
  // current source.
  [[nodiscard]] bool MayLackEntries() const;
  // Returns whether the leader at `leader_address` has reported that it cannot
  // reach the store, while this daemon can and its turn to replace the leader
  // has come.
  [[nodiscard]] bool HasLeaderLostStore(
      const std::string& leader_address) const;
  // Returns whether changes come from the leader, not from the store.
  [[nodiscard]] bool follows_leader() const { return follows_leader_; }
  [[nodiscard]] const StoreHealth& health() const { return health_; }
  // Returns the number of fetches of changes that failed.
  [[nodiscard]] std::uint64_t relay_failures() const { return relay_failures_; }

  // Called when the store becomes unreachable for this daemon and when it is
  // reachable again.
  std::function<void(bool lost)> on_store_change;

 private:
  static constexpr std::size_t kKinds = 3;

  [[nodiscard]] std::array<StoreWatcher*, kKinds> Watchers() {
    return {&config_, &servers_, &ownership_};
  }
  [[nodiscard]] std::array<const StoreWatcher*, kKinds> Watchers() const {
    return {&config_, &servers_, &ownership_};
  }
  // Returns whether the copies are older than those of a leader that is on
  // time, whose heartbeats arrive every `heartbeat_period`.
  [[nodiscard]] bool AreOutdated(
      std::chrono::milliseconds heartbeat_period) const;
  // Handles another daemon's request for changes.
  OperatorResponse HandleChangesRequest(const OperatorRequest& request);
  // Fetches the changes from `address` unless the copy already has those up to
  // revision `changed_at`. That copy then contains all changes up to
  // `current_at`.
  void FetchChanges(std::size_t kind,
                    const std::string& address,
                    std::uint64_t changed_at,
                    TimePoint current_at);

  net::EventLoop& loop_;
  StoreHealth health_;
  StoreWatcher config_;
  StoreWatcher servers_;
  StoreWatcher ownership_;
  OperatorServer relay_server_;
  HttpClient relay_client_;
  // Whether a fetch is in flight, by kind.
  std::array<bool, kKinds> fetching_{};
  std::uint64_t relay_failures_ = 0;
  TimePoint started_at_{};
  bool follows_leader_ = false;
  // The leader cannot reach the store, and this daemon's turn to probe the
  // store has come.
  bool probes_store_ = false;
  // From the last heartbeat of a leader.
  std::string leader_address_;
  bool leader_store_lost_ = false;
  bool leader_lacks_entries_ = false;
  TimePoint leader_lost_store_at_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STORE_COPIES_H_
