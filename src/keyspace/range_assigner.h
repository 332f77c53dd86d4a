// Assigns the keys of one service to its servers and moves them between these.
#ifndef SRC_KEYSPACE_RANGE_ASSIGNER_H_
#define SRC_KEYSPACE_RANGE_ASSIGNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "keyspace/key_load.h"
#include "keyspace/key_range.h"
#include "keyspace/ownership_table.h"
#include "keyspace/range_schedule.h"
#include "keyspace/rebalancer.h"
#include "keyspace/renewal_pacer.h"
#include "keyspace/server_fences.h"

namespace gentianreach::keyspace {

struct AssignerOptions {
  // Duration of a grant, measured by the server's clock from the arrival of the
  // order. Long enough to outlast the election of a new leader, short enough
  // that the keys of an unresponsive server are not without an owner for long.
  std::chrono::milliseconds lease{6000};
  // Interval between grants of the same keys. A lease leaves time for three
  // renewal attempts.
  std::chrono::milliseconds renew_period{1500};
  // Time over which the renewals of all ranges are spread if they are due at
  // the same time, as after a takeover; see RenewalPacer.
  std::chrono::milliseconds renewal_spread{750};
  // Time after which an order without a reply is sent again.
  std::chrono::milliseconds order_timeout{400};
  // Time after which a release without a reply is sent again.
  std::chrono::milliseconds release_timeout{2500};
  // Upper bound on how much longer a lease lasts by a server's clock than by
  // the leader's: 2% for a slow clock, and 2% as a margin.
  double max_clock_drift_factor = 1.04;
  // Upper bound on the time that an order is on its way. Since the sender may
  // hold it up until it gives it up, it arrives at the latest this long after
  // its deadline.
  std::chrono::milliseconds max_transit_time{150};
  // How long the fence of a server is repeated if it has no response.
  std::chrono::seconds max_fence_wait{60};
  // Interval between rebalancing rounds.
  std::chrono::milliseconds balance_period{500};
  // Shortest time between two tables, per range: each table is passed on to all
  // daemons.
  std::chrono::microseconds table_pause_per_range{250};
};

// A server of the service as reported by discovery.
struct AssignerServer {
  ServerId id;
  Incarnation incarnation;
  std::string address;
  bool draining = false;
  double capacity = 1;
  // By when the server's keys are to have moved; max(): it may own keys.
  TimePoint move_until = TimePoint::max();
};

// Asks the caller to write the table to the store, on condition that the store
// still has the revision last read or written, and to call OnWritten() or
// OnWriteFailed().
struct WriteTable {
  OwnershipTable table;
};

// How it is known that an earlier owner no longer holds the keys.
enum class Clearance : std::uint8_t {
  kReleased,   // It has confirmed a release.
  kEnded,      // Its incarnation has ended.
  kLeaseOver,  // All grants to it have expired.
};

// An earlier owner that was cleared.
struct ClearedOwner {
  ServerId server;
  Clearance clearance = Clearance::kReleased;

