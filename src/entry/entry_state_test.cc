#include "entry/entry_state.h"

#include <chrono>
#include <cstdio>
#include <string>

#include <doctest/doctest.h>
#include <unistd.h>

#include "base/log.h"

namespace gentianreach::entry {
namespace {

// Collects what the process writes to standard error.
class StandardErrorCapture {
 public:
  StandardErrorCapture() : file_(std::tmpfile()), before_(dup(STDERR_FILENO)) {
    REQUIRE(dup2(fileno(file_), STDERR_FILENO) >= 0);
  }
  ~StandardErrorCapture() {
    dup2(before_, STDERR_FILENO);
    close(before_);
    std::fclose(file_);
  }
  StandardErrorCapture(const StandardErrorCapture&) = delete;
  StandardErrorCapture& operator=(const StandardErrorCapture&) = delete;

  [[nodiscard]] std::string Text() const {
    std::string text(4096, '\0');
    text.resize(static_cast<std::size_t>(
        pread(fileno(file_), text.data(), text.size(), 0)));
    return text;
  }

 private:
  std::FILE* file_;
  int before_;
};

// A server whose reports are garbage would fill the log with a line a response.
TEST_CASE("an unusable load report is logged once per server and counted") {
  InitLogging(LogLevel::kWarning);
  net::EventLoop loop;
  EntryState state(loop, {}, ZoneName("z"), {},
                   DrainBound(std::chrono::seconds(2)));
  const StandardErrorCapture capture;
  for (const char* server : {"a", "a", "b"}) {
    CHECK_FALSE(state.ReadLoadReport(ServerId(server), "busy").has_value());
  }
  CHECK(state.ReadLoadReport(ServerId("c"), "1,0,3,480").has_value());
  const std::string log = capture.Text();
  const std::string event = "event=load_report_unusable server=";
  CHECK(log.find(event + "a report=busy") != std::string::npos);
  CHECK(log.find(event + "a") == log.rfind(event + "a"));
  CHECK(log.find(event + "b") != std::string::npos);
  CHECK(log.find(event + "c") == std::string::npos);
  CHECK(state.metrics.Text().find(
            "gentianreach_load_reports_unusable_total 3\n") !=
        std::string::npos);
}

// The entry of a server that ends is removed, and written again by its next
// incarnation, whose first entry may not say yet that it is cold.
TEST_CASE("the signs of a server outlast the removal of its entry") {
  net::EventLoop loop;
  EntryState state(loop, {}, ZoneName("z"), {},
                   DrainBound(std::chrono::seconds(2)));
  constexpr Duration kWarmup = std::chrono::seconds(3);
  routing::BackendServer server;
  server.id = ServerId("s1");
  server.incarnation = Incarnation(1);
  server.states_warmup = true;
  const auto put = [&] {
    REQUIRE(state.directory.Put(server, loop.Now()));
    state.OnServerEntry(server);
  };
  const auto remove = [&] {
    state.directory.Remove(server.id, loop.Now());
    state.DropRemovedServers();
  };
  put();
  state.OnWarmupStated(server.id, "2000");
  remove();
  put();
  CHECK(state.cold.Find(server, kWarmup).sign == ColdSign::kResponse);
  remove();
  server.incarnation = Incarnation(2);
  server.states_warmup = false;
  put();
  CHECK(state.cold.Find(server, kWarmup).sign == ColdSign::kIncarnation);
}

}  // namespace
}  // namespace gentianreach::entry
