// A daemon's copies of the store's objects, and the choice of their source.
#ifndef SRC_ENTRY_STORE_COPIES_H_
#define SRC_ENTRY_STORE_COPIES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include "daemon/operator_server.h"
#include "entry/copy_source.h"
#include "entry/member_link.h"
#include "entry/store_watcher.h"
#include "gentianreach/time.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "platform/platform_client.h"

namespace gentianreach::entry {

// Copies of the configuration, the server entries, the ownership tables and, if
// they have a sink, the evacuations of zones. The leader watches the store. The
// other daemons learn from its heartbeats that something has changed and fetch
// the changes from the leader. A daemon that receives no heartbeats, whose
// leader cannot reach the store, or whose copies are out of date reads the
// store itself.
class StoreCopies {
 public:
  struct Sinks {
    StoreWatcher::Sink config;
    StoreWatcher::Sink servers;
    StoreWatcher::Sink ownership;
    // Without functions, evacuations are neither read nor relayed.
    StoreWatcher::Sink evacuations = {};
  };

  // While the store cannot be reached for less than `shortest_expiry`, no entry
  // of a live server expires. Copies that are older than `max_copy_age` are of
  // no use; see CopySourceChooser. Connects to other daemons from `source_ip`,
  // or from an address that the system chooses if it is empty.
  StoreCopies(net::EventLoop& loop,
              platform::PlatformClient& platform,
              Duration shortest_expiry,
              Duration max_copy_age,
              Sinks sinks,
              std::string source_ip = {});
  StoreCopies(const StoreCopies&) = delete;
  StoreCopies& operator=(const StoreCopies&) = delete;

  // Starts to read, and serves the copies to other daemons at `address`
  // ("IP:port"). Fails with ListenError.
  boost::leaf::result<void> Start(const std::string& address);

  // Sets the source of changes. Call it whenever `leadership` changes, and
  // periodically.
  void ChooseSource(const LeadershipStatus& leadership);

  // Handles the status in a heartbeat of the leader; fetches what has changed.
  void OnLeaderHeartbeat(const StoreCopyStatus& copy_status);
  // The daemons that serve their copies at `addresses` are members: they may be
  // asked for copies, and report whether their calls of the store fail.
  void OnMembers(const std::vector<std::string>& addresses) {
    chooser_.OnMembers(addresses, loop_.Now());
  }
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
  // Returns the same for the evacuations alone; max() if they are not read.
  [[nodiscard]] TimePoint evacuations_current_at() const {
    return evacuations_ ? evacuations_->current_at() : TimePoint::max();
  }
  // Returns the same for what decides which servers may get requests: the
  // server entries and the evacuations.
  [[nodiscard]] TimePoint entries_current_at() const {
    return std::min(servers_current_at(), evacuations_current_at());
  }
  // Returns the same for the configuration alone.
  [[nodiscard]] TimePoint config_current_at() const {
    return config_.current_at();
  }
  // Returns whether the server entries cannot be renewed because the store
  // cannot be reached, as far as this daemon can find out.
  [[nodiscard]] bool IsStoreLost() const {
    return !AreEvacuationsBehind() &&
           chooser_.IsStoreLost(ContactSince(servers_.current_at()),
                                loop_.Now());
  }
  // Returns the same for the configuration.
  [[nodiscard]] bool IsStoreLostForConfig() const {
    return chooser_.IsStoreLost(ContactSince(config_.current_at()),
                                loop_.Now());
  }
  // Returns whether most daemons have reported to this one that they have lost
  // the store, and none that it has answered.
  [[nodiscard]] bool HaveMostLostStore() const {
    return chooser_.DoMostReportLoss(ContactSince(servers_.current_at()),
                                     loop_.Now());
  }
  // Returns whether entries of live servers may be missing, according to the
  // current source.
  [[nodiscard]] bool MayLackEntries() const;
  // Returns whether the leader at `leader_address` has reported that it cannot
  // reach the store, while this daemon can and its turn to replace the leader
  // has come.
  [[nodiscard]] bool HasLeaderLostStore(
      const std::string& leader_address) const;
  // Returns where changes come from.
  [[nodiscard]] CopySource source() const { return source_; }
  [[nodiscard]] const StoreHealth& health() const { return health_; }
  // Returns the number of fetches of changes that failed.
  [[nodiscard]] std::uint64_t relay_failures() const { return relay_failures_; }
  // Returns the number of objects that could not be parsed when this daemon
  // read them from the store.
  [[nodiscard]] std::uint64_t unreadable_objects() const;

  // Called when the store becomes unreachable for this daemon and when it is
  // reachable again.
  std::function<void(bool lost)> on_store_change;

 private:
  // Number of kinds of objects, the last of which is optional.
  static constexpr std::size_t kKinds = 4;

