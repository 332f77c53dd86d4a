// One daemon's part in a cell: membership, election, leases and moves.
//
// A cell is a set of backend servers, the daemons that look after them and one
// record in the platform's store. `CellAgent` is the deterministic part of one
// daemon: it has no sockets, threads or clock. The program that holds it
//
//   1. calls `Start` once, and an `On...` function for each event, with the
//      current time;
//   2. takes what is to be done with `TakeOutbox` after every call, and does
//   it;
//   3. calls `OnTick` no later than `NextDeadline()`;
//   4. answers requests from `Route`.
//
// Everything in the outbox may be lost, delayed, duplicated or reordered on its
// way without harm to safety. The results of store calls are the exception:
// each `StoreRead` and `StoreWrite` must be answered once, `kFailed` or
// `kUnknown` where nothing is known.
//
// docs/design/ownership.md explains the rules; samples/own_a_key.cc shows an
// agent driven by hand.
#ifndef INCLUDE_GENTIANREACH_CELL_AGENT_H_
#define INCLUDE_GENTIANREACH_CELL_AGENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cell_generated.h"
#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/router.h"
#include "gentianreach/time.h"
#include "peer_generated.h"
#include "settings_generated.h"

namespace gentianreach {

// A service whose keys or servers the cell looks after.
struct CellService {
  ServiceName name;
  bool keyed = false;
  // Whether its servers refuse orders of an older epoch.
  bool checks_giver = true;
  // Whether its servers stop serving by themselves when their lease ends.
  bool watches_deadline = true;
};

// Identity and settings of one agent.
struct CellOptions {
  std::string cell;
  // Names one life of a daemon: a restarted process uses another name, for
  // example its configured name with its start time.
  DaemonId self;
  std::string peer_address;  // "IP:port" that other daemons reach it at.
  ZoneName zone;
  std::vector<CellService> services;
  settings::CellTimingT timing;
  std::uint32_t ranges_per_server = 8;  // Of a new cell.
};

// A backend server as the platform's list of VMs shows it. The list lags.
struct ListedServer {
  ServerId id;
  std::string address;  // "IP:port"
  ZoneName zone;
  ServiceName service;
  bool leaving = false;
};

enum class OrderKind : std::uint8_t { kProbe, kRenew, kGrant, kRelease };

// A range and the token under which it is granted or released.
struct GrantedRange {
  HashRange range;
  Token token;
};

// An order to a backend server, as in docs/PROTOCOLS.md.
struct ServerOrder {
  ServerId server;
  std::string address;  // "IP:port"
  OrderKind kind = OrderKind::kProbe;
  DaemonId issuer;
  Epoch epoch;
  Incarnation incarnation;  // Zero: any life of the server.
  LeaseGeneration generation;
  ServerTime deadline;  // The server refuses the order after this.
  ServerTime until;     // Of the lease.
  ServiceName service;
  std::vector<GrantedRange> grants;
  // Returned with the answer by `OnServerReply`.
  std::uint64_t call_id = 0;
};

// The answer of a backend server to any order.
struct ServerReply {
  bool ok = false;
  std::string reason;
  ServerId server;
  Incarnation incarnation;
  ServerTime clock;
  LeaseGeneration generation;
  ServerTime lease_until;
  std::uint64_t grants = 0;  // Number of ranges held.
  bool released = false;
  bool draining = false;
};

// A read of an object of the platform's store.
struct StoreRead {
  std::uint64_t call_id = 0;
  std::string object;
};

// A conditional write. Without `if_match` the object must be absent.
struct StoreWrite {
  std::uint64_t call_id = 0;
  std::string object;
  std::optional<ObjectVersion> if_match;
  std::vector<std::uint8_t> bytes;
};

enum class ReadStatus : std::uint8_t { kFound, kAbsent, kFailed };

struct StoreReadResult {
  ReadStatus status = ReadStatus::kFailed;
  ObjectVersion version;
  std::vector<std::uint8_t> bytes;
};

enum class WriteStatus : std::uint8_t {
  kOk,
  kConflict,  // Another version was there: proven not to have taken effect.
  kFailed,    // Proven not to have taken effect.
  kUnknown,   // No answer, or one that proves nothing.
};

struct StoreWriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  ObjectVersion version;  // With kOk.
};

// A message to another daemon. Sending to one that cannot be reached is no
// error.
struct PeerSend {
  DaemonId to;
  std::string address;  // "IP:port"
  peer::MessageUnion message;
};

// A change for the audit trail. Emitted by the assigner once the change is
// written, with the version of the record that holds it.
struct AuditEvent {
  std::string actor;   // Daemon or operator.
  std::string what;    // For example "takeover".
  std::string object;  // Range, server or daemon concerned.
  std::string from;
  std::string to;
  std::string why;
  ObjectVersion version;
};

