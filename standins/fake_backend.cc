// Fake backend server: accepts fenced grants, has slots and a queue, supports
// draining, load shedding and cancellation, and counts its runs
// (docs/PROTOCOLS.md).
//
// POST /control accepts JSON: {"draining": bool, "shed": bool, "freeze_ms": N
// (blocks the whole process), "lie": bool (reports no load), "service_ms": N,
// "crash": true}. A request whose target contains the text of --crash-on ends
// the process; one whose target contains "silent=1" never gets a response. GET
// /control/runs returns {"runs": {REQUEST_ID: COUNT}} and the number of
// received requests by method in "seen". Each run is written to --runs-file
// before its response is sent, so that the runs of a killed process are known
// (standins/demo_outcome.h).
#include <chrono>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <libsoup/soup.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "base/timer.h"
#include "server/grant_table.h"
#include "server/order_codec.h"
#include "standins/demo_outcome.h"
#include "standins/soup_server.h"

namespace gentianreach::standins {
namespace {

using std::chrono::milliseconds;

constexpr guint kOk = 200;
constexpr guint kMisdirected = 421;
constexpr guint kUnavailable = 503;
constexpr int kCrashExitCode = 70;

struct BackendOptions {
  std::uint16_t port = 0;
  std::string id = "server";
  std::string service;
  std::string crash_on;
  std::string runs_file;
  std::uint32_t slots = 3;
  std::uint32_t queue = 50;
  int service_ms = 5;
  bool keyed = false;
  bool ignores_issuer = false;
  bool ignores_deadline = false;
};

// A request that is queued or running.
struct Run {
  GObjectPtr<SoupServerMessage> message;
  Request request;
  std::optional<KeyHash> hash;
  Token token;
  TimePoint started;
  bool disconnected = false;  // The daemon closed the connection.
  Timer timer;
};

class FakeBackend {
 public:
  explicit FakeBackend(BackendOptions options)
      : options_(std::move(options)),
        incarnation_(std::random_device{}() + 1ULL),
        grants_(ServerId(options_.id),
                Incarnation(incarnation_),
                {.issuer = !options_.ignores_issuer,
                 .lease_end = !options_.ignores_deadline}) {
    if (!options_.runs_file.empty()) {
      runs_out_.open(options_.runs_file, std::ios::app);
    }
  }

  void Handle(SoupServerMessage* message, const Request& request) {
    if (request.path == "/.gentianreach/order") {
      HandleOrder(message, request);
    } else if (request.path == "/control") {
      Control(message, request);
    } else if (request.path == "/control/runs") {
      Reply(message, kOk, {{"runs", runs_}, {"seen", seen_}});
    } else {
      HandleRequest(message, request);
    }
  }

 private:
  static ServerTime Now() {
    return ServerTime(std::chrono::duration_cast<milliseconds>(
        MonotonicClock().Now().time_since_epoch()));
  }

  void HandleOrder(SoupServerMessage* message, const Request& request) {
    const auto order = DecodeOrder(request.body);
    if (!order.has_value()) {
      Reply(message, 400, {{"error", "not an order"}});
      return;
    }
    ServerResponse response;
    response.reply = grants_.Handle(*order, Now());
    response.reply.draining = draining_;
    response.load.slots = options_.slots;
    response.load.in_flight = hides_load_ ? 0 : running_;
    response.load.queued =
        hides_load_ ? 0 : static_cast<std::uint32_t>(queue_.size());
    response.load.service_time = milliseconds(options_.service_ms);
    ReplyBytes(message, response.reply.ok ? kOk : 409, EncodeResponse(response),
               {}, "application/json");
  }

  void HandleRequest(SoupServerMessage* message, const Request& request) {
    ++seen_[request.method];
    const std::string target = request.path + "?" + request.Query("fault");
    if (!options_.crash_on.empty() &&
        target.find(options_.crash_on) != std::string::npos) {
      _exit(kCrashExitCode);
    }
    if (target.find("silent=1") != std::string::npos) {
      soup_server_message_pause(message);
      return;
    }
    auto run = std::make_shared<Run>();
    run->message = GObjectPtr<SoupServerMessage>::Share(message);
    run->request = request;
    if (!Admit(*run)) {
      return;
    }
    soup_server_message_pause(message);
    g_signal_connect_data(message, "disconnected", G_CALLBACK(&OnDisconnected),
                          new std::shared_ptr<Run>(run), &FreeRun,
                          G_CONNECT_DEFAULT);
    if (running_ < options_.slots) {
      Start(run);
    } else {
      queue_.push_back(run);
    }
  }

  // Returns whether the request is accepted; otherwise sets its response.
  bool Admit(Run& run) {
    if (draining_ || sheds_load_ || queue_.size() >= options_.queue) {
      Reject(run, kUnavailable);
      return false;
    }
    if (!options_.keyed) {
      return true;
    }
    const std::string hash = run.request.Header("gentianreach-key-hash");
    const std::string token = run.request.Header("gentianreach-token");
    run.hash = KeyHash(std::strtoull(hash.c_str(), nullptr, 10));
    run.token = Token(std::strtoull(token.c_str(), nullptr, 10));
    if (hash.empty() || !grants_.Holds(*run.hash, run.token, Now())) {
      Reject(run, kMisdirected);
      return false;
    }
    return true;
  }

