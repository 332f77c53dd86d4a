// Distributes accepted settings to the daemons and activates them
// (docs/design/settings.md).
//
// One daemon of a cell, the watcher, reads the store; the others receive each
// version from other daemons, as a delta to the text that they hold. A daemon
// *holds* a version once it has the whole text, with a matching digest, and has
// validated it. The version becomes *active* once a quorum of the other members
// of the cell holds it too. The quorum is chosen so that a daemon that starts
// while the store is unavailable needs a response from at least one holder.
// Therefore the active version never decreases, even if the VM is replaced.
//
// Deterministic: takes time, messages and store replies as input and returns
// messages and store calls. Call Tick() every kTickInterval. After every call,
// send the messages that TakeOutgoing() returns and make the store call that
// PollStore() returns.
#ifndef SRC_SETTINGS_SETTINGS_RELAY_H_
#define SRC_SETTINGS_SETTINGS_RELAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/settings.h"
#include "gentianreach/time.h"
#include "peer_generated.h"
#include "store/store_call.h"

namespace gentianreach::settings {

// How current a daemon knows its settings to be.
enum class SyncStatus : std::uint8_t {
  kNone,         // No active version: serves no requests.
  kCurrent,      // Confirmed as the newest version within kProofLifetime, by
                 // its own read of the store or by that of another daemon.
  kStoreSilent,  // Not confirmed, but in contact with enough members, none of
                 // which knows a newer version.
  kCutOff,       // Not confirmed, and in contact with too few members.
};

// Returns whether a request may be routed by the active settings. Idempotent
// requests may be routed by outdated settings. Other requests are refused as
// not executed by a daemon that is cut off, since their route may have been
// removed.
[[nodiscard]] bool MayServe(SyncStatus sync_status, bool idempotent);

// Returns the name used in the status and in logs, such as "cut-off".
[[nodiscard]] std::string_view ToString(SyncStatus sync_status);

// One complete version of the settings.
struct VersionText {
  std::uint64_t number = 0;
  std::uint64_t digest = 0;
  std::string text;
  std::shared_ptr<const TreeT> tree;
};

// A message to another daemon. Delivery is not guaranteed.
struct RelayMessage {
  DaemonId to;
  peer::MessageUnion message;
};

struct RelayCounters {
  std::uint64_t updates = 0;           // Versions received and held.
  std::uint64_t deltas = 0;            // Of these, received as a delta.
  std::uint64_t bad_updates = 0;       // Wrong digest or inapplicable delta.
  std::uint64_t rejected = 0;          // Versions that failed validation.
  std::uint64_t digest_conflicts = 0;  // Same number, different digest.
};

class SettingsRelay {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  // How long a confirmation that a version is the newest remains valid.
  static constexpr Duration kProofLifetime = std::chrono::seconds(17);
  // How long a response to a query remains valid, from the time of the query.
  static constexpr Duration kResponseLifetime = std::chrono::seconds(3);

  // `seed` differs between daemons and their incarnations.
  SettingsRelay(DaemonId self, std::uint64_t seed, TimePoint now);
  SettingsRelay(const SettingsRelay&) = delete;
  SettingsRelay& operator=(const SettingsRelay&) = delete;

  // Sets the daemons of the cell, including this one, and the daemons outside
  // the cell that may be notified of new versions. Both lists may be empty
  // until they are known.
  void SetMembers(std::vector<DaemonId> cell, std::vector<DaemonId> others);

  // Handles a SettingsNotice, SettingsRequest or SettingsUpdate; ignores other
  // messages.
  void OnMessage(const DaemonId& from,
                 const peer::MessageUnion& message,
                 TimePoint now);
  void Tick(TimePoint now);
  // Returns the messages to send and removes them from the queue.
  [[nodiscard]] std::vector<RelayMessage> TakeOutgoing();

  // Returns the store call to make, or nullopt if one is in progress or none is
  // due.
  [[nodiscard]] std::optional<store::Call> PollStore(TimePoint now);
  void OnStoreReply(const store::Reply& reply, TimePoint now);

