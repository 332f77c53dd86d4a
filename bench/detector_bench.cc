// Compares the detection delay of change detectors at equal false alarm rates,
// for a key that becomes hot (Poisson counts) and a server that becomes slow
// (heavy-tailed service times).
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iomanip>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "bench/change_detectors.h"

namespace gentianreach {
namespace {

// Mean number of observations between false alarms to which all detectors are
// calibrated.
constexpr double kFalseAlarmInterval = 2000;
constexpr int kCalibrationRuns = 200;
// Maximum number of observations in a run without an alarm.
constexpr int kMaxObservations = 12000;
// Observations before the change, for detectors to reach their steady state.
constexpr int kWarmUpObservations = 100;

using Source = std::function<double(std::mt19937_64&, double factor)>;

// Returns a source of the number of requests per second for a key, with mean
// `rate` times `factor`.
Source HotKey(double rate) {
  return [rate](std::mt19937_64& random, double factor) {
    std::poisson_distribution<int> count(rate * factor);
    return static_cast<double>(count(random));
  };
}

// Returns a source of logarithms of service times, shifted by log(`factor`).
Source SlowServer(double sigma) {
  return [sigma](std::mt19937_64& random, double factor) {
    std::normal_distribution<double> time(0, sigma);
    return time(random) + std::log(factor);
  };
}

// Returns the number of observations from the change to the alarm. A detector
// that raises an alarm before the change is reset.
template <typename Make>
double Delay(const Make& make,
             const Source& source,
             double threshold,
             double factor,
             int before,
             std::mt19937_64& random) {
  auto detector = make();
  for (int i = 0; i < before; ++i) {
    if (detector.Add(source(random, 1)) >= threshold) {
      detector = make();
    }
  }
  for (int i = 1; i < kMaxObservations; ++i) {
    if (detector.Add(source(random, factor)) >= threshold) {
      return i;
    }
  }
  return kMaxObservations;
}

template <typename Make>
double MeanDelay(const Make& make,
                 const Source& source,
                 double threshold,
                 double factor,
                 int runs,
                 std::uint64_t seed) {
  std::mt19937_64 random(seed);
  double sum = 0;
  const int before = factor == 1 ? 0 : kWarmUpObservations;
  for (int i = 0; i < runs; ++i) {
    sum += Delay(make, source, threshold, factor, before, random);
  }
  return sum / runs;
}

// Returns the threshold at which the mean interval between false alarms is
// kFalseAlarmInterval.
template <typename Make>
double Calibrate(const Make& make,
                 const Source& source,
                 double low,
                 double high) {
  for (int i = 0; i < 14; ++i) {
    const double middle = (low + high) / 2;
    const double interval =
        MeanDelay(make, source, middle, 1, kCalibrationRuns, 1);
    (interval < kFalseAlarmInterval ? low : high) = middle;
  }
  return (low + high) / 2;
}

struct Case {
  std::string name;
  Source source;
  double mean = 0;
  double deviation = 0;
  std::vector<double> factors;
};

template <typename Make>
void PrintDetector(const Case& it,
                   const std::string& name,
                   const Make& make,
                   double low,
                   double high,
                   int runs,
                   const char* gap) {
  const double threshold = Calibrate(make, it.source, low, high);
  const double interval =
      MeanDelay(make, it.source, threshold, 1, kCalibrationRuns, 2);
  std::cout << it.name << gap << name << gap << interval;
  for (const double factor : it.factors) {
    std::cout << gap << MeanDelay(make, it.source, threshold, factor, runs, 3);
  }
  std::cout << '\n';
}

void PrintCase(const Case& it, int runs, const char* gap) {
  std::cout << "case" << gap << "detector" << gap << "false_alarm_interval";
  for (const double factor : it.factors) {
    std::cout << gap << "delay_x" << factor;
  }
  std::cout << '\n';
  const double d = it.deviation;
  for (const double offset : {0.25, 0.5, 1.0}) {
    const double level = it.mean + offset * d;
    PrintDetector(
        it, "cusum+" + std::to_string(offset).substr(0, 4),
        [level] { return OffsetCusum(level); }, 0, 60 * d, runs, gap);
  }
  for (const double share : {0.05, 0.1, 0.2, 0.4}) {
    PrintDetector(
        it, "ewma-" + std::to_string(share).substr(0, 4),
        [&it, share] { return MovingAverage(share, it.mean); }, it.mean,
        it.mean + 8 * d, runs, gap);
  }
  for (const std::size_t size : {5, 10, 20, 40}) {
    PrintDetector(
        it, "window-" + std::to_string(size),
        [&it, size] { return WindowAverage(size, it.mean); }, it.mean,
        it.mean + 8 * d, runs, gap);
  }
}

}  // namespace
}  // namespace gentianreach

int main(int argc, char** argv) {
  CLI::App app("Detection delay at equal false alarm rates");
  int runs = 2000;
  bool csv = false;
  app.add_option("--runs", runs, "Runs per delay");
  app.add_flag("--csv", csv, "Comma-separated values");
  CLI11_PARSE(app, argc, argv);
  const char* gap = csv ? "," : "  ";
  std::cout << std::fixed << std::setprecision(1);
  for (const double rate : {2.0, 20.0}) {
    gentianreach::PrintCase({"hot_key_" + std::to_string(int(rate)),
                             gentianreach::HotKey(rate),
                             rate,
                             std::sqrt(rate),
                             {1.25, 1.5, 2, 4, 8}},
                            runs, gap);
  }
  gentianreach::PrintCase({"slow_server",
                           gentianreach::SlowServer(0.5),
                           0,
                           0.5,
                           {1.1, 1.25, 1.5, 2, 4}},
                          runs, gap);
  return 0;
}
