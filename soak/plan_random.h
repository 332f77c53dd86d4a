// The random draws of a plan. The same for a seed.
#ifndef SOAK_PLAN_RANDOM_H_
#define SOAK_PLAN_RANDOM_H_

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>

#include "gentianreach/time.h"

namespace gentianreach::soak {

class PlanRandom {
 public:
  explicit PlanRandom(std::uint64_t seed) : engine_(seed) {}

  // Returns a number below `size`.
  std::size_t Index(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(engine_);
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(engine_);
  }
  double Between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(engine_);
  }
  // Returns the time until the next of events that are independent of each
  // other.
  Duration Pause(double mean_ms) { return PauseAtRate(1 / mean_ms); }
  Duration PauseAtRate(double events_per_ms) {
    return Millis(
        std::exponential_distribution<double>(events_per_ms)(engine_));
  }
  // Returns a duration that is uniform on a logarithmic scale.
  Duration Span(double min_ms, double max_ms) {
    return Millis(std::exp(Between(std::log(min_ms), std::log(max_ms))));
  }
  std::mt19937_64& engine() { return engine_; }

 private:
  static Duration Millis(double ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  std::mt19937_64 engine_;
};

}  // namespace gentianreach::soak

#endif  // SOAK_PLAN_RANDOM_H_