  // Returns whether there is no copy of the evacuations yet, or one that is so
  // much older than that of the server entries that the store may have
  // acknowledged evacuations while it served the entries alone. Nothing is then
  // decided, even if the store is lost.
  [[nodiscard]] bool AreEvacuationsBehind() const {
    if (!evacuations_) {
      return false;
    }
    const TimePoint current_at = evacuations_->current_at();
    const bool known = evacuations_->listed() || current_at != TimePoint{};
    return !known || current_at < servers_.current_at() - max_copy_age_;
  }
  // Creates the watcher of the evacuations if `sink` has functions. Returns all
  // watchers.
  std::vector<StoreWatcher*> ReadEvacuations(
      StoreWatcher::Sink sink,
      platform::PlatformClient& platform);
  // Returns whether a call of this daemon has failed since the server entries
  // were complete, and not as one too many.
  [[nodiscard]] bool HasCallFailed() const {
    return health_.failed_at() >
           std::max(servers_.current_at(), health_.limited_at());
  }
  // Returns what is known of the store for copies that are complete up to
  // `current_at`.
  [[nodiscard]] StoreContact ContactSince(TimePoint current_at) const {
    return {current_at, health_.failed_at(), health_.seen_at()};
  }
  // Returns the time of current_at() as lists alone prove it.
  [[nodiscard]] TimePoint listed_at() const;
  // Returns `of_ownership`, or now if this daemon alone changes the tables.
  [[nodiscard]] TimePoint OwnershipTime(TimePoint of_ownership) const;
  // Handles another daemon's request for changes.
  OperatorResponse HandleChangesRequest(const OperatorRequest& request);
  // Handles another daemon's question for the state of the copies.
  OperatorResponse HandleStatusRequest();
  // Returns whether peers are asked: the copies are outdated, or this daemon's
  // calls fail or leave a gap in which entries may have expired.
  [[nodiscard]] bool AsksPeers() const {
    return chooser_.AsksPeers() ||
           (source_ == CopySource::kStore &&
            (health_.lost() || health_.MayLackEntries()));
  }
  // Asks some of the peers for the state of their copies.
  void PollPeers();
  // Returns the peers to ask next. All have their turn.
  [[nodiscard]] std::vector<std::string> NextPeers();
  // Handles the status of the peer at `address`, which was requested at
  // `asked_at`: fetches what the peer has more, if `has_copies`.
  void OnPeerStatus(const std::string& address,
                    const std::string& status,
                    bool has_copies,
                    TimePoint asked_at);
  // Handles what the status of a peer says of the store.
  void OnPeerReport(const std::string& address,
                    const nlohmann::json& status,
                    TimePoint asked_at);
  // Handles what the daemon that tells of changes states about its copies:
  // whether they may lack entries, up to when they are complete, and up to when
  // watches prove nothing.
  void OnSourceStatus(const StoreCopyStatus& status);
  // What another daemon has stated about its copy of one kind of objects.
  struct RemoteCopy {
    // Where the daemon serves its copies.
    std::string address;
    std::uint64_t changed_at = 0;
    // Not known from earlier versions.
    std::optional<std::uint64_t> digest;
    // The copy contains all changes up to this time.
    TimePoint current_at{};
    // The same as lists alone prove it.
    TimePoint listed_at{};
  };
  // How this daemon's copy relates to a remote one.
  enum class CopyRelation : std::uint8_t {
    kContains,  // Has all that is in the remote one.
    kBehind,    // Lacks changes up to the remote revision.
    // Is older, although it has as high a revision: the store's counter has
    // gone back since.
    kSuperseded,
    kUnknown,
  };
  [[nodiscard]] static CopyRelation Compare(const StoreWatcher& watcher,
                                            const RemoteCopy& remote);
  // Returns what `status` of the daemon at `address` states about `kind`.
  [[nodiscard]] static RemoteCopy RemoteCopyOf(const StoreCopyStatus& status,
                                               std::size_t kind);
  // Fetches changes from a mirror or, if it has failed, from the leader.
  void FetchFromLeader(std::size_t kind, const RemoteCopy& leader_copy);
  // Fetches from `address` what the copy lacks of `remote`. The copy then
  // contains all changes that `remote` does. `done`, if set, receives whether
  // it has those changes now; it is not called if a fetch was in flight
  // already.
  void FetchChanges(std::size_t kind,
                    const std::string& address,
                    const RemoteCopy& remote,
                    TimePoint deadline,
                    std::function<void(bool)> done = {});

  net::EventLoop& loop_;
  StoreHealth health_;
  StoreWatcher config_;
  StoreWatcher servers_;
  StoreWatcher ownership_;
  std::optional<StoreWatcher> evacuations_;
  // Of all kinds that are read, in the order in which they are stated.
  const std::vector<StoreWatcher*> watchers_;
  const Duration max_copy_age_;
  OperatorServer relay_server_;
  HttpClient relay_client_;
  // Whether a fetch is in flight, by kind.
  std::array<bool, kKinds> fetching_{};
  std::uint64_t relay_failures_ = 0;
  TimePoint started_at_{};
  CopySourceChooser chooser_;
  CopySource source_ = CopySource::kStore;
  bool leads_ = false;
  TimePoint leads_since_{};
  // From the last heartbeat of a leader.
  std::string leader_address_;
  std::string mirror_;
  // Peers in the order in which they are asked.
  std::vector<std::string> peers_to_ask_;
  // Whether the leader or the last peer may lack entries.
  bool source_lacks_entries_ = false;
  // A mirror that has failed is not used until then.
  TimePoint mirror_avoided_until_{};
  std::minstd_rand generator_{std::random_device{}()};
  net::DeadlineTimer peer_timer_;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_STORE_COPIES_H_
