// Implementation class of `CellAgent`. Its member functions are defined in
// agent_core.cc, agent_store.cc, agent_peers.cc, agent_election.cc,
// agent_servers.cc and agent_moves.cc.
#ifndef SRC_CELL_AGENT_IMPL_H_
#define SRC_CELL_AGENT_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cell/agent_times.h"
#include "cell/fence.h"
#include "cell/permit.h"
#include "cell/planner.h"
#include "cell/record.h"
#include "cell/route_table.h"
#include "cell/server_lease.h"
#include "cell/settling.h"
#include "gentianreach/cell_agent.h"

namespace gentianreach {

class CellAgent::Impl {
 public:
  Impl(CellOptions options, std::mt19937_64 random);

  void Start(TimePoint now);
  void OnStoreRead(std::uint64_t call_id,
                   const StoreReadResult& result,
                   TimePoint now);
  void OnStoreWrite(std::uint64_t call_id,
                    const StoreWriteResult& result,
                    TimePoint now);
  void OnPeer(const std::string& from,
              const peer::MessageUnion& message,
              TimePoint now);
  void OnServerReply(std::uint64_t call_id,
                     const ServerReply& reply,
                     TimePoint sent,
                     TimePoint now);
  void OnServerList(std::vector<ListedServer> servers, TimePoint now);
  void OnTick(TimePoint now);
  [[nodiscard]] TimePoint NextDeadline() const;
  bool AddProposal(cell::Proposal proposal, TimePoint now);
  void Drain(const cell::ProposedDrain& proposal, TimePoint now);
  bool ConfirmOldMembersGone(const std::string& actor, TimePoint now);
  void Leave(TimePoint now);
  void SetTiming(const settings::CellTimingT& timing);
  void SetServices(std::vector<CellService> services, TimePoint now);
  Outbox TakeOutbox() { return std::exchange(outbox_, {}); }
  [[nodiscard]] KeyRoute Route(const ServiceName& service,
                               KeyHash hash,
                               TimePoint now) const;
  [[nodiscard]] std::shared_ptr<const cell::Record> record() const {
    return record_;
  }
  [[nodiscard]] ObjectVersion version() const { return version_; }
  [[nodiscard]] bool IsAssigner() const;
  [[nodiscard]] TimePoint PermitDeadline(TimePoint now) const {
    return permit_.Deadline(now);
  }
  [[nodiscard]] CellStatus Status(TimePoint now) const;

 private:
  // State of another daemon.
  struct Peer {
    TimePoint first_seen = TimePoint::min();
    // Send time of the latest heartbeat that the peer acknowledged.
    TimePoint last_ack_sent = TimePoint::min();
    // When the latest message of any kind arrived from the peer.
    TimePoint last_received = TimePoint::min();
    // The peer's latest contact with the assigner, as it reports.
    TimePoint assigner_contact = TimePoint::min();
    ObjectVersion record;  // Latest version that the peer reported.
    bool leaving = false;
  };

  // A conditional write whose result is not known yet.
  struct PendingWrite {
    std::uint64_t call_id = 0;
    TimePoint began;
    std::shared_ptr<const cell::Record> record;
    std::vector<std::uint8_t> bytes;
    std::vector<AuditEvent> audit;
    std::size_t proposals = 0;  // Number of proposals that the write completes.
    // When the store call ended with an unknown result. A read that begins
    // later shows whether the write took effect.
    std::optional<TimePoint> unknown_since;
  };

  struct PendingRead {
    std::uint64_t call_id = 0;
    TimePoint began;
  };

  struct PendingOrder {
    OrderKind kind = OrderKind::kProbe;
    std::string server;
    LeaseGeneration generation;
    std::string service;
    std::vector<GrantedRange> grants;
    TimePoint sent;
    bool extends_fully = false;  // Extends the lease from a recent response.
  };

  using Grant =
      std::tuple<std::string, std::uint64_t, std::uint64_t, std::uint64_t>;

  // Grants of one server, as the assigner knows them.
  struct ServerGrants {
    std::uint64_t generation = 0;
    Incarnation incarnation;
    std::set<Grant> held;
    std::set<Grant> wanted;
    bool missing = false;  // Whether a wanted grant is not held.
    TimePoint retry = TimePoint::min();
    TimePoint acked_at = TimePoint::min();
  };

  // The release of one range by its old owner in a planned move.
  struct Release {
    bool released = false;
    ObjectVersion version;  // Of the record in which the move began.
    // When to stop waiting for all members to hold the requests.
    TimePoint hold_deadline;
    TimePoint retry = TimePoint::min();
    Duration wait = cell::kFirstReleaseRetry;  // Until the next attempt.
  };

  // agent_core.cc
  void Step(TimePoint now);
  void DetectPause(TimePoint now);
  void ApplyRecordTiming();
  void Log(std::string event,
           std::vector<std::pair<std::string, std::string>> fields = {});
  [[nodiscard]] std::uint64_t NextCallId() { return ++last_call_id_; }
  [[nodiscard]] Duration Jitter(Duration up_to);

