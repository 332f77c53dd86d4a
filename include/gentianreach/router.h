// Where a request goes: the answer of the ownership table to the data path.
#ifndef INCLUDE_GENTIANREACH_ROUTER_H_
#define INCLUDE_GENTIANREACH_ROUTER_H_

#include <concepts>
#include <cstdint>
#include <string>

#include "gentianreach/ids.h"
#include "gentianreach/key.h"
#include "gentianreach/time.h"

namespace gentianreach {

// What the data path may do with a request for a key.
enum class RouteState : std::uint8_t {
  kServe,   // Send it to `server`.
  kHold,    // The range changes owner: wait and ask again before the deadline.
  kNone,    // No service or no server; refuse as not run.
  kCutOff,  // This daemon lacks the contact that routing safely needs.
};

// The owner of a key as this daemon knows it.
struct KeyRoute {
  RouteState state = RouteState::kNone;
  ServerId server;
  std::string address;  // "IP:port"
  Token token;          // Of the range; sent along and checked by the server.
  LeaseGeneration generation;
  Incarnation incarnation;
  HashRange range;
  // A request sent on this route ends by then, answered or not. The maximum
  // where the server itself stops serving when its lease ends.
  TimePoint deadline = TimePoint::max();
};

// Answers which server owns a key. The data path asks once per attempt and
// never caches the answer.
template <typename R>
concept KeyRouter = requires(R& router,
                             const ServiceName& service,
                             KeyHash hash,
                             TimePoint now) {
  { router.Route(service, hash, now) } -> std::same_as<KeyRoute>;
};

}  // namespace gentianreach

#endif  // INCLUDE_GENTIANREACH_ROUTER_H_
