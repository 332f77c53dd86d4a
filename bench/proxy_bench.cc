// Measures the data path on loopback: throughput per core, added latency and
// memory per connection, compared with a proxy based on libsoup.
//
// Backend server, proxy and load generator run on one thread each. Throughput
// per core is the number of requests divided by the CPU time of the proxy's
// thread. With --fleet, measures the CPU time per request for routes from
// simulated cells of several sizes instead.
#include <malloc.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

#include "bench/bench_backend.h"
#include "bench/fleet_router.h"
#include "bench/load_generator.h"
#include "bench/soup_proxy.h"
#include "proxy/proxy_server.h"

namespace gentianreach::bench {
namespace {

using namespace std::chrono_literals;

struct BenchOptions {
  double seconds = 3;
  std::size_t connections = 32;
  std::size_t body_bytes = 1024;
  std::size_t servers = 10;
  double rate = 0;
  std::string only;
  bool memory = true;
  bool fleet = false;
};

// Routes each key to one of several server ids that share one address.
struct BenchRouter {
  std::string address;
  std::size_t servers = 1;
  KeyRoute Route(const ServiceName&, KeyHash hash, TimePoint) {
    return {.state = RouteState::kServe,
            .server = ServerId("s" + std::to_string(hash.value() % servers)),
            .address = address,
            .token = Token(1)};
  }
};

settings::TreeT Tree() {
  settings::TreeT tree;
  auto service = std::make_unique<settings::NamedServiceT>();
  service->name = "catalogue";
  service->settings = std::make_unique<settings::ServiceT>();
  service->settings->kind = settings::ServiceKind::Keyed;
  tree.services.push_back(std::move(service));
  auto route = std::make_unique<settings::NamedRouteT>();
  route->name = "catalogue";
  route->settings = std::make_unique<settings::RouteT>();
  route->settings->service = "catalogue";
  route->settings->path_prefix = "/c";
  route->settings->key_source = settings::KeySource::PathSegment;
  route->settings->key_segment = 1;
  tree.routes.push_back(std::move(route));
  return tree;
}

// The proxy with its dependencies. Runs on the thread that creates it. `router`
// must outlive it.
template <typename Router>
struct ProductProxy {
  ProductProxy(net::EventLoop& loop, Router& router)
      : proxy(loop, router, picker, {}, {.id_prefix = "bench", .limits = {}}) {
    proxy.SetRoutes(std::make_shared<RouteTable>(Tree()));
    proxy.Listen("127.0.0.1:0");
  }