  // agent_store.cc
  void ReadRecord(TimePoint now);
  void Write(cell::Plan plan,
             std::optional<ObjectVersion> if_match,
             std::size_t proposals,
             TimePoint now);
  void CollectDeparted(const cell::Record& after);
  void FinishWrite(ObjectVersion version, TimePoint now);
  void ReadRecordUnlessReading(TimePoint now);
  void OnAbsent(TimePoint now);
  void OnFound(const StoreReadResult& result, TimePoint began, TimePoint now);
  void OnStoreSuccess(TimePoint began);
  void OnStoreFailure(TimePoint now);
  [[nodiscard]] bool WantsRead(TimePoint now) const;
  static bool HasNewFence(const cell::Record& before,
                          const cell::Record& after);
  void Adopt(std::shared_ptr<const cell::Record> record,
             std::vector<std::uint8_t> bytes,
             ObjectVersion version,
             TimePoint now);
  void CreateRecord(TimePoint now);
  void ReadIfDue(TimePoint now);

  // agent_peers.cc
  void SendTo(const std::string& daemon,
              const std::string& address,
              peer::MessageUnion message);
  template <typename Message>
  void SendTo(const stored::MemberT& member, Message message) {
    peer::MessageUnion u;
    u.Set(std::move(message));
    SendTo(member.daemon, member.peer_address, std::move(u));
  }
  void SendHeartbeats(TimePoint now, bool leaver = false);
  void SendHeartbeat(const stored::MemberT& to,
                     std::uint64_t seq,
                     TimePoint now);
  void PushRecord();
  void SendRecord(const stored::MemberT& to);
  void PushIfDue(TimePoint now);
  void RequestRecord(const std::string& from, TimePoint now);
  void Handle(const std::string& from,
              const peer::HeartbeatT& message,
              TimePoint now);
  void Handle(const std::string& from,
              const peer::HeartbeatAckT& message,
              TimePoint now);
  void Handle(const std::string& from,
              const peer::RecordUpdateT& message,
              TimePoint now);
  void Handle(const std::string& from,
              const peer::RecordRequestT& message,
              TimePoint now);
  void Handle(const std::string& from,
              const peer::JoinRequestT& message,
              TimePoint now);
  void Handle(const std::string& from,
              const peer::LeaveRequestT& message,
              TimePoint now);
  void Handle(const std::string& from,
              const peer::StepDownRequestT& message,
              TimePoint now);
  void Handle(const std::string& from,
              const peer::DrainRequestT& message,
              TimePoint now);
  void JoinIfDue(TimePoint now);
  void LeaveIfDue(TimePoint now);
  [[nodiscard]] bool IsMember() const;
  [[nodiscard]] stored::MemberT SelfAsMember() const;
  void UpdatePeers(TimePoint now);
  void UpdateServerContacts(const std::string& from,
                            const peer::HeartbeatT& message,
                            TimePoint now);
  void UpdateStoreContact(std::uint64_t age_ms, TimePoint at);
  void AnnounceAdoption(bool was_member, bool new_view, TimePoint now);
  void Acknowledge(const std::string& from,
                   std::uint64_t seq,
                   bool accepted,
                   TimePoint now);

  // agent_election.cc
  [[nodiscard]] bool InContact(const std::string& daemon, TimePoint now) const;
  [[nodiscard]] std::size_t MembersInContact(TimePoint now) const;
  // Returns the latest known contact of any daemon with the assigner.
  [[nodiscard]] TimePoint AssignerContact(TimePoint now) const;
  // Returns whether this daemon may make decisions for the cell, such as an
  // election. Either it is in contact with enough members, or the servers'
  // leases have expired, which shows that no other daemon renews them.
  [[nodiscard]] bool MayActForCell(TimePoint now) const;
  [[nodiscard]] bool LeasesExpired(TimePoint now) const;
  void ElectIfDue(TimePoint now);
  void ElectSelf(bool abdicated, TimePoint now);
  void HandOver(TimePoint now);
  void PlanIfDue(TimePoint now);
  [[nodiscard]] cell::PlanInput MakePlanInput(TimePoint now) const;
  [[nodiscard]] cell::ServerFacts GetServerFacts(const stored::ServerT& server,
                                                 bool most_servers_silent,
                                                 TimePoint now) const;
  [[nodiscard]] bool MostServersSilent(TimePoint now) const;
  [[nodiscard]] TimePoint FencedLeaseExpiry(const std::string& server) const;

  // agent_servers.cc
  void SendOrders(TimePoint now);
  void SendPeriodicOrder(const stored::ServerT& server, TimePoint now);
  [[nodiscard]] ServerOrder NewOrder(const stored::ServerT& server,
                                     OrderKind kind);
  void SendOrder(ServerOrder order, TimePoint now);
  [[nodiscard]] bool MayRenew(const stored::ServerT& server,
                              TimePoint now) const;
  [[nodiscard]] bool ShouldSendOrders(const stored::ServerT& server,
                                      TimePoint now) const;
  [[nodiscard]] TimePoint LatestContact(const std::string& server) const;
  void ChooseRenewedServers();
  [[nodiscard]] std::vector<std::unique_ptr<peer::ServerContactT>>
  ServerContacts(TimePoint now) const;
  void ReportOwnFences(TimePoint now);
  void UpdateServers(TimePoint now);
  void RenewIfNeeded(const stored::ServerT& server,
                     const PendingOrder& order,
                     TimePoint now);