  bool operator==(const ClearedOwner&) const = default;
};

// Asks the caller to send a grant or a release and to call OnOrderReply(). No
// order may be sent once the leadership has ended.
struct SendOrder {
  enum class Kind : std::uint8_t { kGrant, kRelease };
  Kind kind = Kind::kGrant;
  std::uint64_t order = 0;
  ServerId server;
  std::string address;
  KeyRange range;
  Token token;
  std::chrono::milliseconds lease{};  // Grants only.
  std::string handover;               // Grants only.
  // Whether this is a release of keys that the server is not known to hold.
  bool fencing = false;
  // The earlier owners, in the grant that completes a move.
  std::vector<ClearedOwner> cleared;
  TimePoint deadline;
};

using AssignerAction = std::variant<WriteTable, SendOrder>;

// How much an assigner has done so far.
struct AssignerWork {
  std::uint64_t ranges_polled = 0;
  std::uint64_t tables_planned = 0;
};

enum class OrderOutcome : std::uint8_t {
  kDone,
  kHigherToken,
  kRefused,
  kOtherServer,  // Another server has the address: that incarnation has ended.
  // The connection was refused. This does not prove that the incarnation has
  // ended, since a network partition may also refuse connections.
  kConnectionRefused,
  kNotConnected,  // Not sent, since no connection was established in time.
  // Not sent, since an earlier incarnation may have had the token.
  kTokenOutdated,
  kUnknown,  // No reply. The server may still execute it, even seconds later.
};

// The leader's decision logic for one service, without access to a clock, the
// store or the network.
//
// Safety: a server may hold keys from the first grant of these keys to it until
// it has confirmed a release or all of the grants have expired. The assigner
// therefore sends a grant only after
//  1. the table that names the server as the owner, with a token above all
//     earlier ones, is in the store, so that a succeeding leader knows of it;
//  2. every earlier owner in that table is cleared: it has confirmed a release,
//     its incarnation is proven to have ended, or its leases have expired.
// A new leader writes the table once before its first order, so that a write by
// the previous leader, which could start a move, fails.
//
// A reply costs only the work for its range; a new table, changed servers and a
// round of balancing cost work for all ranges.
//
// Servers may execute orders late, and orders of previous leaders may still
// arrive, even of those whose process has ended. A release therefore has a
// token above all that the earlier owner can have been sent, so that the server
// refuses such orders from then on. An owner that is cleared because its leases
// have expired has not seen that token; it is fenced as soon as it is connected
// again, like every server that is connected anew (ServerFences).
class RangeAssigner {
 public:
  explicit RangeAssigner(AssignerOptions options);

  // Takes over as the leader of `epoch`. `table` is the table in the store, if
  // there is one. Previous leaders may send orders until
  // `previous_leader_until`. Returns false, and leaves the assigner inactive,
  // if a leader of a later epoch has written the table.
  [[nodiscard]] bool Begin(std::optional<OwnershipTable> table,
                           Epoch epoch,
                           TimePoint previous_leader_until,
                           TimePoint now);
  // Takes over like Begin() if the table in the store, which has `revision`,
  // cannot be read or is older than one that this daemon has seen. No leader of
  // a later epoch may have written it. `copy` is an earlier table, or null;
  // `seen` as for ReplacementTable().
  void BeginWithoutTable(const OwnershipTable* copy,
                         std::uint64_t revision,
                         Token seen,
                         Epoch epoch,
                         TimePoint previous_leader_until,
                         TimePoint now);
  // Has the table that was last written written again, since the one in the
  // store cannot be used. Returns false if there is none. No leader of a later
  // epoch may have written the table.
  [[nodiscard]] bool WriteAgain(TimePoint now);
  // Reports that no previous leader can send orders after `ended_at`.
  void OnPreviousLeadersEnded(TimePoint ended_at);
  // Replaces the set of servers reported by discovery.
  void SetServers(std::vector<AssignerServer> servers, TimePoint now);

  // Reports that discovery listed `server` until `until`, in the term of an
  // earlier leader perhaps. It may run on, hold keys and get orders of earlier
  // leaders.
  void OnUnlisted(const AssignerServer& server, TimePoint until, TimePoint now);

  // Reports that discovery lists `incarnation` of `server`, of any configured
  // service, at `address`. Other servers with a lower incarnation at this
  // address have ended.
  void OnAddressInUse(const std::string& address,
                      const ServerId& server,
                      Incarnation incarnation);

  // Reports that a connection to the server at `address` was established while
  // there was none.
  void OnConnected(const std::string& address);

  void OnWritten(TimePoint now);
  // Reports that the table was not written; the next one is planned at
  // `retry_at`. If the store has a different table, or may have one, read it
  // and call Begin() again.
  void OnWriteFailed(TimePoint retry_at) {
    planned_.reset();
    plan_at_ = retry_at;
    plan_due_ = true;
    next_poll_at_ = std::min(next_poll_at_, retry_at);
  }
  void OnOrderReply(std::uint64_t order,
                    OrderOutcome outcome,
                    const std::string& handover,
                    TimePoint now);

