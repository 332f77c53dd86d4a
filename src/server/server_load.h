// Load that a backend server reports of itself.
#ifndef SRC_SERVER_SERVER_LOAD_H_
#define SRC_SERVER_SERVER_LOAD_H_

#include <cstdint>

#include "gentianreach/time.h"

namespace gentianreach {

// What a backend server says of itself in its answers to orders. It lags and
// may mislead.
struct ServerLoad {
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  Duration service_time{};  // Median of recent requests; zero: not known.
};

}  // namespace gentianreach

#endif  // SRC_SERVER_SERVER_LOAD_H_