// An event worth a line in the log.
struct LogEvent {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

// What the agent wants done, in order within each list.
struct Outbox {
  std::vector<StoreRead> reads;
  std::vector<StoreWrite> writes;
  std::vector<PeerSend> sends;
  std::vector<ServerOrder> orders;
  std::vector<AuditEvent> audit;
  std::vector<LogEvent> log;
};

// A planned move wished for by placement or an operator.
struct ProposedMove {
  ServiceName service;
  HashRange range;  // Exactly a range of the record.
  ServerId to;
  std::string actor;
  std::string why;
};

// A wish to divide a range: [first, at - 1] and [at, last].
struct ProposedSplit {
  ServiceName service;
  HashRange range;
  KeyHash at;
  std::string actor;
};

// A wish to join a range with its successor, both of one owner.
struct ProposedMerge {
  ServiceName service;
  HashRange first;
  HashRange second;
  std::string actor;
};

// What an operator may want to know of an agent.
struct CellStatus {
  bool has_record = false;
  bool is_member = false;
  bool is_assigner = false;
  bool permit_valid = false;
  bool view_settled = false;
  bool left = false;  // `Leave` is complete; the process may end.
  ObjectVersion record;
  Epoch epoch;
  ViewVersion view;
  DaemonId assigner;
  std::size_t members_heard = 0;      // In contact, this daemon included.
  std::size_t servers_reachable = 0;  // By own contact or by other members'.
  std::size_t ranges_without_live_owner = 0;
};

// The state machine. Not thread-safe: one task owns it.
class CellAgent {
 public:
  // `random` seeds jitter and write identifiers.
  CellAgent(CellOptions options, std::mt19937_64 random);
  CellAgent(const CellAgent&) = delete;
  CellAgent& operator=(const CellAgent&) = delete;
  CellAgent(CellAgent&&) noexcept;
  CellAgent& operator=(CellAgent&&) noexcept;
  ~CellAgent();

  // Begins to look for the cell's record.
  void Start(TimePoint now);

  // Takes the answer to the read or write with this ticket.
  void OnStoreRead(std::uint64_t call_id,
                   const StoreReadResult& result,
                   TimePoint now);
  void OnStoreWrite(std::uint64_t call_id,
                    const StoreWriteResult& result,
                    TimePoint now);

  // Takes a message of another daemon. Kinds that do not concern the cell are
  // ignored.
  void OnPeer(const DaemonId& from,
              const peer::MessageUnion& message,
              TimePoint now);

  // Takes the answer to an order sent at `sent`. Orders without an answer need
  // no call.
  void OnServerReply(std::uint64_t call_id,
                     const ServerReply& reply,
                     TimePoint sent,
                     TimePoint now);

  // Takes the list of VMs, whole, each time it is read.
  void OnServerList(std::vector<ListedServer> servers, TimePoint now);

  // Does what is due. Early calls are harmless.
  void OnTick(TimePoint now);

  // Returns when `OnTick` is due next.
  [[nodiscard]] TimePoint NextDeadline() const;

  // Wishes. Each returns false where this daemon is not the assigner. One that
  // does not fit the record when its turn comes is dropped with a log event;
  // one that does is audited once it is written.
  bool ProposeMove(const ProposedMove& move, TimePoint now);
  bool ProposeSplit(const ProposedSplit& split, TimePoint now);
  bool ProposeMerge(const ProposedMerge& merge, TimePoint now);

  // Moves everything off a server, or ends that wish. Relayed to the assigner.
  void Drain(const ServerId& server,
             bool drain,
             const std::string& actor,
             TimePoint now);

  // States that the daemons of all older views are gone for good, so that
  // nothing waits for them. Only an operator can know. Returns false where
  // this daemon is not the assigner.
  bool ConfirmOldMembersGone(const std::string& actor, TimePoint now);

  // Leaves the cell: hands over the assigner's office and gets off the list.
  // `Status().left` tells when it is done.
  void Leave(TimePoint now);

  // Replaces the timing or the services, for example when settings change. The
  // times on which safety rests (lease, permit, hold-over, clock drift) are
  // those of the record, set once when it was created.
  void SetTiming(const settings::CellTimingT& timing, TimePoint now);
  void SetServices(std::vector<CellService> services, TimePoint now);

  // Returns what has to be done since the last call.
  [[nodiscard]] Outbox TakeOutbox();

  // Returns where a request goes at `now`. Ask once for each attempt.
  [[nodiscard]] KeyRoute Route(const ServiceName& service,
                               KeyHash hash,
                               TimePoint now) const;

  // Returns the record adopted last; null before the first.
  [[nodiscard]] std::shared_ptr<const stored::CellT> Record() const;
  [[nodiscard]] ObjectVersion RecordVersion() const;
  [[nodiscard]] bool IsAssigner() const;
  // Returns until when this daemon may renew leases; at most `now` if it may
  // not.
  [[nodiscard]] TimePoint PermitDeadline(TimePoint now) const;
  [[nodiscard]] CellStatus Status(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_CELL_AGENT_H_