  // Returns the active version, or null if there is none yet.
  [[nodiscard]] const std::shared_ptr<const VersionText>& active_version()
      const {
    return active_;
  }
  // Returns the newest held version, or null if there is none yet.
  [[nodiscard]] const std::shared_ptr<const VersionText>& held() const {
    return held_;
  }
  // Returns how current the active version is known to be at `now`.
  [[nodiscard]] SyncStatus SyncStatusAt(TimePoint now) const;
  [[nodiscard]] bool watching() const { return watching_; }
  [[nodiscard]] bool synced() const { return synced_; }
  [[nodiscard]] const RelayCounters& counters() const { return counters_; }
  // Returns the errors of the newest version that failed validation.
  [[nodiscard]] const std::vector<SettingsError>& rejection() const {
    return rejection_;
  }
  // Returns the active version that each member of the cell last reported; 0 if
  // none.
  [[nodiscard]] std::map<DaemonId, std::uint64_t> MemberVersions() const;

 private:
  struct Peer {
    std::uint64_t active_version = 0;
    std::optional<TimePoint> last_seen;
    // The last response: the version that the peer held and the time of the
    // query. The lifetime of a response counts from the query, since the peer
    // may have been lost right after it responded.
    std::uint64_t held = 0;
    bool synced = false;
    std::optional<TimePoint> queried_at;
    // Query from the peer to respond to once this daemon holds the peer's
    // version; 0 if none.
    std::uint64_t deferred_echo = 0;
    std::uint64_t deferred_version = 0;
  };
  enum class StoreStep : std::uint8_t { kWatch, kRead };

  void OnNotice(const DaemonId& from,
                const peer::SettingsNoticeT& notice,
                TimePoint now);
  void OnRequest(const DaemonId& from, const peer::SettingsRequestT& request);
  void OnUpdate(const DaemonId& from,
                const peer::SettingsUpdateT& update,
                TimePoint now);
  void OnWatchReply(const store::Reply& reply, TimePoint now);
  void OnReadReply(const store::Reply& reply, TimePoint now);
  void OnStoreFailure(TimePoint now);

  // Validates a text and holds it. Returns false if it is invalid.
  bool Hold(std::uint64_t number, std::string text, TimePoint now);
  void QueryMembers(TimePoint now);
  void Advance(TimePoint now);
  void TryToSync(TimePoint now);
  void TryToActivate(TimePoint now);
  void UpdateWatcher(TimePoint now);
  void Gossip(TimePoint now);
  void Pull(const DaemonId& from, std::uint64_t have, TimePoint now);
  void SendNotice(const DaemonId& to,
                  std::uint64_t seq,
                  std::uint64_t echo,
                  TimePoint now);
  void SendDeferredEchoes(TimePoint now);
  [[nodiscard]] std::size_t Rank() const;
  // Returns how many other members must hold a version before it becomes
  // active.
  [[nodiscard]] std::size_t HoldersNeeded() const;
  // Returns from how many synced members a daemon that starts needs responses.
  [[nodiscard]] std::size_t ResponsesNeeded() const;
  [[nodiscard]] Duration WatchSpacing() const;
  [[nodiscard]] std::uint64_t HeldNumber() const {
    return held_ ? held_->number : 0;
  }
  [[nodiscard]] std::size_t PickIndex(std::size_t bound);

  DaemonId self_;
  bool members_known_ = false;
  std::mt19937_64 random_;
  TimePoint started_at_;
  std::vector<DaemonId> cell_;  // Other members of the cell, sorted.
  std::vector<DaemonId> others_;
  std::map<DaemonId, Peer> peers_;
  std::shared_ptr<const VersionText> held_;
  std::shared_ptr<const VersionText> active_;
  std::deque<std::shared_ptr<const VersionText>> recent_;
  bool synced_ = false;
  std::optional<TimePoint> proof_at_;
  std::uint64_t rejected_ = 0;
  std::vector<SettingsError> rejection_;
  RelayCounters counters_;
  std::vector<RelayMessage> outgoing_;

  std::uint64_t last_seq_ = 0;
  std::map<std::uint64_t, TimePoint>
      pending_queries_;  // Send times by query number.
  TimePoint next_query_at_;
  std::size_t next_query_member_ = 0;
  TimePoint gossip_cell_at_;
  TimePoint gossip_others_at_;
  TimePoint pull_timeout_at_;

  bool watching_ = false;
  TimePoint watcher_last_seen_;
  TimePoint watch_allowed_at_;
  TimePoint broadcast_at_;
  bool call_in_progress_ = false;
  StoreStep store_step_ = StoreStep::kWatch;
  TimePoint call_started_at_;
  TimePoint next_call_at_;
  std::uint64_t revision_ = 0;
  std::optional<TimePoint> store_failing_since_;
};

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_SETTINGS_RELAY_H_