  static void Reject(const Run& run, guint status) {
    ReplyBytes(run.message.get(), status, "",
               {{"gentianreach-verdict", "not-run"}});
  }

  void Start(const std::shared_ptr<Run>& run) {
    ++running_;
    if (run->hash.has_value()) {
      grants_.BeginRequest(*run->hash);
    }
    run->started = MonotonicClock().Now();
    run->timer.Set(run->started + milliseconds(options_.service_ms),
                   [this, run] { Finish(run); });
  }

  void Finish(const std::shared_ptr<Run>& run) {
    --running_;
    if (run->hash.has_value()) {
      grants_.EndRequest(*run->hash);
    }
    // Checks ownership again, since the effect of the request is committed
    // here.
    const TimePoint committed = MonotonicClock().Now();
    if (run->hash.has_value() &&
        !grants_.Holds(*run->hash, run->token, Now())) {
      Reject(*run, kMisdirected);
    } else {
      Commit(*run, committed);
    }
    soup_server_message_unpause(run->message.get());
    StartQueued();
  }

  void Commit(const Run& run, TimePoint committed) {
    const std::string id = run.request.Header("gentianreach-request-id");
    ++runs_[id];
    WriteRun(run, committed);
    Reply(run.message.get(), kOk,
          {{"server", options_.id},
           {"incarnation", incarnation_},
           {"path", run.request.path},
           {"request", id},
           {"token", run.token.value()},
           {"body_bytes", run.request.body.size()}});
  }

  void WriteRun(const Run& run, TimePoint committed) {
    if (!runs_out_.is_open()) {
      return;
    }
    runs_out_ << DemoRun{.path = run.request.path,
                         .server = options_.id,
                         .key_hash = run.hash.value_or(KeyHash(0)).value(),
                         .token = run.token.value(),
                         .started = run.started,
                         .committed = committed}
              << std::flush;
  }

  void StartQueued() {
    while (running_ < options_.slots && !queue_.empty()) {
      const std::shared_ptr<Run> run = queue_.front();
      queue_.pop_front();
      if (run->disconnected) {
        continue;
      }
      if (run->hash.has_value() &&
          !grants_.Holds(*run->hash, run->token, Now())) {
        Reject(*run, kMisdirected);
        soup_server_message_unpause(run->message.get());
        continue;
      }
      Start(run);
    }
  }

  void Control(SoupServerMessage* message, const Request& request) {
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
      Reply(message, 400, {{"error", "body is not a JSON object"}});
      return;
    }
    if (json.value("crash", false)) {
      _exit(kCrashExitCode);
    }
    draining_ = json.value("draining", draining_);
    sheds_load_ = json.value("shed", sheds_load_);
    hides_load_ = json.value("lie", hides_load_);
    options_.service_ms = json.value("service_ms", options_.service_ms);
    g_usleep(static_cast<gulong>(json.value("freeze_ms", 0)) * 1000);
    Reply(message, kOk, {{"ok", true}});
  }

  static void OnDisconnected(SoupServerMessage* /*message*/, gpointer run) {
    (*static_cast<std::shared_ptr<Run>*>(run))->disconnected = true;
  }

  static void FreeRun(gpointer run, GClosure* /*closure*/) {
    delete static_cast<std::shared_ptr<Run>*>(run);
  }

  BackendOptions options_;
  std::uint64_t incarnation_;
  GrantTable grants_;
  std::deque<std::shared_ptr<Run>> queue_;
  std::map<std::string, int> runs_;
  std::ofstream runs_out_;
  std::map<std::string, int> seen_;
  std::uint32_t running_ = 0;
  bool draining_ = false;
  bool sheds_load_ = false;
  bool hides_load_ = false;
};

}  // namespace
}  // namespace gentianreach::standins

int main(int argc, char** argv) {
  CLI::App app{"Fake backend server"};
  gentianreach::standins::BackendOptions options;
  app.add_option("--port", options.port,
                 "Port on 127.0.0.1; 0 lets the kernel choose one");
  app.add_option("--id", options.id, "Server id, as in the VM list");
  app.add_option("--service", options.service, "Service");
  app.add_option("--slots", options.slots,
                 "Maximum number of running requests");
  app.add_option("--queue", options.queue, "Maximum number of queued requests");
  app.add_option("--service-ms", options.service_ms, "Duration of a request");
  app.add_option("--crash-on", options.crash_on,
                 "Requests whose target contains this text crash the server");
  app.add_option("--runs-file", options.runs_file,
                 "File to which a line is appended for each run");
  app.add_flag("--keyed", options.keyed,
               "Serves only keys for which it holds a grant");
  app.add_flag("--ignores-giver", options.ignores_issuer,
               "Accepts orders of any epoch");
  app.add_flag("--ignores-deadline", options.ignores_deadline,
               "Continues to serve keys after their lease has expired");
  CLI11_PARSE(app, argc, argv);
  gentianreach::standins::FakeBackend backend(options);
  return gentianreach::standins::RunServer(
      options.port, [&backend](SoupServerMessage* message,
                               const gentianreach::standins::Request& request) {
        backend.Handle(message, request);
      });
}
