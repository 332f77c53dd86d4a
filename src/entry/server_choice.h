// Chooses the server of a request, or says why and for how long it is refused.
#ifndef SRC_ENTRY_SERVER_CHOICE_H_
#define SRC_ENTRY_SERVER_CHOICE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "entry/ownership_view.h"
#include "entry/server_directory.h"
#include "entry/server_loads.h"
#include "gentianreach/ids.h"
#include "gentianreach/time.h"
#include "gentianreach/verdict.h"
#include "routing/routing_config.h"

namespace gentianreach::entry {

// Retry-After while there is no configuration, owner or server.
inline constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(300);
// Retry-After when the server rejected the request for lack of room.
inline constexpr Duration kRejectedRetryAfter = std::chrono::milliseconds(120);

// What the choice depends on, of the request.
struct ChoiceRequest {
  const routing::Route& route;
  const routing::Service& service;
  std::optional<std::uint32_t> key;  // Keyed services only.
  // Servers that are not asked again.
  const std::vector<ServerId>& tried;
  Duration time_left;
  // The daemon's own availability zone.
  const ZoneName& zone;
};

// Which server is chosen, or why none is.
struct ServerChoice {
  const routing::BackendServer* server = nullptr;
  Reason reason = Reason::kNone;
  // When another try is likely to succeed; where there is no server.
  Duration retry_after{};
  // The owner of the key is about to change: wait for it.
  bool wait = false;
};

// Returns the owner of the key, or the best of a sample of the service's
// servers. Refuses what could not be answered in time there: under overload a
// longer queue would only make all answers late.
[[nodiscard]] ServerChoice ChooseServer(const ChoiceRequest& request,
                                        const ServerDirectory& directory,
                                        const ServerLoads& loads,
                                        const OwnershipView& ownership,
                                        TimePoint now);

}  // namespace gentianreach::entry

#endif  // SRC_ENTRY_SERVER_CHOICE_H_