  // agent_moves.cc
  void ResetMoves();
  void UpdateWantedGrants(TimePoint now);
  void UpdateReleases(TimePoint now);
  [[nodiscard]] bool NeededForMoves(const std::string& server) const;
  void SendGrants(TimePoint now);
  void SendGrant(const stored::ServerT& server,
                 ServerGrants& grants,
                 TimePoint now);
  void SendReleases(TimePoint now);
  void SendRelease(const stored::RangeT& range,
                   Release& release,
                   TimePoint now);
  [[nodiscard]] bool AllMembersHold(const Release& release,
                                    TimePoint now) const;
  void OnGrantReply(const PendingOrder& order,
                    const ServerReply& reply,
                    TimePoint now);
  void RetryPendingMoves(const stored::ServerT& server, TimePoint now);
  // Returns whether a recent response gives the server's clock, which the
  // deadlines in orders need.
  [[nodiscard]] bool ClockUsable(const stored::ServerT& server,
                                 TimePoint now) const;
  void OnReleaseReply(const PendingOrder& order,
                      const ServerReply& reply,
                      TimePoint now);
  void DetectLostGrants(const std::string& server,
                        const ServerReply& reply,
                        TimePoint sent);
  void UpdateCompletedMoves(TimePoint now);
  [[nodiscard]] bool GrantsMissing() const;

  CellOptions options_;
  std::string self_;
  std::string object_;  // Name of the record in the store.
  Duration lease_{};
  Duration heartbeat_{};
  Duration renewal_{};
  Duration suspicion_{};
  double drift_ = 0;
  std::mt19937_64 random_;
  Outbox outbox_;
  std::uint64_t last_call_id_ = 0;
  bool started_ = false;

  // The record and state derived from it.
  std::shared_ptr<const cell::Record> record_;
  std::vector<std::uint8_t> record_bytes_;
  ObjectVersion version_;
  TimePoint epoch_seen_at_ = TimePoint::min();
  cell::RouteTable routes_;
  cell::Permit permit_;
  cell::ViewRetirement view_retirement_;
  cell::FenceTable fences_;
  std::set<std::string> renewed_servers_;

  // The store.
  std::optional<PendingRead> read_;
  std::optional<PendingWrite> write_;
  TimePoint next_read_ = TimePoint::min();
  TimePoint next_write_ = TimePoint::min();
  TimePoint create_at_ = TimePoint::max();
  TimePoint failing_since_ = TimePoint::max();
  std::uint32_t failures_ = 0;
  std::uint32_t non_member_reads_ = 0;

  // Other daemons.
  std::map<std::string, Peer> peers_;
  std::uint64_t heartbeat_seq_ = 0;
  TimePoint next_heartbeat_ = TimePoint::min();
  TimePoint next_record_request_ = TimePoint::min();
  TimePoint push_at_ = TimePoint::max();
  std::map<std::string, stored::MemberT> joiners_;
  std::map<std::string, TimePoint> joiner_until_;
  std::set<std::string> leavers_;
  std::vector<stored::MemberT> departed_;  // Removed by the latest write.

  // Election and planning.

  // Silence of servers and daemons is measured from this time at the earliest,
  // since this daemon may have been paused or cut off before.
  TimePoint grace_start_ = TimePoint::min();
  TimePoint last_step_ = TimePoint::min();
  bool had_permit_ = false;
  TimePoint last_contact_ = TimePoint::min();  // With any daemon.
  TimePoint elect_at_ = TimePoint::max();
  TimePoint next_hand_over_ = TimePoint::min();
  Duration hand_over_wait_{};
  std::size_t next_candidate_ = 0;
  TimePoint plan_at_ = TimePoint::min();
  std::vector<cell::Proposal> proposals_;
  bool leaving_ = false;
  bool left_ = false;
  TimePoint leave_by_ = TimePoint::max();
  TimePoint next_join_ = TimePoint::min();  // Join or leave request.

  // Servers.
  std::vector<ListedServer> listed_servers_;
  std::map<std::string, cell::ServerLease> leases_;
  // Latest contact with each server of the record that any daemon reported.
  std::map<std::string, TimePoint> relayed_contact_;
  // Servers for which another daemon reported a generation that differs from
  // the record.
  std::set<std::string> inconsistent_servers_;
  std::map<std::uint64_t, PendingOrder> orders_;
  TimePoint next_orders_ = TimePoint::min();

  // The assigner's grants and planned moves.
  std::map<std::string, ServerGrants> grants_;
  std::map<std::uint64_t, Release> releases_;
  std::set<std::uint64_t> completed_moves_;
};

}  // namespace gentianreach

#endif  // SRC_CELL_AGENT_IMPL_H_
