// Converts durations between clocks whose rates differ by a bounded drift.
#ifndef SRC_CELL_STRETCH_H_
#define SRC_CELL_STRETCH_H_

#include "gentianreach/time.h"

namespace gentianreach::cell {

// Returns how long to wait on this clock so that `wait` has passed on every
// clock whose rate differs by less than `drift`.
[[nodiscard]] inline Duration Stretch(Duration wait, double drift) {
  const double n = static_cast<double>(wait.count()) * (1 + drift);
  return Duration(static_cast<Duration::rep>(n) + 1);
}

// Returns how much of `span`, measured on this clock, has passed on every
// clock whose rate differs by less than `drift`.
[[nodiscard]] inline Duration Shrink(Duration span, double drift) {
  const double n = static_cast<double>(span.count()) * (1 - drift);
  return Duration(static_cast<Duration::rep>(n));
}

}  // namespace gentianreach::cell

#endif  // SRC_CELL_STRETCH_H_
