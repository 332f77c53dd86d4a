// Compares designs for sharing a backend server's slots among daemons, in
// virtual time. Prints a table, or comma-separated values with --csv.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "policy/admission_model.h"

namespace gentianreach {
namespace {

using internal::AdmissionModel;
using internal::ModelOptions;
using internal::ModelResult;

// Server sizes of one customer.
struct Size {
  const char* name;
  std::uint32_t slots;
  std::uint32_t connections;
};
constexpr Size kSizes[] = {{"muestradulce", 3, 100}, {"barka", 6, 65}};
constexpr double kLoads[] = {0.5, 0.9, 1.0, 1.5, 3.0};
constexpr double kSkews[] = {0, 0.7};
constexpr const char* kDesigns[] = {"share", "lent", "forward", "reactive"};

ModelResult RunDesign(const std::string& design,
                      const Size& size,
                      ModelOptions options) {
  if (design == "share") {
    const std::uint32_t share = std::max(1U, size.slots / options.daemons);
    return AdmissionModel(options, FixedLimiter(share)).Run();
  }
  if (design == "lent")
    return AdmissionModel(options,
                          LeasedSlotLimiter(LeasedSlotLimiterOptions{}))
        .Run();
  if (design == "forward") {
    options.forward = true;
    return AdmissionModel(options, FixedLimiter(size.slots + 1)).Run();
  }
  const ReactiveLimiterOptions limiter{size.connections, options.daemons};
  return AdmissionModel(options, ReactiveLimiter(limiter)).Run();
}

struct Row {
  std::string design;
  Size size;
  ModelOptions options;
  ModelResult result;
};

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0
             ? 0
             : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void Print(const Row& row, bool csv) {
  const ModelResult& it = row.result;
  const char* format =
      csv ? "%s,%s,%.0f,%s,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f\n"
          : "%-12s %-9s %5.0f %-5s %8.1f %7.1f %7.1f %7.1f %8.1f %6.1f %8.1f "
            "%8.1f "
            "%6.1f %7.1f\n";
  std::printf(format, row.size.name, row.design.c_str(), row.options.load * 100,
              row.options.skew > 0 ? "skew" : "even", it.Goodput() * 100,
              it.Latency(0.5), it.Latency(0.99), it.HighLatency(0.99),
              Share(it.refused, it.offers), Share(it.shed, it.offers),
              Share(it.retries, it.offers),
              Share(it.answered_by_priority[0], it.offers_by_priority[0]),
              Share(it.late, it.offers),
              static_cast<double>(it.messages) /
                  std::chrono::duration<double>(row.options.run).count());
}

void PrintHeader(bool csv) {
  std::puts(
      csv ? "size,design,load_pct,arrival,goodput_pct,p50_ms,p99_ms,high_p99_"
            "ms,"
            "refused_pct,shed_pct,retries_pct,high_pct,late_pct,"
            "messages_per_s"
          : "size         design     load arriv goodput%  p50ms   p99ms hp99ms "
            "refused%  shed% retries%    high%  late%   msg/s");
}

}  // namespace
}  // namespace gentianreach

int main(int argc, char** argv) {
  using namespace gentianreach;  // NOLINT(google-build-using-namespace)
  CLI::App app(
      "Compares designs for limiting the load of a shared backend server.");
  bool csv = false;
  ModelOptions options;
  std::int64_t service_us = 10'000;
  std::uint32_t queue_per_slot = 2;
  app.add_flag("--csv", csv, "Comma-separated values");
  app.add_option("--seed", options.seed, "Seed");
  app.add_option("--daemons", options.daemons, "Daemons that share the server");
  app.add_option("--service-us", service_us, "Mean service time");
  app.add_option("--queue-per-slot", queue_per_slot,
                 "Requests that the server queues, per slot");
  app.add_option(
      "--caller-retries", options.caller_retries,
      "Immediate retries by a caller of a request without a response");
  CLI11_PARSE(app, argc, argv);
  options.service = std::chrono::microseconds(service_us);
  PrintHeader(csv);
  for (const Size& size : kSizes) {
    options.slots = size.slots;
    options.server_queue = size.slots * queue_per_slot;
    for (const double skew : kSkews) {
      options.skew = skew;
      for (const double load : kLoads) {
        options.load = load;
        for (const char* design : kDesigns)
          Print({design, size, options, RunDesign(design, size, options)}, csv);
      }
    }
  }
  return 0;
}
