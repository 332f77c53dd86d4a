// Chooses the backend server for a request, or tells why it is refused and when
// to retry.
#ifndef SRC_ENTRY_BALANCING_SERVER_CHOICE_H_
#define SRC_ENTRY_BALANCING_SERVER_CHOICE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "entry/balancing/drain_bound.h"
#include "entry/balancing/ownership_view.h"
#include "entry/balancing/server_directory.h"
#include "entry/balancing/server_limits.h"
#include "entry/balancing/server_loads.h"
#include "entry/balancing/zone_evacuations.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "gentianreach/verdict.h"
#include "routing/routing_config.h"

namespace gentianreach::entry {

// Retry-After while there is no configuration, owner or backend server.
inline constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(300);
// Retry-After when a server rejected the request because it is full.
inline constexpr Duration kRejectedRetryAfter = std::chrono::milliseconds(120);

// The properties of a request that the choice depends on.
struct ChoiceRequest {
  const routing::Route& route;
  const routing::Service& service;
  std::optional<std::uint32_t> key;  // Keyed services only.
  // Servers that were tried already and are not chosen again.
  const std::vector<ServerId>& tried;
  Duration time_left;
  // The daemon's own availability zone.
  const ZoneName& zone;
  // Cost of sending a request to another zone, as time that the caller may wait
  // instead; 0: servers there are chosen if they are faster by a fixed factor.
  Duration zone_crossing{};
};

// What a daemon knows of the servers.
struct KnownServers {
  const ServerDirectory& directory;
  const ServerLoads& loads;
  const ServerLimits& limits;
  const OwnershipView& ownership;
  const DrainBound& drain_bound;
  // The status of the copies that `directory` and `evacuations` hold.
  EntriesStatus entries;
  const ZoneEvacuations& evacuations;
};

// The chosen server, or the reason why there is none.
struct ServerChoice {
  const routing::BackendServer* server = nullptr;
  // Until when the request may be written to the server.
  TimePoint send_until{};
  Reason reason = Reason::kNone;
  // Time after which a retry is likely to succeed; set only if `server` is
  // null.
  Duration retry_after{};
  // Whether the owner of the key is about to change, so that the request should
  // wait for the new one.
  bool wait = false;
};

// Returns the owner of the key for a keyed service, or the best of a random
// sample of the service's servers otherwise, by `zone_crossing` one of the own
// zone as long as one there has a free slot and meets the latency objective.
// Servers that may get no request now by the limit that they name, as they are
// cold, or by the rest that they ask for are left out, and those of evacuated
// zones. An owner in such a zone gets requests for a while, until its keys have
// moved.
// Refuses a request that the chosen server could not answer in time: under
// overload, a longer queue would only delay all responses. Refuses all requests
// while the entries are too old to tell which servers have left.
[[nodiscard]] ServerChoice ChooseServer(const ChoiceRequest& request,
                                        const KnownServers& known,
                                        TimePoint now);

// Seeds the random source of the process's choices, for tests that repeat.
void SeedChoices(std::uint32_t seed);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_BALANCING_SERVER_CHOICE_H_
