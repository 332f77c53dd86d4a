// Load generator of the demonstration. Its threads send requests for the
// services of both customers to the daemons, each request once, and record the
// outcomes (standins/demo_outcome.h). Ends after --seconds, or on SIGTERM once
// all pending requests have ended.
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <libsoup/soup.h>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "base/glib_ptr.h"
#include "standins/demo_outcome.h"

namespace gentianreach::standins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr guint kSessionTimeoutSeconds = 15;
constexpr milliseconds kRetryDelay{50};

struct LoadOptions {
  std::vector<std::string> daemons;
  std::string out;
  std::string name = "load";
  int seconds = 10;
  int threads = 8;
  int keys = 12;
  int pause_ms = 20;
};

// A type of request that the callers send.
struct RequestType {
  const char* method;
  const char* prefix;
  bool keyed;
  bool idempotent;
};

// Match the services and routes in docs/examples/both-customers.ini.
constexpr std::array kRequestTypes{
    RequestType{"GET", "catalogue", true, true},
    RequestType{"PUT", "catalogue", true, false},
    RequestType{"GET", "boats", true, true},
    RequestType{"POST", "boats", true, false},
    RequestType{"POST", "orders", false, false},
    RequestType{"GET", "orders", false, true},
    RequestType{"GET", "notes", false, true},
};

std::atomic<bool> stopped = false;

void OnTerminate(int /*signal*/) {
  stopped = true;
}

class Caller {
 public:
  Caller(const LoadOptions& options, std::size_t daemon, unsigned seed)
      : options_(options), daemon_(daemon), seed_(seed), random_(seed) {}

  // Sends one request after the other until `end`.
  void Run(TimePoint end, std::ostream& out, std::mutex& out_mutex) {
    session_ = GObjectPtr<SoupSession>::Adopt(soup_session_new_with_options(
        "timeout", kSessionTimeoutSeconds, nullptr));
    while (!stopped && MonotonicClock().Now() < end) {
      const DemoOutcome outcome = SendNext();
      {
        const std::lock_guard lock(out_mutex);
        out << outcome;
      }
      if (outcome.verdict == "not-sent") {
        // Switches to the next daemon, as the load balancer would.
        daemon_ = (daemon_ + 1) % options_.daemons.size();
        std::this_thread::sleep_for(kRetryDelay);
      }
      std::this_thread::sleep_for(milliseconds(options_.pause_ms));
    }
  }

 private:
  DemoOutcome SendNext() {
    const RequestType& type = kRequestTypes[random_() % kRequestTypes.size()];
    DemoOutcome outcome;
    outcome.key = "-";
    outcome.path = std::string("/") + type.prefix + "/";
    if (type.keyed) {
      const std::string key =
          "k" +
          std::to_string(random_() % static_cast<unsigned>(options_.keys));
      outcome.key = std::string(type.prefix) + "/" + key;
      outcome.path += key + "/";
    }
    outcome.path += options_.name + "-" + std::to_string(seed_) + "-" +
                    std::to_string(++sent_);
    outcome.idempotent = type.idempotent;
    outcome.started = MonotonicClock().Now();
    Send(type, outcome);
    outcome.finished = MonotonicClock().Now();
    return outcome;
  }

  void Send(const RequestType& type, DemoOutcome& outcome) {
    const std::string url =
        "http://" + options_.daemons[daemon_] + outcome.path;
    const auto message = GObjectPtr<SoupMessage>::Adopt(
        soup_message_new(type.method, url.c_str()));
    // A new connection for each request, since libsoup may resend a request on
    // a reused one.
    soup_message_add_flags(message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    soup_message_headers_replace(
        soup_message_get_request_headers(message.get()), "Connection", "close");
    std::string body;
    if (std::string_view(type.method) != "GET") {
      body.assign(1 + random_() % 2000, 'x');
      const GBytesPtr bytes(g_bytes_new(body.data(), body.size()));
      soup_message_set_request_body_from_bytes(message.get(), "text/plain",
                                               bytes.get());
    }
    GError* raw_error = nullptr;
    const GBytesPtr response(soup_session_send_and_read(
        session_.get(), message.get(), nullptr, &raw_error));
    const GErrorPtr error(raw_error);
    if (error != nullptr) {
      const bool refused = g_error_matches(error.get(), G_IO_ERROR,
                                           G_IO_ERROR_CONNECTION_REFUSED);
      outcome.verdict = refused ? "not-sent" : "no-answer";
      return;
    }
    Read(message.get(), response.get(), body.size(), outcome);
  }

  static void Read(SoupMessage* message,
                   GBytes* response,
                   std::size_t body_bytes,
                   DemoOutcome& outcome) {
    SoupMessageHeaders* headers = soup_message_get_response_headers(message);
    const char* verdict =
        soup_message_headers_get_one(headers, "gentianreach-verdict");
    const char* id =
        soup_message_headers_get_one(headers, "gentianreach-request-id");
    outcome.status = soup_message_get_status(message);
    outcome.verdict = verdict == nullptr ? "no-verdict" : verdict;
    const char* reason =
        soup_message_headers_get_one(headers, "gentianreach-reason");
    outcome.reason = reason == nullptr ? "-" : reason;
    if (outcome.verdict != "answered" || id == nullptr) {
      return;
    }
    gsize size = 0;
    const auto* data =
        static_cast<const char*>(g_bytes_get_data(response, &size));
    const Json json = Json::parse(data, data + size, nullptr, false);
    if (!json.is_object()) {
      return;
    }
    outcome.server = json.value("server", "-");
    outcome.complete = json.value("path", "") == outcome.path &&
                       json.value("request", "") == id &&
                       json.value("body_bytes", SIZE_MAX) == body_bytes;
  }

  const LoadOptions& options_;
  std::size_t daemon_;
  unsigned seed_;
  std::mt19937 random_;
  GObjectPtr<SoupSession> session_;
  int sent_ = 0;
};

int RunLoad(const LoadOptions& options) {
  std::ofstream out(options.out);
  if (!out) {
    std::cerr << options.out << ": cannot open for writing\n";
    return EXIT_FAILURE;
  }
  std::mutex out_mutex;
  const TimePoint end =
      MonotonicClock().Now() + std::chrono::seconds(options.seconds);
  std::vector<std::jthread> threads;
  for (std::size_t daemon = 0; daemon < options.daemons.size(); ++daemon) {
    for (int i = 0; i < options.threads; ++i) {
      const auto seed = static_cast<unsigned>(threads.size()) + 1;
      threads.emplace_back([&options, &out, &out_mutex, end, daemon, seed] {
        Caller(options, daemon, seed).Run(end, out, out_mutex);
      });
    }
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gentianreach::standins

int main(int argc, char** argv) {
  CLI::App app{"Load generator of the demonstration"};
  gentianreach::standins::LoadOptions options;
  app.add_option("--daemon", options.daemons, "Caller addresses of the daemons")
      ->required();
  app.add_option("--out", options.out, "File for the outcomes")->required();
  app.add_option(
      "--name", options.name,
      "Prefix that distinguishes the requests of several generators");
  app.add_option("--seconds", options.seconds, "Duration of the run");
  app.add_option("--threads", options.threads, "Threads per daemon");
  app.add_option("--keys", options.keys, "Keys per keyed service");
  app.add_option("--pause-ms", options.pause_ms,
                 "Pause of a thread between requests");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGTERM, &gentianreach::standins::OnTerminate);
  return gentianreach::standins::RunLoad(options);
}