  // Returns the actions that are due at `now`. Call it at NextDeadline() and
  // after each of the calls above.
  [[nodiscard]] std::vector<AssignerAction> Poll(const KeyLoad& load,
                                                 TimePoint now);
  // Returns when Poll() is due if no other call precedes it.
  [[nodiscard]] TimePoint NextDeadline() const { return next_poll_at_; }

  // Returns the addresses of servers that discovery may not list, but that have
  // to be connected.
  [[nodiscard]] std::set<std::string> FenceAddresses() const {
    return fences_.Addresses();
  }
  [[nodiscard]] const OwnershipTable& table() const { return table_; }
  [[nodiscard]] const AssignerWork& work() const { return work_; }

 private:
  using ServerIncarnation = std::pair<ServerId, Incarnation>;
  enum class OrderPurpose : std::uint8_t { kGrant, kRelease };

  // State of the orders to one owner for one range.
  struct OrderState {
    // Until then a grant that was answered or given up may be in force at the
    // server; TimePoint{} if there is none. See HeldUntil().
    TimePoint held_until{};
    // Until then an order of this leader that had no reply may be on its way.
    // If the server restarts under its id and address, its new incarnation
    // executes such an order even if the old one has seen a higher token.
    TimePoint in_transit_until{};
    // Orders of previous leaders, or of this one from before it reread the
    // table, may be in force or in flight; see previous_leader_until_.
    bool sent_before = false;
    // When the last successful grant was sent.
    TimePoint renewed_at{};
    TimePoint next_attempt_at{};
    std::uint64_t in_flight = 0;                  // 0: none.
    OrderPurpose purpose = OrderPurpose::kGrant;  // Of the order in flight.
    TimePoint sent_at{};
  };
  // Progress in clearing an earlier owner of a range.
  struct EarlierOwnerState {
    OrderState orders;
    std::optional<Clearance> cleared;
  };
  struct RangeState {
    OrderState orders;
    std::vector<EarlierOwnerState> earlier;
    std::string handover;
    bool granted = false;
    // Consecutive grants without a reply.
    int unanswered_renewals = 0;
    // The owner has seen a higher token, or it may have restarted and would
    // accept its old token as new.
    bool needs_new_token = false;
  };

  struct FencedKeys {
    KeyRange range;
    Token token;
  };

  [[nodiscard]] const AssignerServer* FindIncarnation(const Owner& owner) const;
  // Returns the last known address of the owner's incarnation, or an empty
  // string.
  [[nodiscard]] std::string LastKnownAddress(const Owner& owner) const;
  // Returns whether the owner's incarnation has ended and no order sent to it
  // can reach the next incarnation.
  [[nodiscard]] bool HasEnded(const Owner& owner) const;
  [[nodiscard]] bool MayOwn(const Owner& owner) const;
  [[nodiscard]] std::vector<Candidate> Candidates() const;
  // Returns the latest end of a lease that began at `arrived_at`.
  [[nodiscard]] TimePoint LeaseEnd(TimePoint arrived_at) const;
  // Returns the latest time at which a grant sent at `sent_at` can arrive.
  [[nodiscard]] TimePoint LatestArrival(TimePoint sent_at) const;
  // Returns the latest time at which a grant sent at `sent_at` can be in force.
  [[nodiscard]] TimePoint LatestLeaseEnd(TimePoint sent_at) const;
  // Returns the time until which the server may hold the keys by any grant.
  [[nodiscard]] TimePoint HeldUntil(const OrderState& orders) const;
  // Adds the orders of `part` to `orders`, whose own order in flight remains.
  void MergeOrders(const OrderState& part, OrderState* orders) const;
  [[nodiscard]] RangeState StateAfterWrite(const OwnedRange& range) const;
  // Sets up the schedules for the states of a new table.
  void OnNewTable();
  // The incarnation is proven to have ended.
  void OnEnded(const ServerIncarnation& incarnation);
  // All ranges are due, and a table may have to be planned.
  void PollAllRanges();
  // Returns when Poll() is due after it has been called at `now`.
  [[nodiscard]] TimePoint DeadlineAfterPoll(TimePoint now) const;
  // Returns when the first table is due: once no server has registered for a
  // while.
  [[nodiscard]] TimePoint FirstTableTime() const;

