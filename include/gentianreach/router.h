// Routes of keys: how the data path looks up owners in the ownership table.
#ifndef INCLUDE_GENTIANREACH_ROUTER_H_
#define INCLUDE_GENTIANREACH_ROUTER_H_

#include <concepts>
#include <cstdint>
#include <string>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"

namespace gentianreach {

// What the data path must do with a request for a key.
enum class RouteState : std::uint8_t {
  kServe,   // Send it to `server`.
  kHold,    // The owner is changing: wait and look up the key again.
  kNone,    // No service or no server: reject as not run.
  kCutOff,  // This daemon is too isolated to route safely.
};

// The owner of a key as this daemon knows it.
struct KeyRoute {
  RouteState state = RouteState::kNone;
  ServerId server;
  std::string address;  // "IP:port"
  Token token;          // Of the range; sent with the request and checked.
  LeaseGeneration generation;
  Incarnation incarnation;
  HashRange range;
  // A request on this route is aborted at this time. The maximum if the server
  // stops serving on its own when its lease expires.
  TimePoint deadline = TimePoint::max();
};

// Finds the server that owns a key. The data path looks it up once per attempt
// and never caches the result.
template <typename R>
concept KeyRouter = requires(R& router,
                             const ServiceName& service,
                             KeyHash hash,
                             TimePoint now) {
  { router.Route(service, hash, now) } -> std::same_as<KeyRoute>;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_ROUTER_H_
