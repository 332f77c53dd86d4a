// Brings accepted settings in force on a daemon (docs/design/settings.md).
//
// One daemon of a cell, the watcher, reads the store; the others get each
// version from neighbours, as a change to the text that they have. A daemon
// *holds* a version once it has the whole text with the right digest and has
// checked it. It puts it *in force* once so many other members of its cell
// hold it too that a daemon which starts without the store must meet one of
// them. So the version in force never falls, even over a restart of the VM.
//
// Deterministic: time, messages and replies come in; messages and store calls
// go out. Call Tick() every kTickInterval, and after each call here send what
// TakeOutgoing() returns and make the call that PollStore() returns.
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

// What a daemon knows of how current its settings are.
enum class SyncStatus : std::uint8_t {
  kNone,         // Nothing is in force: serves nothing.
  kCurrent,      // Proven newest within kProofLife, by itself or a neighbour.
  kStoreSilent,  // No proof, but enough members are in contact, and none of
                 // them knows of a newer version.
  kCutOff,       // No proof and too few members in contact.
};

// Returns whether a request may be routed by the settings in force. Stale
// rules are good enough for what may run twice; what may not is refused as not
// run by a daemon that is cut off, since its rule may have been withdrawn.
[[nodiscard]] bool MayServe(SyncStatus sync_status, bool idempotent);

// Returns the standing as written in status and logs, for example "cut-off".
[[nodiscard]] std::string_view ToString(SyncStatus sync_status);

// A whole version, shared by those that keep it.
struct VersionText {
  std::uint64_t number = 0;
  std::uint64_t digest = 0;
  std::string text;
  std::shared_ptr<const TreeT> tree;
};

// A message for another daemon; may be lost.
struct RelayMessage {
  DaemonId to;
  peer::MessageUnion message;
};

struct RelayCounters {
  std::uint64_t updates = 0;           // Versions taken over.
  std::uint64_t deltas = 0;            // Of these, as a change to a text held.
  std::uint64_t bad_updates = 0;       // Wrong digest, or not applicable.
  std::uint64_t rejected = 0;          // Texts that this program finds wrong.
  std::uint64_t digest_conflicts = 0;  // One number with two digests.
};

class SettingsRelay {
 public:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  // How long a proof of being current counts.
  static constexpr Duration kProofLife = std::chrono::seconds(17);
  // How long an answer counts, from the moment it was asked for.
  static constexpr Duration kResponseLife = std::chrono::seconds(3);

  // `seed` differs between daemons and their incarnations.
  SettingsRelay(DaemonId self, std::uint64_t seed, TimePoint now);
  SettingsRelay(const SettingsRelay&) = delete;
  SettingsRelay& operator=(const SettingsRelay&) = delete;

  // Says which daemons the cell has, this one included, and which other ones
  // may be told of news. The lists may be empty until they are known.
  void SetMembers(std::vector<DaemonId> cell, std::vector<DaemonId> others);

  // Takes a SettingsNotice, SettingsRequest or SettingsUpdate.
  void OnMessage(const DaemonId& from,
                 const peer::MessageUnion& message,
                 TimePoint now);
  void Tick(TimePoint now);
  // Returns what is to be sent, once.
  [[nodiscard]] std::vector<RelayMessage> TakeOutgoing();

  // Returns the store call to make, or nothing while one runs or none is due.
  [[nodiscard]] std::optional<store::Call> PollStore(TimePoint now);
  void OnStoreReply(const store::Reply& reply, TimePoint now);

  // Returns the version in force; null before the first.
  [[nodiscard]] const std::shared_ptr<const VersionText>& active_version()
      const {
    return in_force_;
  }
  // Returns the newest version held; null before the first.
  [[nodiscard]] const std::shared_ptr<const VersionText>& held() const {
    return held_;
  }
  // Returns what is known of the version in force at `now`.
  [[nodiscard]] SyncStatus SyncStatusAt(TimePoint now) const;
  [[nodiscard]] bool watching() const { return watching_; }
  [[nodiscard]] bool synced() const { return synced_; }
  [[nodiscard]] const RelayCounters& counters() const { return counters_; }
  // Errors of the newest version that this program rejected.
  [[nodiscard]] const std::vector<SettingsError>& rejection() const {
    return rejection_;
  }
  // Returns the versions that the members of the cell last said they run.
  [[nodiscard]] std::map<DaemonId, std::uint64_t> MemberVersions() const;

