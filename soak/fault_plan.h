// What a soak breaks, and when. The same seed gives the same plan.
#ifndef SOAK_FAULT_PLAN_H_
#define SOAK_FAULT_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gentianreach/time.h"

namespace gentianreach::soak {

enum class FaultKind : std::uint8_t {
  // Processes, by signals. They run again when the fault ends.
  kKillDaemon,
  kStopDaemon,
  kPauseDaemon,
  kReloadDaemon,
  kKillServer,
  kDrainServer,
  kPauseServer,
  kPauseStore,
  // The store.
  kStoreBusy,
  kStoreLosesResponses,
  kStoreDropsHistory,
  kChangeConfig,
  // Connections, by the proxies in front of a process.
  kSlowLink,
  kSilentLink,
  kOneWayLink,
  kResetLink,
};
inline constexpr std::size_t kFaultKinds =
    static_cast<std::size_t>(FaultKind::kResetLink) + 1;

// The connections that a link fault concerns.
enum class LinkKind : std::uint8_t {
  kCallersToDaemon,
  kDaemonToStore,
  kDaemonsToServer,
};

struct Fault {
  FaultKind kind = FaultKind::kKillDaemon;
  // Index of the daemon or server; 0 for the store.
  std::size_t target = 0;
  // Link faults only.
  LinkKind link = LinkKind::kCallersToDaemon;
  TimePoint begins;
  TimePoint ends;
};

// Sizes of the deployment that is broken.
struct FleetShape {
  std::size_t daemons = 3;
  std::size_t servers = 6;
};

// Returns the faults between `begin` and `end`, by the time they begin. They
// overlap, and some come in series at the same target. A process gets no second
// signal before an earlier fault of it has ended.
[[nodiscard]] std::vector<Fault> MakePlan(std::uint64_t seed,
                                          const FleetShape& shape,
                                          TimePoint begin,
                                          TimePoint end);

// Returns whether `kind` concerns the processes of daemons, of servers, or
// connections.
[[nodiscard]] bool IsDaemonFault(FaultKind kind);
[[nodiscard]] bool IsServerFault(FaultKind kind);
[[nodiscard]] bool IsLinkFault(FaultKind kind);

// Returns the fault as a line of text; times count from `start`.
[[nodiscard]] std::string ToString(const Fault& fault, TimePoint start);

}  // namespace gentianreach::soak

#endif  // SOAK_FAULT_PLAN_H_
