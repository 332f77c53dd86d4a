// Exchange of datagrams between the leader and the other entry daemons.
#ifndef SRC_ENTRY_MEMBER_LINK_H_
#define SRC_ENTRY_MEMBER_LINK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "entry/crash_watch.h"
#include "entry/entry_state.h"
#include "entry/leader_election.h"
#include "entry/relays.h"
#include "entry_generated.h"
#include "gentianreach/time.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "net/udp_socket.h"

namespace gentianreach::entry {

// The state of the leader's copies of store objects, as its heartbeats report
// it.
struct StoreCopyStatus {
  // Where other daemons can fetch the copies, as "IP:port".
  std::string address;
  // The daemon from which this one is to fetch them instead; empty: none.
  std::string mirror;
  // The leader cannot reach the store.
  bool store_lost = false;
  // Most daemons have reported to the leader that they cannot, either, and none
  // that it can.
  bool most_lost_store = false;
  // When the status was sent; TimePoint{}: not known.
  TimePoint sent_at{};
  // Entries of live servers may be missing after an outage of the store.
  bool may_lack_entries = false;
  // Store revisions at which the copies last changed: configuration, servers,
  // key ownership and, if they are read, evacuations, in this order.
  std::vector<std::uint64_t> changed_at;
  // Digests of the copies in the same order; none from earlier versions.
  std::vector<std::uint64_t> digests;
  // All changes up to this time are in the copies; TimePoint{}: unknown.
  TimePoint current_at{};
  // The same as lists of the store alone prove it.
  TimePoint listed_at{};
  // Watches prove nothing up to this time, since the store has dropped its
  // history; TimePoint{}: it has not.
  TimePoint watches_void_until{};
  // Addresses of the first members in the order of succession, without the
  // daemon that receives the status. They have copies, too.
  std::vector<std::string> peers;

  [[nodiscard]] bool HasCopiesOf(const StoreCopyStatus& other) const {
    return changed_at == other.changed_at && digests == other.digests;
  }
};

// Tells the daemons whether their leader is alive, the revisions of its copies,
// the number of daemons, and which requests crash servers.
//
// Each member sends a Hello to the leader of the store's record several times a
// second. The leader responds to each with a heartbeat and sends one to all
// members when its copies change. Datagrams may be lost: all of them are
// repeated.
class MemberLink {
 public:
  MemberLink(net::EventLoop& loop,
             Member self,
             double processor_share,
             std::string forward_address,
             std::vector<std::string> seeds,
             LeaderElection& election,
             EntryState& state);
  MemberLink(const MemberLink&) = delete;
  MemberLink& operator=(const MemberLink&) = delete;

  // Starts to receive at `address` ("IP:port"), which other daemons reach at
  // this daemon's address. Fails with net::SocketError.
  boost::leaf::result<void> Open(const std::string& address);
  // Tells the other daemons at once that this one has lost its path to the
  // servers, or has it again.
  void AnnounceServerPath();
  // Sends a heartbeat to all members; those that fetch copies from a mirror get
  // it later than the mirrors. Call it only on the leader.
  void SendLeaderHeartbeats();
  // Tells all members that this leader steps down.
  void AnnounceResignation();
  // Sets what the heartbeats of this daemon report while it leads.
  void SetStoreCopyStatus(StoreCopyStatus copy_status);
  // Returns the addresses of the first members in the order of succession.
  [[nodiscard]] std::vector<std::string> SuccessorAddresses();

  // Returns whether the number of daemons is known: this one leads, or a leader
  // has reported it.
  [[nodiscard]] bool knows_members() const {
    return was_leader_ || leader_last_seen_ != TimePoint{};
  }
  // Returns the known number of daemons, including this one.
  [[nodiscard]] std::uint32_t members() const { return members_; }
  // Returns how many of them have lost their path to the servers.
  [[nodiscard]] std::uint32_t cut_members() const { return cut_members_; }
  // Returns when the last heartbeat of the current leader arrived.
  [[nodiscard]] TimePoint leader_last_seen() const { return leader_last_seen_; }
  // Returns this daemon's position in the order of succession.
  [[nodiscard]] std::uint32_t rank() const { return rank_; }
  // Returns the number of datagrams to other daemons that could not be sent.
  [[nodiscard]] std::uint64_t unsent_datagrams() const {
    return socket_.unsent();
  }
  // Returns the number of datagrams from other daemons that the kernel dropped.
  [[nodiscard]] std::uint64_t CountDroppedDatagrams() const {
    return socket_.CountDropped();
  }
  // Returns how often the leader sends heartbeats while nothing changes.
  [[nodiscard]] std::chrono::milliseconds heartbeat_period() const;

  // Called for each heartbeat of the leader.
  std::function<void(const StoreCopyStatus&)> on_leader_heartbeat;
  // Called with the address of a daemon that sent a leader hint; it serves its
  // copies in the same way as a leader.
  std::function<void(const std::string&)> on_peer_with_copies;
  // Called when the known leader or the members may have changed.
  std::function<void()> on_membership_update;

