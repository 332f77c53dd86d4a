// One daemon's part in a cell: membership, election, leases and moves.
//
// A cell is a set of backend servers, the daemons that manage them and one
// record in the platform's store. `CellAgent` is the deterministic part of one
// daemon: it has no sockets, threads or clock. The program that owns it
//
//   1. calls `Start` once, and an `On...` function for each event, with the
//      current time;
//   2. takes the pending actions with `TakeOutbox` after every call and
//      performs them;
//   3. calls `OnTick` no later than `NextDeadline()`;
//   4. calls `Route` to find the owner of the key of a request.
//
// Actions in the outbox may be lost, delayed, duplicated or reordered without
// affecting safety. The results of store calls are the exception: each
// `StoreRead` and `StoreWrite` must be answered once, with `kFailed` or
// `kUnknown` if the result is not known.
//
// docs/design/ownership.md explains the rules; samples/own_a_key.cc drives an
// agent step by step.
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

// A service whose keys or servers the cell manages.
struct CellService {
  ServiceName name;
  bool keyed = false;
  // Whether its servers reject orders of an older epoch.
  bool checks_giver = true;
  // Whether its servers stop serving on their own when their lease expires.
  bool watches_deadline = true;
};

// Identity and settings of one agent.
struct CellOptions {
  std::string cell;
  // Identifies one run of a daemon process. A restarted process must use
  // another name, for example its configured name with its start time.
  DaemonId self;
  std::string peer_address;  // "IP:port" at which other daemons reach it.
  ZoneName zone;
  std::vector<CellService> services;
  settings::CellTimingT timing;
  std::uint32_t ranges_per_server = 8;  // In a new cell.
};

// A backend server in the platform's list of VMs. The list may be outdated.
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
  Incarnation incarnation;  // Zero: any.
  LeaseGeneration generation;
  ServerTime deadline;  // The server rejects the order after this.
  ServerTime until;     // Of the lease.
  ServiceName service;
  std::vector<GrantedRange> grants;
  // Passed to `OnServerReply` with the response.
  std::uint64_t call_id = 0;
};

// The response of a backend server to an order.
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
  kConflict,  // The version did not match; the write did not take effect.
  kFailed,    // The write provably did not take effect.
  kUnknown,   // No response, or an inconclusive one.
};

struct StoreWriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  ObjectVersion version;  // With kOk.
};

// A message to another daemon. It is not an error if that daemon cannot be
// reached.
struct PeerSend {
  DaemonId to;
  std::string address;  // "IP:port"
  peer::MessageUnion message;
};

// An entry for the audit trail. Emitted by the assigner once the change has
// been written, with the version of the record that contains it.
struct AuditEvent {
  std::string actor;   // Daemon or operator.
  std::string what;    // For example "takeover".
  std::string object;  // Range, server or daemon concerned.
  std::string from;
  std::string to;
  std::string why;
  ObjectVersion version;
};

// An event to be logged.
struct LogEvent {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Actions for the owner of the agent to perform. Each list is in order.
struct Outbox {
  std::vector<StoreRead> reads;
  std::vector<StoreWrite> writes;
  std::vector<PeerSend> sends;
  std::vector<ServerOrder> orders;
  std::vector<AuditEvent> audit;
  std::vector<LogEvent> log;
};

// A planned move requested by placement or an operator.
struct ProposedMove {
  ServiceName service;
  HashRange range;  // Must equal a range of the record.
  ServerId to;
  std::string actor;
  std::string why;
};

// A request to split a range: [first, at - 1] and [at, last].
struct ProposedSplit {
  ServiceName service;
  HashRange range;
  KeyHash at;
  std::string actor;
};

// A request to merge a range with the next one, both with the same owner.
struct ProposedMerge {
  ServiceName service;
  HashRange first;
  HashRange second;
  std::string actor;
};

// The state of an agent, for operators.
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

  // Starts reading the cell's record.
  void Start(TimePoint now);

  // Handles the result of the read or write with this ID.
  void OnStoreRead(std::uint64_t call_id,
                   const StoreReadResult& result,
                   TimePoint now);
  void OnStoreWrite(std::uint64_t call_id,
                    const StoreWriteResult& result,
                    TimePoint now);

  // Handles a message of another daemon. Kinds that do not concern the cell are
  // ignored.
  void OnPeer(const DaemonId& from,
              const peer::MessageUnion& message,
              TimePoint now);

  // Handles the response to an order sent at `sent`. Not called for orders that
  // got no response.
  void OnServerReply(std::uint64_t call_id,
                     const ServerReply& reply,
                     TimePoint sent,
                     TimePoint now);

  // Handles the complete list of VMs, each time it is read.
  void OnServerList(std::vector<ListedServer> servers, TimePoint now);

  // Performs the actions that are due. Calling it early is harmless.
  void OnTick(TimePoint now);

  // Returns when `OnTick` is due next.
  [[nodiscard]] TimePoint NextDeadline() const;

  // Proposals. Each returns false if this daemon is not the assigner. A
  // proposal that does not match the record by the time it is processed is
  // dropped and logged; an accepted one is audited once it has been written.
  bool ProposeMove(const ProposedMove& move, TimePoint now);
  bool ProposeSplit(const ProposedSplit& split, TimePoint now);
  bool ProposeMerge(const ProposedMerge& merge, TimePoint now);

  // Moves all ranges off a server, or cancels that. Relayed to the assigner.
  void Drain(const ServerId& server,
             bool drain,
             const std::string& actor,
             TimePoint now);

  // Confirms that the daemons of all previous views have stopped permanently,
  // so that the cell no longer waits for them. Only an operator can know this.
  // Returns false if this daemon is not the assigner.
  bool ConfirmOldMembersGone(const std::string& actor, TimePoint now);

  // Leaves the cell: steps down as assigner and has itself removed from the
  // members. `Status().left` is true when this is complete.
  void Leave(TimePoint now);

  // Replaces the timing or the services, for example when settings change. The
  // durations that safety depends on (lease, permit, hold-over, clock drift)
  // are those of the record, which are set when it is created.
  void SetTiming(const settings::CellTimingT& timing, TimePoint now);
  void SetServices(std::vector<CellService> services, TimePoint now);

  // Returns the actions that were added since the last call.
  [[nodiscard]] Outbox TakeOutbox();

  // Returns the route of a request at `now`. Call it once for each attempt.
  [[nodiscard]] KeyRoute Route(const ServiceName& service,
                               KeyHash hash,
                               TimePoint now) const;

  // Returns the last adopted record, or null if there is none yet.
  [[nodiscard]] std::shared_ptr<const stored::CellT> Record() const;
  [[nodiscard]] ObjectVersion RecordVersion() const;
  [[nodiscard]] bool IsAssigner() const;
  // Returns until when this daemon may renew leases. At most `now` if it may
  // not renew them.
  [[nodiscard]] TimePoint PermitDeadline(TimePoint now) const;
  [[nodiscard]] CellStatus Status(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_CELL_AGENT_H_
