// Gives the keys of one service to its servers, and moves them.
#ifndef SRC_KEYSPACE_RANGE_ASSIGNER_H_
#define SRC_KEYSPACE_RANGE_ASSIGNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "keyspace/key_load.h"
#include "keyspace/key_range.h"
#include "keyspace/ownership_table.h"
#include "keyspace/rebalancer.h"

namespace gentianreach::keyspace {

struct AssignerOptions {
  // Length of a grant, by the server's clock from the arrival of the order.
  // Long enough to bridge the election of another leader, short enough that
  // the keys of a server that fell silent are not unserved for long.
  std::chrono::milliseconds lease{6000};
  // Time between two grants of the same keys. Three attempts fit into a lease.
  std::chrono::milliseconds renew_period{1500};
  // Time after which an order without an answer is sent again.
  std::chrono::milliseconds order_timeout{400};
  // Time between two attempts at a release.
  std::chrono::milliseconds release_timeout{2500};
  // How much longer a server's clock may measure a lease, as a factor: 2%
  // slow, and as much again.
  double clock_slack = 1.04;
  // What an order may spend on its way.
  std::chrono::milliseconds transit{150};
  // Pause between two rounds of transfers for balance.
  std::chrono::milliseconds balance_period{500};
};

// A server of the service, as discovery knows it.
struct AssignerServer {
  ServerId id;
  Incarnation incarnation;
  std::string address;
  bool draining = false;
  double capacity = 1;
};

// Write the table to the store, conditionally on the revision that the last
// one had, and report OnWritten() or OnWriteFailed().
struct WriteTable {
  OwnershipTable table;
};

// Send a grant or a release and report OnOrderReply(). Send no order once the
// leadership has ended.
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
  TimePoint deadline;
};

using AssignerAction = std::variant<WriteTable, SendOrder>;

enum class OrderOutcome : std::uint8_t {
  kDone,
  kHigherToken,
  kRefused,
  kOtherServer,  // Another server has the address: that incarnation has ended.
  // Nobody takes connections there. No proof of an end, since a network
  // partition may refuse them as well.
  kNobodyThere,
  kUnknown,  // It may be carried out, also seconds later.
};

// The part of the leader that decides, for one service. It knows no clock, no
// store and no network.
//
// Safety. A server may hold keys from the first order that gives them to it
// until it has answered a release, or until every order that gave them has
// expired. Before an order gives keys to a server,
//  1. the table that names it, with a token above all earlier ones, is in the
//     store, so that a successor knows of it;
//  2. every earlier owner in that table is cleared: it answered a release, its
//     incarnation is proven to be over, or its leases have run out.
// A leader that takes over writes the table once before its first order, so
// that a write of the leader before it, which would begin a move, fails.
// Orders can be carried out late, and a leader before this one may still be
// sending its own. A release is therefore preceded by a grant of the same keys
// to the same server with a token reserved for it wherever such orders may be
// under way: the server refuses whatever bears a lower token from then on.
class RangeAssigner {
 public:
  explicit RangeAssigner(AssignerOptions options);

  // Takes over as the leader of `epoch`: `table` is what the store has; nothing
  // where it has none. Leaders before this one may send orders until
  // `previous_leader_until`. Returns false, and does nothing, where a leader of
  // a later epoch has written the table.
  [[nodiscard]] bool Begin(std::optional<OwnershipTable> table,
                           Epoch epoch,
                           TimePoint previous_leader_until,
                           TimePoint now);
  // No leader before this one can send orders after `ended_at`.
  void OnPreviousLeadersEnded(TimePoint ended_at);
  // Replaces the known servers.
  void SetServers(std::vector<AssignerServer> servers, TimePoint now);

  // Discovery knows the incarnation `incarnation` of `server`, of any service,
  // at `address`: all that were there before it have ended.
  void OnAddressInUse(const std::string& address,
                      const ServerId& server,
                      Incarnation incarnation);

  void OnWritten(TimePoint now);
  // The table was not written; the next is planned at `retry_at`. Where the
  // store has another one, or it is not known which, Begin() again with what
  // is read.
  void OnWriteFailed(TimePoint retry_at) {
    planned_.reset();
    plan_at_ = retry_at;
  }
  void OnOrderReply(std::uint64_t order,
                    OrderOutcome outcome,
                    const std::string& handover,
                    TimePoint now);

  // Returns what is to be done now. Call it at NextDeadline() and after each of
  // the calls above.
  [[nodiscard]] std::vector<AssignerAction> Poll(const KeyLoad& load,
                                                 TimePoint now);
  // Returns when Poll() is due without any other call.
  [[nodiscard]] TimePoint NextDeadline() const { return next_wake_; }

