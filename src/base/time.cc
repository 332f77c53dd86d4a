#include "gentianreach/time.h"

#include <ctime>

namespace gentianreach {

TimePoint MonotonicClock::Now() const {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::seconds(ts.tv_sec) +
                   std::chrono::nanoseconds(ts.tv_nsec));
}

}  // namespace gentianreach
