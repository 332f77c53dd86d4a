// The load report of a backend server.
#ifndef SRC_SERVER_SERVER_LOAD_H_
#define SRC_SERVER_SERVER_LOAD_H_

#include <cstdint>

#include "gentianreach/time.h"

namespace gentianreach {

// Load that a backend server reports in its responses to orders. It lags behind
// the actual load and may be inaccurate.
struct ServerLoad {
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  Duration service_time{};  // Median of recent requests; zero if unknown.
};

}  // namespace gentianreach

#endif  // SRC_SERVER_SERVER_LOAD_H_