  // Adds the orders for range `i` to `actions`, or its renewal to the pacer.
  void PollRange(std::size_t i,
                 TimePoint now,
                 std::vector<AssignerAction>* actions);
  // Handles a reply to an order for range `i` of the owner or an earlier owner.
  void OnRangeReply(std::size_t i,
                    std::uint64_t order,
                    OrderOutcome outcome,
                    const std::string& handover,
                    TimePoint now);
  // Records the reply in the state of its order. Returns false if `state` is
  // that of another one.
  bool RecordReply(std::uint64_t order,
                   OrderOutcome outcome,
                   TimePoint now,
                   OrderState* state) const;
  // Starts an order for range `i`.
  void StartOrder(std::size_t i,
                  OrderPurpose purpose,
                  TimePoint now,
                  OrderState* state);
  // Sends a grant of range `i` to its owner.
  void SendOwnerGrant(std::size_t i,
                      TimePoint now,
                      std::vector<AssignerAction>* actions);
  // Returns whether the earlier owner `k` of range `i` is cleared.
  bool PollEarlier(std::size_t i,
                   std::size_t k,
                   TimePoint now,
                   std::vector<AssignerAction>* actions);
  // Handles a reply to an order of a fence. Returns false if `order` is another
  // one.
  bool OnFenceReply(std::uint64_t order, OrderOutcome outcome, TimePoint now);
  // Has an earlier owner fenced that was cleared because its leases are over.
  void FenceAfterLease(const Owner& owner, TimePoint now);
  // Adds the fences that are due to `actions`.
  void PollFences(TimePoint now, std::vector<AssignerAction>* actions);
  // Returns the keys that `server` must not hold, with the tokens of their
  // releases. An owner without a name may be any server.
  [[nodiscard]] std::vector<FencedKeys> KeysOfOthers(const ServerId& server,
                                                     TimePoint now) const;
  void OnGrantReply(const Owner& owner,
                    OrderOutcome outcome,
                    RangeState* state);
  std::optional<OwnershipTable> Plan(const KeyLoad& load, TimePoint now);
  void PlanReassignments(const KeyLoad& load, OwnershipTable* plan) const;
  void PlanRebalancing(const KeyLoad& load,
                       OwnershipTable* plan,
                       TimePoint now);
  void PlanCompletions(OwnershipTable* plan) const;

  AssignerOptions options_;
  bool begun_ = false;
  Epoch epoch_;
  bool has_table_ = false;
  // Whether this leader has written the table that it read at takeover, which
  // makes writes by previous leaders fail.
  bool takeover_written_ = false;
  // table_ was written by this leader, not read.
  bool wrote_table_ = false;
  OwnershipTable table_;
  std::vector<RangeState> states_;  // One per range of table_.
  ServerFences fences_;
  // Addresses of new connections whose servers have not been fenced.
  std::set<std::string> connected_;
  // When PollRange() has to be called for each range.
  RangeSchedule schedule_;
  RenewalPacer pacer_;
  // Indices of the ranges that wait for the reply to an order. Parts of a range
  // that was split wait for the same one.
  std::unordered_multimap<std::uint64_t, std::size_t> waiting_ranges_;
  // Something has changed that a new table may be needed for.
  bool plan_due_ = false;
  std::optional<OwnershipTable> planned_;
  std::map<ServerId, AssignerServer> servers_;
  // Addresses of all incarnations seen. A server that discovery no longer lists
  // may still hold keys and confirm a release; another server gets its address
  // only after it has ended.
  std::map<ServerIncarnation, std::string> addresses_;
  // The same by address.
  std::map<std::string, std::set<ServerIncarnation>> incarnations_at_;
  // Incarnations that are proven to have ended.
  std::set<ServerIncarnation> ended_;
  TimePoint first_server_at_{};
  TimePoint last_server_at_{};
  TimePoint begun_at_{};
  TimePoint previous_leader_until_{};
  TimePoint plan_at_{};
  TimePoint next_balance_{};
  TimePoint next_poll_at_ = TimePoint::max();
  std::uint64_t last_order_ = 0;
  AssignerWork work_;
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_RANGE_ASSIGNER_H_
