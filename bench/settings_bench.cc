// Measures the distribution of settings to fleets of simulated daemons, in
// virtual time: time until a change is active on every daemon, store calls and
// bytes.
//
// Usage: settings_bench [--csv | --slopes] [--text BYTES] [SIZE...]

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "settings/relay_sim.h"

namespace {

using gentianreach::Duration;
using gentianreach::TimePoint;
using gentianreach::settings::RelaySim;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Target rate of changes, and the number of daemons in the fleet that makes
// them.
constexpr double kChangesPerDay = 38'000;
constexpr double kTargetFleet = 13'000;
constexpr double kSecondsPerDay = 86'400;
constexpr Duration kWarmUp = seconds(30);
constexpr Duration kMeasured = seconds(300);
constexpr Duration kStep = milliseconds(20);
constexpr Duration kRunTimeout = seconds(60);
constexpr int kSingleChanges = 20;

struct Row {
  std::size_t daemons = 0;
  double median_ms = 0;
  double worst_ms = 0;
  // Bytes per daemon and second: without changes, with changes in proportion to
  // the fleet size, and with the full target rate.
  double idle_bytes = 0;
  double scaled_bytes = 0;
  double full_bytes = 0;
  // Store calls of the whole fleet per second.
  double idle_calls = 0;
  double scaled_calls = 0;
  double full_calls = 0;
  // CPU time of a daemon as a share of a core, at the full target rate.
  double cpu_share = 0;
};

double ToMs(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

struct Load {
  double bytes = 0;
  double calls = 0;
  double cpu_share = 0;
};

Load MeasureLoad(std::size_t daemons,
                 std::size_t text_bytes,
                 double changes_per_second) {
  RelaySim sim(daemons, 1);
  sim.Accept(text_bytes);
  sim.RunFor(kWarmUp);
  std::uint64_t bytes = 0;
  std::uint64_t calls = 0;
  for (const auto& it : sim.daemons()) {
    bytes -= it.bytes;
    calls -= it.store_calls;
  }
  const auto began = std::chrono::steady_clock::now();
  const TimePoint end = sim.now() + kMeasured;
  const Duration between =
      changes_per_second == 0
          ? kMeasured
          : std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(1 / changes_per_second));
  while (sim.now() < end) {
    if (changes_per_second != 0) {
      sim.Accept(text_bytes);
    }
    sim.RunFor(std::min(between, end - sim.now()));
  }
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - began;
  for (const auto& it : sim.daemons()) {
    bytes += it.bytes;
    calls += it.store_calls;
  }
  const double time = std::chrono::duration<double>(kMeasured).count();
  const auto count = static_cast<double>(daemons);
  return {static_cast<double>(bytes) / count / time,
          static_cast<double>(calls) / time, spent.count() / count / time};
}

std::vector<double> MeasureActivation(std::size_t daemons,
                                      std::size_t text_bytes) {
  RelaySim sim(daemons, 2);
  sim.Accept(text_bytes);
  sim.RunFor(kWarmUp);
  std::vector<double> times;
  for (int i = 0; i < kSingleChanges; ++i) {
    // Not a multiple of the watch interval, so that changes occur in every
    // phase of the watch.
    sim.RunFor(milliseconds(7'300));
    sim.Accept(text_bytes);
    const TimePoint began = sim.now();
    while (!sim.AllCurrent() && sim.now() < began + kRunTimeout) {
      sim.RunFor(kStep);
    }
    times.push_back(ToMs(sim.now() - began));
  }
  std::ranges::sort(times);
  return times;
}

Row Measure(std::size_t daemons, std::size_t text_bytes) {
  const std::vector<double> times = MeasureActivation(daemons, text_bytes);
  const double full = kChangesPerDay / kSecondsPerDay;
  const double scaled = full * static_cast<double>(daemons) / kTargetFleet;
  const Load idle_load = MeasureLoad(daemons, text_bytes, 0);
  const Load scaled_load = MeasureLoad(daemons, text_bytes, scaled);
  const Load full_load = MeasureLoad(daemons, text_bytes, full);
  Row row;
  row.daemons = daemons;
  row.median_ms = times[times.size() / 2];
  row.worst_ms = times.back();
  row.idle_bytes = idle_load.bytes;
  row.scaled_bytes = scaled_load.bytes;
  row.full_bytes = full_load.bytes;
  row.idle_calls = idle_load.calls;
  row.scaled_calls = scaled_load.calls;
  row.full_calls = full_load.calls;
  row.cpu_share = full_load.cpu_share;
  return row;
}

void Print(const Row& row, bool csv) {
  const char* const format =
      csv ? "%zu,%.0f,%.0f,%.0f,%.0f,%.0f,%.2f,%.2f,%.2f,%.7f\n"
          : "%8zu %10.0f %9.0f %11.0f %13.0f %11.0f %11.2f %13.2f %11.2f "
            "%9.7f\n";
  std::printf(format, row.daemons, row.median_ms, row.worst_ms, row.idle_bytes,
              row.scaled_bytes, row.full_bytes, row.idle_calls,
              row.scaled_calls, row.full_calls, row.cpu_share);
  std::fflush(stdout);
}

// Prints the growth of `field` per doubling of the fleet size, between the
// smallest and the largest fleet.
void PrintSlope(const std::vector<Row>& rows,
                const char* name,
                double Row::*field) {
  const Row& small = rows.front();
  const Row& large = rows.back();
  const double doublings = std::log2(static_cast<double>(large.daemons) /
                                     static_cast<double>(small.daemons));
  std::printf("%-24s %10.3f at %zu, %10.3f at %zu, %+.3f per doubling\n", name,
              small.*field, small.daemons, large.*field, large.daemons,
              doublings > 0 ? (large.*field - small.*field) / doublings : 0.0);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures the distribution of settings to daemons.");
  bool csv = false;
  bool slopes = false;
  std::size_t text_bytes = 4096;
  std::vector<std::size_t> sizes = {12, 48, 192, 768};
  auto* csv_flag = app.add_flag("--csv", csv, "Comma-separated values");
  app.add_flag("--slopes", slopes, "Print growth with the fleet size")
      ->excludes(csv_flag);
  app.add_option("--text", text_bytes, "Size of the settings text in bytes");
  app.add_option("sizes", sizes, "Fleet sizes in daemons");
  CLI11_PARSE(app, argc, argv);
  std::puts(csv ? "daemons,median_ms,worst_ms,idle_bytes,scaled_bytes,"
                  "full_bytes,idle_calls,scaled_calls,full_calls,cpu_share"
                : " daemons  median_ms  worst_ms  idle_B/s/d  scaled_B/s/d  "
                  "full_B/s/d idle_call/s scaled_call/s full_call/s "
                  "cpu_share");
  std::vector<Row> rows;
  for (const std::size_t it : sizes) {
    rows.push_back(Measure(it, text_bytes));
    Print(rows.back(), csv);
  }
  if (slopes) {
    PrintSlope(rows, "median ms", &Row::median_ms);
    PrintSlope(rows, "worst ms", &Row::worst_ms);
    PrintSlope(rows, "bytes/s/daemon, full", &Row::full_bytes);
    PrintSlope(rows, "store calls/s, full", &Row::full_calls);
    PrintSlope(rows, "store calls/s, idle", &Row::idle_calls);
    PrintSlope(rows, "share of a core", &Row::cpu_share);
  }
  return 0;
}
