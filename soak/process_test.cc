#include "soak/process.h"

#include <chrono>
#include <memory>
#include <sstream>
#include <string>

#include <doctest/doctest.h>
#include <boost/leaf/handle_errors.hpp>

#include "gentianreach/time.h"

namespace gentianreach::soak {
namespace {

constexpr std::chrono::seconds kWaitTimeout{30};

// Guards against a hang-up of stopped processes when the shell that started the
// soak ends.
TEST_CASE("each process is in a session and process group of its own") {
  std::string stat;
  bool exited = false;
  std::unique_ptr<Process> process;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(
            process,
            Process::Start({"cat", "/proc/self/stat"}, {},
                           {.on_line = [&](const auto& line) { stat = line; },
                            .on_exit = [&](int) { exited = true; }}));
        return {};
      },
      [] { FAIL("the process did not start"); });
  const TimePoint end = MonotonicClock().Now() + kWaitTimeout;
  while (!exited || stat.empty()) {
    REQUIRE(MonotonicClock().Now() < end);
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(1000);
  }
  std::istringstream in(stat);
  int pid = 0;
  std::string name;
  std::string state;
  int parent = 0;
  int process_group = 0;
  int session = 0;
  in >> pid >> name >> state >> parent >> process_group >> session;
  REQUIRE(pid > 0);
  CHECK(process_group == pid);
  CHECK(session == pid);
}

}  // namespace
}  // namespace gentianreach::soak