 private:
  struct Peer {
    std::uint64_t active_version = 0;
    std::optional<TimePoint> heard_at;
    // The last answer: what the peer held, and when it was asked. An answer
    // counts from then on, since the peer may have been lost right after it.
    std::uint64_t held = 0;
    bool synced = false;
    std::optional<TimePoint> asked_at;
    // The peer's question that is answered once its version is held here.
    std::uint64_t owed_echo = 0;
    std::uint64_t owed_version = 0;
  };
  enum class StoreStep : std::uint8_t { kWatch, kRead };

  void OnNotice(const DaemonId& from,
                const peer::SettingsNoticeT& notice,
                TimePoint now);
  void OnRequest(const DaemonId& from, const peer::SettingsRequestT& request);
  void OnUpdate(const DaemonId& from,
                const peer::SettingsUpdateT& update,
                TimePoint now);
  void OnWatched(const store::Reply& reply, TimePoint now);
  void OnRead(const store::Reply& reply, TimePoint now);
  void OnStoreFailure(TimePoint now);

  // Checks a text and holds it. Returns false where it is wrong.
  bool Hold(std::uint64_t number, std::string text, TimePoint now);
  void AskForResponses(TimePoint now);
  void Advance(TimePoint now);
  void TryToSync(TimePoint now);
  void TryToPutInForce(TimePoint now);
  void UpdateWatcher(TimePoint now);
  void Gossip(TimePoint now);
  void Pull(const DaemonId& from, std::uint64_t have, TimePoint now);
  void SendNotice(const DaemonId& to,
                  std::uint64_t seq,
                  std::uint64_t echo,
                  TimePoint now);
  void PayOwedEchoes(TimePoint now);
  [[nodiscard]] std::size_t Rank() const;
  // Returns how many other members must hold a version before it is in force,
  // and how many synced ones a daemon that starts must have asked.
  [[nodiscard]] std::size_t HoldersNeeded() const;
  [[nodiscard]] std::size_t ResponsesNeeded() const;
  [[nodiscard]] Duration WatchSpacing() const;
  [[nodiscard]] std::uint64_t HeldNumber() const {
    return held_ ? held_->number : 0;
  }
  [[nodiscard]] std::size_t PickIndex(std::size_t bound);

  DaemonId self_;
  bool members_known_ = false;
  std::mt19937_64 random_;
  TimePoint born_at_;
  std::vector<DaemonId> cell_;  // Others of the cell, in order.
  std::vector<DaemonId> others_;
  std::map<DaemonId, Peer> peers_;
  std::shared_ptr<const VersionText> held_;
  std::shared_ptr<const VersionText> in_force_;
  std::deque<std::shared_ptr<const VersionText>> recent_;
  bool synced_ = false;
  std::optional<TimePoint> proof_at_;
  std::uint64_t rejected_ = 0;
  std::vector<SettingsError> rejection_;
  RelayCounters counters_;
  std::vector<RelayMessage> outgoing_;

  std::uint64_t last_seq_ = 0;
  std::map<std::uint64_t, TimePoint> asked_;  // Open questions by number.
  TimePoint ask_at_;
  std::size_t ask_next_ = 0;
  TimePoint gossip_cell_at_;
  TimePoint gossip_others_at_;
  TimePoint pull_until_;

  bool watching_ = false;
  TimePoint watcher_heard_at_;
  TimePoint may_watch_at_;
  TimePoint broadcast_at_;
  bool call_running_ = false;
  StoreStep store_step_ = StoreStep::kWatch;
  TimePoint call_began_;
  TimePoint next_call_at_;
  std::uint64_t revision_ = 0;
  std::optional<TimePoint> store_failing_since_;
};

}  // namespace gentianreach::settings

#endif  // SRC_SETTINGS_SETTINGS_RELAY_H_
