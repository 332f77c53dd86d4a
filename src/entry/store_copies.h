// A daemon's copies of what the store holds, and whom it learns changes from.
#ifndef SRC_ENTRY_STORE_COPIES_H_
#define SRC_ENTRY_STORE_COPIES_H_

#include <array>
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

// Copies of the configuration, the servers and the ownership of keys. The
// leader watches the store; the others are told by its heartbeats that
// something has changed and fetch that from it. A daemon that hears no leader,
// or whose leader cannot reach the store for a while, watches the store itself.
class StoreCopies {
 public:
  struct Sinks {
    StoreWatcher::Sink config;
    StoreWatcher::Sink servers;
    StoreWatcher::Sink ownership;
  };

  StoreCopies(net::EventLoop& loop,
              platform::PlatformClient& platform,
              Sinks sinks);
  StoreCopies(const StoreCopies&) = delete;
  StoreCopies& operator=(const StoreCopies&) = delete;

  // Begins to read, and passes the copies on at `address` ("IP:port"). Fails
  // with ListenError.
  boost::leaf::result<void> Start(const std::string& address);

  // What decides whom this daemon learns from.
  struct LeadershipStatus {
    bool leads = false;
    TimePoint leader_heard_at;
    // Place in the line of succession.
    std::uint32_t rank = 0;
  };
  // Call it whenever the leadership changes, and from time to time.
  void ChooseSource(const LeadershipStatus& leadership);

  // The leader has told what it has.
  void OnLeaderHeartbeat(const StoreCopyStatus& copy_status);
  // Another daemon has copies, while no leader is known: fetches what this one
  // lacks.
  void OnPeerWithCopies(const std::string& address);
  // Takes in a table that this daemon has written.
  void PutTable(const platform::Object& table) { ownership_.Put(table); }

  // Returns what the heartbeats of this daemon tell while it leads.
  [[nodiscard]] StoreCopyStatus CopyStatus() const;
  // Returns whether entries of live servers may be missing, by whoever tells
  // this daemon of the servers.
  [[nodiscard]] bool MayLackEntries() const;
  // Returns whether the store answers this daemon, but not the leader at
  // `leader_address`, by its own word.
  [[nodiscard]] bool HasLeaderLostStore(
      const std::string& leader_address) const;
  [[nodiscard]] const StoreHealth& health() const { return health_; }

  // Called when the store stops and when it begins to answer this daemon.
  std::function<void(bool lost)> on_store_change;

 private:
  static constexpr std::size_t kKinds = 3;

  [[nodiscard]] std::array<StoreWatcher*, kKinds> Watchers() {
    return {&config_, &servers_, &ownership_};
  }
  [[nodiscard]] std::array<const StoreWatcher*, kKinds> Watchers() const {
    return {&config_, &servers_, &ownership_};
  }
  // Handles another daemon's request for recent changes.
  OperatorResponse HandleChangesRequest(const OperatorRequest& request);
  // Fetches from `address` what changed up to the revision `changed_at`.
  void FetchChanges(std::size_t kind,
                    const std::string& address,
                    std::uint64_t changed_at);

  net::EventLoop& loop_;
  StoreHealth health_;
  StoreWatcher config_;
  StoreWatcher servers_;
  StoreWatcher ownership_;
  OperatorServer relay_server_;
  HttpClient relay_client_;
  // Whether a call for the kind is under way.
  std::array<bool, kKinds> fetching_{};
  bool follows_leader_ = false;
  // What the last heartbeat of a leader said.
  std::string leader_address_;
  bool leader_store_lost_ = false;
  bool leader_lacks_entries_ = false;
  TimePoint leader_lost_store_at_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STORE_COPIES_H_
