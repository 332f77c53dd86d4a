// Datagrams between the leader and the other daemons.
#ifndef SRC_ENTRY_MEMBER_LINK_H_
#define SRC_ENTRY_MEMBER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "entry/crash_watch.h"
#include "entry/entry_state.h"
#include "entry/leader_election.h"
#include "entry_generated.h"
#include "gentianreach/time.h"
#include "net/deadline_timer.h"
#include "net/event_loop.h"
#include "net/udp_socket.h"

namespace gentianreach::entry {

// What the leader tells of its copies of the store.
struct StoreCopyStatus {
  // Where the copies are passed on, as "IP:port".
  std::string address;
  bool store_lost = false;
  // Entries of live servers may be missing after an outage of the store.
  bool may_lack_entries = false;
  // Revisions at which they last changed: configuration, servers, ownership.
  std::vector<std::uint64_t> changed_at;
};

// Lets the daemons know that their leader lives and what it has seen, how many
// they are, and which requests crash servers.
//
// A member says hello to the leader of the store's record several times a
// second; the leader answers each with a heartbeat, and sends one to all when
// something changes. Nothing depends on a single datagram.
class MemberLink {
 public:
  MemberLink(net::EventLoop& loop,
             Member self,
             double processor_share,
             std::vector<std::string> seeds,
             LeaderElection& election,
             EntryState& state);
  MemberLink(const MemberLink&) = delete;
  MemberLink& operator=(const MemberLink&) = delete;

  // Opens the own address. Fails with net::SocketError.
  boost::leaf::result<void> Open();
  // Leader: tells all members what has changed.
  void SendLeaderHeartbeats();
  // Tells all members at once that this leader leaves the lead.
  void AnnounceResignation();
  // Sets what the heartbeats of this daemon tell while it leads.
  void SetStoreCopyStatus(StoreCopyStatus news) {
    own_copy_status_ = std::move(news);
  }

  // Returns the number of daemons, this one included, as far as known.
  [[nodiscard]] std::uint32_t members() const { return members_; }
  // Returns when the present leader was last heard.
  [[nodiscard]] TimePoint leader_heard_at() const { return leader_heard_at_; }
  // Returns this daemon's place in the line of succession.
  [[nodiscard]] std::uint32_t rank() const { return rank_; }

  // Called with each heartbeat of the leader.
  std::function<void(const StoreCopyStatus&)> on_leader_heartbeat;
  // Called with the address of a daemon that has answered while no leader was
  // known; it passes its copies on as a leader does.
  std::function<void(const std::string&)> on_peer_with_copies;
  // Called when something about the leader or the members was learnt.
  std::function<void()> on_membership_update;

 private:
  // A member as its leader knows it.
  struct Known {
    Member member;
    TimePoint heard_at;
    double processor_share = 0;
    std::vector<Fingerprint> unsent_crashes;
  };

  void Tick();
  void Receive(std::span<const std::uint8_t> data);
  void OnHello(const wire::HelloT& hello);
  void OnLeaderHeartbeat(const wire::LeaderHeartbeatT& heartbeat);
  void OnHint(const wire::LeaderHintT& hint);
  void SendHint(const std::string& address);
  // Tells the leader that this one has replaced.
  void TellFormer();
  // Tells the members of this daemon, which has led, who leads now.
  void PassMembersOn();
  void SendHello();
  void TakeSamples(const wire::HelloT& hello);
  void SendLeaderHeartbeat(Known& known,
                           const std::vector<const Known*>& line,
                           bool resigning);
  void Send(const std::string& address, const wire::BodyUnion& body);
  void SpreadCrashes(const std::string& from,
                     const std::vector<Fingerprint>& crashes);
  // Returns the members in the order of succession.
  [[nodiscard]] std::vector<const Known*> Line() const;

  net::EventLoop& loop_;
  const Member self_;
  const double processor_share_;
  // Where to ask while nobody is known to lead.
  const std::vector<std::string> seeds_;
  LeaderElection& election_;
  EntryState& state_;
  CrashWatch& crashes_;
  net::UdpSocket socket_;
  net::DeadlineTimer timer_;
  // The members that this leader has heard; at others, the line of their
  // leader's last heartbeat and that leader. By name.
  std::map<std::string, Known> known_;
  bool led_ = false;
  // A new leader hears its members one by one: until then the number that the
  // leader before it knew is the better one.
  TimePoint members_heard_at_{};
  std::uint32_t members_ = 1;
  std::uint32_t rank_ = 0;
  StoreCopyStatus own_copy_status_;
  TimePoint leader_heard_at_{};
};

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_MEMBER_LINK_H_
