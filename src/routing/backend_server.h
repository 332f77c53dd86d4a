// A backend server as discovery describes it.
#ifndef SRC_ROUTING_BACKEND_SERVER_H_
#define SRC_ROUTING_BACKEND_SERVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gentianreach/ids.h"
#include "gentianreach/time.h"

namespace gentianreach::routing {

struct BackendServer {
  ServerId id;
  // Distinguishes the incarnations of a server, which keep its id.
  Incarnation incarnation;
  // Number of the report that this state is from, which grows within an
  // incarnation; nullopt if unknown.
  std::optional<std::uint64_t> report_number;
  // When this daemon got that report.
  TimePoint reported_at{};
  std::string address;  // "IP:port"
  std::string service;
  ZoneName zone;
  // Number of requests that the server processes at the same time.
  std::uint32_t slots = 1;
  // Whether the server still processes requests but wants no new ones.
  bool draining = false;
  // Earliest time at which the server may have started draining.
  TimePoint draining_since{};
  // Until this time the server is expected to be slow, as it has just started.
  TimePoint warm_at{};
  // Whether the server's report says until when; if not, `warm_at` is the time
  // of the report.
  bool states_warmup = false;
};

}  // namespace gentianreach::routing

#endif  // SRC_ROUTING_BACKEND_SERVER_H_