  [[nodiscard]] const OwnershipTable& table() const { return table_; }

 private:
  using ServerIncarnation = std::pair<ServerId, Incarnation>;
  enum class OrderPurpose : std::uint8_t { kRenewal, kFence, kRelease };

  // What is known of orders to one owner for one range.
  struct OrderState {
    // Until then an order that gives the keys may be in force at the server;
    // the epoch where none was sent.
    TimePoint held_until{};
    // Until then an order without an answer may be carried out.
    TimePoint late_until{};
    // When the last answered grant was sent.
    TimePoint renewed_at{};
    TimePoint next_try{};
    std::uint64_t in_flight = 0;                    // 0: no order is under way.
    OrderPurpose purpose = OrderPurpose::kRenewal;  // Of the one under way.
    TimePoint sent_at{};
  };
  // How far an earlier owner has been cleared.
  struct Clearing {
    OrderState orders;
    // Fencing grants sent. Each has a token of its own, so that one without
    // an answer is superseded by the next.
    std::uint64_t fences_sent = 0;
    // Another leader began the move: the next owner may have its grant
    // already, and a fencing grant would make a second holder.
    bool inherited = false;
    Token fence;  // Of the latest fencing grant.
    bool fenced = false;
    bool cleared = false;
  };
  struct RangeState {
    OrderState orders;
    std::vector<Clearing> earlier;
    std::string handover;
    bool granted = false;
    // Renewals in a row that had no answer.
    int unanswered = 0;
    // The owner needs another token: it has seen a higher one, or it may have
    // started again and would take the old one as new.
    bool needs_token = false;
  };

  [[nodiscard]] const AssignerServer* FindLife(const Owner& owner) const;
  // Returns where that incarnation of a server was last known to be; empty
  // where it never was.
  [[nodiscard]] std::string AddressOf(const Owner& owner) const;
  // Returns whether that incarnation of the server is over and no order to it
  // can reach the next one.
  [[nodiscard]] bool HasEnded(const Owner& owner) const;
  [[nodiscard]] bool MayOwn(const Owner& owner) const;
  [[nodiscard]] std::vector<Candidate> Candidates() const;
  [[nodiscard]] TimePoint HeldUntil(TimePoint sent_at) const;
  [[nodiscard]] RangeState StateAfterWrite(const OwnedRange& range) const;
  void WakeAt(TimePoint at) { next_wake_ = std::min(next_wake_, at); }

  void PollRange(std::size_t i,
                 TimePoint now,
                 std::vector<AssignerAction>* actions);
  // Returns whether the earlier owner `k` of range `i` is cleared.
  bool PollEarlier(std::size_t i,
                   std::size_t k,
                   TimePoint now,
                   std::vector<AssignerAction>* actions);
  void SendGrant(const OwnedRange& range,
                 const Owner& to,
                 Token token,
                 const std::string& address,
                 const std::string& handover,
                 OrderPurpose purpose,
                 OrderState* state,
                 TimePoint now,
                 std::vector<AssignerAction>* actions);
  void OnGrantReply(const Owner& owner,
                    OrderOutcome outcome,
                    RangeState* state);
  std::optional<OwnershipTable> Plan(const KeyLoad& load, TimePoint now);
  void PlanMoves(const KeyLoad& load, OwnershipTable* plan) const;
  void PlanBalance(const KeyLoad& load, OwnershipTable* plan, TimePoint now);
  void PlanSettled(OwnershipTable* plan) const;

  AssignerOptions options_;
  bool begun_ = false;
  Epoch epoch_;
  bool has_table_ = false;
  // Whether this leader has written the table that it took over.
  bool claimed_ = false;
  OwnershipTable table_;
  std::vector<RangeState> states_;  // One per range of table_.
  std::optional<OwnershipTable> planned_;
  std::map<ServerId, AssignerServer> servers_;
  // Addresses of all incarnations seen. A server that discovery has lost may
  // still hold keys and answer a release; another server gets its address only
  // after it has ended.
  std::map<ServerIncarnation, std::string> addresses_;
  // Lives that are proven to be over.
  std::set<ServerIncarnation> ended_;
  TimePoint first_server_at_{};
  TimePoint last_server_at_{};
  TimePoint begun_at_{};
  TimePoint previous_leader_until_{};
  TimePoint plan_at_{};
  TimePoint next_balance_{};
  TimePoint next_wake_ = TimePoint::max();
  std::uint64_t last_order_ = 0;
};

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_RANGE_ASSIGNER_H_
