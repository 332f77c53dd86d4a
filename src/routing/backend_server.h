// A backend server as discovery describes it.
#ifndef SRC_ROUTING_BACKEND_SERVER_H_
#define SRC_ROUTING_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::routing {

struct BackendServer {
  ServerId id;
  // Tells the incarnations of one id apart.
  Incarnation incarnation;
  std::string address;  // "IP:port"
  std::string service;
  ZoneName zone;
  // Requests that it processes at the same time.
  std::uint32_t slots = 1;
  // It still serves, and asks for no new work.
  bool draining = false;
  // When this daemon learnt that it is draining.
  TimePoint draining_since{};
  // Until then it is slow after its start.
  TimePoint warm_at{};
};

}  // namespace gentianreach::routing

#endif  // SRC_ROUTING_BACKEND_SERVER_H_