  using RouteTable = proxy::RouteTable;
  proxy::LeastOutstandingPicker picker;
  proxy::ProxyServer<Router, proxy::LeastOutstandingPicker> proxy;
};

// Runs an event loop on a dedicated thread until destroyed. `setup` creates the
// object served by the loop; `port` returns its listening port.
template <typename T>
class LoopThread {
 public:
  using Setup = std::function<std::unique_ptr<T>(net::EventLoop&)>;
  explicit LoopThread(Setup setup, std::function<std::uint16_t(T&)> port) {
    std::promise<std::uint16_t> ready;
    auto bound = ready.get_future();
    thread_ = std::thread([this, setup, port, &ready] {
      GMainContext* context = g_main_context_new();
      g_main_context_push_thread_default(context);
      {
        net::EventLoop loop(context);
        const auto held = setup(loop);
        ready.set_value(port(*held));
        while (!stop_) {
          loop.RunOnce(true);
        }
      }
      g_main_context_pop_thread_default(context);
      g_main_context_unref(context);
    });
    port_ = bound.get();
  }
  ~LoopThread() {
    stop_ = true;
    // A connection wakes up the event loop.
    auto wake = net::TcpSocket::Connect("127.0.0.1:" + std::to_string(port_));
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  // Returns the CPU time that the thread has used.
  [[nodiscard]] Duration ProcessorTime() {
    clockid_t clock = 0;
    pthread_getcpuclockid(thread_.native_handle(), &clock);
    timespec ts{};
    clock_gettime(clock, &ts);
    return std::chrono::seconds(ts.tv_sec) +
           std::chrono::nanoseconds(ts.tv_nsec);
  }

 private:
  std::atomic<bool> stop_ = false;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

LoadResult Load(const BenchOptions& options,
                const std::string& address,
                double rate) {
  net::EventLoop loop;
  LoadOptions load;
  load.address = address;
  load.request =
      "GET /c/praline-7 HTTP/1.1\r\nHost: bench\r\nAccept: */*\r\n"
      "User-Agent: load\r\nAccept-Language: eu\r\n\r\n";
  load.connections = options.connections;
  load.rate = rate;
  load.run_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(options.seconds));
  return LoadGenerator(loop, load).Run();
}

void Print(const std::string& name,
           const char* kind,
           const LoadResult& result,
           Duration used) {
  const auto us = [&](double share) {
    return std::chrono::duration<double, std::micro>(
               result.latency.Percentile(share))
        .count();
  };
  const double cpu = std::chrono::duration<double>(used).count();
  std::printf(
      "path=%s load=%s per_second=%.0f per_core=%.0f broken=%llu "
      "p50_us=%.0f p99_us=%.0f p999_us=%.0f",
      name.c_str(), kind, result.PerSecond(),
      cpu > 0 ? static_cast<double>(result.latency.count()) / cpu : 0,
      static_cast<unsigned long long>(result.broken), us(0.5), us(0.99),
      us(0.999));
  for (const auto& [verdict, n] : result.verdicts) {
    std::printf(" %s=%llu", verdict.c_str(),
                static_cast<unsigned long long>(n));
  }
  std::printf("\n");
  std::fflush(stdout);
}

template <typename T>
void Measure(const BenchOptions& options,
             const std::string& name,
             LoopThread<T>& proxy) {
  Duration before = proxy.ProcessorTime();
  const auto closed = Load(options, proxy.address(), 0);
  Print(name, "closed", closed, proxy.ProcessorTime() - before);
  if (options.rate > 0) {
    before = proxy.ProcessorTime();
    const auto open = Load(options, proxy.address(), options.rate);
    Print(name, "open", open, proxy.ProcessorTime() - before);
  }
}

// Connects `n` plain sockets to `port`. They do not use heap memory, which is
// measured.
std::vector<int> ConnectSockets(std::uint16_t port, std::size_t n) {
  std::vector<int> out;
  out.reserve(n);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (std::size_t i = 0; i < n; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      std::perror("connect");
    }
    out.push_back(fd);
  }
  return out;
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

// Prints the heap bytes of the proxy per connection: idle, and with a request
// in flight to a server that does not respond. Each request has its own server.
void MeasureMemory(std::size_t n) {
  net::EventLoop loop;
  // Never accepts connections; the kernel completes the handshakes.
  auto silent = std::move(*net::TcpSocket::Listen("127.0.0.1:0", false));
  BenchRouter router{"127.0.0.1:" + std::to_string(silent.port()), 1'000'000};
  ProductProxy<BenchRouter> product_proxy(loop, router);
  const auto run_loop = [&] {
    const TimePoint end = loop.Now() + 300ms;
    while (loop.Now() < end) {
      loop.RunOnce(false);
    }
  };
  run_loop();
  const std::size_t start = HeapBytes();
  std::vector<int> sockets;
  constexpr std::size_t kStep = 100;
  for (std::size_t i = 0; i < n; i += kStep) {
    const auto more = ConnectSockets(product_proxy.proxy.port(), kStep);
    sockets.insert(sockets.end(), more.begin(), more.end());
    run_loop();
  }
  const std::size_t idle = HeapBytes() - start;
  for (std::size_t i = 0; i < sockets.size(); ++i) {
    const std::string request =
        "GET /c/" + std::to_string(i) + " HTTP/1.1\r\nHost: bench\r\n\r\n";
    if (send(sockets[i], request.data(), request.size(), 0) < 0) {
      std::perror("send");
    }
  }
  run_loop();
  std::printf(
      "memory connections=%zu in_flight=%zu idle_bytes_each=%zu "
      "busy_bytes_each=%zu\n",
      product_proxy.proxy.caller_connections(), product_proxy.proxy.in_flight(),
      idle / n, (HeapBytes() - start) / n);
  for (const int fd : sockets) {
    close(fd);
  }
  run_loop();
}

void Run(const BenchOptions& options) {
  LoopThread<BenchBackend> backend(
      [&](net::EventLoop& loop) {
        return std::make_unique<BenchBackend>(loop, options.body_bytes);
      },
      [](BenchBackend& it) { return it.port(); });
  const auto wanted = [&](const std::string& name) {
    return options.only.empty() || options.only == name;
  };
  if (wanted("direct")) {
    Measure(options, "direct", backend);
  }
  if (wanted("soup")) {
    LoopThread<SoupProxy> soup(
        [&](net::EventLoop&) {
          return std::make_unique<SoupProxy>(backend.address());
        },
        [](SoupProxy& it) { return it.port(); });
    Measure(options, "soup", soup);
  }
  if (wanted("gentianreach")) {
    BenchRouter router{backend.address(), options.servers};
    LoopThread<ProductProxy<BenchRouter>> product_proxy(
        [&](net::EventLoop& loop) {
          return std::make_unique<ProductProxy<BenchRouter>>(loop, router);
        },
        [](ProductProxy<BenchRouter>& it) { return it.proxy.port(); });
    Measure(options, "gentianreach", product_proxy);
  }
}

// Prints the proxy's CPU time per request for a cell of this size: minimum,
// median and maximum of several measurements.
void MeasureFleetSize(const BenchOptions& options,
                      const char* varied,
                      std::size_t daemons,
                      std::size_t servers) {
  constexpr int kMeasurements = 3;
  LoopThread<BenchBackend> backend(
      [&](net::EventLoop& loop) {
        return std::make_unique<BenchBackend>(loop, options.body_bytes);
      },
      [](BenchBackend& it) { return it.port(); });
  FleetRouter router(daemons, servers, backend.address());
  const double route_ns = router.RouteNanoseconds();
  LoopThread<ProductProxy<FleetRouter>> product_proxy(
      [&](net::EventLoop& loop) {
        return std::make_unique<ProductProxy<FleetRouter>>(loop, router);
      },
      [](ProductProxy<FleetRouter>& it) { return it.proxy.port(); });
  std::vector<double> cpu_us;
  std::uint64_t answered = 0;
  std::uint64_t all = 0;
  for (int i = 0; i < kMeasurements; ++i) {
    const Duration before = product_proxy.ProcessorTime();
    LoadResult result = Load(options, product_proxy.address(), 0);
    const std::chrono::duration<double, std::micro> used =
        product_proxy.ProcessorTime() - before;
    const std::uint64_t count = result.latency.count();
    all += count;
    answered += result.verdicts["answered"];
    cpu_us.push_back(used.count() /
                     static_cast<double>(std::max<std::uint64_t>(1, count)));
  }
  std::sort(cpu_us.begin(), cpu_us.end());
  std::printf("%s,%zu,%zu,%s,%.0f,%.2f,%.2f,%.2f,%llu,%llu\n", varied, daemons,
              servers, router.settled() ? "yes" : "no", route_ns,
              cpu_us.front(), cpu_us[cpu_us.size() / 2], cpu_us.back(),
              static_cast<unsigned long long>(all),
              static_cast<unsigned long long>(answered));
  std::fflush(stdout);
}

void MeasureFleets(const BenchOptions& options) {
  std::puts(
      "varied,daemons,servers,settled,route_ns,cpu_us_least,cpu_us_median,"
      "cpu_us_most,requests,answered");
  constexpr std::size_t kDaemons = 9;
  constexpr std::size_t kServers = 12;
  for (const std::size_t it : {3, 6, 9, 12, 24}) {
    MeasureFleetSize(options, "daemons", it, kServers);
  }
  for (const std::size_t it : {6, 12, 24, 48, 96}) {
    MeasureFleetSize(options, "servers", kDaemons, it);
  }
}

}  // namespace
}  // namespace gentianreach::bench

int main(int argc, char** argv) {
  gentianreach::bench::BenchOptions options;
  CLI::App app("Measures the data path on loopback");
  app.add_option("--seconds", options.seconds,
                 "duration of each measurement in seconds")
      ->check(CLI::Range(0.1, 60.0));
  app.add_option("--connections", options.connections, "caller connections")
      ->check(CLI::Range(1, 5000));
  app.add_option("--body", options.body_bytes,
                 "size of the response body in bytes")
      ->check(CLI::Range(0, 1 << 20));
  app.add_option("--rate", options.rate,
                 "also measure at this many requests per second (open loop)")
      ->check(CLI::Range(0.0, 1e6));
  app.add_option("--only", options.only, "direct, soup or gentianreach")
      ->check(CLI::IsMember({"direct", "soup", "gentianreach"}));
  app.add_flag("!--no-memory", options.memory, "skip the memory measurement");
  app.add_flag("--fleet", options.fleet,
               "measure CPU time per request by cell size instead, as CSV");
  CLI11_PARSE(app, argc, argv);
  if (options.fleet) {
    gentianreach::bench::MeasureFleets(options);
    return 0;
  }
  if (options.memory) {
    constexpr std::size_t kConnections = 1000;
    gentianreach::bench::MeasureMemory(kConnections);
  }
  gentianreach::bench::Run(options);
  return 0;
}
