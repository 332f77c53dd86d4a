// Backend server of a soak: runs the fake server as a process and keeps its
// entry in the store up to date.
//
// Prints "address=IP:PORT", "ready" once its entry has been accepted, and a
// line for each request before it runs it:
//   ran ID METHOD PATH KEY TOKEN NANOSECONDS CLIENT_ADDRESS
// with "-" for the address of a connection that has ended meanwhile, and a line
// for each order that it has carried out, a release with the token 0:
//   order FIRST LAST TOKEN NANOSECONDS LEASE_END_NANOSECONDS CLIENT_ADDRESS
// with times of the machine's boot clock. On SIGTERM it writes the state
// "draining" to its entry, prints "draining NANOSECONDS" once the store has
// accepted it, and exits a fixed time after that.
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include <glib-unix.h>

#include <CLI/CLI.hpp>

#include "base/glib_ptr.h"
#include "base/timer.h"
#include "platform/platform_client.h"
#include "platform/testing/fake_server.h"
#include "soak/drain_checker.h"

namespace gentianreach::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kHeartbeatInterval = milliseconds(500);
constexpr Duration kReportTimeout = milliseconds(1000);
struct ServerOptions {
  std::string id;
  std::string service;
  std::string store;
  std::string advertise;
  bool keyed = false;
  int work_ms = 20;
  // Time for which the server serves after requests must have stopped coming.
  int late_ms = 500;
};

class Reporter {
 public:
  Reporter(const ServerOptions& options, GMainLoop* loop)
      : options_(options),
        loop_(loop),
        server_(options.id, options.service, options.keyed),
        store_(options.store) {
    server_.set_work(milliseconds(options.work_ms));
    server_.on_run = [](const platform::testing::ServerRun& run) {
      // Flushed immediately, so that the line survives a SIGKILL.
      std::cout << "ran " << run.request_id << ' ' << run.method << ' '
                << run.path << ' ' << run.key << ' ' << run.token << ' '
                << run.at.time_since_epoch().count() << ' '
                << (run.client.empty() ? "-" : run.client) << std::endl;
    };
    server_.on_order = [](const platform::testing::ServerOrder& order) {
      std::cout << "order " << order.first << ' ' << order.last << ' '
                << order.token << ' ' << order.at.time_since_epoch().count()
                << ' ' << order.until.time_since_epoch().count() << ' '
                << (order.client.empty() ? "-" : order.client) << std::endl;
    };
    std::cout << "address=" << server_.address() << std::endl;
    Report();
  }

  void Drain() {
    state_ = "draining";
    Report();
  }

 private:
  void Report() {
    timer_.Set(clock_.Now() + kHeartbeatInterval, [this] { Report(); });
    if (reporting_) {
      return;
    }
    reporting_ = true;
    const auto content = server_.Entry(state_, ++sequence_, options_.advertise);
    const TimePoint deadline = clock_.Now() + kReportTimeout;
    const auto kind = platform::ObjectKind::kServers;
    const auto done = [this,
                       reported = state_](const platform::ObjectReply& reply) {
      reporting_ = false;
      OnReply(reply, reported);
    };
    if (revision_) {
      store_.Replace(kind, options_.id, *revision_, content, deadline, done);
    } else {
      store_.Create(kind, options_.id, content, deadline, done);
    }
  }

  void OnReply(const platform::ObjectReply& reply,
               const std::string& reported) {
    if (reply.status == platform::CallStatus::kAbsent) {
      revision_.reset();
      return;
    }
    if (reply.object) {
      revision_ = reply.object->revision;
    }
    if (reply.status != platform::CallStatus::kOk) {
      return;
    }
    if (!ready_) {
      ready_ = true;
      std::cout << "ready" << std::endl;
    }
    if (reported == "draining" && !end_timer_.pending()) {
      const TimePoint now = clock_.Now();
      std::cout << "draining " << now.time_since_epoch().count() << std::endl;
      end_timer_.Set(
          now + DrainChecker::kDrainTime + milliseconds(options_.late_ms),
          [this] { g_main_loop_quit(loop_); });
    }
  }

  const ServerOptions options_;
  GMainLoop* loop_;
  MonotonicClock clock_;
  platform::testing::FakeServer server_;
  platform::PlatformClient store_;
  std::string state_ = "ready";
  std::uint64_t sequence_ = 0;
  // Revision of the entry in the store; empty if there is none.
  std::optional<std::uint64_t> revision_;
  bool reporting_ = false;
  bool ready_ = false;
  Timer timer_;
  Timer end_timer_;
};

gboolean OnTerminate(gpointer reporter) {
  static_cast<Reporter*>(reporter)->Drain();
  return G_SOURCE_CONTINUE;
}

int Run(const ServerOptions& options) {
  const GMainLoopPtr loop(g_main_loop_new(nullptr, FALSE));
  Reporter reporter(options, loop.get());
  g_unix_signal_add(SIGTERM, &OnTerminate, &reporter);
  g_main_loop_run(loop.get());
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gentianreach::soak

int main(int argc, char** argv) {
  CLI::App app{"Backend server of a soak"};
  gentianreach::soak::ServerOptions options;
  app.add_option("--id", options.id, "Id in the store")->required();
  app.add_option("--service", options.service, "Service")->required();
  app.add_option("--store", options.store, "Address of the store")->required();
  app.add_option("--advertise", options.advertise,
                 "Address to publish in the store");
  app.add_flag("--keyed", options.keyed, "Run requests for owned keys only");
  app.add_option("--work-ms", options.work_ms,
                 "Processing time of a request in ms");
  app.add_option("--late-ms", options.late_ms,
                 "Time for which a leaving server serves late requests in ms");
  CLI11_PARSE(app, argc, argv);
  return gentianreach::soak::Run(options);
}
