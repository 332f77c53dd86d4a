// The schedule of the faults that a soak run injects. Deterministic for a seed.
#ifndef SOAK_FAULT_PLAN_H_
#define SOAK_FAULT_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gentianreach/time.h"
#include "soak/chaos_proxy.h"

namespace gentianreach::soak {

enum class FaultKind : std::uint8_t {
  // Signals to processes. A process resumes or restarts when the fault ends.
  kKillDaemon,
  kStopDaemon,
  kPauseDaemon,
  kReloadDaemon,
  kKillServer,
  kDrainServer,
  kPauseServer,
  kPauseStore,
  // Faults and changes of the store.
  kStoreBusy,
  kStoreLosesResponses,
  kStoreDropsHistory,
  kChangeConfig,
  // Network faults, injected by the proxies.
  kSlowLink,
  kSilentLink,
  kOneWayLink,
  kResetLink,
  // A daemon is cut off from all servers.
  kCutDaemon,
  // The configuration in the store is invalid.
  kInvalidConfig,
  // The store's revision counter goes back, as if another store had taken its
  // place; its objects stay.
  kStoreTurnsBack,
  // The store refuses a daemon and serves all others.
  kStoreRefuses,
  // Links between daemons are cut.
  kCutLinks,
};
inline constexpr std::size_t kFaultKinds =
    static_cast<std::size_t>(FaultKind::kCutLinks) + 1;

// How the store refuses a daemon.
enum class Refusal : std::uint8_t {
  kUnavailable,      // Answers 503.
  kTooManyRequests,  // Answers 429.
  kReset,
  kSilent,
};

// How a link between two daemons is cut.
enum class LinkCutKind : std::uint8_t {
  kDatagrams,  // Datagrams are lost; connections live on.
  kSilent,     // Nothing arrives in either direction.
  kReset,      // Datagrams are lost, and connections are reset.
  kOneWay,     // Nothing arrives in one direction.
};

// The cut of a link between two daemons.
struct LinkCut {
  std::size_t from = 0;
  std::size_t to = 0;
  LinkCutKind kind = LinkCutKind::kDatagrams;
};

// The connections that a link fault affects.
enum class LinkKind : std::uint8_t {
  kCallersToDaemon,
  kDaemonToStore,
  kDaemonsToServer,
};

struct Fault {
  FaultKind kind = FaultKind::kKillDaemon;
  // Index of the daemon or server; 0 for the store.
  std::size_t target = 0;
  // Used by link faults only.
  LinkKind link = LinkKind::kCallersToDaemon;
  // Used by kCutDaemon only.
  ClientCut cut = ClientCut::kNone;
  // Used by kStoreRefuses only.
  Refusal refusal = Refusal::kUnavailable;
  // Used by kCutLinks only. With `around_leader`, the daemon that leads when
  // the fault begins and the one with the index `target` change places.
  std::vector<LinkCut> links;
  bool around_leader = false;
  TimePoint begins;
  TimePoint ends;
};

// The deployment under test.
struct FleetShape {
  // Number of processes.
  std::size_t daemons = 3;
  std::size_t servers = 6;
  // Factor of the rate of the faults that grows with the number of processes.
  double fault_rate = 1;
  // Whether the store's revision counter goes back.
  bool store_turns_back = false;
  // Whether the store refuses some daemons while servers drain in series, with
  // fewer other faults.
  bool store_refuses = false;
  // Whether links between daemons are cut, while the configuration changes
  // often.
  bool cut_links = false;
  // Limit of each daemon's file descriptors; the soak's own limit by default.
  std::optional<std::uint64_t> max_descriptors;
  // Whether daemons start with their signals blocked, and some get SIGHUP at
  // once.
  bool signals_at_start = true;
};

// Returns the faults between `begin` and `end`, sorted by start time. Cuts of
// daemons, and some of the signals to them, affect one, several or all of them
// at the same time. Other faults may overlap, and some repeat soon on the same
// target. A process gets no signal for a new fault before its earlier fault has
// ended.
[[nodiscard]] std::vector<Fault> MakePlan(std::uint64_t seed,
                                          const FleetShape& shape,
                                          TimePoint begin,
                                          TimePoint end);

// Returns whether `kind` affects daemon processes, server processes or
// connections, respectively.
[[nodiscard]] bool IsDaemonFault(FaultKind kind);
[[nodiscard]] bool IsServerFault(FaultKind kind);
[[nodiscard]] bool IsLinkFault(FaultKind kind);

// Returns whether the store is down or slow, or loses answers.
[[nodiscard]] bool IsStoreOutage(FaultKind kind);

// Returns whether a daemon with that fault of the store alone counts as in
// touch with it.
[[nodiscard]] bool KeepsPathToStore(const Fault& fault);

// Returns whether the server with that index is plain; the others own keys.
[[nodiscard]] bool IsPlainServer(std::size_t server);

// Returns the fault as key=value fields, with times relative to `start`.
[[nodiscard]] std::string ToString(const Fault& fault, TimePoint start);

}  // namespace gentianreach::soak

#endif  // SOAK_FAULT_PLAN_H_
