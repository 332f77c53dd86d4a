// Load generator: sends one request repeatedly and prints rate, latencies and
// verdicts.
#include <chrono>
#include <cstdio>
#include <string>

#include <CLI/CLI.hpp>

#include "bench/load_generator.h"

int main(int argc, char** argv) {
  gentianreach::bench::LoadOptions options;
  std::string method = "GET";
  std::string path = "/";
  std::string host = "localhost";
  std::string body;
  double seconds = 3;
  CLI::App app("Sends load to an HTTP address");
  app.add_option("address", options.address, "IP:port")->required();
  app.add_option("--connections", options.connections, "persistent connections")
      ->check(CLI::Range(1, 10'000));
  app.add_option("--rate", options.rate,
                 "requests per second (open loop); 0: closed loop")
      ->check(CLI::Range(0.0, 1e6));
  app.add_option("--seconds", seconds, "run time")
      ->check(CLI::Range(0.1, 600.));
  app.add_option("--method", method, "request method");
  app.add_option("--path", path, "request target");
  app.add_option("--host", host, "Host field");
  app.add_option("--body", body, "request body");
  CLI11_PARSE(app, argc, argv);

  options.run_time = std::chrono::duration_cast<gentianreach::Duration>(
      std::chrono::duration<double>(seconds));
  options.request = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
  if (!body.empty()) {
    options.request +=
        "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  options.request += "\r\n" + body;

  gentianreach::net::EventLoop loop;
  const auto result = gentianreach::bench::LoadGenerator(loop, options).Run();
  const auto us = [&](double share) {
    return std::chrono::duration<double, std::micro>(
               result.latency.Percentile(share))
        .count();
  };
  std::printf(
      "requests=%llu per_second=%.0f broken=%llu p50_us=%.0f "
      "p99_us=%.0f p999_us=%.0f",
      static_cast<unsigned long long>(result.latency.count()),
      result.PerSecond(), static_cast<unsigned long long>(result.broken),
      us(0.5), us(0.99), us(0.999));
  for (const auto& [verdict, n] : result.verdicts) {
    std::printf(" %s=%llu", verdict.c_str(),
                static_cast<unsigned long long>(n));
  }
  std::printf("\n");
  return result.latency.count() > 0 ? 0 : 1;
}