 private:
  // What a daemon knows about another one.
  struct KnownMember {
    Member member;
    TimePoint last_seen;
    double processor_share = 0;
    std::vector<Fingerprint> unsent_crash_reports;
    // Hello.refusal_digest of the last one.
    std::uint64_t refusal_digest = 0;
    // Set only on the leader.
    ZoneName zone;
    std::string forward_address;
    bool servers_lost = false;
    // Whether it has sent a Hello, and Hello.sent_ms of the last one.
    bool said_hello = false;
    std::uint64_t hello_sent_ms = 0;
    // Whether the next heartbeat is the response to a Hello.
    bool awaits_response = false;
    // Set by UpdateSuccession().
    std::uint32_t rank = 0;
    // Address of its mirror; empty: none.
    std::string mirror;
  };

  void Tick();
  void Receive(std::span<const std::uint8_t> data);
  void OnHello(const wire::HelloT& hello);
  void OnLeaderHeartbeat(const wire::LeaderHeartbeatT& heartbeat);
  void OnHint(const wire::LeaderHintT& hint);
  void SendHint(const std::string& address);
  // Sends a heartbeat to each replaced leader, which may send no Hello.
  void NotifyReplacedLeaders();
  // Sends the current leader to the members that this daemon knew as leader.
  void SendHintsToMembers();
  void SendHello();
  // Updates the number of members without a path to the servers, and the relays
  // of this daemon. Call it only on the leader.
  void UpdateRelays();
  // Sets the relays of this daemon; requests that wait for them continue.
  void SetRelays(std::vector<Relay> relays);
  // Returns the relays for the daemon `name` in `zone`.
  [[nodiscard]] std::vector<Relay> RelaysFor(const std::string& name,
                                             const ZoneName& zone) const;
  // Starts to replace a leader that has lost its path to the servers once the
  // turn of this daemon has come.
  void ReplaceUnfitLeader(bool leader_lost_servers, TimePoint now);
  void AddSamples(const wire::HelloT& hello);
  void SendLeaderHeartbeat(KnownMember& known, bool resigning);
  // Sends a heartbeat to the members that fetch copies from a mirror.
  void SendHeartbeatsToMirrored();
  // Lets the mirrors fetch what they have just been told of.
  void StartMirrorHeadStart();
  void Send(const std::string& address, const wire::BodyUnion& body);
  void QueueCrashReports(const std::string& from,
                         const std::vector<Fingerprint>& crashes);
  // Call it whenever members are added, removed or change: `succession_` points
  // to them, and is empty until the next UpdateSuccession().
  void InvalidateSuccession() {
    succession_.clear();
    succession_outdated_ = true;
  }
  // Updates the order of succession, and each member's rank and mirror, if it
  // has been invalidated.
  void UpdateSuccession();
  // Returns the first members in the order of succession. Call
  // UpdateSuccession() before.
  [[nodiscard]] std::span<const KnownMember* const> NamedSuccessors() const;

  net::EventLoop& loop_;
  const Member self_;
  const double processor_share_;
  const std::string forward_address_;
  // Addresses to send Hellos to while no leader is known.
  const std::vector<std::string> seeds_;
  LeaderElection& election_;
  EntryState& state_;
  CrashWatch& crashes_;
  net::UdpSocket socket_;
  net::DeadlineTimer timer_;
  // By name. On the leader: the members that have sent a Hello. On the others:
  // the leader, and the members that its last heartbeat named.
  std::map<std::string, KnownMember> known_members_;
  // The known members in the order of succession.
  std::vector<const KnownMember*> succession_;
  bool succession_outdated_ = true;
  // When the members that fetch copies from a mirror get their heartbeat.
  net::DeadlineTimer mirrored_timer_;
  bool was_leader_ = false;
  // A new leader receives the first Hellos of its members one by one. Until
  // this time it does not count fewer members than the previous leader did.
  TimePoint member_count_settled_at_{};
  std::uint32_t members_ = 1;
  std::uint32_t cut_members_ = 0;
  std::uint32_t rank_ = 0;
  // When the leader first reported that it has lost its path to the servers.
  std::optional<TimePoint> leader_unfit_since_;
  StoreCopyStatus own_copy_status_;
  // What the mirrors were told last.
  StoreCopyStatus announced_copy_status_;
  // What the members that fetch copies from a mirror are told: a status that
  // the mirrors have had time to catch up with, and the one after it.
  StoreCopyStatus mirrored_copy_status_;
  StoreCopyStatus next_mirrored_copy_status_;
  TimePoint leader_last_seen_{};
  // LeaderHeartbeat.refusal_digest of the last one.
  std::uint64_t leader_refusal_digest_ = 0;
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_MEMBER_LINK_H_
